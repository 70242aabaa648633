package hatchgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/platform"
)

// TestDrainEndsWithLastRequest guards against a graceful stop that is reported as failed
// although the last request was answered in time.
func TestDrainEndsWithLastRequest(t *testing.T) {
	convey.Convey("Given a server with requests in progress and connections that are not used", t, func() {
		gateway := New(&platform.Settings{Host: "h"}, WithLogger(slog.New(slog.DiscardHandler)))
		release := make(chan struct{})
		handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(writer, "done")
		})
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		address := probe.Addr().String()
		probe.Close()
		server, err := gateway.startServer("callers", address, &http.Server{Handler: handler})
		convey.So(err, convey.ShouldBeNil)
		unused, err := net.Dial("tcp", address)
		convey.So(err, convey.ShouldBeNil)
		defer unused.Close()
		bodies := make(chan string, 3)
		for range cap(bodies) {
			go func() {
				response, err := http.Get("http://" + address)
				if err != nil {
					bodies <- err.Error()
					return
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				if err != nil {
					bodies <- err.Error()
					return
				}
				bodies <- string(body)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		for _, wait := range []time.Duration{300 * time.Millisecond, 650 * time.Millisecond, 800 * time.Millisecond} {
			convey.Convey("It ends soon after the last response, after "+wait.String(), func() {
				started := time.Now()
				time.AfterFunc(wait, func() { close(release) })
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				convey.So(server.drain(ctx), convey.ShouldBeNil)
				convey.So(time.Since(started), convey.ShouldBeBetween, wait, wait+300*time.Millisecond)
				for range cap(bodies) {
					convey.So(<-bodies, convey.ShouldEqual, "done")
				}
			})
		}
		convey.Convey("It fails if a request is still in progress at the deadline", func() {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			convey.So(server.drain(ctx), convey.ShouldNotBeNil)
			close(release)
		})
	})
}

// crossingListener accepts connections that call read after each read with data.
type crossingListener struct {
	net.Listener
	read func(conn *crossingConn)
}

func (listener *crossingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossingConn{Conn: conn, listener: listener, closed: make(chan struct{})}, nil
}

type crossingConn struct {
	net.Conn
	listener  *crossingListener
	closeOnce sync.Once
	closed    chan struct{}
}

func (conn *crossingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.listener.read(conn)
	}
	return count, err
}

func (conn *crossingConn) Close() error {
	err := conn.Conn.Close()
	conn.closeOnce.Do(func() { close(conn.closed) })
	return err
}

// TestCrossingRequests guards against requests that are passed on to a replica although
// the drain has closed their connection, so that they end without a response (LOST).
func TestCrossingRequests(t *testing.T) {
	for _, kept := range []bool{true, false} {
		convey.Convey(fmt.Sprintf("A request that is read while the drain closes its connection is not served (kept: %v)", kept), t, func() {
			var handled atomic.Int32
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			listener := &crossingListener{Listener: inner}
			server := newServer("callers", &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })}, listener)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var crossing atomic.Bool
			drained := make(chan error, 1)
			listener.read = func(conn *crossingConn) {
				if crossing.CompareAndSwap(true, false) {
					go func() { drained <- server.drain(ctx) }()
					<-conn.closed
				}
			}
			go server.Serve(listener)
			conn, err := net.Dial("tcp", inner.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			defer conn.Close()
			reader, served := bufio.NewReader(conn), int32(0)
			if kept {
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
				convey.So(err, convey.ShouldBeNil)
				response, err := http.ReadResponse(reader, nil)
				convey.So(err, convey.ShouldBeNil)
				convey.So(response.Body.Close(), convey.ShouldBeNil)
				served = 1
				time.Sleep(50 * time.Millisecond) // until the connection is idle
			}
			crossing.Store(true)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
			convey.So(err, convey.ShouldBeNil)
			convey.So(<-drained, convey.ShouldBeNil)
			_, err = reader.ReadByte()
			convey.So(err, convey.ShouldNotBeNil)
			time.Sleep(50 * time.Millisecond) // until the handler has run, if it does
			convey.So(handled.Load(), convey.ShouldEqual, served)
		})
	}
}

// TestRequestsDuringDrain guards against requests that reach a stopping daemon on an open
// connection, and whose connection is closed without a response.
func TestRequestsDuringDrain(t *testing.T) {
	convey.Convey("Given a drain that waits for a request", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		release := make(chan struct{})
		server := newServer("callers", &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/slow" {
				<-release
			}
		})}, listener)
		go server.Serve(listener)
		send := func(conn net.Conn, path string) {
			_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\n\r\n")
			convey.So(err, convey.ShouldBeNil)
		}
		conns := make(map[string]net.Conn)
		for _, name := range []string{"slow", "kept", "new"} {
			conns[name], err = net.Dial("tcp", listener.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			defer conns[name].Close()
		}
		answered := func(name string) {
			response, err := http.ReadResponse(bufio.NewReader(conns[name]), nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(response.StatusCode, convey.ShouldEqual, http.StatusOK)
		}
		send(conns["slow"], "/slow")
		send(conns["kept"], "/")
		answered("kept")
		time.Sleep(50 * time.Millisecond) // until the connections have their states
		drained := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		go func() { drained <- server.drain(ctx) }()
		time.Sleep(2 * arrivalTime)
		convey.Convey("Requests on a kept connection and on a new one are answered, and the drain ends", func() {
			send(conns["kept"], "/")
			send(conns["new"], "/")
			answered("kept")
			answered("new")
			close(release)
			answered("slow")
			convey.So(<-drained, convey.ShouldBeNil)
			_, err := net.Dial("tcp", listener.Addr().String())
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}
