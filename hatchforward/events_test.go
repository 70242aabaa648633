package hatchforward

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestEventSplitter(t *testing.T) {
	convey.Convey("Only complete events are returned, with the id of the last one", t, func() {
		var splitter eventSplitter
		events, id, err := splitter.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(events), convey.ShouldEqual, "id: 1\ndata: a\n\n")
		convey.So(id, convey.ShouldEqual, "1")
		convey.So(string(splitter.rest()), convey.ShouldEqual, "id: 2\nda")
		events, id, err = splitter.add([]byte("ta: b\r\n\r\n"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(events), convey.ShouldEqual, "id: 2\ndata: b\r\n\r\n")
		convey.So(id, convey.ShouldEqual, "2")
		events, id, err = splitter.add([]byte("weight-versions: 3\nid:7\ndata: c\n\n"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(id, convey.ShouldEqual, "7")
		convey.So(events, convey.ShouldNotBeEmpty)
		convey.So(splitter.rest(), convey.ShouldBeEmpty)
	})
	convey.Convey("An event without an end is refused once it is too long, a long one with an end is not", t, func() {
		var splitter eventSplitter
		var err error
		read := 0
		for err == nil && read < 4*maxEventSize {
			_, _, err = splitter.add([]byte(strings.Repeat("x", 4<<10)))
			read += 4 << 10
		}
		convey.So(err, convey.ShouldEqual, errEventTooLong)
		convey.So(read, convey.ShouldBeLessThanOrEqualTo, maxEventSize+4<<10)
		splitter = eventSplitter{}
		events, _, err := splitter.add([]byte("data: " + strings.Repeat("x", maxEventSize/2) + "\n\n"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(events), convey.ShouldEqual, maxEventSize/2+8)
	})
	convey.Convey("Comments and empty lines carry no data", t, func() {
		convey.So(carryData([]byte(": ping\n\n\r\n")), convey.ShouldBeFalse)
		convey.So(carryData([]byte(": ping\n\ndata: a\n\n")), convey.ShouldBeTrue)
	})
	convey.Convey("A stream that is read in pieces of any size is returned once and in order", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			var stream strings.Builder
			for range rapid.IntRange(0, 8).Draw(t, "events") {
				stream.WriteString("id: 5\ndata: " + rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "data") + "\n\n")
			}
			stream.WriteString(rapid.SampledFrom([]string{"", "id: 6\ndata"}).Draw(t, "rest"))
			var splitter eventSplitter
			var out strings.Builder
			for text := stream.String(); text != ""; {
				count := rapid.IntRange(1, len(text)).Draw(t, "piece")
				events, _, err := splitter.add([]byte(text[:count]))
				if err != nil {
					t.Fatal(err)
				}
				out.Write(events)
				if out.Len() > 0 && !strings.HasSuffix(out.String(), "\n\n") {
					t.Fatalf("a partial event was returned: %q", out.String())
				}
				text = text[count:]
			}
			if got := out.String() + string(splitter.rest()); got != stream.String() {
				t.Fatalf("the stream %q was returned as %q", stream.String(), got)
			}
		})
	})
}
