package hatchforward

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/platform"
)

// testCleaner is what the fakes need of a test.
type testCleaner interface {
	Cleanup(func())
	Fatal(...any)
}

// behaviour is what a fake replica does with a request.
type behaviour int

const (
	answers             behaviour = iota
	fails                         // runs it and answers 500
	refusesNotRun                 // says that it did not run it
	refusesUnmarked               // runs it and answers 503 without saying more
	refusesMisdirected            // answers 421
	resets                        // runs it and resets the connection
	truncates                     // runs it and breaks off inside the body
	answersUnframed               // answers without a length
	unframedThenResets            // the same, and resets
	neverAnswers                  // runs it and never answers
	failsLate                     // runs it and answers 500 after a hedge was sent
	answersLate                   // answers after a hedge was due
	answersOtherRequest           // answers another request
	answersUnsealed               // answers without its seal
	answersTwice                  // answers, and once more
	sendsGarbage                  // sends what is no answer
	behaviourCount
)

// fakeReplica is a replica whose behaviour is set from outside.
type fakeReplica struct {
	id       string
	listener net.Listener

	mu            sync.Mutex
	next          func() behaviour
	stream        func(conn net.Conn, request *http.Request) // for streams, in place of next
	runs          map[string]int                             // by the request's id
	reached       int
	disconnects   chan struct{} // closed when a caller leaves a mute replica
	latestRequest *http.Request
}

func newFakeReplica(t testCleaner, id string) *fakeReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replica := &fakeReplica{
		id: id, listener: listener, runs: make(map[string]int), disconnects: make(chan struct{}, 100),
		next: func() behaviour { return answers },
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go replica.serve(conn)
		}
	}()
	return replica
}

func (replica *fakeReplica) address() string { return replica.listener.Addr().String() }

// setBehaviour makes the replica do the same with each request.
func (replica *fakeReplica) setBehaviour(each behaviour) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.next = func() behaviour { return each }
}

func (replica *fakeReplica) runCounts() (total, most int) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	for _, runs := range replica.runs {
		total += runs
		most = max(most, runs)
	}
	return total, most
}

// runsOf returns how often the replica ran the request.
func (replica *fakeReplica) runsOf(id string) int {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.runs[id]
}

func (replica *fakeReplica) lastRequest() *http.Request {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.latestRequest
}

func (replica *fakeReplica) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a probe, or a caller that left
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	replica.mu.Lock()
	replica.reached++
	replica.latestRequest = request
	if replica.stream != nil {
		stream := replica.stream
		replica.mu.Unlock()
		stream(conn, request)
		return
	}
	action := replica.next()
	id := request.Header.Get("Attempt-Id")
	if action != refusesNotRun && action != refusesMisdirected {
		replica.runs[id]++
	}
	replica.mu.Unlock()
	replica.respond(conn, action, id)
}

const sealedHeaders = "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n"

func (replica *fakeReplica) respond(conn net.Conn, action behaviour, id string) {
	head := fmt.Sprintf(sealedHeaders, id)
	switch action {
	case answers:
		io.WriteString(conn, head+"Content-Length: 5\r\n\r\nhello")
	case fails:
		io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nServer-Seal: seal\r\nAttempt-Id: "+id+"\r\nContent-Length: 3\r\n\r\nbad")
	case failsLate:
		time.Sleep(80 * time.Millisecond)
		io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nServer-Seal: seal\r\nAttempt-Id: "+id+"\r\nContent-Length: 3\r\n\r\nbad")
	case answersLate:
		time.Sleep(80 * time.Millisecond)
		io.WriteString(conn, head+"Content-Length: 5\r\n\r\nhello")
	case refusesNotRun:
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case refusesUnmarked:
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nServer-Seal: seal\r\nContent-Length: 0\r\n\r\n")
	case refusesMisdirected:
		io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	case resets:
		reset(conn)
	case truncates:
		io.WriteString(conn, head+"Content-Length: 5\r\n\r\nhe")
	case answersUnframed:
		io.WriteString(conn, head+"\r\nhello")
	case unframedThenResets:
		io.WriteString(conn, head+"\r\nhe")
		time.Sleep(5 * time.Millisecond)
		reset(conn)
	case neverAnswers:
		io.Copy(io.Discard, conn)
		replica.disconnects <- struct{}{}
	case answersOtherRequest:
		io.WriteString(conn, fmt.Sprintf(sealedHeaders, "other")+"Content-Length: 5\r\n\r\nother")
	case answersUnsealed:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
	case answersTwice:
		io.WriteString(conn, head+"Content-Length: 5\r\n\r\nhello"+head+"Content-Length: 5\r\n\r\nagain")
	case sendsGarbage:
		io.WriteString(conn, "what is this\r\n\r\n")
	}
}

func reset(conn net.Conn) {
	// A lingering time of zero makes the close a reset; it may fail on a
	// connection that is closed already.
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// fakeFleet is a fleet of one daemon before fake replicas.
type fakeFleet struct {
	table     *hatchroute.Table
	view      *hatchpath.View
	healths   *hatchpath.Healths
	grantable int // that other daemons have for it

	grantDelay time.Duration // until they answer

	confirmedByPeers bool // other daemons cannot reach either what this one cannot
}

func (fleet *fakeFleet) Table() *hatchroute.Table { return fleet.table }
func (fleet *fakeFleet) View() *hatchpath.View    { return fleet.view }
func (fleet *fakeFleet) Daemons() int             { return 1 }
func (fleet *fakeFleet) Borrow(_ string, credit func(int)) {
	time.Sleep(fleet.grantDelay)
	credit(fleet.grantable)
	fleet.grantable = 0
}

func (fleet *fakeFleet) Gone(address string) bool {
	node := fleet.view.At(address)
	return fleet.confirmedByPeers && node.DownFor(time.Now()) > 0
}

func (fleet *fakeFleet) Lost(dragonflyhatch.Replica) {}

const (
	testLayers  = 4
	testTimeout = 600 * time.Millisecond
)

func testRouting() *dragonflyhatch.Routing {
	route := func(name string, class dragonflyhatch.RouteClass, service string) dragonflyhatch.Route {
		return dragonflyhatch.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Class: class, MaxReplicas: 2, Target: 100 * time.Millisecond,
			Timeout: testTimeout, Services: []dragonflyhatch.WeightedService{{Name: service, Weight: 1}},
		}
	}
	routing := &dragonflyhatch.Routing{
		Version: 1,
		Routes: []dragonflyhatch.Route{
			route("safe", dragonflyhatch.RouteSafe, "desk"),
			route("unsafe", dragonflyhatch.RouteUnsafe, "desk"),
			route("stream", dragonflyhatch.RouteStreaming, "lm"),
		},
		Services: map[string]dragonflyhatch.UpstreamService{
			"desk": {Name: "desk"},
			"lm":   {Name: "lm", Model: &dragonflyhatch.EngineModel{Layers: testLayers, LayerMB: 1, KVBytes: 1}},
		},
		Organisations: []dragonflyhatch.Organisation{{Name: "office", Keys: []string{"secret"}, Priority: 3}},
	}
	routing.Routes[1].MaxReplicas = 1
	routing.Routes[2].Resumable = true
	routing.Routes[2].Timeout = 5 * time.Second
	return routing
}

// newFleet returns a fleet whose desk or engines are the replicas. Each engine
// holds all layers.
func newFleet(service string, replicas ...*fakeReplica) *fakeFleet {
	fleet := &fakeFleet{table: hatchroute.NewTable(testRouting()), healths: hatchpath.NewHealths()}
	var list []dragonflyhatch.Replica
	for i, replica := range replicas {
		list = append(list, dragonflyhatch.Replica{
			ID: replica.id, Service: service, Address: replica.address(), Site: "site-" + strconv.Itoa(i), Slots: 8,
			Held: dragonflyhatch.HeldLayers{LayerRange: dragonflyhatch.LayerRange{End: testLayers}, Version: 1},
		})
	}
	fleet.view = hatchpath.NewView(list, fleet.table.Services, fleet.healths)
	return fleet
}

// newServer is a forwarder at an address.
func newServer(t testCleaner, fleet Fleet, options ...Option) *httptest.Server {
	forwarder := New(fleet, platform.Dialect{}, append([]Option{
		WithSite("site-0"), WithPathWait(50 * time.Millisecond), WithLogger(slog.New(slog.DiscardHandler)),
		WithRetryTerms(hatchretry.SharedTerms{Ratio: 0.2, Extra: 1000, Window: 10 * time.Second}),
	}, options...)...)
	server := httptest.NewServer(forwarder)
	t.Cleanup(server.Close)
	return server
}

// callResult is what a caller got; a broken connection has status 0.
type callResult struct {
	status int
	header http.Header
	body   string
	whole  bool
	took   time.Duration
}

func sendRequest(server *httptest.Server, method, path, id string, headers ...string) callResult {
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader("body"))
	if err != nil {
		return callResult{}
	}
	request.Host = "h.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	started := time.Now()
	response, err := server.Client().Do(request)
	if err != nil {
		return callResult{took: time.Since(started)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(body), err == nil, time.Since(started)}
}
