package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// isReady asks the readiness address as the platform does.
func (daemon *daemon) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.readiness+"/-/readyz", nil)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// resolve asks the machines, in the given zone first, which addresses to use.
func (run *run) resolve(zone string) []string {
	for _, local := range []bool{true, false} {
		for _, daemon := range run.daemons {
			if (daemon.zone == zone) != local {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			request, _ := http.NewRequestWithContext(ctx, http.MethodGet,
				"http://"+daemon.directory+"/-/resolve?name="+callerHostName+"&region=suva&zone="+zone, nil)
			response, err := client.Do(request)
			var reply struct{ Addresses []string }
			if err == nil {
				err = json.NewDecoder(response.Body).Decode(&reply)
				response.Body.Close()
			}
			cancel()
			if err == nil && len(reply.Addresses) > 0 {
				return reply.Addresses
			}
		}
	}
	return nil
}

// attempt is one requester attempt and its outcome.
type attempt struct {
	id     string
	daemon string // address
	sent   time.Time
	ended  time.Time
	status int // 0 if the channel ended without a complete answer
	sealed bool
	whole  bool // the body is the replica's whole body
	note   string
}

// attempts holds the attempts of all requesters.
type attempts struct {
	mu   sync.Mutex
	list []*attempt
}

func (attempts *attempts) add(attempt *attempt) {
	attempts.mu.Lock()
	defer attempts.mu.Unlock()
	attempts.list = append(attempts.list, attempt)
}

// byID returns the attempts by their ids.
func (attempts *attempts) byID() map[string]*attempt {
	attempts.mu.Lock()
	defer attempts.mu.Unlock()
	byID := make(map[string]*attempt)
	for _, attempt := range attempts.list {
		byID[attempt.id] = attempt
	}
	return byID
}

// send sends one order or read to the daemon at the address, with the key of the tenant.
func (run *run) send(attempts *attempts, address, method, path, body string, limit time.Duration) *attempt {
	return run.sendWithKey(attempts, address, method, path, body, tenantKey, limit)
}

// sendWithKey is send with another key.
func (run *run) sendWithKey(attempts *attempts, address, method, path, body, key string, limit time.Duration) *attempt {
	attempt := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), daemon: address, sent: time.Now()}
	attempts.add(attempt)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = callerHostName
	request.Header.Set("Attempt-Id", attempt.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			attempt.status, attempt.sealed = response.StatusCode, response.Header.Get("Server-Seal") != ""
			attempt.whole = string(text) == answerTo(attempt.id, []byte(body))
		}
	}
	if err != nil {
		attempt.note = err.Error()
	}
	attempt.ended = time.Now()
	run.logf("requester: %s %s %s sent at %s to %s: %d in %d ms %s", method, path, attempt.id, run.at(attempt.sent), address,
		attempt.status, attempt.ended.Sub(attempt.sent).Milliseconds(), attempt.note)
	return attempt
}

// order places an order as a requester does: once more after a promise that it has not
// run, and never after anything else.
func (run *run) order(attempts *attempts, zone string) *attempt {
	var last *attempt
	for range 2 {
		addresses := run.resolve(zone)
		if len(addresses) == 0 {
			run.logf("requester: no address in %s", zone)
			return last
		}
		last = run.send(attempts, addresses[rand.IntN(len(addresses))], http.MethodPost, "/order/new", strings.Repeat("o", 600), 3*time.Second)
		if last.status != http.StatusServiceUnavailable && last.status != http.StatusTooManyRequests {
			return last
		}
		time.Sleep(300 * time.Millisecond)
	}
	return last
}

// read reads a run sheet as a requester does, once more after a failure.
func (run *run) read(attempts *attempts, zone string) {
	for range 2 {
		addresses := run.resolve(zone)
		if len(addresses) == 0 {
			run.logf("requester: no address in %s", zone)
			return
		}
		last := run.send(attempts, addresses[rand.IntN(len(addresses))], http.MethodGet, "/sheet/today", "", 3*time.Second)
		if last.status > 0 && last.status < http.StatusInternalServerError {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
