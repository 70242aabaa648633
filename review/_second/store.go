package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"dragonflyhatch/hatchstandin"
)

// heartbeatInterval is the interval in which replicas write to the store, heartbeat_ms.
const heartbeatInterval = 1200 * time.Millisecond

// store is the project's stand-in for the platform's store, with a handler before it that
// can lose the answers of writes: they are done, and their channel returns nothing further.
type store struct {
	run      *run
	platform *hatchstandin.Platform
	handler  http.Handler
	address  string

	mu     sync.Mutex
	loses  func(path string) bool // nil while no answers are lost
	writes int                    // while answers are lost
	lost   int                    // of them
}

func startStore(run *run) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	platform := hatchstandin.NewPlatform()
	store := &store{run: run, platform: platform, handler: platform.Handler(), address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, store) }() // until the case ends
	return store, nil
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet {
		store.handler.ServeHTTP(writer, request)
		return
	}
	result := httptest.NewRecorder()
	store.handler.ServeHTTP(result, request)
	isHeartbeat := strings.HasPrefix(request.URL.Path, "/-/objects/servers")
	if store.losesAnswer(request.URL.Path) {
		store.run.record.printf("store: %s %s done with status %d, answer lost", request.Method, request.URL.Path, result.Code)
		<-request.Context().Done()
		return
	}
	if !isHeartbeat {
		store.run.record.printf("store: %s %s answered with status %d", request.Method, request.URL.Path, result.Code)
	}
	for name, values := range result.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(result.Code)
	_, _ = writer.Write(result.Body.Bytes()) // the client may have disconnected
}

func (store *store) losesAnswer(path string) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.loses == nil {
		return false
	}
	store.writes++
	if !store.loses(path) {
		return false
	}
	store.lost++
	return true
}

// loseAnswers loses the answers of the writes for which loses returns true, for the time.
func (store *store) loseAnswers(length time.Duration, loses func(path string) bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.loses = loses
	time.AfterFunc(length, func() {
		store.mu.Lock()
		defer store.mu.Unlock()
		store.loses = nil
		store.run.record.printf("store: %d of %d writes lost their answers", store.lost, store.writes)
	})
}

// write writes an object as the operator and the replicas do, and repeats a write that has
// no answer.
func (store *store) write(kind, name string, spec any) error {
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return err
	}
	list := "http://" + store.address + "/-/objects/" + kind
	for range 4 {
		var status int
		if status, err = send(http.MethodPut, list+"/"+name, body); err == nil && status == http.StatusNotFound {
			status, err = send(http.MethodPost, list, body)
		}
		if err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("write of %s/%s: %w", kind, name, err)
}

func send(method, url string, body []byte) (status int, err error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// register keeps a replica registered until stop is called. The entry of a replica that has
// stopped is removed after three intervals. changed writes the registration at once.
func (store *store) register(id string, registration func() map[string]any) (changed, stop func()) {
	changes, stopped := make(chan struct{}, 1), make(chan struct{})
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				time.Sleep(3 * heartbeatInterval)
				store.platform.Remove("servers", id)
				return
			case <-ticker.C:
			case <-changes:
			}
			_ = store.write("servers", id, registration()) // the next interval repeats it
		}
	}()
	changed = func() {
		select {
		case changes <- struct{}{}:
		default: // a write is due
		}
	}
	changed()
	return changed, sync.OnceFunc(func() { close(stopped) })
}
