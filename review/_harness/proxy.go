package main

import (
	"net"
	"sync"
)

// proxy forwards TCP connections on loopback to a target.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
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
		server, err := net.Dial("tcp", proxy.target)
		if err != nil {
			client.Close()
			continue
		}
		link := &link{client: client, server: server, open: make(chan struct{})}
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

// cut resets all connections and refuses new ones, until heal.
func (proxy *proxy) cut() {
	proxy.listener.Close()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for link := range proxy.links {
		_ = link.client.(*net.TCPConn).SetLinger(0) // Close then sends a reset
		link.client.Close()
		link.server.Close()
	}
}

// heal accepts connections again.
func (proxy *proxy) heal() error {
	listener, err := net.Listen("tcp", proxy.address())
	if err != nil {
		return err
	}
	proxy.listener = listener
	go proxy.accept(listener)
	return nil
}
