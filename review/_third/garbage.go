package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a stream, and eventPause the pause between two.
	streamEvents = 40
	eventPause   = 25 * time.Millisecond
	// troubledFrom is the event after which a replica in trouble sends bytes that are no
	// answer.
	troubledFrom = 8
	// garbageBlock is the number of bytes that it sends at a time, and garbagePause the pause
	// between two blocks: 800 KB a second on each channel.
	garbageBlock = 8 << 10
	garbagePause = 10 * time.Millisecond
	// streamLimit is how long a requester waits for a stream.
	streamLimit = 6 * time.Second
	// streams is the number of streams, and streamGap the time between the starts of two.
	streams   = 30
	streamGap = 200 * time.Millisecond
)

// eventText returns the event of the stream with the number, from 1.
func eventText(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, request)
}

// streamReplica is the stand-in for a replica that answers with a stream of events. Its
// answers have no length and end with their channel.
type streamReplica struct {
	*replica
	troubled bool
}

// startStreamReplica starts a replica of streams and registers it.
func startStreamReplica(run *run, id, zone string, troubled bool) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	stand := &streamReplica{troubled: troubled, replica: &replica{
		run: run, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}}
	stand.server = &http.Server{Handler: stand}
	go func() { _ = stand.server.Serve(listener) }()
	run.onClose(stand.exit)
	run.logf("replica %s starts at %s, in trouble: %t", id, stand.address, troubled)
	stand.checkIn()
	go stand.checkInRegularly()
	return nil
}

func (stand *streamReplica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	id := request.Header.Get("Attempt-Id")
	if wanted := request.Header.Get("Expect-Instance"); wanted != "" && wanted != stand.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	stand.run.logf("replica %s: stream %s arrives, from event %d", stand.id, id, first)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s.%s\r\nReplica-Load: 1,0,6\r\nConnection: close\r\n\r\n",
		id, stand.id, id)
	for number := first; number <= streamEvents; number++ {
		if stand.troubled && number > troubledFrom {
			sent := sendGarbage(conn)
			stand.run.logf("replica %s: %d bytes that are no answer were sent in stream %s until its channel was closed", stand.id, sent, id)
			return
		}
		if _, err := io.WriteString(conn, eventText(id, number)); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// sendGarbage sends random bytes until the channel is closed, and returns their number.
func sendGarbage(conn net.Conn) int {
	block, sent := make([]byte, garbageBlock), 0
	for {
		for i := range block {
			block[i] = byte(rand.Uint32())
		}
		count, err := conn.Write(block)
		sent += count
		if err != nil {
			return sent
		}
		time.Sleep(garbagePause)
	}
}

// streamOutcome is what a requester got of a stream.
type streamOutcome struct {
	events  int // that were right and in order
	foreign int // bytes that belong to no event of the stream
	ended   bool
}

// requestStream requests a stream and compares what arrives with its events.
func (run *run) requestStream(address string) streamOutcome {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/chat/new", strings.NewReader(strings.Repeat("q", 700)))
	if err != nil {
		panic(err)
	}
	request.Host = callerHostName
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(streamLimit.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	var outcome streamOutcome
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		run.logf("requester: stream %s: %v", id, err)
		return outcome
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if response.StatusCode == http.StatusOK {
		for err == nil {
			wanted := eventText(id, outcome.events+1)
			var got []byte
			if outcome.events == streamEvents || outcome.foreign > 0 {
				var count int64
				count, err = io.Copy(io.Discard, reader)
				outcome.foreign += int(count)
				if err == nil {
					err = io.EOF
				}
				break
			}
			got, err = reader.Peek(len(wanted))
			if string(got) == wanted {
				_, _ = reader.Discard(len(wanted))
				outcome.events++
			} else if err == nil {
				outcome.foreign++
				_, _ = reader.Discard(1)
			}
		}
		outcome.ended = errors.Is(err, io.EOF)
	}
	run.logf("requester: stream %s sent at %s: status %d, %d of %d events, then %d bytes that are none, ended %t in %d ms",
		id, run.at(sent), response.StatusCode, outcome.events, streamEvents, outcome.foreign, outcome.ended, time.Since(sent).Milliseconds())
	return outcome
}

// garbageWithoutEnd has one of three replicas of a streaming service send bytes that are no
// answer, without end, in the middle of its streams. The rule MIXED is broken if a requester
// gets such bytes in its answer.
func garbageWithoutEnd(run *run) (broken bool, err error) {
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
		if err := startStreamReplica(run, fmt.Sprintf("i-chat%d", i+1), zone, run.trouble && i == 0); err != nil {
			return false, err
		}
	}
	if err := run.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	var mu sync.Mutex
	var all []streamOutcome
	var requests sync.WaitGroup
	for i := range streams {
		addresses := run.resolve(zones[i%len(zones)])
		if len(addresses) == 0 {
			return false, errors.New("no address")
		}
		address := addresses[rand.IntN(len(addresses))]
		requests.Go(func() {
			outcome := run.requestStream(address)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, outcome)
		})
		time.Sleep(streamGap)
	}
	requests.Wait()
	whole, foreign, bytes := 0, 0, 0
	for _, outcome := range all {
		if outcome.events == streamEvents && outcome.foreign == 0 && outcome.ended {
			whole++
		}
		if outcome.foreign > 0 {
			foreign++
			bytes += outcome.foreign
		}
	}
	run.logf("of %d streams: %d whole, %d with bytes that are no answer, %d such bytes", len(all), whole, foreign, bytes)
	return foreign > 0, nil
}
