// Package hatchmember tracks which daemons make up the fleet and which upstreams are
// leaving. Updates may arrive late, repeatedly or out of order. Each has a version
// that can be compared with those of other updates from the same source, and merging
// keeps the highest. A daemon avoids a host only because of its own failed calls,
// never because of another daemon's report.
package hatchmember
