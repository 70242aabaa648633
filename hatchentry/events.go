package hatchentry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// keepAliveInterval is how long a stream may be without output before a
// keep-alive comment is written.
const keepAliveInterval = time.Second

// eventStream writes an answer as server-sent events. It ends with a finish
// reason and [DONE], or with an error event. While no output is available it
// writes comments, so that a caller can distinguish a slow answer from a dead
// connection.
type eventStream struct {
	writer   http.ResponseWriter
	sealer   Sealer
	template chatResponse
	request  string

	mu             sync.Mutex
	started        bool
	ended          bool
	keepAliveTimer *time.Timer // writes a keep-alive comment when it fires
}

func newEventStream(writer http.ResponseWriter, sealer Sealer, template chatResponse, request string) *eventStream {
	stream := &eventStream{writer: writer, sealer: sealer, template: template, request: request}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.keepAliveTimer = time.AfterFunc(keepAliveInterval, stream.writeKeepAlive)
	return stream
}

// writeChunk writes the next part of the answer.
func (stream *eventStream) writeChunk(part Chunk) error {
	id, err := stream.sealer.Seal(part.ResumePosition)
	if err != nil {
		return err
	}
	choice := chatChoice{Delta: &chatDelta{Content: part.Text}}
	if part.Finish != "" {
		choice.FinishReason = &part.Finish
	}
	chunk := stream.template
	chunk.Object = "chat.completion.chunk"
	chunk.Choices = []chatChoice{choice}
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	return stream.write("id: %s\ndata: %s\n\n", id, data)
}

// writeKeepAlive writes a comment unless the stream has ended.
func (stream *eventStream) writeKeepAlive() {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if !stream.ended {
		// A failed write means that the caller has disconnected; the next
		// chunk returns the error.
		_ = stream.write(": waiting\n\n")
	}
}

// write writes and flushes a part of the stream, and restarts the keep-alive
// timer. The caller holds stream.mu.
func (stream *eventStream) write(format string, args ...any) error {
	if !stream.started {
		stream.started = true
		header := stream.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
	}
	stream.keepAliveTimer.Reset(keepAliveInterval)
	if _, err := fmt.Fprintf(stream.writer, format, args...); err != nil {
		return err
	}
	return http.NewResponseController(stream.writer).Flush()
}

// stop prevents comments from being written after the handler has returned or
// panicked.
func (stream *eventStream) stop() {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.ended = true
	stream.keepAliveTimer.Stop()
}

// finish ends the stream according to the outcome, which it returns. Nothing is
// written afterwards.
func (stream *eventStream) finish(outcome error) error {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	stream.ended = true
	defer stream.keepAliveTimer.Stop()
	switch {
	case outcome == nil:
		// A failed write means that the caller has disconnected.
		_ = stream.write("data: [DONE]\n\n")
	case !stream.started:
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
