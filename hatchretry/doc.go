// Package hatchretry decides what follows a failed attempt: whether the request
// may be tried again at all, and whether the fleet can afford it.
package hatchretry
