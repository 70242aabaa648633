package hatchsoak

import (
	"net"
	"sync"
	"time"
)

// linkState is what a proxy does with what it is given.
type linkState int

const (
	linkOpen   linkState = iota
	linkSilent           // nothing passes until the link is open again
	linkOneWay           // nothing comes back until the link is open again
	linkReset            // connections are reset
	linkSlow             // each piece waits for slowLink
)

// slowLink delays each piece that crosses a slow link.
const slowLink = 30 * time.Millisecond

// proxy is a loopback link to one address that can be harmed.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	state  linkState
	opened *sync.Cond // signalled when the state changes
	conns  map[*proxyConn]bool
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	near, far net.Conn
	mute      bool // silent for good, while new connections work
}

// newProxy listens on loopback. Nothing passes before it has a target.
func newProxy() (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, conns: make(map[*proxyConn]bool)}
	proxy.opened = sync.NewCond(&proxy.mu)
	go proxy.accept()
	return proxy, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) setTarget(target string) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.target = target
}

// set changes what the link does. Resetting it ends its connections.
func (proxy *proxy) set(state linkState) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.state = state
	proxy.opened.Broadcast()
	if state == linkReset {
		for conn := range proxy.conns {
			conn.reset()
		}
	}
}

// silenceOpen makes the connections that are open now silent for good.
func (proxy *proxy) silenceOpen() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		conn.mute = true
	}
}

// close ends the proxy with its connections.
func (proxy *proxy) close() {
	proxy.listener.Close()
	proxy.set(linkReset)
}

func (proxy *proxy) accept() {
	for {
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(near)
	}
}

func (proxy *proxy) serve(near net.Conn) {
	proxy.mu.Lock()
	for proxy.state == linkSilent { // a connection that is not accepted looks open to the client
		proxy.opened.Wait()
	}
	target, refused := proxy.target, proxy.state == linkReset
	proxy.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil || refused {
		(&proxyConn{near: near, far: near}).reset()
		return
	}
	conn := &proxyConn{near: near, far: far}
	proxy.mu.Lock()
	proxy.conns[conn] = true
	proxy.mu.Unlock()
	var group sync.WaitGroup
	group.Add(2)
	go func() { defer group.Done(); proxy.pass(conn, near, far, false) }()
	go func() { defer group.Done(); proxy.pass(conn, far, near, true) }()
	group.Wait()
	proxy.mu.Lock()
	delete(proxy.conns, conn)
	proxy.mu.Unlock()
	near.Close()
	far.Close()
}

// pass copies one direction, back is the one to the client.
func (proxy *proxy) pass(conn *proxyConn, from, to net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !proxy.admit(conn, back) {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				conn.reset()
				return
			}
		}
		if err != nil {
			proxy.admit(conn, back)
			// The end of one direction is passed on; a failure ends both.
			if tcp, ok := to.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
				conn.reset()
			}
			return
		}
	}
}

// admit waits until a piece may pass, and returns false if it never may.
func (proxy *proxy) admit(conn *proxyConn, back bool) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for proxy.state != linkReset && (conn.mute || proxy.state == linkSilent || proxy.state == linkOneWay && back) {
		proxy.opened.Wait()
	}
	if proxy.state == linkSlow {
		proxy.mu.Unlock()
		time.Sleep(slowLink)
		proxy.mu.Lock()
	}
	return proxy.state != linkReset
}

// reset ends both sides at once. Either may have ended before.
func (conn *proxyConn) reset() {
	for _, end := range []net.Conn{conn.near, conn.far} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		end.Close()
	}
}
