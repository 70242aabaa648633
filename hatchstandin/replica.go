package hatchstandin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Arrival records a request that reached a replica.
type Arrival struct {
	ID     string // of the caller's attempt
	Path   string
	Tenant string
	Key    string   // Authorization header; the router must not forward it
	Stages []string // of the pipeline, each in the form address=first-end
	Ran    bool     // false if the replica refused it
	At     time.Time
}

func newArrival(request *http.Request) Arrival {
	arrival := Arrival{
		ID: request.Header.Get("Attempt-Id"), Path: request.URL.Path, Tenant: request.Header.Get("Tenant"),
		Key: request.Header.Get("Authorization"), At: time.Now(),
	}
	if stages := request.Header.Get("Hop-Count"); stages != "" {
		arrival.Stages = strings.Split(stages, ",")
	}
	return arrival
}

// refuseWrongReplica responds with 421 if the request is meant for another
// replica, and reports whether it did.
func refuseWrongReplica(writer http.ResponseWriter, request *http.Request, id string) bool {
	if wanted := request.Header.Get("Expect-Instance"); wanted == "" || wanted == id {
		return false
	}
	writer.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func registrationState(leaving bool) string {
	if leaving {
		return "draining"
	}
	return "ready"
}

// PlainReplicaSpec configures a plain replica.
type PlainReplicaSpec struct {
	ID         string
	Service    string
	Zone       string
	Slots      int
	WorkTime   time.Duration // processing time of each request
	Advertised string        // address to register, such as a proxy's; the listener's if empty
	OnArrival  func(Arrival) // if not nil, called for each request except those meant for another replica
}

// PlainFaults sets the faults of a plain replica, each as a fraction of its
// requests.
type PlainFaults struct {
	FailRate      float64 // run, then the response is 500
	LoseRate      float64 // run, then the connection is closed without a response
	RefuseRate    float64 // refused with 503 and marked as not executed
	DuplicateRate float64 // run, then the response is sent twice
	BreakRate     float64 // run, then the head of the response is not valid HTTP
}

// PlainReplica is the stand-in for a replica of a plain service that uses the
// platform's protocol.
type PlainReplica struct {
	spec          PlainReplicaSpec
	listener      net.Listener
	server        *http.Server
	startedMillis int64
	onChange      func()

	mu      sync.Mutex
	leaving bool
	faults  PlainFaults
}

// StartPlainReplica starts a replica on a loopback port. It calls onChange when
// the replica's registration changes.
func StartPlainReplica(spec PlainReplicaSpec, onChange func()) (*PlainReplica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	replica := &PlainReplica{spec: spec, listener: listener, startedMillis: time.Now().UnixMilli(), onChange: onChange}
	if replica.spec.Advertised == "" {
		replica.spec.Advertised = listener.Addr().String()
	}
	if replica.spec.OnArrival == nil {
		replica.spec.OnArrival = func(Arrival) {}
	}
	replica.server = &http.Server{Handler: http.HandlerFunc(replica.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = replica.server.Serve(listener) }() // ends with Crash
	return replica, nil
}

// ListenAddress returns the address that the replica listens on.
func (replica *PlainReplica) ListenAddress() string { return replica.listener.Addr().String() }

// Crash stops the replica immediately and drops its open connections.
func (replica *PlainReplica) Crash() {
	_ = replica.server.Close() // aborts open requests, as a crash does
}

// Leave changes the replica's registration to draining; it continues to serve.
func (replica *PlainReplica) Leave() {
	replica.mu.Lock()
	replica.leaving = true
	replica.mu.Unlock()
	replica.onChange()
}

// SetFaults replaces the replica's faults.
func (replica *PlainReplica) SetFaults(faults PlainFaults) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.faults = faults
}

// Registration returns the entry that the replica writes to the store.
func (replica *PlainReplica) Registration() map[string]any {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return map[string]any{
		"service": replica.spec.Service, "address": replica.spec.Advertised, "zone": replica.spec.Zone,
		"slots": replica.spec.Slots, "state": registrationState(replica.leaving), "born": replica.startedMillis,
	}
}

// PlainResponseBody returns the body of a plain replica's response to the request with
// that id.
func PlainResponseBody(id string) string {
	return "answer to " + id + strings.Repeat(".", 200)
}

func (replica *PlainReplica) serve(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the client disconnected
	}
	if refuseWrongReplica(writer, request, replica.spec.ID) {
		return
	}
	replica.mu.Lock()
	faults := replica.faults
	replica.mu.Unlock()
	arrival := newArrival(request)
	arrival.Ran = rand.Float64() >= faults.RefuseRate
	replica.spec.OnArrival(arrival)
	header := writer.Header()
	header.Set("Attempt-Id", arrival.ID)
	if !arrival.Ran {
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(replica.spec.WorkTime)
	header.Set("Server-Seal", "seal of "+replica.spec.ID)
	switch draw := rand.Float64(); {
	case draw < faults.FailRate:
		writer.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(writer, "failed")
	case draw < faults.FailRate+faults.LoseRate:
		panic(http.ErrAbortHandler)
	case draw < faults.FailRate+faults.LoseRate+faults.DuplicateRate:
		response := replica.rawResponse("HTTP/1.1 200 OK", arrival.ID, PlainResponseBody(arrival.ID))
		sendRaw(writer, response+response)
	case draw < faults.FailRate+faults.LoseRate+faults.DuplicateRate+faults.BreakRate:
		begin := []string{"HTTP/1.1 000 Broken", "HTTP/1.1 200 OK\r\nNo Field: x"}[rand.IntN(2)]
		sendRaw(writer, replica.rawResponse(begin, arrival.ID, "")+replica.rawResponse("HTTP/1.1 200 OK", arrival.ID, "broken"))
	default:
		fmt.Fprint(writer, PlainResponseBody(arrival.ID))
	}
}

// rawResponse returns the bytes of a response whose head begins with the given lines.
func (replica *PlainReplica) rawResponse(begin, id, body string) string {
	return fmt.Sprintf("%s\r\nServer-Seal: seal of %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", begin, replica.spec.ID, id, len(body), body)
}

// sendRaw sends the bytes in place of a response and closes the connection.
func sendRaw(writer http.ResponseWriter, text string) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text) // the client may have disconnected
}
