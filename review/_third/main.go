package main

import (
	"fmt"
	"os"
)

// caseFunc runs a case. It reports whether the rule was broken; an error means that
// the case could not run.
type caseFunc func(run *run) (broken bool, err error)

var cases = map[string]caseFunc{
	"drill":     drill,
	"odd-entry": oddEntry,
	"garbage":   garbageWithoutEnd,
	"last-key":  lastKey,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD")
		os.Exit(2)
	}
	run, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](run)
	run.close()
	switch {
	case err != nil:
		run.logf("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		run.logf("result: the rule was broken")
		os.Exit(1)
	}
	run.logf("result: the rule held")
}
