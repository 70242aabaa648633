package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a replica which it was meant for.
type arrival struct {
	id      string
	replica *replica
	at      time.Time
	ran     bool
	done    bool // its work was finished
	cut     bool // the replica exited during the work
}

// replica is the stand-in for a replica of the plain service. It follows PROTOCOL.md and
// the letter on Server-Leaving.
type replica struct {
	run      *run
	id       string
	zone     string
	address  string
	born     int64
	workTime time.Duration
	server   *http.Server

	mu         sync.Mutex
	running    int
	leaving    bool
	leavingAck time.Time // when the store acknowledged that it is draining
	gone       bool
	arrivals   []*arrival
	stop       chan struct{}
}

const replicaSlots = 6

// startReplica starts a replica and registers it.
func startReplica(run *run, id, zone string, workTime time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	replica := &replica{
		run: run, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		workTime: workTime, stop: make(chan struct{}),
	}
	replica.server = &http.Server{Handler: replica}
	go func() { _ = replica.server.Serve(listener) }()
	run.onClose(replica.exit)
	run.logf("replica %s starts at %s", id, replica.address)
	replica.checkIn()
	go replica.checkInRegularly()
	return replica, nil
}

// checkIn writes the replica's entry to the store and reports whether that was
// acknowledged.
func (replica *replica) checkIn() bool {
	replica.mu.Lock()
	state, gone := "ready", replica.gone
	if replica.leaving {
		state = "draining"
	}
	replica.mu.Unlock()
	if gone {
		return false
	}
	return replica.run.store.put("servers", replica.id, map[string]any{
		"service": "orders-app", "address": replica.address, "zone": replica.zone, "version": "v1", "slots": replicaSlots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": replica.born,
	})
}

func (replica *replica) checkInRegularly() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-replica.stop:
			return
		case <-ticker.C:
			replica.checkIn()
		}
	}
}

// leave reports that the replica is draining, serves for drainTime and some more time
// after the store has acknowledged that, and then exits; its entry is removed.
func (replica *replica) leave(longer time.Duration) {
	replica.mu.Lock()
	replica.leaving = true
	replica.mu.Unlock()
	for !replica.checkIn() {
		time.Sleep(50 * time.Millisecond)
	}
	replica.mu.Lock()
	replica.leavingAck = time.Now()
	replica.mu.Unlock()
	replica.run.logf("replica %s: the store has acknowledged that it is draining", replica.id)
	time.AfterFunc(drainTime+longer, func() {
		replica.exit()
		replica.run.store.delete("servers", replica.id)
	})
}

// exit ends the replica; requests in progress are cut off.
func (replica *replica) exit() {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if replica.gone {
		return
	}
	replica.gone = true
	close(replica.stop)
	for _, arrival := range replica.arrivals {
		if arrival.ran && !arrival.done {
			arrival.cut = true
		}
	}
	_ = replica.server.Close()
	replica.run.logf("replica %s exits", replica.id)
}

func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Attempt-Id")
	replica.mu.Lock()
	leaving, running := replica.leaving, replica.running
	replica.mu.Unlock()
	header := writer.Header()
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	header.Set("Replica-Load", fmt.Sprintf("%d,0,%d", running, replicaSlots))
	header.Set("Replica-Id", replica.id)
	if wanted := request.Header.Get("Expect-Instance"); wanted != "" && wanted != replica.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/healthz" {
		if leaving {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id == "" {
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set("Attempt-Id", id)
	arrival := &arrival{id: id, replica: replica, at: time.Now()}
	replica.mu.Lock()
	replica.arrivals = append(replica.arrivals, arrival)
	if arrival.ran = replica.running < replicaSlots; arrival.ran {
		replica.running++
	}
	replica.mu.Unlock()
	replica.run.logf("replica %s: %s %s arrives, run %t", replica.id, request.URL.Path, id, arrival.ran)
	if !arrival.ran {
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(replica.workTime)
	replica.mu.Lock()
	replica.running--
	arrival.done = true
	replica.mu.Unlock()
	header.Set("Server-Seal", "seal."+replica.id+"."+id)
	_, _ = io.WriteString(writer, answerTo(id, body))
}

// answerTo returns the whole body of the answer to the request.
func answerTo(id string, body []byte) string {
	return fmt.Sprintf("answer to %s, %d bytes read.%s", id, len(body), strings.Repeat(".", 700))
}

// takeArrivals returns the arrivals so far.
func (replica *replica) takeArrivals() []arrival {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	var list []arrival
	for _, arrival := range replica.arrivals {
		list = append(list, *arrival)
	}
	return list
}
