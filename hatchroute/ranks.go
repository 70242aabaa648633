package hatchroute

import (
	"cmp"
	"slices"

	"dragonflyhatch"
)

// MaxRanks is the number of ranks that the engines tell apart. Priorities beyond it share
// the last rank.
const MaxRanks = 8

// requestPriority is the priority of a request: that of its organisation, then that of its
// route.
type requestPriority struct{ organisation, route int }

func (priority requestPriority) compare(other requestPriority) int {
	return cmp.Or(cmp.Compare(priority.organisation, other.organisation), cmp.Compare(priority.route, other.route))
}

// rankServices returns the priorities of the requests of each service with a model whose
// routes have different priorities, the most urgent first.
func rankServices(routing *dragonflyhatch.Routing) map[string][]requestPriority {
	routePriorities := make(map[string][]int)
	for _, route := range routing.Routes {
		for _, weighted := range route.Services {
			if routing.Services[weighted.Name].Model != nil && !slices.Contains(routePriorities[weighted.Name], route.Priority) {
				routePriorities[weighted.Name] = append(routePriorities[weighted.Name], route.Priority)
			}
		}
	}
	// Requests without an organisation are all alike. With an empty list of organisations there are
	// only those of public routes.
	organisationPriorities := []int{0}
	if len(routing.Organisations) > 0 {
		organisationPriorities = nil
	}
	for _, organisation := range routing.Organisations {
		if !slices.Contains(organisationPriorities, organisation.Priority) {
			organisationPriorities = append(organisationPriorities, organisation.Priority)
		}
	}
	ranks := make(map[string][]requestPriority)
	for service, priorities := range routePriorities {
		if len(priorities) < 2 {
			continue
		}
		for _, organisation := range organisationPriorities {
			for _, route := range priorities {
				ranks[service] = append(ranks[service], requestPriority{organisation, route})
			}
		}
		slices.SortFunc(ranks[service], requestPriority.compare)
	}
	return ranks
}

// Ranks returns the number of ranks of the service's requests, or 0 if its routes do not
// have different priorities.
func (table *Table) Ranks(service string) int {
	return min(len(table.ranks[service]), MaxRanks)
}

// Rank returns the rank of a request on the route for the service, from 0, the most urgent.
// The organisation's priority goes before the route's; a request without an organisation
// has the least urgent one. Rank returns 0 for a service without ranks.
func (table *Table) Rank(service string, route *dragonflyhatch.Route, organisation *dragonflyhatch.Organisation) int {
	ranks := table.ranks[service]
	if len(ranks) == 0 {
		return 0
	}
	priority := requestPriority{ranks[len(ranks)-1].organisation, route.Priority}
	if organisation != nil {
		priority.organisation = organisation.Priority
	}
	rank, _ := slices.BinarySearchFunc(ranks, priority, requestPriority.compare)
	return min(rank, table.Ranks(service)-1)
}
