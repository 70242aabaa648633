// Package hatchmember decides which daemons make up the fleet and which
// upstreams are leaving. What it is told may be late, repeated or out of order:
// every fact carries a version within its source, and merging keeps the highest.
// A daemon's own failed calls decide whom it avoids; the word of others does not.
package hatchmember
