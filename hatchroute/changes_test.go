package hatchroute

import (
	"reflect"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

func TestChangesSince(t *testing.T) {
	convey.Convey("Given a table with two routes and two keys", t, func() {
		routing := func(change func(*dragonflyhatch.Routing)) *Table {
			routing := &dragonflyhatch.Routing{
				Routes: []dragonflyhatch.Route{
					{Name: "draft", Timeout: time.Second, Services: []dragonflyhatch.WeightedService{{Name: "lm", Weight: 1}}},
					{Name: "read", Timeout: time.Second},
				},
				Organisations: []dragonflyhatch.Organisation{{Name: "office", Keys: []string{"a", "b"}}},
			}
			change(routing)
			return NewTable(routing)
		}
		older := routing(func(*dragonflyhatch.Routing) {})
		convey.Convey("An equal table has no changes, and without an older table all routes and keys are new", func() {
			convey.So(routing(func(*dragonflyhatch.Routing) {}).ChangesSince(older), convey.ShouldResemble, Changes{})
			convey.So(older.ChangesSince(nil), convey.ShouldResemble, Changes{Added: 2, Keys: 2})
		})
		convey.Convey("Changed fields are named, with their old and new values", func() {
			table := routing(func(routing *dragonflyhatch.Routing) {
				routing.Routes[0].Timeout = 400 * time.Millisecond
				routing.Routes[0].Services[0].Name = "other"
			})
			convey.So(table.ChangesSince(older).Changed, convey.ShouldResemble,
				[]string{"draft: Timeout 1s -> 400ms Services [{lm 1}] -> [{other 1}]"})
		})
		convey.Convey("A difference in any field of a route is detected", func() {
			fields := reflect.TypeFor[dragonflyhatch.Route]()
			for i := range fields.NumField() {
				route := older.Routes[0]
				switch field := reflect.ValueOf(&route).Elem().Field(i); field.Kind() {
				case reflect.String:
					field.SetString("other")
				case reflect.Bool:
					field.SetBool(!field.Bool())
				case reflect.Slice:
					field.SetLen(0)
				default:
					field.SetInt(field.Int() + 1)
				}
				convey.So(equalRoutes(&older.Routes[0], &route), convey.ShouldBeFalse)
			}
			convey.So(equalRoutes(&older.Routes[0], &older.Routes[0]), convey.ShouldBeTrue)
		})
		convey.Convey("Added and removed routes and keys are counted", func() {
			table := routing(func(routing *dragonflyhatch.Routing) {
				routing.Routes[1].Name = "write"
				routing.Organisations[0].Keys = []string{"a", "c"}
			})
			convey.So(table.ChangesSince(older), convey.ShouldResemble, Changes{Added: 1, Removed: 1, Keys: 2})
		})
	})
}
