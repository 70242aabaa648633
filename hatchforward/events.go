package hatchforward

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// maxEventSize bounds the size in bytes of one event, which is held in memory until it
// is complete.
const maxEventSize = 256 << 10

var errEventTooLong = errors.Newf("an event exceeds %d bytes", maxEventSize)

// eventSplitter splits a stream of server-sent events into complete events. It
// buffers an incomplete event until its end arrives.
type eventSplitter struct {
	pending []byte
}

// add appends the next bytes of the stream. It returns all events that are now
// complete, in one slice, and the last id among them, or an empty string if none
// has an id. The slice is valid until the next call. It fails if an event is too long.
func (splitter *eventSplitter) add(data []byte) (events []byte, lastID string, err error) {
	// The end of an event may be split between the old bytes and the new ones.
	searched := max(len(splitter.pending)-(len("\r\n\r\n")-1), 0)
	splitter.pending = append(splitter.pending, data...)
	end := lastEventEnd(splitter.pending[searched:])
	if end == 0 {
		if len(splitter.pending) > maxEventSize {
			return nil, "", errEventTooLong
		}
		return nil, "", nil
	}
	end += searched
	events = splitter.pending[:end]
	lastID = lastEventID(events)
	splitter.pending = append([]byte(nil), splitter.pending[end:]...)
	return events, lastID, nil
}

// carryData reports whether the events contain more than comments, by which a replica
// may only keep the connection open.
func carryData(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line[0] != ':' && len(bytes.TrimSpace(line)) > 0 {
			return true
		}
	}
	return false
}

// rest returns the bytes of an event whose end has not arrived.
func (splitter *eventSplitter) rest() []byte {
	return splitter.pending
}

// lastEventEnd returns the total length of the complete events at the beginning
// of data. An event ends with an empty line.
func lastEventEnd(data []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.LastIndex(data, blank); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return end
}

// lastEventID returns the id of the last event that has one, or an empty string.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
