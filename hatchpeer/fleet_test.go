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

// slowLink is a listener whose connections share one sending rate.
type slowLink struct {
	net.Listener
	bytesPerSecond float64
	sendMu         sync.Mutex
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (link *slowLink) Accept() (net.Conn, error) {
	conn, err := link.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{conn, link}, nil
}

func (conn *slowConn) Write(data []byte) (int, error) {
	conn.link.sendMu.Lock()
	defer conn.link.sendMu.Unlock()
	time.Sleep(time.Duration(float64(len(data)) / conn.link.bytesPerSecond * float64(time.Second)))
	return conn.Conn.Write(data)
}

// stubDaemon serves a fixed snapshot.
type stubDaemon struct {
	version uint64
	value   []byte
}

func (stubDaemon) ExchangeGossip(gossip dragonflyhatch.Gossip) dragonflyhatch.Gossip { return gossip }

func (stubDaemon) GrantRetryTokens(string, int, bool) int { return 0 }
func (stubDaemon) GrantSlot(dragonflyhatch.SlotRequest) dragonflyhatch.SlotReply {
	return dragonflyhatch.SlotReply{}
}

func (stubDaemon) Quarantine(dragonflyhatch.PromptPart) ([]byte, bool) { return nil, false }
func (stubDaemon) Preview([]byte) ([]byte, error)                      { return nil, nil }

func (daemon stubDaemon) Snapshot(dragonflyhatch.SnapshotKind) (uint64, []byte) {
	return daemon.version, daemon.value
}

// routesText returns the text of a configuration with the given number of routes,
// as operators write it.
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

// TestLargeSnapshotOverSlowLink guards against snapshots that are too large for a
// slow link: four daemons concurrently fetch a configuration of 1,900 routes from a
// machine with a link of 14 Mbit/s. Each must have it within a second, half of the
// time within which a configuration must take effect.
func TestLargeSnapshotOverSlowLink(t *testing.T) {
	value := routesText(1900)
	server := httptest.NewUnstartedServer(NewFleetHandler(stubDaemon{7, value}))
	server.Listener = &slowLink{Listener: server.Listener, bytesPerSecond: 14e6 / 8}
	server.Start()
	defer server.Close()
	client := NewFleetClient(300 * time.Millisecond)
	start := time.Now()
	var group conc.WaitGroup
	for range 4 {
		group.Go(func() {
			version, got, err := client.Snapshot(context.Background(), server.Listener.Addr().String(), dragonflyhatch.SnapshotRouting)
			if err != nil || version != 7 || !bytes.Equal(got, value) {
				t.Errorf("got version %d and %d bytes, want version 7 and %d bytes; error: %v", version, len(got), len(value), err)
			}
		})
	}
	group.Wait()
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("four snapshots took %v, want at most 1s", elapsed)
	}
}
