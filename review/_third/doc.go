// Command third runs the cases of the third review. Each case starts the
// project's gateway daemons as processes on loopback addresses, plays the store,
// the replicas, the operator and the requesters in this process, and checks one
// rule from what these have seen.
//
// Usage: third CASE RECORD, with the path of the file to write the record to.
// TROUBLE=0 in the environment leaves the disruption out. The exit status is 0
// if the rule held, 1 if it was broken and 2 if the case could not run.
package main
