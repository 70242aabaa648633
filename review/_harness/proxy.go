package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy forwards TCP connections on loopback to a target.
type proxy struct {
	listener net.Listener
	target   string

	deaf int        // socket that listens during a partition
	fill []net.Conn // connections that fill its queue

	mu    sync.Mutex
	links map[*link]bool
	reset bool // connections are reset, until it is lifted
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
	opened         time.Time
	open           chan struct{} // closed when the link ends
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, target: target, links: map[*link]bool{}}
	go proxy.accept(listener)
	return proxy, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if proxy.isResetting() {
			resetConnection(client)
			continue
		}
		server, err := net.Dial("tcp", proxy.target)
		if err != nil {
			client.Close()
			continue
		}
		link := &link{client: client, server: server, opened: time.Now(), open: make(chan struct{})}
		proxy.mu.Lock()
		proxy.links[link] = true
		proxy.mu.Unlock()
		var once sync.Once
		end := func() {
			once.Do(func() {
				close(link.open)
				client.Close()
				server.Close()
				proxy.mu.Lock()
				delete(proxy.links, link)
				proxy.mu.Unlock()
			})
		}
		go func() { link.pipe(server, client); end() }()
		go func() { link.pipe(client, server); end() }()
	}
}

// pipe copies until either side closes. A silent link swallows what it reads, so that
// neither side learns anything; it ends when its client closes it.
func (link *link) pipe(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		link.mu.Lock()
		silent := link.silent
		link.mu.Unlock()
		if silent && from == link.server {
			if err != nil {
				<-link.open // the close of the server does not get through either
				return
			}
			continue
		}
		if !silent && count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the connections that are open now silent for good. New ones work.
func (proxy *proxy) silence() int {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for link := range proxy.links {
		link.mu.Lock()
		link.silent = true
		link.mu.Unlock()
	}
	return len(proxy.links)
}

// setResetting sets whether all connections are reset, the open ones and new ones.
func (proxy *proxy) setResetting(resetting bool) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.reset = resetting
	if !resetting {
		return
	}
	for link := range proxy.links {
		resetConnection(link.client)
		link.server.Close()
	}
}

func (proxy *proxy) isResetting() bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.reset
}

func resetConnection(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // Close then sends a reset
	conn.Close()
}

// oldest returns how long the oldest open connection has been open, or 0.
func (proxy *proxy) oldest() time.Duration {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	var oldest time.Duration
	for link := range proxy.links {
		oldest = max(oldest, time.Since(link.opened))
	}
	return oldest
}

// cut partitions the target: open connections go silent, and packets that open new ones
// get no answer, until heal. The latter is done with a listener that accepts nothing and
// whose queue is full.
func (proxy *proxy) cut() error {
	proxy.silence()
	address := proxy.listener.Addr().(*net.TCPAddr)
	proxy.listener.Close()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	proxy.deaf = socket
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}); err != nil {
		return err
	}
	if err := syscall.Listen(socket, 0); err != nil {
		return err
	}
	for range maxFill {
		conn, err := net.DialTimeout("tcp", address.String(), fillTimeout)
		if err != nil {
			return nil // the queue is full
		}
		proxy.fill = append(proxy.fill, conn)
	}
	return errors.New("the queue of the listener is never full")
}

const (
	maxFill     = 16
	fillTimeout = 50 * time.Millisecond
)

// heal ends the partition. What was silent stays so.
func (proxy *proxy) heal() error {
	for _, conn := range proxy.fill {
		conn.Close()
	}
	proxy.fill = nil
	if err := syscall.Close(proxy.deaf); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", proxy.address())
	if err != nil {
		return err
	}
	proxy.listener = listener
	go proxy.accept(listener)
	return nil
}
