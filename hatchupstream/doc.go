// Package hatchupstream holds the clients of what the router routes to: model
// engines and plain services. A client decides in one place what a failed call
// proves: before a byte has left for the upstream the request was not run,
// after it that is unknown unless the upstream says so.
package hatchupstream
