package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	requestHost = "h.example"
	requestKey  = "secret"
	// requestTime is the time limit of requests to the model.
	requestTime = 20 * time.Second
)

var lastID atomic.Int64

// newID returns the id of a requester attempt.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// answer is what a requester got.
type answer struct {
	status   int  // 0 without an answer
	sealed   bool // it has the Server-Seal of a replica
	body     string
	complete bool // the body ended as HTTP says
	err      error
}

func (answer answer) String() string {
	if answer.status == 0 {
		return fmt.Sprintf("no answer (%v)", answer.err)
	}
	return fmt.Sprintf("status %d, sealed %t, whole body %t, %d bytes, %d events", answer.status, answer.sealed, answer.complete, len(answer.body), answer.events())
}

// events returns the number of events of a stream.
func (answer answer) events() int {
	return strings.Count(answer.body, "data:")
}

// isServed reports whether the answer is a whole success of a replica.
func (answer answer) isServed() bool {
	return answer.status == http.StatusOK && answer.sealed && answer.complete
}

// openRequest sends a request without a body on a new channel.
func openRequest(address, path, id string, timeLeft time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(timeLeft)) // never fails on an open connection
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"+
		"Model: m\r\nToken-Count: 40,40\r\nPrompt-Prefix: %s:40\r\nContent-Length: 0\r\n\r\n",
		path, requestHost, id, timeLeft.Milliseconds(), requestKey, id)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// readAnswer reads the answer from the channel.
func readAnswer(conn net.Conn) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, sealed: response.Header.Get("Server-Seal") != "",
		body: string(body), complete: err == nil, err: err,
	}
}

// call sends a request on a new channel and reads the answer.
func call(address, path, id string, timeLeft time.Duration) answer {
	conn, err := openRequest(address, path, id, timeLeft)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return readAnswer(conn)
}

// awaitServed waits until a request to the model is served.
func (fleet *fleet) awaitServed(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if call(fleet.machines[0].frontend(), "/draft/first", newID(), requestTime).isServed() {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no request is served after %s", limit)
}
