package hatchsoak

import (
	"net"
	"sync"
	"time"
)

// linkState is how a proxy treats its connections.
type linkState int

const (
	linkOpen   linkState = iota
	linkSilent           // nothing is forwarded until the link is open again
	linkOneWay           // nothing is forwarded to the client until the link is open again
	linkReset            // connections are reset
	linkSlow             // each read is forwarded after slowLinkDelay
)

// slowLinkDelay is the delay of the data of each read on a slow link.
const slowLinkDelay = 30 * time.Millisecond

// proxy forwards TCP connections on loopback to one address and can inject faults
// into them.
type proxy struct {
	listener net.Listener

	mu           sync.Mutex
	target       string
	state        linkState
	stateChanged *sync.Cond // signalled when the state changes
	conns        map[*proxyConn]bool
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	client, server net.Conn
	silent         bool // permanently, while new connections work
}

// newProxy returns a proxy that listens on loopback. It can't forward connections
// before setTarget.
func newProxy() (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := &proxy{listener: listener, conns: make(map[*proxyConn]bool)}
	proxy.stateChanged = sync.NewCond(&proxy.mu)
	go proxy.acceptLoop()
	return proxy, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) setTarget(target string) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.target = target
}

// setState changes the state of the link. linkReset also resets open connections.
func (proxy *proxy) setState(state linkState) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.state = state
	proxy.stateChanged.Broadcast()
	if state == linkReset {
		for conn := range proxy.conns {
			conn.reset()
		}
	}
}

// silenceOpenConnections silences the currently open connections permanently.
func (proxy *proxy) silenceOpenConnections() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for conn := range proxy.conns {
		conn.silent = true
	}
}

// close stops the proxy and resets its connections.
func (proxy *proxy) close() {
	proxy.listener.Close()
	proxy.setState(linkReset)
}

func (proxy *proxy) acceptLoop() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.serve(client)
	}
}

func (proxy *proxy) serve(client net.Conn) {
	proxy.mu.Lock()
	for proxy.state == linkSilent { // meanwhile the connection is open for the client
		proxy.stateChanged.Wait()
	}
	target, refused := proxy.target, proxy.state == linkReset
	proxy.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil || refused {
		(&proxyConn{client: client, server: client}).reset()
		return
	}
	conn := &proxyConn{client: client, server: server}
	proxy.mu.Lock()
	proxy.conns[conn] = true
	proxy.mu.Unlock()
	var group sync.WaitGroup
	group.Add(2)
	go func() { defer group.Done(); proxy.copyDirection(conn, client, server, false) }()
	go func() { defer group.Done(); proxy.copyDirection(conn, server, client, true) }()
	group.Wait()
	proxy.mu.Lock()
	delete(proxy.conns, conn)
	proxy.mu.Unlock()
	client.Close()
	server.Close()
}

// copyDirection copies the data of one direction; toClient selects which one.
func (proxy *proxy) copyDirection(conn *proxyConn, from, to net.Conn, toClient bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !proxy.awaitForward(conn, toClient) {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				conn.reset()
				return
			}
		}
		if err != nil {
			proxy.awaitForward(conn, toClient)
			// An end of stream is forwarded for this direction only; if that fails, both
			// are reset.
			if tcp, ok := to.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
				conn.reset()
			}
			return
		}
	}
}

// awaitForward waits until data may be forwarded, and returns false if the
// connection is reset instead.
func (proxy *proxy) awaitForward(conn *proxyConn, toClient bool) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for proxy.state != linkReset && (conn.silent || proxy.state == linkSilent || proxy.state == linkOneWay && toClient) {
		proxy.stateChanged.Wait()
	}
	if proxy.state == linkSlow {
		proxy.mu.Unlock()
		time.Sleep(slowLinkDelay)
		proxy.mu.Lock()
	}
	return proxy.state != linkReset
}

// reset resets both sides. Either may already be closed.
func (conn *proxyConn) reset() {
	for _, end := range []net.Conn{conn.client, conn.server} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		end.Close()
	}
}
