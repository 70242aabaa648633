package hatchforward

import (
	"bytes"
)

// eventSplitter cuts a stream of server-sent events into whole events. It holds
// back the beginning of an event until its end has come.
type eventSplitter struct {
	pending []byte
}

// add takes the next bytes of the stream and returns all events that are now
// whole, as one piece, and the id of the last of them that has one. The piece is
// valid until the next call.
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

// rest returns the bytes of an event whose end has not come.
func (splitter *eventSplitter) rest() []byte {
	return splitter.pending
}

// lastEventEnd returns the length of all whole events at the beginning of data.
// An event ends with an empty line.
func lastEventEnd(data []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.LastIndex(data, blank); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return end
}

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
