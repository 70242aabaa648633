// Package dragonflyhatch defines the types that the packages of the router share:
// the interfaces that have several implementations, the data types that they
// exchange, and the list of error kinds with the HTTP response for each kind.
package dragonflyhatch
