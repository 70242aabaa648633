// Package hatchhead checks the heads of HTTP responses before they are parsed. The
// parser of net/http accepts heads that are not valid, such as the status 000 or a
// field name with a blank, and a response with such a head is not an answer of the
// upstream: what it means, and where it ends, depends on the reader. All clients of
// the router read responses through a Checker.
package hatchhead
