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

// Arrival is a request as it reached a replica.
type Arrival struct {
	ID     string // of the caller's attempt
	Path   string
	Tenant string
	Key    string   // which must not get here
	Stages []string // of a pipeline, address=first-end each
	Ran    bool     // or else it was refused
	At     time.Time
}

func arrivalOf(request *http.Request) Arrival {
	arrival := Arrival{
		ID: request.Header.Get("Attempt-Id"), Path: request.URL.Path, Tenant: request.Header.Get("Tenant"),
		Key: request.Header.Get("Authorization"), At: time.Now(),
	}
	if stages := request.Header.Get("Hop-Count"); stages != "" {
		arrival.Stages = strings.Split(stages, ",")
	}
	return arrival
}

// refuseOther answers 421 if the request is for another replica.
func refuseOther(writer http.ResponseWriter, request *http.Request, id string) bool {
	if wanted := request.Header.Get("Expect-Instance"); wanted == "" || wanted == id {
		return false
	}
	writer.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func stateName(leaving bool) string {
	if leaving {
		return "draining"
	}
	return "ready"
}

// PlainReplicaSpec says what a plain replica is.
type PlainReplicaSpec struct {
	ID         string
	Service    string
	Zone       string
	Slots      int
	WorkTime   time.Duration
	Advertised string        // address that it registers, such as a proxy's; its own if empty
	Arrived    func(Arrival) // called for each request that reaches it, unless nil
}

// PlainFaults says which shares of its requests a plain replica spoils.
type PlainFaults struct {
	Fail   float64 // run, and answered 500
	Lose   float64 // run, and the connection is reset
	Shed   float64 // not run, and said so
	Double float64 // answered twice
}

// PlainReplica is the stand-in for a replica of a plain service by the platform's
// protocol.
type PlainReplica struct {
	spec     PlainReplicaSpec
	listener net.Listener
	server   *http.Server
	born     int64
	changed  func()

	mu      sync.Mutex
	leaving bool
	faults  PlainFaults
}

// StartPlainReplica serves a replica on loopback. Changed is called when what it
// registers changes.
func StartPlainReplica(spec PlainReplicaSpec, changed func()) (*PlainReplica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	replica := &PlainReplica{spec: spec, listener: listener, born: time.Now().UnixMilli(), changed: changed}
	if replica.spec.Advertised == "" {
		replica.spec.Advertised = listener.Addr().String()
	}
	if replica.spec.Arrived == nil {
		replica.spec.Arrived = func(Arrival) {}
	}
	replica.server = &http.Server{Handler: http.HandlerFunc(replica.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = replica.server.Serve(listener) }() // ends with Crash
	return replica, nil
}

// Socket returns where the replica listens.
func (replica *PlainReplica) Socket() string { return replica.listener.Addr().String() }

// Crash ends the replica at once.
func (replica *PlainReplica) Crash() {
	_ = replica.server.Close() // what it still did is lost, as is meant
}

// Leave makes the replica register that it is leaving; it goes on serving.
func (replica *PlainReplica) Leave() {
	replica.mu.Lock()
	replica.leaving = true
	replica.mu.Unlock()
	replica.changed()
}

// SetFaults makes the replica misbehave.
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
		"slots": replica.spec.Slots, "state": stateName(replica.leaving), "born": replica.born,
	}
}

// PlainAnswer is what a plain replica answers the request of that id with.
func PlainAnswer(id string) string {
	return "answer to " + id + strings.Repeat(".", 200)
}

func (replica *PlainReplica) serve(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the caller left
	}
	if refuseOther(writer, request, replica.spec.ID) {
		return
	}
	replica.mu.Lock()
	faults := replica.faults
	replica.mu.Unlock()
	arrival := arrivalOf(request)
	arrival.Ran = rand.Float64() >= faults.Shed
	replica.spec.Arrived(arrival)
	header := writer.Header()
	header.Set("Attempt-Id", arrival.ID)
	if !arrival.Ran {
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(replica.spec.WorkTime)
	header.Set("Server-Seal", "seal of "+replica.spec.ID)
	switch drawn := rand.Float64(); {
	case drawn < faults.Fail:
		writer.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(writer, "failed")
	case drawn < faults.Fail+faults.Lose:
		panic(http.ErrAbortHandler)
	case drawn < faults.Fail+faults.Lose+faults.Double:
		replica.answerTwice(writer, arrival.ID)
	default:
		fmt.Fprint(writer, PlainAnswer(arrival.ID))
	}
}

// answerTwice sends a second answer that nobody has asked for.
func (replica *PlainReplica) answerTwice(writer http.ResponseWriter, id string) {
	conn, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	body := PlainAnswer(id)
	for range 2 {
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nServer-Seal: seal of %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			replica.spec.ID, id, len(body), body)
	}
	_ = buffered.Flush() // the caller may have left
}
