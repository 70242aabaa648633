package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	callerHost = "orders.example"
	callerKey  = "key-of-the-office"
)

// requester is a stand-in for a requester. It asks a machine of its zone where to
// connect, and retries once after a refusal.
type requester struct {
	fleet  *fleet
	zone   string
	record *record
	client *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

func newRequester(fleet *fleet, zone string) *requester {
	return &requester{fleet: fleet, zone: zone, record: fleet.record, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 4 * time.Second,
	}}}
}

// resolve returns the address of a machine to connect to.
func (requester *requester) resolve() (string, error) {
	requester.mu.Lock()
	defer requester.mu.Unlock()
	if time.Now().After(requester.until) {
		for _, host := range requester.fleet.hosts {
			if host.zone != requester.zone {
				continue
			}
			client := http.Client{Timeout: time.Second}
			response, err := client.Get("http://" + host.registry + "/-/resolve?" + url.Values{"name": {callerHost}, "region": {"suva"}, "zone": {requester.zone}}.Encode())
			if err != nil {
				continue
			}
			var found struct {
				Addresses []string `json:"addresses"`
				TTL       float64  `json:"ttl_s"`
			}
			err = json.NewDecoder(response.Body).Decode(&found)
			response.Body.Close()
			if err == nil && len(found.Addresses) > 0 {
				requester.addresses, requester.until = found.Addresses, time.Now().Add(time.Duration(found.TTL*float64(time.Second)))
				break
			}
		}
	}
	if len(requester.addresses) == 0 {
		return "", fmt.Errorf("no machine to connect to")
	}
	return requester.addresses[rand.IntN(len(requester.addresses))], nil
}

// outcome is how a request ended.
type outcome struct {
	id     string
	front  string
	status int // 0 for a closed channel
	detail string
	served bool
}

// newID returns the id of a requester attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// attempt sends one request and reads its answer.
func (requester *requester) attempt(method, path string, limit time.Duration, header map[string]string, whole func(id, body string) bool) (outcome, time.Duration) {
	id := newID()
	front, err := requester.resolve()
	if err != nil {
		return outcome{id: id, detail: err.Error()}, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", 600))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, body)
	if err != nil {
		return outcome{id: id, front: front, detail: err.Error()}, 0
	}
	request.Host = callerHost
	request.GetBody = nil // a request is sent once
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+callerKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	requester.record.printf("request %s %s %s sent to %s", id, method, path, front)
	response, err := requester.client.Do(request)
	if err != nil {
		requester.record.printf("request %s ends without an answer: %v", id, err)
		return outcome{id: id, front: front, detail: err.Error()}, 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	result := outcome{id: id, front: front, status: response.StatusCode}
	switch {
	case err != nil:
		result.detail = "cut: " + err.Error()
	case response.StatusCode != http.StatusOK:
		result.detail = strings.TrimSpace(string(text))
	case response.Header.Get("Server-Seal") == "":
		result.detail = "no seal"
	case !whole(id, string(text)):
		result.detail = "not the whole answer"
	default:
		result.served = true
	}
	requester.record.printf("request %s is answered %d %s", id, result.status, result.detail)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return result, time.Duration(seconds * float64(time.Second))
}

// send sends a request, and once more after a refusal.
func (requester *requester) send(method, path string, limit time.Duration, header map[string]string, whole func(id, body string) bool) outcome {
	end := time.Now().Add(limit)
	result, after := requester.attempt(method, path, limit, header, whole)
	if result.served || result.status != http.StatusServiceUnavailable && result.status != http.StatusTooManyRequests {
		return result
	}
	left := time.Until(end)
	after = min(after, left/3)
	time.Sleep(after)
	again, _ := requester.attempt(method, path, left-after, header, whole)
	return again
}

// order sends a plain request.
func (requester *requester) order() outcome {
	return requester.send(http.MethodPost, "/order/new", 3*time.Second, nil, func(id, body string) bool { return body == plainBody(id) })
}

// menu sends a plain request that may be repeated.
func (requester *requester) menu() outcome {
	return requester.send(http.MethodGet, "/menu/today", 3*time.Second, nil, func(id, body string) bool { return body == plainBody(id) })
}

// chat sends a request for a stream of the given number of events.
func (requester *requester) chat(events int) outcome {
	header := map[string]string{"Model": "m0", "Token-Count": "800,160", "Prompt-Prefix": fmt.Sprintf("%08x:40,%08x:760", rand.IntN(1<<20), rand.Uint32())}
	return requester.send(http.MethodPost, "/chat/new", 20*time.Second, header, func(id, body string) bool {
		text := ""
		for event := 1; event <= events; event++ {
			text += fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", event, event, id)
		}
		return body == text
	})
}
