package hatchroute

import (
	"fmt"
	"reflect"
	"slices"

	"dragonflyhatch"
)

// Changes describes how a configuration differs from the previous one.
type Changes struct {
	Added   int      // number of new routes
	Removed int      // number of removed routes
	Changed []string // one entry for each changed route, with the old and new values
	Keys    int      // number of organisations' keys that were added or removed
}

// ChangesSince returns how the table differs from the older one, which may be
// nil.
func (table *Table) ChangesSince(older *Table) Changes {
	if older == nil {
		older = NewTable(new(dragonflyhatch.Routing))
	}
	var changes Changes
	oldRoutes := make(map[string]*dragonflyhatch.Route, len(older.Routes))
	for i := range older.Routes {
		oldRoutes[older.Routes[i].Name] = &older.Routes[i]
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		old, found := oldRoutes[route.Name]
		if !found {
			changes.Added++
			continue
		}
		delete(oldRoutes, route.Name)
		if !equalRoutes(old, route) {
			changes.Changed = append(changes.Changed, describeChange(old, route))
		}
	}
	changes.Removed = len(oldRoutes)
	changes.Keys = missingKeys(table, older) + missingKeys(older, table)
	slices.Sort(changes.Changed)
	return changes
}

// equalRoutes reports whether two versions of a route are equal. It does not use
// reflection, which would be slow on small machines: each new configuration causes
// thousands of comparisons.
func equalRoutes(a, b *dragonflyhatch.Route) bool {
	return a.Name == b.Name && a.Host == b.Host && a.Prefix == b.Prefix && a.Class == b.Class &&
		a.Timeout == b.Timeout && a.Target == b.Target && a.Priority == b.Priority &&
		slices.Equal(a.Services, b.Services) && a.MaxReplicas == b.MaxReplicas && a.Public == b.Public &&
		a.Generation == b.Generation && a.Resumable == b.Resumable && a.MaxPause == b.MaxPause
}

// describeChange returns the name of a route and the fields in which two versions of
// it differ, with their old and new values.
func describeChange(old, route *dragonflyhatch.Route) string {
	text := route.Name + ":"
	oldValue, newValue := reflect.ValueOf(*old), reflect.ValueOf(*route)
	for i := range oldValue.NumField() {
		if !reflect.DeepEqual(oldValue.Field(i).Interface(), newValue.Field(i).Interface()) {
			text += fmt.Sprintf(" %s %v -> %v", oldValue.Type().Field(i).Name, oldValue.Field(i), newValue.Field(i))
		}
	}
	return text
}

// missingKeys returns the number of keys in table that other does not have, or that
// belong to a different organisation there.
func missingKeys(table, other *Table) int {
	missing := 0
	for key, organisation := range table.byKey {
		if owner := other.byKey[key]; owner == nil || owner.Name != organisation.Name {
			missing++
		}
	}
	return missing
}
