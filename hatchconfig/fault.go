package hatchconfig

import (
	"fmt"
	"slices"
	"strings"
)

// Position is a line of a file, counted from 1.
type Position struct {
	File string `json:"file"`
	Line int    `json:"line"`
}

// Fault is one error in a configuration.
type Fault struct {
	Position
	Field   string `json:"field"` // path of the field, empty for the whole file
	Problem string `json:"problem"`
}

// String returns the fault in the form "file:line: field: problem".
func (fault Fault) String() string {
	if fault.Field == "" {
		return fmt.Sprintf("%s:%d: %s", fault.File, fault.Line, fault.Problem)
	}
	return fmt.Sprintf("%s:%d: %s: %s", fault.File, fault.Line, fault.Field, fault.Problem)
}

// Faults is the error that contains all faults of a configuration.
type Faults []Fault

// Error returns the faults, one on each line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the faults by file and line and removes duplicates.
func (faults Faults) sorted() Faults {
	slices.SortFunc(faults, func(a, b Fault) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		if c := a.Line - b.Line; c != 0 {
			return c
		}
		return strings.Compare(a.Field+a.Problem, b.Field+b.Problem)
	})
	return slices.Compact(faults)
}

// err returns the sorted faults as an error, or nil if there are none.
func (faults Faults) err() error {
	if len(faults) == 0 {
		return nil
	}
	return faults.sorted()
}
