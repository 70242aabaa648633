package hatchentry

import (
	"net/http/httptest"
	"testing"

	"dragonflyhatch/hatchanswer"
)

// BenchmarkWriteChunk measures sealing, encoding and writing one token of a
// stream.
func BenchmarkWriteChunk(b *testing.B) {
	sealer, err := hatchanswer.NewSealer([32]byte{1})
	if err != nil {
		b.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	stream := newEventStream(recorder, sealer, chatResponse{ID: "chatcmpl-1", Model: "assistant"}, "1")
	position := hatchanswer.ResumePosition{Request: "0123456789abcdef", Organisation: "office", Digest: "0123456789abcdef", Version: "v1"}
	b.ReportAllocs()
	for b.Loop() {
		position.Next++
		if err := stream.writeChunk(Chunk{Text: "token ", ResumePosition: position}); err != nil {
			b.Fatal(err)
		}
		recorder.Body.Reset()
	}
}
