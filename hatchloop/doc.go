// Package hatchloop runs the long-lived loops of a daemon. A loop that panics or
// returns early is restarted, so that no duty ends while its process goes on.
package hatchloop
