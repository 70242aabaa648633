package hatchroute

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

func TestTable(t *testing.T) {
	convey.Convey("Given routes with shared prefixes", t, func() {
		table := NewTable(&dragonflyhatch.Routing{
			Version: 3,
			Routes: []dragonflyhatch.Route{
				{Name: "root", Host: "a.example", Prefix: "/"},
				{Name: "deep", Host: "a.example", Prefix: "/x/y/", Public: true},
				{Name: "mid", Host: "A.example", Prefix: "/x/"},
				{Name: "other", Host: "b.example", Prefix: "/x/", Services: []dragonflyhatch.WeightedService{{Name: "s", Weight: 90}, {Name: "t", Weight: 10}}},
			},
			Services:      map[string]dragonflyhatch.UpstreamService{"s": {Name: "s"}, "t": {Name: "t"}},
			Organisations: []dragonflyhatch.Organisation{{Name: "office", Keys: []string{"k1", "k2"}}},
		})
		convey.Convey("The longest prefix of the host wins", func() {
			for _, test := range []struct{ host, path, want string }{
				{"a.example", "/x/y/z", "deep"},
				{"a.example:8080", "/x/yy", "mid"},
				{"A.EXAMPLE", "/q", "root"},
				{"b.example", "/x/", "other"},
				{"b.example", "/x", ""},
				{"c.example", "/x/", ""},
			} {
				route := table.Route(test.host, test.path)
				name := ""
				if route != nil {
					name = route.Name
				}
				convey.So(name, convey.ShouldEqual, test.want)
			}
		})
		convey.Convey("Keys identify organisations, and only public routes do not need a key", func() {
			convey.So(table.Organisation("k2").Name, convey.ShouldEqual, "office")
			convey.So(table.Organisation(""), convey.ShouldBeNil)
			convey.So(table.NeedsKey(table.Route("a.example", "/x/y/z")), convey.ShouldBeFalse)
			convey.So(table.NeedsKey(table.Route("a.example", "/x/z")), convey.ShouldBeTrue)
		})
		convey.Convey("An empty list of organisations lets no key in, and no list asks for none", func() {
			for _, test := range []struct {
				organisations []dragonflyhatch.Organisation
				needsKey      bool
			}{{nil, false}, {[]dragonflyhatch.Organisation{}, true}, {[]dragonflyhatch.Organisation{{Name: "office", Keys: []string{""}}}, true}} {
				table := NewTable(&dragonflyhatch.Routing{Organisations: test.organisations})
				convey.So(table.NeedsKey(&dragonflyhatch.Route{}), convey.ShouldEqual, test.needsKey)
				convey.So(table.NeedsKey(&dragonflyhatch.Route{Public: true}), convey.ShouldBeFalse)
				convey.So(table.Organisation(""), convey.ShouldBeNil)
			}
		})
		convey.Convey("Requests are divided over services by weight, and a route without services returns none", func() {
			counts := make(map[string]int)
			for i := range 1000 {
				service, ok := table.ChooseService(table.Route("b.example", "/x/"), float64(i)/1000)
				convey.So(ok, convey.ShouldBeTrue)
				counts[service.Name]++
			}
			convey.So(counts, convey.ShouldResemble, map[string]int{"s": 900, "t": 100})
			_, ok := table.ChooseService(table.Route("a.example", "/q"), 0.5)
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}
