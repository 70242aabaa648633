package hatchpeer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"dragonflyhatch"
)

// thinLink is a listener whose connections share a sending rate.
type thinLink struct {
	net.Listener
	bytesPerSecond float64
	sending        sync.Mutex
}

type thinConn struct {
	net.Conn
	link *thinLink
}

func (link *thinLink) Accept() (net.Conn, error) {
	conn, err := link.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &thinConn{conn, link}, nil
}

func (conn *thinConn) Write(data []byte) (int, error) {
	conn.link.sending.Lock()
	defer conn.link.sending.Unlock()
	time.Sleep(time.Duration(float64(len(data)) / conn.link.bytesPerSecond * float64(time.Second)))
	return conn.Conn.Write(data)
}

// fixedDaemon hands out one snapshot.
type fixedDaemon struct {
	version uint64
	value   []byte
}

func (fixedDaemon) ExchangeGossip(gossip dragonflyhatch.Gossip) dragonflyhatch.Gossip { return gossip }

func (fixedDaemon) Lend(string, int) int { return 0 }

func (daemon fixedDaemon) Snapshot(dragonflyhatch.SnapshotKind) (uint64, []byte) {
	return daemon.version, daemon.value
}

// routesText returns a configuration of so many routes, as operators write it.
func routesText(routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var text bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r%d","host":"h%04x.example","path_prefix":"/p%06x/","route_type":"streaming","timeout_ms":20000,`+
			`"target_latency_ms":500,"service":"s%03x","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":250,"priority":1},`,
			i, random.IntN(1<<16), random.IntN(1<<24), random.IntN(1<<12))
	}
	return text.Bytes()
}

// TestLargeSnapshotOverThinLink has four daemons at once fetch a configuration
// of 1,900 routes from a machine with a link of 14 Mbit/s. Each must have it
// within a second: half of the time in which a configuration must be in force.
func TestLargeSnapshotOverThinLink(t *testing.T) {
	value := routesText(1900)
	server := httptest.NewUnstartedServer(NewFleetHandler(fixedDaemon{7, value}))
	server.Listener = &thinLink{Listener: server.Listener, bytesPerSecond: 14e6 / 8}
	server.Start()
	defer server.Close()
	client := NewFleetClient(300 * time.Millisecond)
	begun := time.Now()
	var group conc.WaitGroup
	for range 4 {
		group.Go(func() {
			version, got, err := client.Snapshot(context.Background(), server.Listener.Addr().String(), dragonflyhatch.SnapshotRouting)
			if err != nil || version != 7 || !bytes.Equal(got, value) {
				t.Errorf("version %d with %d bytes of %d: %v", version, len(got), len(value), err)
			}
		})
	}
	group.Wait()
	if took := time.Since(begun); took > time.Second {
		t.Errorf("took %v", took)
	}
}
