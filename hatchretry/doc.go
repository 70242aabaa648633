// Package hatchretry decides what follows a failed attempt: whether the request
// may be retried at all, and whether the retry budget allows it.
package hatchretry
