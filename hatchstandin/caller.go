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

// directoryTimeout is the timeout of one request to a directory, the same as that
// of real callers.
const directoryTimeout = time.Second

// Caller is the stand-in for a caller that uses the platform's protocol: it asks
// a directory, which every daemon serves, for the daemons' addresses and reuses its
// connections.
type Caller struct {
	Host string // sent as the Host header and to directories as the name
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

// Resolve queries the directories in turn and returns the addresses of the first
// successful response and how long they may be cached.
func (caller *Caller) Resolve(ctx context.Context, directories []string) ([]string, time.Duration, error) {
	var failures error
	for _, directory := range directories {
		addresses, ttl, err := caller.queryDirectory(ctx, directory)
		if err == nil {
			return addresses, ttl, nil
		}
		failures = errors.CombineErrors(failures, err)
	}
	return nil, 0, failures
}

func (caller *Caller) queryDirectory(ctx context.Context, directory string) ([]string, time.Duration, error) {
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
	var listing struct {
		Addresses  []string `json:"addresses"`
		TTLSeconds float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(response.Body).Decode(&listing); err != nil {
		return nil, 0, err
	}
	if len(listing.Addresses) == 0 {
		return nil, 0, errors.Newf("directory %s returned no addresses (status %d)", directory, response.StatusCode)
	}
	return listing.Addresses, time.Duration(listing.TTLSeconds * float64(time.Second)), nil
}

// CallerRequest describes a request that a caller sends.
type CallerRequest struct {
	ID          string // of this attempt
	Method      string
	Path        string
	TimeLeft    time.Duration // until the deadline; also the timeout of the call
	TokenCounts string        // token counts of prompt and completion, separated by a comma; empty for a plain service
}

// CallerResponse is the result of a request: the response, if there was one, and
// the times.
type CallerResponse struct {
	Status         int // 0 if the connection ended without a response
	Body           string
	Complete       bool   // the body was received up to the end that its framing defines
	ID             string // Attempt-Id of the response, which names the request
	Sealed         bool   // the response has a Server-Seal header, the mark of a replica's response
	RetryAfter     string // value of the Retry-After header
	Sent           time.Time
	Ended          time.Time
	RequestWritten bool // the request was written completely
}

// Call sends a request to the address and reads the whole response.
func (caller *Caller) Call(ctx context.Context, address string, outgoing CallerRequest) (result CallerResponse) {
	ctx, cancel := context.WithTimeout(ctx, outgoing.TimeLeft)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
	result.Sent = time.Now()
	defer func() { result.Ended, result.RequestWritten = time.Now(), written.Load() }()
	request, err := http.NewRequestWithContext(ctx, outgoing.Method, "http://"+address+outgoing.Path, strings.NewReader("prompt"))
	if err != nil {
		return result
	}
	request.Host = caller.Host
	request.Header.Set("Attempt-Id", outgoing.ID)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(outgoing.TimeLeft.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+caller.Key)
	if outgoing.TokenCounts != "" {
		request.Header.Set("Token-Count", outgoing.TokenCounts)
	}
	response, err := caller.http.Do(request)
	if err != nil {
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result.Status, result.Body, result.Complete = response.StatusCode, string(body), err == nil
	result.ID, result.Sealed = response.Header.Get("Attempt-Id"), response.Header.Get("Server-Seal") != ""
	result.RetryAfter = response.Header.Get("Retry-After")
	return result
}
