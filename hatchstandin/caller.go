package hatchstandin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// directoryTimeout bounds a question to a directory; callers allow a second.
const directoryTimeout = time.Second

// Caller is the stand-in for a caller by the platform's protocol: it asks a
// directory where to connect, and keeps its connections.
type Caller struct {
	Host string // that the routes are for
	Site string
	Key  string
	http *http.Client
}

// NewCaller returns a caller without connections.
func NewCaller(host, site, key string) *Caller {
	return &Caller{Host: host, Site: site, Key: key, http: &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
	}}}
}

// Close ends the caller's idle connections.
func (caller *Caller) Close() { caller.http.CloseIdleConnections() }

// Resolve asks the directories in turn and returns the first answer and how long
// it may be kept.
func (caller *Caller) Resolve(ctx context.Context, directories []string) ([]string, time.Duration, error) {
	var failed error
	for _, directory := range directories {
		addresses, kept, err := caller.ask(ctx, directory)
		if err == nil {
			return addresses, kept, nil
		}
		failed = errors.CombineErrors(failed, err)
	}
	return nil, 0, failed
}

func (caller *Caller) ask(ctx context.Context, directory string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	query := url.Values{"name": {caller.Host}, "zone": {caller.Site}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/-/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := caller.http.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	if len(answer.Addresses) == 0 {
		return nil, 0, errors.Newf("directory %s: no addresses, status %d", directory, response.StatusCode)
	}
	return answer.Addresses, time.Duration(answer.TTLS * float64(time.Second)), nil
}

// CallerRequest is a request as a caller sends it.
type CallerRequest struct {
	ID       string // of this attempt
	Method   string
	Path     string
	TimeLeft time.Duration
	Tokens   string // of prompt and answer, separated by a comma; empty for a plain service
}

// CallerAnswer is what a caller got.
type CallerAnswer struct {
	Status   int // 0 if the connection ended without an answer
	Body     string
	Whole    bool   // the body ended as the answer's framing says
	ID       string // of the request that is answered
	Sealed   bool
	ComeBack string // when to come back, as the answer says
	Sent     time.Time
	Ended    time.Time
	Written  bool // the request was sent whole
}

// Call sends a request to the address and reads the answer to its end.
func (caller *Caller) Call(ctx context.Context, address string, sent CallerRequest) (answer CallerAnswer) {
	ctx, cancel := context.WithTimeout(ctx, sent.TimeLeft)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
	answer.Sent = time.Now()
	defer func() { answer.Ended, answer.Written = time.Now(), written.Load() }()
	request, err := http.NewRequestWithContext(ctx, sent.Method, "http://"+address+sent.Path, strings.NewReader("prompt"))
	if err != nil {
		return answer
	}
	request.Host = caller.Host
	request.Header.Set("Attempt-Id", sent.ID)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(sent.TimeLeft.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+caller.Key)
	if sent.Tokens != "" {
		request.Header.Set("Token-Count", sent.Tokens)
	}
	response, err := caller.http.Do(request)
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer.Status, answer.Body, answer.Whole = response.StatusCode, string(body), err == nil
	answer.ID, answer.Sealed = response.Header.Get("Attempt-Id"), response.Header.Get("Server-Seal") != ""
	answer.ComeBack = response.Header.Get("Retry-After")
	return answer
}
