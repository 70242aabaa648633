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

// caller behaves like the callers of the fleet: it asks an entry host for the
// addresses to use, keeps the answer for as long as it may, and goes to the
// next address when one does not answer.
type caller struct {
	seeds []string // addresses to ask for entries
	http  *http.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

const (
	dialTimeout   = 500 * time.Millisecond
	streamSilence = 2 * time.Second // without an event before a stream counts as lost
	maxReconnects = 20
)

func newCaller(seeds []string) *caller {
	return &caller{seeds: seeds, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     5 * time.Second,
	}}}
}

// entries returns the addresses to use, best first.
func (caller *caller) entries(ctx context.Context) ([]string, error) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	if time.Now().Before(caller.expires) {
		return caller.addresses, nil
	}
	var last error
	for _, address := range append(append([]string(nil), caller.addresses...), caller.seeds...) {
		entries, err := caller.askEntries(ctx, address)
		if err != nil {
			last = err
			continue
		}
		caller.addresses = entries.Addresses
		caller.expires = time.Now().Add(time.Duration(entries.KeepSeconds * float64(time.Second)))
		return caller.addresses, nil
	}
	return nil, errors.Wrap(last, "no host answers")
}

func (caller *caller) askEntries(ctx context.Context, address string) (hatchentry.Entries, error) {
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

// sent is one request as the caller sends it, and sends again.
type sent struct {
	method  string
	path    string
	token   string
	key     string
	body    []byte
	lastID  string
	timeout time.Time
}

func (caller *caller) send(ctx context.Context, address string, sent sent) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, sent.method, "http://"+address+sent.path, bytes.NewReader(sent.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // repeats are the caller's decision
	request.Header.Set("Authorization", "Bearer "+sent.token)
	request.Header.Set("Content-Type", "application/json")
	if sent.key != "" {
		request.Header.Set("Idempotency-Key", sent.key)
	}
	if sent.lastID != "" {
		request.Header.Set("Last-Event-ID", sent.lastID)
	}
	return caller.http.Do(request)
}

// problemBody is the part of a refusal that is tallied.
type problemBody struct {
	Kind string `json:"kind"`
	Ran  string `json:"ran"`
}

// answer is the end of a request.
type answer struct {
	status     int
	problem    problemBody
	text       string
	finish     string
	firstToken time.Duration
	gaps       []time.Duration // between tokens
	longest    time.Duration   // without a token, reconnecting included
	reconnects int
	repeated   bool
	err        error // the caller got no answer
}

// order posts to a plain service; a repeat with the same key is safe, so the
// caller repeats until it has an answer or its time is up.
func (caller *caller) order(ctx context.Context, token, service string, timeout time.Time) (answer, string) {
	key := uuid.Must(uuid.NewV7()).String()
	request := sent{
		method: http.MethodPost, path: "/v1/services/" + service, token: token, key: key,
		body: []byte(`{"lunches":12}`), timeout: timeout,
	}
	return caller.exchange(ctx, request), key
}

func (caller *caller) read(ctx context.Context, token, service string, timeout time.Time) answer {
	return caller.exchange(ctx, sent{method: http.MethodGet, path: "/v1/services/" + service, token: token, timeout: timeout})
}

func (caller *caller) exchange(ctx context.Context, request sent) answer {
	ctx, cancel := context.WithDeadline(ctx, request.timeout)
	defer cancel()
	var last answer
	for attempt := range maxReconnects {
		address, err := caller.address(ctx, attempt)
		if err != nil {
			return answer{err: err}
		}
		last = caller.exchangeOnce(ctx, address, request)
		last.reconnects = attempt
		if last.err == nil && last.problem.Kind != "leaving" {
			return last
		}
		if ctx.Err() != nil || !pause(ctx, attempt) {
			return last
		}
	}
	return last
}

// address returns the address for an attempt; after a failure it is another.
func (caller *caller) address(ctx context.Context, attempt int) (string, error) {
	addresses, err := caller.entries(ctx)
	if err != nil {
		return "", err
	}
	return addresses[attempt%len(addresses)], nil
}

// pause waits before an attempt is repeated, longer each time.
func pause(ctx context.Context, attempt int) bool {
	return wait(ctx, min(200*time.Millisecond, time.Duration(10<<attempt)*time.Millisecond))
}

func (caller *caller) exchangeOnce(ctx context.Context, address string, request sent) answer {
	response, err := caller.send(ctx, address, request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	end := answer{status: response.StatusCode, text: string(text), repeated: response.Header.Get("Idempotent-Replayed") != ""}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		end.err = json.Unmarshal(text, &end.problem)
	}
	return end
}

// chatBody is the body of a completion.
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

// complete streams a completion; when the connection breaks or goes silent it
// goes on at another host from the last event.
func (caller *caller) complete(ctx context.Context, token, model string, item Item, timeout time.Time) answer {
	body, err := json.Marshal(chatBody{
		Model: model, Stream: true, Seed: item.Seed, MaxTokens: item.MaxTokens,
		Messages: []chatMessage{{"user", item.Prompt}},
	})
	if err != nil {
		return answer{err: err}
	}
	ctx, cancel := context.WithDeadline(ctx, timeout)
	defer cancel()
	stream := &stream{begun: time.Now()}
	stream.last = stream.begun
	request := sent{method: http.MethodPost, path: "/v1/chat/completions", token: token, body: body}
	for attempt := range maxReconnects {
		address, err := caller.address(ctx, attempt)
		if err != nil {
			stream.end.err = err
			break
		}
		request.lastID = stream.lastID
		stream.end.reconnects = attempt
		if stream.follow(ctx, caller, address, request) {
			break
		}
		if ctx.Err() != nil || !pause(ctx, attempt) {
			break
		}
	}
	return stream.end
}

// stream is a streamed answer as far as it has come.
type stream struct {
	begun  time.Time
	last   time.Time // of the last token
	lastID string
	tokens int
	end    answer
}

// follow reads one connection's part of the stream and says whether the answer
// is at its end.
func (stream *stream) follow(ctx context.Context, caller *caller, address string, request sent) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(streamSilence, cancel)
	defer watchdog.Stop()
	response, err := caller.send(ctx, address, request)
	if err != nil {
		stream.end.err = err
		return false
	}
	defer response.Body.Close()
	stream.end.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		stream.end.err = json.NewDecoder(response.Body).Decode(&stream.end.problem)
		return stream.end.problem.Kind != "leaving"
	}
	stream.end.err = nil
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	failed := false
	for scanner.Scan() {
		watchdog.Reset(streamSilence)
		line := scanner.Text()
		switch {
		case line == "event: error":
			failed = true
		case strings.HasPrefix(line, "id: "):
			stream.lastID = line[len("id: "):]
		case line == "data: [DONE]":
			return true
		case strings.HasPrefix(line, "data: ") && failed:
			stream.end.err = json.Unmarshal([]byte(line[len("data: "):]), &stream.end.problem)
			return true
		case strings.HasPrefix(line, "data: "):
			stream.part([]byte(line[len("data: "):]))
		}
	}
	stream.end.err = errors.New("the stream broke off")
	return false
}

// chunk is one part of a streamed answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (stream *stream) part(data []byte) {
	var chunk chunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
		stream.end.err = errors.New("an event cannot be read")
		return
	}
	choice := chunk.Choices[0]
	stream.end.finish = choice.FinishReason
	if choice.Delta.Content == "" {
		return
	}
	now := time.Now()
	elapsed := now.Sub(stream.last)
	stream.last = now
	stream.end.text += choice.Delta.Content
	stream.end.longest = max(stream.end.longest, elapsed)
	if stream.tokens++; stream.tokens == 1 {
		stream.end.firstToken = elapsed
		return
	}
	stream.end.gaps = append(stream.end.gaps, elapsed)
}
