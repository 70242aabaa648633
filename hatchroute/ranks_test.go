package hatchroute_test

import (
	"testing"

	"dragonflyhatch"
	"dragonflyhatch/hatchroute"
)

// TestRank guards against an organisation's priority that takes the place of the route's,
// and against ranks where the configuration asks for none.
func TestRank(t *testing.T) {
	on := func(service string) []dragonflyhatch.WeightedService {
		return []dragonflyhatch.WeightedService{{Name: service, Weight: 1}}
	}
	model := &dragonflyhatch.EngineModel{Layers: 8}
	first := &dragonflyhatch.Organisation{Name: "first", Priority: 0}
	second := &dragonflyhatch.Organisation{Name: "second", Priority: 1}
	table := hatchroute.NewTable(&dragonflyhatch.Routing{
		Routes: []dragonflyhatch.Route{
			{Name: "urgent", Priority: 0, Services: on("ranked")},
			{Name: "digest", Priority: 2, Services: on("ranked")},
			{Name: "one", Priority: 1, Services: on("equal")},
			{Name: "other", Priority: 1, Services: on("equal")},
			{Name: "read", Priority: 0, Services: on("plain")},
			{Name: "write", Priority: 2, Services: on("plain")},
		},
		Services: map[string]dragonflyhatch.UpstreamService{
			"ranked": {Model: model}, "equal": {Model: model}, "plain": {},
		},
		Organisations: []dragonflyhatch.Organisation{*first, *second},
	})
	for service, want := range map[string]int{"ranked": 4, "equal": 0, "plain": 0, "unknown": 0} {
		if got := table.Ranks(service); got != want {
			t.Errorf("%s has %d ranks, want %d", service, got, want)
		}
	}
	for _, test := range []struct {
		service      string
		route        int
		organisation *dragonflyhatch.Organisation
		want         int
	}{
		{"ranked", 0, first, 0},
		{"ranked", 1, first, 1},
		{"ranked", 0, second, 2},
		{"ranked", 1, second, 3},
		{"ranked", 1, nil, 3},
		{"equal", 2, second, 0},
		{"plain", 5, first, 0},
	} {
		if got := table.Rank(test.service, &table.Routes[test.route], test.organisation); got != test.want {
			t.Errorf("%s of %v on %s: rank %d, want %d", table.Routes[test.route].Name, test.organisation, test.service, got, test.want)
		}
	}
}

// TestRankWithoutOrganisations guards against public routes that lose their ranks with the last
// organisation.
func TestRankWithoutOrganisations(t *testing.T) {
	model := &dragonflyhatch.EngineModel{Layers: 8}
	for _, organisations := range [][]dragonflyhatch.Organisation{nil, {}} {
		table := hatchroute.NewTable(&dragonflyhatch.Routing{
			Routes: []dragonflyhatch.Route{
				{Name: "urgent", Priority: 0, Public: true, Services: []dragonflyhatch.WeightedService{{Name: "lm", Weight: 1}}},
				{Name: "digest", Priority: 2, Public: true, Services: []dragonflyhatch.WeightedService{{Name: "lm", Weight: 1}}},
			},
			Services:      map[string]dragonflyhatch.UpstreamService{"lm": {Model: model}},
			Organisations: organisations,
		})
		if table.Ranks("lm") != 2 || table.Rank("lm", &table.Routes[1], nil) != 1 {
			t.Errorf("%d ranks, the second route has %d", table.Ranks("lm"), table.Rank("lm", &table.Routes[1], nil))
		}
	}
}
