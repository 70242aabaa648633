package hatchroute

import (
	"fmt"
	"reflect"
	"slices"

	"dragonflyhatch"
)

// Changes is how a configuration differs from the one before it.
type Changes struct {
	Added   int      // routes
	Removed int      // routes
	Changed []string // routes, each with what changed and how
	Keys    int      // keys of organisations that are new or gone
}

// ChangesSince returns how the table differs from the older one, which may be
// nil.
func (table *Table) ChangesSince(older *Table) Changes {
	if older == nil {
		older = NewTable(new(dragonflyhatch.Routing))
	}
	var changes Changes
	before := make(map[string]*dragonflyhatch.Route, len(older.Routes))
	for i := range older.Routes {
		before[older.Routes[i].Name] = &older.Routes[i]
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		old, known := before[route.Name]
		if !known {
			changes.Added++
			continue
		}
		delete(before, route.Name)
		if !equalRoutes(old, route) {
			changes.Changed = append(changes.Changed, describeChange(old, route))
		}
	}
	changes.Removed = len(before)
	changes.Keys = missingKeys(table, older) + missingKeys(older, table)
	slices.Sort(changes.Changed)
	return changes
}

// equalRoutes says whether two versions of a route are the same. It needs no
// reflection: small machines compare thousands of routes with each configuration.
func equalRoutes(a, b *dragonflyhatch.Route) bool {
	return a.Name == b.Name && a.Host == b.Host && a.Prefix == b.Prefix && a.Class == b.Class &&
		a.Timeout == b.Timeout && a.Target == b.Target && a.Priority == b.Priority &&
		slices.Equal(a.Services, b.Services) && a.MaxReplicas == b.MaxReplicas && a.Public == b.Public &&
		a.Generation == b.Generation && a.Resumable == b.Resumable && a.MaxPause == b.MaxPause
}

// describeChange names the fields in which two versions of a route differ.
func describeChange(old, route *dragonflyhatch.Route) string {
	text := route.Name + ":"
	was, is := reflect.ValueOf(*old), reflect.ValueOf(*route)
	for i := range was.NumField() {
		if !reflect.DeepEqual(was.Field(i).Interface(), is.Field(i).Interface()) {
			text += fmt.Sprintf(" %s %v -> %v", was.Type().Field(i).Name, was.Field(i), is.Field(i))
		}
	}
	return text
}

// missingKeys returns how many keys of the table the other one lacks, or gives to
// another organisation.
func missingKeys(table, other *Table) int {
	missing := 0
	for key, organisation := range table.byKey {
		if holder := other.byKey[key]; holder == nil || holder.Name != organisation.Name {
			missing++
		}
	}
	return missing
}
