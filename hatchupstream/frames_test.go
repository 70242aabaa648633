package hatchupstream_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dragonflyhatch"
	"dragonflyhatch/hatchupstream"
)

// TestForeignFrames guards against bytes of an engine that pass as frames of a request's stream.
func TestForeignFrames(t *testing.T) {
	frame := func(request string, position int, text string) string {
		return fmt.Sprintf(`{"request":%q,"attempt":1,"kind":"token","position":%d,"text":"%s"}`+"\n", request, position, text)
	}
	for name, foreign := range map[string]string{
		"text": "a line of text\n", "event": "id: 2\n", "number": "5\n", "null": "null\n", "empty object": "{}\n",
		"another request": frame("other", 2, "b"), "no UTF-8": frame("r", 2, "b\xff"), "control byte": frame("r", 2, "b\x01"),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(writer, frame("r", 1, "a"), foreign, frame("r", 3, "c"))
		}))
		address := strings.TrimPrefix(server.URL, "http://")
		generation := dragonflyhatch.Generation{Request: "r", Attempt: 1, Pipeline: dragonflyhatch.Pipeline{Stages: []dragonflyhatch.Stage{{Address: address}}}}
		var got []string
		err := hatchupstream.NewEngine().Generate(context.Background(), generation, func(frame dragonflyhatch.Frame) error {
			got = append(got, frame.Text)
			return nil
		})
		server.Close()
		if fmt.Sprint(got) != "[a]" || dragonflyhatch.FailureOf(err).Kind != dragonflyhatch.KindUpstreamLost {
			t.Errorf("%s: frames %q, %v", name, got, err)
		}
	}
}
