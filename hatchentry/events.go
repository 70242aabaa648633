package hatchentry

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// eventStream writes an answer as server-sent events. It ends with a finish
// reason and [DONE], or with an error event.
type eventStream struct {
	writer  http.ResponseWriter
	sealer  Sealer
	answer  chatAnswer
	request string
	begun   bool
}

// piece writes the next part of the answer.
func (stream *eventStream) piece(piece Piece) error {
	stream.begin()
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
	if _, err := fmt.Fprintf(stream.writer, "id: %s\ndata: %s\n\n", id, data); err != nil {
		return err
	}
	return http.NewResponseController(stream.writer).Flush()
}

func (stream *eventStream) begin() {
	if stream.begun {
		return
	}
	stream.begun = true
	header := stream.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
}

// end closes the stream by the outcome, which it returns.
func (stream *eventStream) end(outcome error) error {
	switch {
	case outcome == nil:
		stream.begin()
		// A write that fails means that the caller has gone.
		_, _ = fmt.Fprint(stream.writer, "data: [DONE]\n\n")
	case !stream.begun:
		refuse(stream.writer, outcome)
	default:
		data, _ := json.Marshal(newProblem(stream.request, outcome))
		_, _ = fmt.Fprintf(stream.writer, "event: error\ndata: %s\n\n", data)
	}
	return outcome
}
