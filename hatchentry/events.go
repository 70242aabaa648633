package hatchentry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// keepAlive is how long a stream may say nothing before it says that it lives.
const keepAlive = time.Second

// eventStream writes an answer as server-sent events. It ends with a finish
// reason and [DONE], or with an error event. While the answer waits it sends
// comments, so that a caller can tell a slow answer from a dead connection.
type eventStream struct {
	writer  http.ResponseWriter
	sealer  Sealer
	answer  chatAnswer
	request string

	mu    sync.Mutex
	begun bool
	ended bool
	alive *time.Timer // until the next comment
}

func newEventStream(writer http.ResponseWriter, sealer Sealer, answer chatAnswer, request string) *eventStream {
	stream := &eventStream{writer: writer, sealer: sealer, answer: answer, request: request}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.alive = time.AfterFunc(keepAlive, stream.comment)
	return stream
}

// piece writes the next part of the answer.
func (stream *eventStream) piece(piece Piece) error {
	id, err := stream.sealer.Seal(piece.Place)
	if err != nil {
		return err
	}
	choice := chatChoice{Delta: &chatDelta{Content: piece.Text}}
	if piece.Finish != "" {
		choice.FinishReason = &piece.Finish
	}
	part := stream.answer
	part.Object = "chat.completion.chunk"
	part.Choices = []chatChoice{choice}
	data, err := json.Marshal(part)
	if err != nil {
		return err
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return stream.write("id: %s\ndata: %s\n\n", id, data)
}

// comment says that the stream lives.
func (stream *eventStream) comment() {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if !stream.ended {
		// A write that fails means that the caller has gone; the next
		// piece finds out.
		_ = stream.write(": waiting\n\n")
	}
}

// write sends a part of the stream at once; the stream is locked.
func (stream *eventStream) write(format string, args ...any) error {
	if !stream.begun {
		stream.begun = true
		header := stream.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
	}
	stream.alive.Reset(keepAlive)
	if _, err := fmt.Fprintf(stream.writer, format, args...); err != nil {
		return err
	}
	return http.NewResponseController(stream.writer).Flush()
}

// stop keeps comments from being written after the handler has returned, also
// when it did so by a panic.
func (stream *eventStream) stop() {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.ended = true
	stream.alive.Stop()
}

// end closes the stream by the outcome, which it returns. Nothing is written
// after it.
func (stream *eventStream) end(outcome error) error {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.ended = true
	defer stream.alive.Stop()
	switch {
	case outcome == nil:
		// A write that fails means that the caller has gone.
		_ = stream.write("data: [DONE]\n\n")
	case !stream.begun:
		refuse(stream.writer, outcome)
	default:
		data, err := json.Marshal(newProblem(stream.request, outcome))
		if err != nil {
			return err
		}
		_ = stream.write("event: error\ndata: %s\n\n", data)
	}
	return outcome
}
