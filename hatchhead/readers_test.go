package hatchhead_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchpeer"
	"dragonflyhatch/hatchupstream"
	"dragonflyhatch/platform"
)

// rawServer answers each request by the same bytes and keeps the connection open.
type rawServer struct {
	listener net.Listener
	requests atomic.Int32
	conns    atomic.Int32

	mu   sync.Mutex
	text string // of the answer
	// end is what the server does after an answer that it sends before it has read the body of
	// the request, and reports whether it goes on. If it is nil, the server answers afterwards.
	end func(conn net.Conn, body io.Reader) (goOn bool)
}

func startRawServer(t *testing.T) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := &rawServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server.conns.Add(1)
			go server.serve(conn)
		}
	}()
	return server
}

func (server *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		server.mu.Lock()
		text, end := server.text, server.end
		server.mu.Unlock()
		body := io.Reader(request.Body)
		if end != nil {
			body = io.LimitReader(body, 1)
		}
		if _, err := io.Copy(io.Discard, body); err != nil {
			return
		}
		server.requests.Add(1)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if end != nil {
			time.Sleep(2 * time.Millisecond) // until the client has read the text
			if !end(conn, request.Body) {
				return
			}
		}
	}
}

// answer sets the bytes that the server sends for each request.
func (server *rawServer) answer(text string) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.text, server.end = text, nil
}

// answerEarly sets the bytes that the server sends for each request before it has read its body,
// and what it does then.
func (server *rawServer) answerEarly(text string, end func(conn net.Conn, body io.Reader) (goOn bool)) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.text, server.end = text, end
}

// reset resets the connection.
func reset(conn net.Conn, _ io.Reader) bool {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed
	conn.Close()
	return false
}

// halfClose closes the server's direction of the connection and reads the request.
func halfClose(conn net.Conn, body io.Reader) bool {
	_ = conn.(*net.TCPConn).CloseWrite() // fails only if the connection is closed
	_, _ = io.Copy(io.Discard, body)
	return false
}

// readOn reads the request and keeps the connection.
func readOn(_ net.Conn, body io.Reader) bool {
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

func (server *rawServer) address() string { return server.listener.Addr().String() }

// call is a call of one of the project's HTTP clients to the server at the address.
type call struct {
	name string
	body string // of a response that the client accepts
	do   func(ctx context.Context, address string) error
	// unknown reports whether the error leaves open whether the call took effect; nil for
	// a call that only reads.
	unknown func(error) bool
}

func isLost(err error) bool { return dragonflyhatch.KindOf(err) == dragonflyhatch.KindUpstreamLost }

func isUnknownOutcome(err error) bool {
	return !errors.IsAny(err, dragonflyhatch.ErrVersionConflict, dragonflyhatch.ErrObjectMissing)
}

// calls returns calls of all of the project's HTTP clients that read answers of other processes.
// Those that may be long carry the text.
func calls(text string) []call {
	const patience = 20 * time.Second // for long requests on a slow machine
	engine := hatchupstream.NewEngine(hatchupstream.WithStreamIdleTimeout(patience))
	service, engines := hatchupstream.NewService(), platform.NewEngineClient()
	peer, fleet := hatchpeer.NewClient(), hatchpeer.NewFleetClient(patience)
	store := func(address string) *platform.Store {
		return platform.NewStore(address, platform.WithTimeout(patience))
	}
	stages := func(address string) dragonflyhatch.Generation {
		return dragonflyhatch.Generation{Prompt: text, Pipeline: dragonflyhatch.Pipeline{Stages: []dragonflyhatch.Stage{{Address: address}}}}
	}
	order := dragonflyhatch.ServiceRequest{Method: http.MethodPost, Path: "/order", Key: "key", Body: []byte(text)}
	value := []byte(strconv.Quote(text))
	const object = `{"metadata":{"name":"placement","revision":7},"spec":{},"items":[],"events":[],"as_of":7}`
	return []call{
		{"service, read", "{}", func(ctx context.Context, address string) error {
			_, err := service.Call(ctx, address, dragonflyhatch.ServiceRequest{Method: http.MethodGet, Path: "/read"})
			return err
		}, isLost},
		{"service, order", "{}", func(ctx context.Context, address string) error {
			_, err := service.Call(ctx, address, order)
			return err
		}, isLost},
		{"engine, stream", `{"kind":"finish"}` + "\n", func(ctx context.Context, address string) error {
			return engine.Generate(ctx, stages(address), func(dragonflyhatch.Frame) error { return nil })
		}, isLost},
		{"engine, load", "{}", func(ctx context.Context, address string) error {
			_, err := engine.Load(ctx, address)
			return err
		}, nil},
		{"engine, state", "{}", func(ctx context.Context, address string) error {
			_, err := engine.ModelLayers(ctx, address)
			return err
		}, nil},
		{"engine, layer command", "{}", func(ctx context.Context, address string) error {
			return engine.SendLayerCommand(ctx, address, dragonflyhatch.EngineCommand{})
		}, func(err error) bool { return dragonflyhatch.KindOf(err) != dragonflyhatch.KindUpstreamRefused }},
		{"engine, cancel", "{}", func(ctx context.Context, address string) error {
			return engine.Cancel(ctx, stages(address))
		}, nil},
		{"engine on the platform, report", "{}", func(ctx context.Context, address string) error {
			_, err := engines.Report(ctx, address)
			return err
		}, nil},
		{"engine on the platform, layer command", "{}", func(ctx context.Context, address string) error {
			outcome, err := engines.SendLayerCommand(ctx, dragonflyhatch.Replica{ID: "r", Address: address}, dragonflyhatch.LayerCommand{})
			if outcome == dragonflyhatch.CommandUnknown {
				err = errors.Mark(err, errUnknownCommand)
			}
			return err
		}, func(err error) bool { return errors.Is(err, errUnknownCommand) }},
		{"store, get", object, func(ctx context.Context, address string) error {
			_, err := store(address).Get(ctx, "leases/placement")
			return err
		}, isUnknownOutcome},
		{"store, list", object, func(ctx context.Context, address string) error {
			_, _, err := store(address).List(ctx, "leases/")
			return err
		}, nil},
		{"store, watch", object, func(ctx context.Context, address string) error {
			_, _, err := store(address).Watch(ctx, "leases/", 7, time.Millisecond)
			return err
		}, nil},
		{"store, create", object, func(ctx context.Context, address string) error {
			_, err := store(address).Create(ctx, "leases/placement", value)
			return err
		}, isUnknownOutcome},
		{"store, update", object, func(ctx context.Context, address string) error {
			_, err := store(address).Update(ctx, "leases/placement", 6, value)
			return err
		}, isUnknownOutcome},
		{"store, delete", object, func(ctx context.Context, address string) error {
			return store(address).Delete(ctx, "leases/placement", 7)
		}, isUnknownOutcome},
		{"peer, order", "\x08\xc8\x01", func(ctx context.Context, address string) error {
			_, err := peer.Order(ctx, address, order)
			return err
		}, func(err error) bool { return !errors.Is(err, hatchpeer.ErrUnreachable) }},
		{"peer, heartbeat", "", func(ctx context.Context, address string) error {
			_, err := peer.Heartbeat(ctx, address, dragonflyhatch.Heartbeat{Host: text})
			return err
		}, nil},
		{"peer, configuration", "", func(ctx context.Context, address string) error {
			_, err := peer.Configuration(ctx, address)
			return err
		}, nil},
		{"fleet, gossip", "", func(ctx context.Context, address string) error {
			_, err := fleet.Gossip(ctx, address, dragonflyhatch.Gossip{Suspects: []string{text}})
			return err
		}, nil},
		{"fleet, snapshot", "", func(ctx context.Context, address string) error {
			_, _, err := fleet.Snapshot(ctx, address, dragonflyhatch.SnapshotReplicas)
			return err
		}, nil},
		{"fleet, slot", "", func(ctx context.Context, address string) error {
			_, err := fleet.TakeSlot(ctx, address, dragonflyhatch.SlotRequest{})
			return err
		}, nil},
	}
}

var errUnknownCommand = errors.New("outcome of the layer command unknown")

// brokenHeads are the beginnings of heads that are not valid HTTP.
var brokenHeads = []string{
	"HTTP/1.1 000 Broken\r\n",
	"HTTP/1.1 099 Broken\r\n",
	"HTTP/1.1 600 Broken\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n",
	"HTTP/2.0 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nX Filler: x\r\n",
	"HTTP/1.1 200 OK\r\nX-Filler : x\r\n",
	"HTTP/1.1 200 OK\r\nX-\x01Filler: x\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 103 Early Hints\r\nX Filler: x\r\n\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nX Filler: x\r\n",
	"HTTP/1.1 404 Not Found\r\nX Filler: x\r\n",
	"HTTP/1.1 409 Conflict\r\nX Filler: x\r\n",
}

// TestBrokenAnswers guards against broken answers that the clients accept, or that they take
// for proof that a request did not run.
func TestBrokenAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, call := range calls("text") {
		t.Run(call.name, func(t *testing.T) {
			server := startRawServer(t)
			rest := fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(call.body), call.body)
			for _, head := range brokenHeads {
				server.answer("HTTP/1.1 200 OK\r\n" + rest)
				if err := call.do(ctx, server.address()); err != nil {
					t.Fatalf("after a valid head: %v", err)
				}
				server.answer(head + rest + "HTTP/1.1 200 OK\r\n" + rest)
				requests, conns := server.requests.Load(), server.conns.Load()
				err := call.do(ctx, server.address())
				if err == nil || call.unknown != nil && !call.unknown(err) {
					t.Errorf("%q: error %v", head, err)
				}
				if sent := server.requests.Load() - requests; sent != 1 {
					t.Errorf("%q: sent %d times", head, sent)
				}
				server.answer("HTTP/1.1 200 OK\r\n" + rest)
				if err := call.do(ctx, server.address()); err != nil || server.conns.Load() == conns {
					t.Errorf("call after %q: error %v, on a new connection: %t", head, err, server.conns.Load() > conns)
				}
			}
		})
	}
}

// TestUnusualAnswers guards against the rejection of heads that are valid or that RFC 9112
// allows a recipient to accept.
func TestUnusualAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, call := range calls("text") {
		server := startRawServer(t)
		for _, head := range []string{
			"HTTP/1.1 200\r\n",
			"HTTP/1.0 200 OK\r\n",
			"HTTP/1.1 200 OK\n!#$%&'*+-.^_`|~09azAZ:\n",
			"HTTP/1.1 200 \xe9\r\nX-Fold: a\r\n \t\r\n b: c\r\nX-Obs: \xe9\r\n",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n\r\nHTTP/1.1 200 OK\r\n",
		} {
			server.answer(head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(call.body), call.body))
			if err := call.do(ctx, server.address()); err != nil {
				t.Errorf("%s, %q: %v", call.name, head, err)
			}
		}
	}
}

// TestCutAnswers guards against answers that are cut by a reset, and that the clients take for
// whole ones or for proof that the request did not run.
func TestCutAnswers(t *testing.T) {
	for _, request := range []struct {
		name  string
		text  string
		tries int
	}{
		{"short", "text", 1},
		{"long", strings.Repeat("u", 4<<20), 5}, // it is by chance whether a read or a write meets the reset
	} {
		for _, call := range calls(request.text) {
			t.Run(request.name+" request, "+call.name, func(t *testing.T) { testCutAnswers(t, call, request.tries) })
		}
	}
}

func testCutAnswers(t *testing.T, call call, tries int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	server := startRawServer(t)
	sound := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(call.body), call.body)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n",
		"HTTP/1.0 200 OK\r\n",
		"HTTP/1.1 404 Not Found\r\n",
		"HTTP/1.1 409 Conflict\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\n",
	} {
		if call.name == "engine, stream" && strings.Contains(head, "200") {
			continue // its body is whole, as it ends with a finish frame
		}
		accepted, resent, failed := 0, 0, 0
		for range tries {
			server.answerEarly(head+"Content-Type: application/json\r\n\r\n"+call.body, reset)
			requests, conns := server.requests.Load(), server.conns.Load()
			if err := call.do(ctx, server.address()); err == nil || call.unknown != nil && !call.unknown(err) {
				accepted++
			}
			if server.requests.Load()-requests > 1 {
				resent++
			}
			server.answer(sound)
			if err := call.do(ctx, server.address()); err != nil || server.conns.Load() == conns {
				failed++ // or sent on the same connection
			}
		}
		if accepted+resent+failed > 0 {
			t.Errorf("%q: of %d tries %d accepted, %d sent again, %d with a next call that failed", head, tries, accepted, resent, failed)
		}
	}
}

// TestSoundEarlyAnswers guards against the refusal of answers that arrive before the request has
// been read, and are whole.
func TestSoundEarlyAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, call := range calls(strings.Repeat("u", 4<<20)) {
		server := startRawServer(t)
		const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		length := fmt.Sprintf("Content-Length: %d\r\n", len(call.body))
		for _, answer := range []struct {
			name, frame string
			end         func(conn net.Conn, body io.Reader) bool
		}{
			{"no length, half-closed, reads on", "", halfClose},
			{"length, half-closed, reads on", "Connection: close\r\n" + length, halfClose},
			{"length, kept open, reads on", length, readOn},
		} {
			for range 5 {
				server.answerEarly(head+answer.frame+"\r\n"+call.body, answer.end)
				if err := call.do(ctx, server.address()); err != nil {
					t.Errorf("%s, %s: %v", call.name, answer.name, err)
				}
			}
		}
	}
}
