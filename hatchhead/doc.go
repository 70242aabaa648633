// Package hatchhead checks that HTTP responses are valid and whole before they are used,
// where net/http is lenient.
//
// The parser of net/http accepts heads that are not valid, such as the status 000 or a
// field name with a blank, and a response with such a head is not an answer of the
// upstream: what it means, and where it ends, depends on the reader. All clients of
// the router read responses through a Checker.
//
// A response without a length ends with its connection, and a reset of that connection may
// look like its end while the request is still being written. All clients use connections
// of type Conn, which tells the two apart, and read whole bodies by ReadBody.
package hatchhead
