package hatchupstream_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchupstream"
	"dragonflyhatch/platform"
)

// startCopyingServer starts a server that answers the n-th request with the text of
// n. On a connection that is used again it first sends a second copy of the response
// before, as soon as the next request is under way. It keeps connections open.
func startCopyingServer(t *testing.T, text func(number int) string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	numbers := make(chan int, 100)
	for number := range 100 {
		numbers <- number
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader, previous := bufio.NewReader(conn), ""
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					body := text(<-numbers)
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					if _, err := conn.Write([]byte(previous + response)); err != nil {
						return
					}
					previous = response
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestSecondCopiesReachNoOtherCaller makes calls one after the other to servers that
// send a second copy of each response on a connection that is used again.
func TestSecondCopiesReachNoOtherCaller(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	address := startCopyingServer(t, func(number int) string { return fmt.Sprint("answer ", number) })
	service := hatchupstream.NewService()
	for number := range 5 {
		reply, err := service.Call(ctx, address, dragonflyhatch.ServiceRequest{Method: http.MethodGet, Path: "/read"})
		if want := fmt.Sprint("answer ", number); err != nil || string(reply.Body) != want {
			t.Errorf("read %d of a service: %q, %v", number, reply.Body, err)
		}
	}
	address = startCopyingServer(t, func(number int) string { return fmt.Sprintf(`{"model":"m","version":"v%d"}`, number) })
	engine := hatchupstream.NewEngine()
	for number := range 5 {
		held, err := engine.ModelLayers(ctx, address)
		if want := fmt.Sprint("v", number); err != nil || held.Version != want {
			t.Errorf("state %d of an engine: %q, %v", number, held.Version, err)
		}
	}
	address = startCopyingServer(t, func(number int) string {
		return fmt.Sprintf(`{"metadata":{"name":"placement","revision":%d},"spec":{}}`, number+1)
	})
	store := platform.NewStore(address)
	for number := range 5 {
		version, err := store.Update(ctx, "leases/placement", uint64(number), []byte(`{}`))
		if err != nil || version != uint64(number)+1 {
			t.Errorf("write %d to the store: version %d, %v", number, version, err)
		}
	}
}
