// Package dragonflyhatch holds what the packages of the router share: the
// interfaces whose implementations vary, the plain data that crosses them, and
// the closed list of error kinds with the answer that each kind is given.
package dragonflyhatch
