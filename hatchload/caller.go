package hatchload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dragonflyhatch/hatchentry"
)

// caller behaves as a client of the fleet should: it asks an entry host for the
// addresses to use, caches the response until it expires, and tries the next
// address when one does not respond.
type caller struct {
	entryHosts []string // asked for addresses if none of the cached addresses responds
	http       *http.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

const (
	dialTimeout    = 500 * time.Millisecond
	silenceTimeout = 2 * time.Second // a stream without an event for this long is reconnected
	maxAttempts    = 20              // connection attempts for one request
)

func newCaller(entryHosts []string) *caller {
	return &caller{entryHosts: entryHosts, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     5 * time.Second,
	}}}
}

// entries returns the addresses to use, most preferred first. It asks the
// entry hosts again once the cached addresses have expired.
func (caller *caller) entries(ctx context.Context) ([]string, error) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	if time.Now().Before(caller.expires) {
		return caller.addresses, nil
	}
	var lastErr error
	for _, address := range append(append([]string(nil), caller.addresses...), caller.entryHosts...) {
		entries, err := caller.fetchEntries(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		caller.addresses = entries.Addresses
		caller.expires = time.Now().Add(time.Duration(entries.KeepSeconds * float64(time.Second)))
		return caller.addresses, nil
	}
	return nil, errors.Wrap(lastErr, "no entry host returned addresses")
}

func (caller *caller) fetchEntries(ctx context.Context, address string) (hatchentry.Entries, error) {
	var entries hatchentry.Entries
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return entries, err
	}
	response, err := caller.http.Do(request)
	if err != nil {
		return entries, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return entries, errors.Newf("%s: status %d", address, response.StatusCode)
	}
	return entries, json.NewDecoder(response.Body).Decode(&entries)
}

// outgoingRequest is a request as each of its attempts sends it.
type outgoingRequest struct {
	method         string
	path           string
	token          string
	idempotencyKey string
	body           []byte
	lastEventID    string
	deadline       time.Time
}

func (caller *caller) send(ctx context.Context, address string, outgoing outgoingRequest) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, outgoing.method, "http://"+address+outgoing.path, bytes.NewReader(outgoing.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // the transport must not retry; only the caller does
	request.Header.Set("Authorization", "Bearer "+outgoing.token)
	request.Header.Set("Content-Type", "application/json")
	if outgoing.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", outgoing.idempotencyKey)
	}
	if outgoing.lastEventID != "" {
		request.Header.Set("Last-Event-ID", outgoing.lastEventID)
	}
	return caller.http.Do(request)
}

// problemBody holds the fields of a refusal that the report counts.
type problemBody struct {
	Kind string `json:"kind"`
	Ran  string `json:"ran"`
}

// callResult is the result of a request after all its attempts.
type callResult struct {
	status       int
	problem      problemBody
	text         string
	finish       string
	firstToken   time.Duration
	tokenGaps    []time.Duration // times between consecutive tokens
	longestStall time.Duration   // longest time without a token, including the first token and reconnects
	reconnects   int
	replayed     bool
	err          error // no complete, readable response
}

// postOrder posts an order to a plain service and returns the result and the
// idempotency key. Repeating with the same key is safe, so the caller retries
// until it receives a response, the deadline passes or its attempts run out.
func (caller *caller) postOrder(ctx context.Context, token, service string, deadline time.Time) (callResult, string) {
	idempotencyKey := uuid.Must(uuid.NewV7()).String()
	request := outgoingRequest{
		method: http.MethodPost, path: "/v1/services/" + service, token: token, idempotencyKey: idempotencyKey,
		body: []byte(`{"lunches":12}`), deadline: deadline,
	}
	return caller.sendUntilResponse(ctx, request), idempotencyKey
}

func (caller *caller) getRepeatable(ctx context.Context, token, service string, deadline time.Time) callResult {
	return caller.sendUntilResponse(ctx, outgoingRequest{method: http.MethodGet, path: "/v1/services/" + service, token: token, deadline: deadline})
}

func (caller *caller) sendUntilResponse(ctx context.Context, request outgoingRequest) callResult {
	ctx, cancel := context.WithDeadline(ctx, request.deadline)
	defer cancel()
	var last callResult
	for attempt := range maxAttempts {
		address, err := caller.address(ctx, attempt)
		if err != nil {
			return callResult{err: err}
		}
		last = caller.sendOnce(ctx, address, request)
		last.reconnects = attempt
		if last.err == nil && last.problem.Kind != "leaving" {
			return last
		}
		if ctx.Err() != nil || !waitBackoff(ctx, attempt) {
			return last
		}
	}
	return last
}

// address returns the address for an attempt; consecutive attempts use
// consecutive addresses.
func (caller *caller) address(ctx context.Context, attempt int) (string, error) {
	addresses, err := caller.entries(ctx)
	if err != nil {
		return "", err
	}
	return addresses[attempt%len(addresses)], nil
}

// waitBackoff waits before the next attempt: 10 ms after the first one, doubled
// each time up to 200 ms. It returns false once ctx is done.
func waitBackoff(ctx context.Context, attempt int) bool {
	return wait(ctx, min(200*time.Millisecond, time.Duration(10<<attempt)*time.Millisecond))
}

func (caller *caller) sendOnce(ctx context.Context, address string, request outgoingRequest) callResult {
	response, err := caller.send(ctx, address, request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{err: err}
	}
	result := callResult{status: response.StatusCode, text: string(text), replayed: response.Header.Get("Idempotent-Replayed") != ""}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		result.err = json.Unmarshal(text, &result.problem)
	}
	return result
}

// chatBody is the request body of a completion.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	Seed      uint64        `json:"seed"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// complete streams a completion. When the connection breaks or is silent for too
// long, it resumes at another host after the last received event.
func (caller *caller) complete(ctx context.Context, token, model string, item Item, deadline time.Time) callResult {
	body, err := json.Marshal(chatBody{
		Model: model, Stream: true, Seed: item.Seed, MaxTokens: item.MaxTokens,
		Messages: []chatMessage{{"user", item.Prompt}},
	})
	if err != nil {
		return callResult{err: err}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	stream := &stream{started: time.Now()}
	stream.lastToken = stream.started
	request := outgoingRequest{method: http.MethodPost, path: "/v1/chat/completions", token: token, body: body}
	for attempt := range maxAttempts {
		address, err := caller.address(ctx, attempt)
		if err != nil {
			stream.result.err = err
			break
		}
		request.lastEventID = stream.lastEventID
		stream.result.reconnects = attempt
		if stream.readConnection(ctx, caller, address, request) {
			break
		}
		if ctx.Err() != nil || !waitBackoff(ctx, attempt) {
			break
		}
	}
	return stream.result
}

// stream holds the received part of a streamed completion.
type stream struct {
	started     time.Time
	lastToken   time.Time // when the last token arrived; at first, when the stream started
	lastEventID string
	tokens      int
	result      callResult
}

// readConnection reads one connection's part of the stream and reports whether
// the request has ended, so that no reconnect follows.
func (stream *stream) readConnection(ctx context.Context, caller *caller, address string, request outgoingRequest) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	response, err := caller.send(ctx, address, request)
	if err != nil {
		stream.result.err = err
		return false
	}
	defer response.Body.Close()
	stream.result.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		stream.result.err = json.NewDecoder(response.Body).Decode(&stream.result.problem)
		return stream.result.problem.Kind != "leaving"
	}
	stream.result.err = nil
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	failed := false
	for scanner.Scan() {
		watchdog.Reset(silenceTimeout)
		line := scanner.Text()
		switch {
		case line == "event: error":
			failed = true
		case strings.HasPrefix(line, "id: "):
			stream.lastEventID = line[len("id: "):]
		case line == "data: [DONE]":
			return true
		case strings.HasPrefix(line, "data: ") && failed:
			stream.result.err = json.Unmarshal([]byte(line[len("data: "):]), &stream.result.problem)
			return true
		case strings.HasPrefix(line, "data: "):
			stream.addChunk([]byte(line[len("data: "):]))
		}
	}
	stream.result.err = errors.New("stream ended before the completion was finished")
	return false
}

// chunk is the data of one event of a streamed completion.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (stream *stream) addChunk(data []byte) {
	var chunk chunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
		stream.result.err = errors.New("malformed completion chunk in the event stream")
		return
	}
	choice := chunk.Choices[0]
	stream.result.finish = choice.FinishReason
	if choice.Delta.Content == "" {
		return
	}
	now := time.Now()
	elapsed := now.Sub(stream.lastToken)
	stream.lastToken = now
	stream.result.text += choice.Delta.Content
	stream.result.longestStall = max(stream.result.longestStall, elapsed)
	if stream.tokens++; stream.tokens == 1 {
		stream.result.firstToken = elapsed
		return
	}
	stream.result.tokenGaps = append(stream.result.tokenGaps, elapsed)
}
