// Package hatchconfig reads and validates two kinds of configuration: the settings
// of one process, and the configuration that the whole fleet shares. The latter is
// a base file with an optional overlay for each site, which contains only what
// differs there.
//
// Both are JSON with comments. Reading doesn't stop at the first fault: every
// unknown field, wrong type and invalid value is reported with its file, line and
// field. A text with any fault yields no value.
package hatchconfig
