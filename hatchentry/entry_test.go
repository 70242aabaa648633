package hatchentry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchanswer"
	"dragonflyhatch/hatchconfig"
)

// fakeFleet answers every completion with three words.
type fakeFleet struct {
	sealer  *hatchanswer.Sealer
	breakAt int // position at which the answer fails, if positive
	panics  bool
	status  int // of the reply to a call
}

func newFakeFleet() *fakeFleet {
	sealer, err := hatchanswer.NewSealer([32]byte{1})
	if err != nil {
		panic(err)
	}
	return &fakeFleet{sealer: sealer, status: http.StatusCreated}
}

func (fleet *fakeFleet) Entries(string) Entries {
	return Entries{Addresses: []string{"127.0.0.1:1"}, KeepSeconds: 10}
}

func (fleet *fakeFleet) Authenticate(token string) (Organisation, error) {
	if token != "good" {
		return Organisation{}, dragonflyhatch.Failf(dragonflyhatch.KindUnauthorized, "unknown token")
	}
	return Organisation{Name: "office", MaxDuration: time.Second}, nil
}

func (fleet *fakeFleet) ModelMaxTokens(name string) (int, error) {
	if name != "assistant" {
		return 0, dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no model %q", name)
	}
	return 64, nil
}

func (fleet *fakeFleet) Sealer() (Sealer, error) { return fleet.sealer, nil }

func (fleet *fakeFleet) Complete(_ context.Context, completion Completion, deliver func(Chunk) error) error {
	if fleet.panics {
		panic("a fault")
	}
	words := []string{"one ", "two ", "three "}
	for position := completion.ResumePosition.Next; position < len(words); position++ {
		if fleet.breakAt > 0 && position == fleet.breakAt {
			return dragonflyhatch.Failf(dragonflyhatch.KindUpstreamLost, "broken")
		}
		resumePosition := completion.ResumePosition
		resumePosition.Next = position + 1
		if err := deliver(Chunk{Text: words[position], ResumePosition: resumePosition}); err != nil {
			return err
		}
	}
	resumePosition := completion.ResumePosition
	resumePosition.Next = len(words)
	return deliver(Chunk{Finish: "stop", ResumePosition: resumePosition})
}

func (fleet *fakeFleet) Call(context.Context, string, dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	return dragonflyhatch.ServiceReply{Status: fleet.status, Body: []byte("{}"), Repeated: true}, nil
}

func (fleet *fakeFleet) Begin(string, string, string, time.Time) {}
func (fleet *fakeFleet) End(string, error)                       {}
func (fleet *fakeFleet) Leaving() bool                           { return false }

// testLimits returns limits that are small enough for tests to reach them
// quickly.
func testLimits() hatchconfig.Limits {
	limits := hatchconfig.DefaultLimits()
	limits.MaxBody = 4 << 10
	limits.MaxHeaders = 2 << 10
	limits.BodyTimeout = hatchconfig.Duration(50 * time.Millisecond)
	return limits
}

// refusal is the body of a refusal. Its Ran replaces the embedded one, which can
// only be encoded.
type refusal struct {
	Problem
	Ran string `json:"ran"`
}

// send sends a request and returns the response, its body, and the refusal if
// it is one.
func send(server *httptest.Server, method, path, body string, headers ...string) (*http.Response, string, refusal) {
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer good")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		panic(err)
	}
	var refused refusal
	if response.Header.Get("Content-Type") == problemType {
		if err := json.Unmarshal(text, &refused); err != nil {
			panic(err)
		}
	}
	return response, string(text), refused
}

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

func TestInvalidRequestsAreRefused(t *testing.T) {
	server := httptest.NewServer(NewCallerHandler(newFakeFleet(), testLimits()))
	defer server.Close()
	cases := []struct {
		name, method, path, body string
		headers                  []string
		kind                     dragonflyhatch.Kind
	}{
		{"invalid JSON", "POST", chatPath, `{"model":`, nil, dragonflyhatch.KindBadRequest},
		{"array instead of an object", "POST", chatPath, `[]`, nil, dragonflyhatch.KindBadRequest},
		{"no messages", "POST", chatPath, `{"model":"assistant"}`, nil, dragonflyhatch.KindBadRequest},
		{"too many tokens", "POST", chatPath, `{"model":"assistant","max_tokens":65,"messages":[{}]}`, nil, dragonflyhatch.KindBadRequest},
		{"negative tokens", "POST", chatPath, `{"model":"assistant","max_tokens":-1,"messages":[{}]}`, nil, dragonflyhatch.KindBadRequest},
		{"unknown model", "POST", chatPath, `{"model":"poet","messages":[{}]}`, nil, dragonflyhatch.KindNotFound},
		{"wrong token", "POST", chatPath, chatBody, []string{"Authorization", "Bearer bad"}, dragonflyhatch.KindUnauthorized},
		{"no token", "POST", chatPath, chatBody, []string{"Authorization", "Basic x"}, dragonflyhatch.KindUnauthorized},
		{"bad deadline", "POST", chatPath, chatBody, []string{"Request-Deadline", "soon"}, dragonflyhatch.KindBadRequest},
		{"body too large", "POST", chatPath, strings.Repeat("x", 5<<10), nil, dragonflyhatch.KindRequestTooLarge},
		{"headers too large", "POST", chatPath, chatBody, []string{"X-Flood", strings.Repeat("x", 3<<10)}, dragonflyhatch.KindHeadersTooLarge},
		{"forged resume token", "POST", chatPath, chatBody, []string{"Last-Event-ID", "AAAA"}, dragonflyhatch.KindBadRequest},
		{"unknown path", "GET", "/v2/entries", "", nil, dragonflyhatch.KindNotFound},
		{"wrong method", "DELETE", "/v1/entries", "", nil, dragonflyhatch.KindMethodNotAllowed},
	}
	for _, test := range cases {
		convey.Convey(test.name, t, func() {
			response, _, refused := send(server, test.method, test.path, test.body, test.headers...)
			expected := test.kind.ErrorResponse()
			convey.So(response.StatusCode, convey.ShouldEqual, expected.Status)
			convey.So(refused.Kind, convey.ShouldEqual, test.kind.String())
			convey.So(refused.Ran, convey.ShouldEqual, expected.Ran.String())
			convey.So(refused.Title, convey.ShouldEqual, expected.Title)
		})
	}
}

func TestSlowBodyIsRefused(t *testing.T) {
	convey.Convey("A request whose body does not arrive in time is refused as not run", t, func() {
		server := httptest.NewServer(NewCallerHandler(newFakeFleet(), testLimits()))
		defer server.Close()
		connection, err := net.Dial("tcp", server.Listener.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer connection.Close()
		fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\nContent-Length: 100\r\n\r\n{", chatPath)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		convey.So(err, convey.ShouldBeNil)
		var refused refusal
		convey.So(json.NewDecoder(response.Body).Decode(&refused), convey.ShouldBeNil)
		convey.So(refused.Kind, convey.ShouldEqual, "requestTimeout")
		convey.So(refused.Ran, convey.ShouldEqual, "no")
	})
}

func TestPanicIsReportedAsInternal(t *testing.T) {
	convey.Convey("A panic in the router gets a response that leaves open whether the request ran", t, func() {
		fleet := newFakeFleet()
		fleet.panics = true
		server := httptest.NewServer(NewCallerHandler(fleet, testLimits()))
		defer server.Close()
		_, _, refused := send(server, "POST", chatPath, chatBody)
		convey.So(refused.Kind, convey.ShouldEqual, "internal")
		convey.So(refused.Ran, convey.ShouldEqual, "unknown")
	})
}

// TestInvalidStatusIsNoAnswer guards against the broken answer of a service that an older daemon
// has recorded or relays.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	convey.Convey("A reply with an invalid status gets a response that leaves open whether the request ran", t, func() {
		fleet := newFakeFleet()
		server := httptest.NewServer(NewCallerHandler(fleet, testLimits()))
		defer server.Close()
		for _, fleet.status = range []int{999, 600, 101, 99, 0} {
			response, _, refused := send(server, "POST", "/v1/services/desk/order", "{}", "Idempotency-Key", "key")
			convey.So(response.StatusCode, convey.ShouldEqual, http.StatusBadGateway)
			convey.So(refused.Kind, convey.ShouldEqual, "upstreamLost")
			convey.So(refused.Ran, convey.ShouldEqual, "unknown")
		}
	})
}

// eventIDs returns the ids of the events of a stream, in order.
func eventIDs(stream string) []string {
	var ids []string
	scanner := bufio.NewScanner(bytes.NewBufferString(stream))
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestStreamsEndWithDoneOrError(t *testing.T) {
	fleet := newFakeFleet()
	server := httptest.NewServer(NewCallerHandler(fleet, testLimits()))
	defer server.Close()

	convey.Convey("Given a complete stream", t, func() {
		_, stream, _ := send(server, "POST", chatPath, chatBody)
		convey.So(strings.Count(stream, "one "), convey.ShouldEqual, 1)
		convey.So(stream, convey.ShouldContainSubstring, `"finish_reason":"stop"`)
		convey.So(strings.HasSuffix(stream, "data: [DONE]\n\n"), convey.ShouldBeTrue)
		ids := eventIDs(stream)
		convey.So(ids, convey.ShouldHaveLength, 4)

		convey.Convey("a caller that resumes from an event id gets the rest", func() {
			_, rest, _ := send(server, "POST", chatPath, chatBody, "Last-Event-ID", ids[1])
			convey.So(rest, convey.ShouldNotContainSubstring, "two ")
			convey.So(rest, convey.ShouldContainSubstring, "three ")
			convey.So(strings.HasSuffix(rest, "data: [DONE]\n\n"), convey.ShouldBeTrue)
		})
		convey.Convey("the event id is refused for another request", func() {
			other := strings.Replace(chatBody, "hello", "goodbye", 1)
			_, _, refused := send(server, "POST", chatPath, other, "Last-Event-ID", ids[1])
			convey.So(refused.Kind, convey.ShouldEqual, "badRequest")
		})
	})
	convey.Convey("A stream that fails ends with an error event", t, func() {
		fleet.breakAt = 2
		_, stream, _ := send(server, "POST", chatPath, chatBody)
		convey.So(stream, convey.ShouldContainSubstring, "event: error\ndata: {")
		convey.So(stream, convey.ShouldContainSubstring, `"kind":"upstreamLost"`)
		convey.So(stream, convey.ShouldNotContainSubstring, "[DONE]")
		convey.Reset(func() { fleet.breakAt = 0 })
	})
	convey.Convey("An unstreamed answer is returned in one response", t, func() {
		_, text, _ := send(server, "POST", chatPath, strings.Replace(chatBody, "true", "false", 1))
		convey.So(text, convey.ShouldContainSubstring, `"content":"one two three "`)
	})
	convey.Convey("The response to a repeated order is marked as replayed", t, func() {
		response, _, _ := send(server, "POST", "/v1/services/orders/standing", "{}")
		convey.So(response.StatusCode, convey.ShouldEqual, http.StatusCreated)
		convey.So(response.Header.Get("Idempotent-Replayed"), convey.ShouldEqual, "true")
	})
}
