// Package hatchentry is the HTTP of a daemon: the listener for callers and the
// one for operators. It reads requests within bounds, answers failures by the
// table of error kinds, and leaves every decision to the daemon behind it.
package hatchentry
