package hatchforward

import (
	"bytes"
)

// eventSplitter splits a stream of server-sent events into complete events. It
// buffers an incomplete event until its end arrives.
type eventSplitter struct {
	pending []byte
}

// add appends the next bytes of the stream. It returns all events that are now
// complete, in one slice, and the last id among them, or an empty string if none
// has an id. The slice is valid until the next call.
func (splitter *eventSplitter) add(data []byte) (events []byte, lastID string) {
	splitter.pending = append(splitter.pending, data...)
	end := lastEventEnd(splitter.pending)
	if end == 0 {
		return nil, ""
	}
	events = splitter.pending[:end]
	lastID = lastEventID(events)
	splitter.pending = append([]byte(nil), splitter.pending[end:]...)
	return events, lastID
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
