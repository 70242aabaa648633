package hatchroute

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"dragonflyhatch"
)

// Table looks up the route of a request and the organisation of a key. It is
// immutable; each new version of the configuration gets a new table.
type Table struct {
	*dragonflyhatch.Routing
	byHost map[string][]*dragonflyhatch.Route // longest prefix first
	byKey  map[string]*dragonflyhatch.Organisation
	ranks  map[string][]requestPriority // by service, the most urgent first
}

// NewTable returns the Table of a routing configuration.
func NewTable(routing *dragonflyhatch.Routing) *Table {
	table := &Table{
		Routing: routing,
		byHost:  make(map[string][]*dragonflyhatch.Route),
		byKey:   make(map[string]*dragonflyhatch.Organisation),
		ranks:   rankServices(routing),
	}
	for i := range routing.Routes {
		route := &routing.Routes[i]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *dragonflyhatch.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for i := range routing.Organisations {
		for _, key := range routing.Organisations[i].Keys {
			if key != "" { // which a request without a key has
				table.byKey[key] = &routing.Organisations[i]
			}
		}
	}
	return table
}

// Route returns the host's route with the longest prefix of the path, or nil if there
// is none. The host may include a port.
func (table *Table) Route(host, path string) *dragonflyhatch.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range table.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Organisation returns the organisation to which the API key belongs, or nil.
func (table *Table) Organisation(key string) *dragonflyhatch.Organisation {
	return table.byKey[key]
}

// NeedsKey reports whether a request on the route must carry the key of an
// organisation. It must if the configuration lists organisations, also if it lists none.
func (table *Table) NeedsKey(route *dragonflyhatch.Route) bool {
	return table.Organisations != nil && !route.Public
}

// ChooseService returns the service for a request on the route, chosen by weight, or
// false if there is none. The draw is a random number in the range [0, 1).
func (table *Table) ChooseService(route *dragonflyhatch.Route, draw float64) (dragonflyhatch.UpstreamService, bool) {
	total := 0
	for _, weighted := range route.Services {
		total += weighted.Weight
	}
	point := int(draw * float64(total))
	for _, weighted := range route.Services {
		if point < weighted.Weight {
			service, ok := table.Services[weighted.Name]
			return service, ok
		}
		point -= weighted.Weight
	}
	return dragonflyhatch.UpstreamService{}, false
}
