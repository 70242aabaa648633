// Package hatchconfig reads the two kinds of configuration: the settings of one
// process, and the configuration that the fleet shares, which is a base file
// with an overlay for each site that states only what differs there.
//
// Both are JSON with comments. Reading never stops at the first fault: every
// unknown field, wrong type and impossible value is reported with its file,
// line and field, and a text with a fault yields no value at all.
package hatchconfig
