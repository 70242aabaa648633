package hatchanswer

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
)

// stream simulates a network that delivers frames of several attempts and
// requests to one assembler: late, twice, out of order or not at all. The text of
// each token names the attempt that generated it, which check verifies.
type stream struct {
	t         *rapid.T
	assembler *Assembler
	length    int
	attempt   int
	inFlight  []dragonflyhatch.Frame
	delivered []Token
	finishes  int
	failures  int
}

func tokenText(request string, attempt, position int) string {
	return fmt.Sprintf("%s/%d/%d ", request, attempt, position)
}

// begin starts an attempt and sends its frames.
func (stream *stream) begin() {
	stream.attempt++
	stream.assembler.Begin(stream.attempt)
	stream.send("r", stream.attempt, stream.assembler.Next())
}

func (stream *stream) send(request string, attempt, from int) {
	frame := dragonflyhatch.Frame{Request: request, Attempt: attempt, Kind: dragonflyhatch.FrameHeartbeat}
	stream.inFlight = append(stream.inFlight, frame)
	for position := from; position < stream.length; position++ {
		frame.Kind, frame.Position, frame.Text = dragonflyhatch.FrameToken, position, tokenText(request, attempt, position)
		stream.inFlight = append(stream.inFlight, frame)
	}
	frame.Kind, frame.Position, frame.Finish = dragonflyhatch.FrameFinish, stream.length, "stop"
	stream.inFlight = append(stream.inFlight, frame)
}

// arrive delivers the i-th frame in flight; if twice is set, the frame stays in
// flight.
func (stream *stream) arrive(i int, twice bool) {
	frame := stream.inFlight[i]
	if !twice {
		stream.inFlight = append(stream.inFlight[:i:i], stream.inFlight[i+1:]...)
	}
	before := stream.assembler.Next()
	delivery, err := stream.assembler.Accept(frame)
	for _, token := range delivery.Tokens {
		stream.check(token)
	}
	if delivery.Finish != "" {
		stream.finishes++
		if len(stream.delivered) != stream.length {
			stream.t.Fatalf("finished after %d of %d tokens", len(stream.delivered), stream.length)
		}
	}
	if err != nil {
		if stream.assembler.Next() != before {
			stream.t.Fatalf("Accept failed with %v, but moved to the next position", err)
		}
		stream.failures++
		stream.begin()
	}
}

// check requires the token to be the next one, from the current attempt.
func (stream *stream) check(token Token) {
	if token.Position != len(stream.delivered) {
		stream.t.Fatalf("token %d was delivered as number %d", token.Position, len(stream.delivered))
	}
	if want := tokenText("r", stream.attempt, token.Position); token.Text != want {
		stream.t.Fatalf("token %d is %q, want %q", token.Position, token.Text, want)
	}
	stream.delivered = append(stream.delivered, token)
}

// TestCompleteAnswers checks that under any network fault each position is
// delivered once and in order, with the text of the current attempt, and that an
// answer is done only when it is complete.
func TestCompleteAnswers(t *testing.T) {
	failures := 0
	rapid.Check(t, func(t *rapid.T) {
		stream := &stream{t: t, assembler: NewAssembler("r", 0), length: rapid.IntRange(0, 100).Draw(t, "length")}
		stream.begin()
		stream.send("other", stream.attempt, 0)
		draw := func() int { return rapid.IntRange(0, min(len(stream.inFlight)-1, 70)).Draw(t, "frame") }
		t.Repeat(map[string]func(*rapid.T){
			"inOrder": func(*rapid.T) {
				for range 8 {
					if len(stream.inFlight) > 0 {
						stream.arrive(0, false)
					}
				}
			},
			"outOfOrder": func(*rapid.T) {
				if len(stream.inFlight) > 0 {
					stream.arrive(draw(), false)
				}
			},
			"twice": func(*rapid.T) {
				if len(stream.inFlight) > 0 {
					stream.arrive(draw(), true)
				}
			},
			"lose": func(*rapid.T) {
				if len(stream.inFlight) > 0 {
					i := draw()
					stream.inFlight = append(stream.inFlight[:i:i], stream.inFlight[i+1:]...)
				}
			},
			"fail": func(*rapid.T) {
				stream.inFlight = append(stream.inFlight, dragonflyhatch.Frame{
					Request: "r", Attempt: stream.attempt, Kind: dragonflyhatch.FrameFailure, Stage: "s",
				})
			},
			"endStream": func(*rapid.T) {
				if err := stream.assembler.End(); err != nil {
					stream.begin()
				}
			},
		})
		stream.inFlight = nil
		if !stream.assembler.IsComplete() {
			stream.begin()
		}
		for len(stream.inFlight) > 0 {
			stream.arrive(0, false)
		}
		if !stream.assembler.IsComplete() || len(stream.delivered) != stream.length || stream.finishes != 1 {
			t.Fatalf("%d of %d tokens, %d finishes", len(stream.delivered), stream.length, stream.finishes)
		}
		failures += stream.failures
	})
	t.Logf("%d attempts failed", failures)
}

func TestResumeTokensAreSealed(t *testing.T) {
	convey.Convey("Given a resume token", t, func() {
		old, err := NewSealer([32]byte{1})
		convey.So(err, convey.ShouldBeNil)
		position := ResumePosition{Request: "r", Organisation: "office", Digest: "d", Seed: 7, Version: "v1", Attempt: 2, Next: 5}
		text, err := old.Seal(position)
		convey.So(err, convey.ShouldBeNil)

		convey.Convey("a host with a newer key opens it", func() {
			sealer, err := NewSealer([32]byte{2}, [32]byte{1})
			convey.So(err, convey.ShouldBeNil)
			opened, err := sealer.Open(text)
			convey.So(err, convey.ShouldBeNil)
			convey.So(opened, convey.ShouldResemble, position)
		})
		convey.Convey("a host without the key does not open it", func() {
			sealer, err := NewSealer([32]byte{2})
			convey.So(err, convey.ShouldBeNil)
			_, err = sealer.Open(text)
			convey.So(err, convey.ShouldEqual, ErrInvalidResumeToken)
		})
		convey.Convey("a modified token does not open", func() {
			for i := range text {
				changed := []byte(text)
				changed[i] ^= 1
				_, err := old.Open(string(changed))
				convey.So(err, convey.ShouldEqual, ErrInvalidResumeToken)
			}
		})
	})
}
