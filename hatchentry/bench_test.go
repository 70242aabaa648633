package hatchentry

import (
	"net/http/httptest"
	"testing"

	"dragonflyhatch/hatchanswer"
)

// BenchmarkPiece is one token on its way to a caller: sealed, encoded, written.
func BenchmarkPiece(b *testing.B) {
	sealer, err := hatchanswer.NewSealer([32]byte{1})
	if err != nil {
		b.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	stream := newEventStream(recorder, sealer, chatAnswer{ID: "chatcmpl-1", Model: "assistant"}, "1")
	place := hatchanswer.Place{Request: "0123456789abcdef", Organisation: "office", Digest: "0123456789abcdef", Version: "v1"}
	b.ReportAllocs()
	for b.Loop() {
		place.Next++
		if err := stream.piece(Piece{Text: "token ", Place: place}); err != nil {
			b.Fatal(err)
		}
		recorder.Body.Reset()
	}
}
