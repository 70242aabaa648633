package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	leaverPause  = 400 * time.Millisecond // between two requests of a kind
	leaverLength = 30 * time.Second
	leaveAfter   = 150 * time.Millisecond // from the request to the requester's leaving
	leaverEvery  = 4                      // one requester in so many leaves
	readTime     = 5 * time.Second
)

// leavers plays requesters, some of which leave before their time limit: each closes its
// sending side, reads what still comes, and closes the channel.
func leavers(record *record, trouble bool) (bool, error) {
	store, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"walu-bay", "toorak"}
	fleet, err := newFleet(record, zones, 2, func(string) (string, error) { return storeAddress, nil })
	if err != nil {
		return false, err
	}
	defer fleet.remove()
	defer fleet.stop()
	stopOnSignal(fleet)
	set := newEngineSet()
	for i, zone := range zones {
		engine := &replica{
			id: fmt.Sprintf("i-engine-%d", i+1), service: chatService, zone: zone, slots: 192, accelerator: "l4", store: store, record: record,
			peers: set, interval: chatInterval, events: chatEvents, loadTime: time.Second, layers: modelLayers,
		}
		desk := &replica{id: "i-desk-" + zone, service: orderService, zone: zone, slots: 6, store: store, record: record, work: 400 * time.Millisecond}
		for _, each := range []*replica{engine, desk} {
			if err := each.start(); err != nil {
				return false, err
			}
		}
	}
	if err := fleet.start(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the engines load their layers

	var mu sync.Mutex
	asked, left, whole := 0, 0, 0
	broken := map[string]int{}
	started := time.Now()
	var group sync.WaitGroup
	for i, zone := range zones {
		for _, path := range []string{"/order/new", "/chat/new"} {
			group.Go(func() {
				requester := newRequester(fleet, zone)
				for n := 0; time.Since(started) < leaverLength; n++ {
					leaves := trouble && (n+i)%leaverEvery == 0
					group.Go(func() {
						result := requester.raw(path, leaves)
						mu.Lock()
						defer mu.Unlock()
						asked++
						if leaves {
							left++
						}
						switch {
						case result.broken != "":
							broken[result.broken]++
						case result.whole:
							whole++
						}
					})
					time.Sleep(leaverPause)
				}
			})
		}
	}
	group.Wait()
	record.verdict("%d requests, of which %d were left before their time limit; %d whole answers", asked, left, whole)
	total := 0
	for what, count := range broken {
		record.verdict("MIXED: %d times %s", count, what)
		total += count
	}
	if total == 0 && !trouble && whole != asked {
		return false, fmt.Errorf("%d of %d requests were served without the disruption", whole, asked)
	}
	return total == 0, nil
}

// rawResult is what a requester read on its socket.
type rawResult struct {
	whole  bool
	broken string // how the answer breaks MIXED, or empty
}

// raw sends a request on a new channel and reads all bytes that come. If leaves is set,
// the requester leaves: it closes its sending side and reads what still comes.
func (requester *requester) raw(path string, leaves bool) rawResult {
	id := newID()
	front, err := requester.resolve()
	if err != nil {
		return rawResult{}
	}
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return rawResult{}
	}
	defer conn.Close()
	body := strings.Repeat("x", 600)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nModel: m0\r\nToken-Count: 800,160\r\n"+
		"Content-Length: %d\r\n\r\n%s", path, callerHost, id, callerKey, len(body), body)
	requester.record.printf("request %s POST %s sent to %s", id, path, front)
	if leaves {
		time.Sleep(leaveAfter)
		_ = conn.(*net.TCPConn).CloseWrite()
		requester.record.printf("the requester of %s leaves: it closes its sending side", id)
	}
	text := readAnswer(conn, leaves)
	head, rest, _ := strings.Cut(text, "\r\n\r\n")
	statusLine, _, _ := strings.Cut(head, "\r\n")
	sealed := strings.Contains(head, "\r\nServer-Seal: ")
	chunked := strings.Contains(head, "\r\nTransfer-Encoding: chunked")
	ended := chunked && strings.HasSuffix(rest, "0\r\n\r\n")
	lastEvent := fmt.Sprintf("id: %d\n", chatEvents)
	requester.record.printf("request %s: read %q with %d bytes of body, seal %v, ended %v", id, statusLine, len(rest), sealed, ended || !chunked)
	success := strings.HasPrefix(statusLine, "HTTP/1.1 2")
	result := rawResult{whole: success && (rest == plainBody(id) || ended && strings.Contains(rest, lastEvent))}
	switch {
	case success && !sealed:
		result.broken = "a success without the replica's Server-Seal: " + statusLine
	case success && ended && !strings.Contains(rest, lastEvent):
		result.broken = "a stream that ends as complete before its last piece"
	}
	return result
}

// readAnswer reads until the answer is complete, the channel ends or readTime has passed.
func readAnswer(conn net.Conn, toEnd bool) string {
	_ = conn.SetReadDeadline(time.Now().Add(readTime))
	var text strings.Builder
	buffer := make([]byte, 16<<10)
	for {
		count, err := conn.Read(buffer)
		text.Write(buffer[:count])
		if err != nil {
			return text.String()
		}
		if head, rest, ok := strings.Cut(text.String(), "\r\n\r\n"); ok && !toEnd {
			if strings.HasSuffix(rest, "0\r\n\r\n") {
				return text.String()
			}
			var length int
			if _, after, found := strings.Cut(head, "Content-Length: "); found {
				if _, err := fmt.Sscanf(after, "%d", &length); err == nil && len(rest) >= length {
					return text.String()
				}
			}
		}
	}
}
