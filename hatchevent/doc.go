// Package hatchevent splits streams of server-sent events into events and checks them.
//
// A replica in trouble may send bytes that are no events in the middle of a stream. Whatever reads
// a stream of a replica reads it through a Splitter, which returns complete, valid events only:
// an event that is incomplete or not valid is no part of the answer, and neither is anything
// after one that is not valid.
package hatchevent
