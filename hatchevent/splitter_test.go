package hatchevent

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"dragonflyhatch/hatchstandin"
)

const leadingField = "weight-versions"

const soundEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// invalidEvents are bytes that are no event after soundEvents, by what is wrong with them.
var invalidEvents = map[string]string{
	"text":                     "a line of text\n\n",
	"text with a colon":        "note: a line of text\n\n",
	"head":                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"number only":              "4\n\n",
	"the same id":              "id: 3\ndata: d\n\n",
	"lower id":                 "id: 2\ndata: d\n\n",
	"id that is no number":     "id: x\ndata: d\n\n",
	"negative id":              "id: -4\ndata: d\n\n",
	"id with a sign":           "id: +4\ndata: d\n\n",
	"empty id":                 "id:\ndata: d\n\n",
	"id without a colon":       "id\ndata: d\n\n",
	"id of over 64 bits":       "id: 18446744073709551616\ndata: d\n\n",
	"two ids":                  "id: 4\nid: 5\ndata: d\n\n",
	"no id":                    "data: d\n\n",
	"control character":        "id: 4\ndata: \x00\n\n",
	"escape character":         "id: 4\ndata: \x1b[0m\n\n",
	"delete character":         "id: 4\ndata: \x7f\n\n",
	"carriage return":          "id: 4\ndata: d\rdata: e\n\n",
	"no UTF-8":                 "id: 4\ndata: \xff\n\n",
	"half a rune":              "id: 4\ndata: \xe2\x82\n\n",
	"surrogate":                "id: 4\ndata: \xed\xa0\x80\n\n",
	"comment with control":     ": \x01\n\n",
	"blank before the colon":   "id : 4\ndata: d\n\n",
	"blank before the name":    " id: 4\ndata: d\n\n",
	"name in capitals":         "ID: 4\ndata: d\n\n",
	"late leading field":       "id: 4\nweight-versions: 2\ndata: d\n\n",
	"leading field, no number": "weight-versions: x\nid: 4\ndata: d\n\n",
	"retry, no number":         "retry: soon\nid: 4\ndata: d\n\n",
	"too long":                 "id: 4\ndata: " + strings.Repeat("x", maxEventSize) + "\n\n",
	"endless":                  strings.Repeat("x", maxEventSize),
}

// validEvents are events after soundEvents that are unusual.
var validEvents = map[string]string{
	"comment":                  ": ping\n\nid: 4\n: within\ndata: d\n\n",
	"leading field":            "weight-versions: 7\nid: 4\ndata: d\n\n",
	"comment before it":        ": ping\nweight-versions:7\r\nid: 4\r\ndata: d\r\n\r\n",
	"CR LF":                    "id: 4\r\ndata: d\r\n\r\nid: 5\r\ndata: e\r\n\r\n",
	"mixed ends of lines":      "id: 4\r\ndata: d\n\r\nid: 5\ndata: e\r\n\n",
	"several data lines":       "id: 4\ndata: d\ndata:\ndata\ndata: e\n\n",
	"event and retry":          "event: token\nid: 4\nretry: 100\ndata: d\n\nretry: 5\n\n",
	"no blank after the colon": "id:4\ndata:d\n\n",
	"gap":                      "id: 400\ndata: d\n\nid: 18446744073709551615\ndata: e\n\n",
	"UTF-8":                    "id: 4\ndata: d\u00e4 \u20ac \U0001f600 \u0085\ufffd\ufeff\tx\n\n",
	"several tokens":           "id: 4\ndata: d e f: g: {\"id\": 1}\n\n",
	"id without data":          "id: 4\n\n",
	"empty lines":              "\n\r\n\nid: 4\ndata: d\n\n\n",
	"long":                     "id: 4\ndata: " + strings.Repeat("x", maxEventSize/2) + "\n\n",
}

// read passes the pieces to a Splitter and returns the events, the last id and the first error.
func read(splitter *Splitter, pieces ...string) (text, id string, err error) {
	for _, piece := range pieces {
		var events Events
		var addErr error
		events, addErr = splitter.Add([]byte(piece))
		text += string(events.Text)
		if events.LastID != "" {
			id = events.LastID
		}
		if err == nil {
			err = addErr
		}
	}
	return text, id, err
}

// cuts returns the ways in which the stream is cut into pieces: not, at every byte, and in two at
// each place.
func cuts(stream string) [][]string {
	ways := [][]string{{stream}}
	if len(stream) > 1000 {
		return append(ways, []string{stream[:len(stream)/2], stream[len(stream)/2:]})
	}
	ways = append(ways, strings.Split(stream, "")) // by rune; a byte where there is no rune
	var single []string
	for i := range len(stream) {
		single = append(single, stream[i:i+1])
		ways = append(ways, []string{stream[:i], stream[i:]})
	}
	return append(ways, single)
}

// TestSplitter guards against events that are returned incomplete, or with another id than that of
// the last one.
func TestSplitter(t *testing.T) {
	splitter := NewSplitter(WithLeadingField(leadingField))
	for _, step := range []struct {
		data, text, id string
		rest           int
	}{
		{"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", len("id: 2\nda")},
		{"ta: b\r\n\r\n", "id: 2\ndata: b\r\n\r\n", "2", 0},
		{"weight-versions: 3\nid:7\ndata: c\n\n", "weight-versions: 3\nid:7\ndata: c\n\n", "7", 0},
		{"id: 8\ndata: d\n\nid: 9\ndata: e\n\n: end\n\n", "id: 8\ndata: d\n\nid: 9\ndata: e\n\n: end\n\n", "9", 0},
		{": ping\n\n", ": ping\n\n", "", 0},
	} {
		events, err := splitter.Add([]byte(step.data))
		if string(events.Text) != step.text || events.LastID != step.id || splitter.Rest() != step.rest || err != nil {
			t.Errorf("after %q: got %q up to id %q, and %d bytes of the next event, %v", step.data, events.Text, events.LastID, splitter.Rest(), err)
		}
	}
}

// TestInvalidEvents guards against bytes of a replica in trouble that pass as events.
func TestInvalidEvents(t *testing.T) {
	for name, invalid := range invalidEvents {
		for _, pieces := range cuts(soundEvents + invalid + "id: 9\ndata: z\n\n") {
			text, id, err := read(NewSplitter(WithLeadingField(leadingField)), pieces...)
			if text != soundEvents || id != "3" || !errors.Is(err, ErrInvalid) {
				t.Fatalf("%s, in %d pieces: got %.200q up to id %q, %v", name, len(pieces), text, id, err)
			}
		}
	}
}

// TestValidEvents guards against events that are unusual and pass as invalid.
func TestValidEvents(t *testing.T) {
	for name, valid := range validEvents {
		for _, pieces := range cuts(soundEvents + valid) {
			splitter := NewSplitter(WithLeadingField(leadingField))
			text, _, err := read(splitter, pieces...)
			if text != soundEvents+valid || err != nil || splitter.Rest() != 0 {
				t.Fatalf("%s, in %d pieces: got %.200q, %v, and %d bytes of the next event", name, len(pieces), text, err, splitter.Rest())
			}
		}
	}
}

// TestEarlyEnd guards against memory and time that are spent on bytes after the first invalid one.
func TestEarlyEnd(t *testing.T) {
	for name, piece := range map[string]string{"text": "xxxx", "random": "\x80\xfe", "head": "HTTP/1.1", "control": "data: \x00"} {
		if text, _, err := read(NewSplitter(), piece); text != "" || !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got %q, %v", name, text, err)
		}
	}
	splitter, total := NewSplitter(), 0
	var err error
	for ; err == nil; total += 4 << 10 {
		_, _, err = read(splitter, ": "+strings.Repeat("x", 4<<10-2))
	}
	if total > maxEventSize+4<<10 {
		t.Errorf("%d bytes of one event were read", total)
	}
}

// TestResumption guards against a resumed stream that repeats events.
func TestResumption(t *testing.T) {
	for after, want := range map[string]string{"": soundEvents, "x": soundEvents, "0": soundEvents, "1": "", "3": ""} {
		text, _, err := read(NewSplitter(WithResumption(after)), soundEvents)
		if text != want || (want == "") != errors.Is(err, ErrInvalid) {
			t.Errorf("after %q: got %q, %v", after, text, err)
		}
	}
}

// TestHasData guards against comments that count as progress.
func TestHasData(t *testing.T) {
	for stream, want := range map[string]bool{": ping\n\n\r\n": false, ": ping\n\nid: 1\ndata: a\n\n": true, "retry: 1\n\n": true, "id: 1\ndata": false} {
		if events, err := NewSplitter().Add([]byte(stream)); events.HasData != want || err != nil {
			t.Errorf("%q: has data %t, %v", stream, events.HasData, err)
		}
	}
}

// FuzzSplitter compares the events with those of an oracle that shares no code with the Splitter.
func FuzzSplitter(f *testing.F) {
	for _, events := range []map[string]string{invalidEvents, validEvents} {
		for _, text := range events {
			if len(text) < 1000 {
				f.Add([]byte(soundEvents+text), uint64(len(text)))
			}
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 1))
		splitter := NewSplitter(WithLeadingField(leadingField))
		var got []byte
		var err error
		for rest := stream; len(rest) > 0 && err == nil; {
			var events Events
			count := 1 + random.IntN(len(rest))
			events, err = splitter.Add(rest[:count])
			got, rest = append(got, events.Text...), rest[count:]
		}
		want := hatchstandin.SoundEvents(stream, leadingField)
		if len(stream) <= maxEventSize && !bytes.Equal(got, want) {
			t.Fatalf("%.300q: got %.300q, want %.300q", stream, got, want)
		}
		if err == nil && splitter.Rest() != len(stream)-len(want) {
			t.Fatalf("%.300q: %d bytes of the next event", stream, splitter.Rest())
		}
	})
}

// BenchmarkSplitter measures the cost of an event that arrives alone.
func BenchmarkSplitter(b *testing.B) {
	splitter := NewSplitter(WithLeadingField(leadingField))
	var event []byte
	for i := range b.N {
		event = fmt.Appendf(event[:0], "id: %d\ndata: token %d of 9c41d07be2a35f68\n\n", i, i)
		if _, err := splitter.Add(event); err != nil {
			b.Fatal(err)
		}
	}
}
