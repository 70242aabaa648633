// Package hatchaudit keeps two records of what the fleet does: the trail of
// changes, which lives in the platform and is bounded in size and in writes,
// and the journal of recent requests, which lives in the memory of the daemon
// that took them.
package hatchaudit
