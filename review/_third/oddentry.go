package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// trafficTime is how long orders and reads are sent, and trafficPause the time between two.
const (
	trafficTime  = 12 * time.Second
	trafficPause = 100 * time.Millisecond
)

// startOtherProgram starts an HTTP server that is no replica: it knows none of the paths.
// It returns its address and a function that returns the requests that have reached it.
func startOtherProgram(run *run) (string, func() int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var mu sync.Mutex
	count := 0
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		mu.Lock()
		count++
		mu.Unlock()
		run.logf("other program: %s %s %s arrives", request.Method, request.URL.Path, request.Header.Get("Attempt-Id"))
		http.NotFound(writer, request)
	})}
	go func() { _ = server.Serve(listener) }()
	run.onClose(func() { _ = server.Close() })
	return listener.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}, nil
}

// oddEntry leaves one entry of another writer among those of the replicas, in which fields
// are missing. The rule DENIED is broken if more than 5 and one in 500 of the requests are
// ended with a 3xx or 4xx without a replica's seal.
func oddEntry(run *run) (broken bool, err error) {
	if err := startStore(run); err != nil {
		return false, err
	}
	operator := &operator{run: run, version: 4}
	if _, err := operator.apply(); err != nil {
		return false, err
	}
	if err := run.addDaemons(3); err != nil {
		return false, err
	}
	for i, zone := range zones {
		if _, err := startReplica(run, fmt.Sprintf("i-order%d", i+1), zone, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	address, reached, err := startOtherProgram(run)
	if err != nil {
		return false, err
	}
	if err := run.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)

	var sent attempts
	if run.trouble {
		run.store.put("servers", "inventory-1", map[string]any{
			"service": "orders-app", "address": address, "zone": zones[0], "state": "ready",
		})
	}
	var requests sync.WaitGroup
	for began, i := time.Now(), 0; time.Since(began) < trafficTime; i++ {
		zone := zones[i%len(zones)]
		if i%3 == 0 {
			requests.Go(func() { run.read(&sent, zone) })
		} else {
			requests.Go(func() { run.order(&sent, zone) })
		}
		time.Sleep(trafficPause)
	}
	requests.Wait()

	total, denied, served := 0, 0, 0
	for _, attempt := range sent.byID() {
		total++
		switch {
		case attempt.status == http.StatusOK && attempt.sealed && attempt.whole:
			served++
		case attempt.status >= 300 && attempt.status < 500 && !attempt.sealed && attempt.status != http.StatusRequestTimeout &&
			attempt.status != http.StatusMisdirectedRequest && attempt.status != http.StatusTooManyRequests:
			denied++
		}
	}
	run.logf("of %d requests: %d served, %d ended with a 3xx or 4xx that no replica gave; %d reached the other program", total, served, denied, reached())
	return float64(denied) > 5+float64(total)/500, nil
}
