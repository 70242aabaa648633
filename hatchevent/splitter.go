package hatchevent

import (
	"bytes"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxEventSize bounds the size in bytes of one event, which is held in memory until it
// is complete.
const maxEventSize = 256 << 10

// ErrInvalid marks the errors of streams with bytes that are no events.
var ErrInvalid = errors.New("not a stream of events")

// The fields of an event (WHATWG HTML, section 9.2.6).
const (
	fieldID    = "id"
	fieldData  = "data"
	fieldEvent = "event"
	fieldRetry = "retry"
)

var standardFields = []string{fieldID, fieldData, fieldEvent, fieldRetry}

// Events are consecutive events of a stream.
type Events struct {
	Text   []byte // whole events; valid until the next call of Add
	LastID string // of the last event that has an id, or empty
	// HasData reports whether they contain more than comments, by which a replica may only keep
	// the connection open.
	HasData bool
}

// Splitter splits a stream into events. The zero value expects the first event of a stream with
// the standard fields.
//
// Lines end with LF or CR LF, and an empty one ends the event. A line is a comment or a field; its
// text is UTF-8 without control characters. An event with data has an id, which is a number above
// that of the event before it.
type Splitter struct {
	leading []string // names of numeric fields that may be the first line of an event
	lastID  uint64   // of the events returned so far
	hasID   bool     // lastID is set

	buffer    []byte // bytes of the stream from the first one that Add has not returned
	returned  int    // length of the events at the start of buffer that the last call has returned
	lineStart int    // in buffer, of the line that is being read
	checked   int    // in buffer, end of the bytes that are known to be valid text
	named     bool   // the name of the field of the line that is being read is known to be valid
	event     partialEvent
	err       error
}

// partialEvent is what is known of the event that is being read.
type partialEvent struct {
	lines   int // other than comments
	id      string
	number  uint64 // value of the id
	hasData bool   // it has a data field
}

// Option configures a Splitter.
type Option func(*Splitter)

// WithLeadingField allows a field with the name, whose value is a number, as the first line of an
// event.
func WithLeadingField(name string) Option {
	return func(splitter *Splitter) { splitter.leading = append(splitter.leading, name) }
}

// WithResumption sets the id after which the stream resumes. It has no effect if the id is no number.
func WithResumption(after string) Option {
	return func(splitter *Splitter) {
		if number, ok := parseNumber(after); ok {
			splitter.lastID, splitter.hasID = number, true
		}
	}
}

// NewSplitter returns a Splitter with the options.
func NewSplitter(options ...Option) *Splitter {
	splitter := new(Splitter)
	for _, option := range options {
		option(splitter)
	}
	return splitter
}

// Add appends the next bytes of the stream and returns the events that they complete. If the
// bytes after these events cannot be a part of an event, it also returns an error that is marked
// with ErrInvalid, and from then on no events.
func (splitter *Splitter) Add(data []byte) (Events, error) {
	if splitter.err != nil {
		return Events{}, splitter.err
	}
	splitter.buffer = append(slices.Delete(splitter.buffer, 0, splitter.returned), data...)
	splitter.lineStart -= splitter.returned
	splitter.checked -= splitter.returned
	splitter.returned = 0
	var events Events
	if splitter.err = splitter.scan(&events); splitter.err == nil {
		splitter.err = checkSize(splitter.Rest())
	}
	events.Text = splitter.buffer[:splitter.returned]
	return events, splitter.err
}

// checkSize returns an error if an event of the size in bytes is too long.
func checkSize(size int) error {
	if size <= maxEventSize {
		return nil
	}
	return errors.Mark(errors.Newf("an event exceeds %d bytes", maxEventSize), ErrInvalid)
}

// Rest returns the number of bytes after the last complete event.
func (splitter *Splitter) Rest() int {
	return len(splitter.buffer) - splitter.returned
}

// scan reads the bytes of the buffer that have not been checked. It adds the events that are
// complete to events and sets returned to their end.
func (splitter *Splitter) scan(events *Events) error {
	for splitter.checked < len(splitter.buffer) {
		rest := splitter.buffer[splitter.checked:]
		switch next := rest[0]; {
		case next == '\n':
			splitter.checked++
			if err := splitter.endLine(events); err != nil {
				return err
			}
		case next == '\r' && len(rest) == 1:
			return nil // a line feed must follow
		case next == '\r' && rest[1] == '\n':
			splitter.checked++
		case next < ' ' && next != '\t' || next == 0x7f:
			return splitter.invalid("control character")
		case next == ':' && !splitter.named:
			if !splitter.isKnownField(splitter.line()) {
				return splitter.invalid("unknown field")
			}
			splitter.named = true
			splitter.checked++
		case next < utf8.RuneSelf:
			splitter.checked++
		case !utf8.FullRune(rest):
			return splitter.checkPartialName()
		default:
			_, size := utf8.DecodeRune(rest)
			if size == 1 {
				return splitter.invalid("no UTF-8")
			}
			splitter.checked += size
		}
	}
	return splitter.checkPartialName()
}

// line returns the checked part of the line that is being read.
func (splitter *Splitter) line() []byte {
	return splitter.buffer[splitter.lineStart:splitter.checked]
}

// invalid returns the error of the line that is being read.
func (splitter *Splitter) invalid(reason string) error {
	line := splitter.buffer[splitter.lineStart:]
	return errors.Mark(errors.Newf("%s in the line %.64q of an event", reason, line[:min(len(line), 64)]), ErrInvalid)
}

// checkPartialName returns an error if the line that is being read can be neither a field nor a
// comment, however it goes on.
func (splitter *Splitter) checkPartialName() error {
	if splitter.named {
		return nil
	}
	line := splitter.line()
	begins := func(field string) bool { return len(line) <= len(field) && field[:len(line)] == string(line) }
	if slices.ContainsFunc(standardFields, begins) || splitter.event.lines == 0 && slices.ContainsFunc(splitter.leading, begins) {
		return nil
	}
	return splitter.invalid("unknown field")
}

// isKnownField reports whether a line with the name before its colon is valid at this place. The
// name of a comment is empty.
func (splitter *Splitter) isKnownField(name []byte) bool {
	is := func(field string) bool { return field == string(name) }
	return len(name) == 0 || slices.ContainsFunc(standardFields, is) || splitter.event.lines == 0 && slices.ContainsFunc(splitter.leading, is)
}

// endLine checks the line that ends with the latest checked byte.
func (splitter *Splitter) endLine(events *Events) error {
	line := bytes.TrimSuffix(bytes.TrimSuffix(splitter.line(), []byte("\n")), []byte("\r"))
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case len(line) == 0:
		return splitter.endEvent(events)
	case len(name) == 0: // a comment, which may precede a leading field
		splitter.nextLine()
		return nil
	case !splitter.isKnownField(name):
		return splitter.invalid("unknown field")
	}
	event := &splitter.event
	switch string(name) {
	case fieldData:
		event.hasData = true
	case fieldEvent: // any value
	case fieldID:
		number, ok := parseNumber(string(value))
		if !ok || event.id != "" || splitter.hasID && number <= splitter.lastID {
			return splitter.invalid("id that does not follow")
		}
		event.id, event.number = string(value), number
	default:
		if _, ok := parseNumber(string(value)); !ok {
			return splitter.invalid("no number")
		}
	}
	event.lines++
	splitter.nextLine()
	return nil
}

// endEvent completes the event that is being read.
func (splitter *Splitter) endEvent(events *Events) error {
	event := splitter.event
	if event.hasData && event.id == "" {
		return splitter.invalid("event without an id")
	}
	if err := checkSize(splitter.checked - splitter.returned); err != nil {
		return err
	}
	if event.id != "" {
		splitter.lastID, splitter.hasID, events.LastID = event.number, true, event.id
	}
	events.HasData = events.HasData || event.lines > 0
	splitter.event = partialEvent{}
	splitter.nextLine()
	splitter.returned = splitter.lineStart
	return nil
}

// nextLine makes the bytes after the checked ones a new line.
func (splitter *Splitter) nextLine() {
	splitter.lineStart, splitter.named = splitter.checked, false
}

// parseNumber returns the value of a number that consists of decimal digits.
func parseNumber(text string) (uint64, bool) {
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil
}
