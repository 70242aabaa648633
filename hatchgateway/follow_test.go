package hatchgateway

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchpeer"
	"dragonflyhatch/platform"
)

// versionedPeer is a peer that has a configuration. It takes a while to send it.
type versionedPeer struct {
	mu      sync.Mutex
	version int
}

func (*versionedPeer) ExchangeGossip(gossip dragonflyhatch.Gossip) dragonflyhatch.Gossip {
	return gossip
}
func (*versionedPeer) GrantRetryTokens(string, int, bool) int { return 0 }

func (*versionedPeer) GrantSlot(dragonflyhatch.SlotRequest) dragonflyhatch.SlotReply {
	return dragonflyhatch.SlotReply{}
}

func (*versionedPeer) Quarantine(dragonflyhatch.PromptPart) ([]byte, bool) { return nil, false }
func (*versionedPeer) Preview([]byte) ([]byte, error)                      { return nil, nil }

func (peer *versionedPeer) Snapshot(dragonflyhatch.SnapshotKind) (uint64, []byte) {
	peer.mu.Lock()
	version := peer.version
	peer.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	return uint64(version), []byte(`{"version":` + strconv.Itoa(version) + `}`)
}

func TestVersionsHeardOfWhileFetching(t *testing.T) {
	convey.Convey("A version that a peer announces while an older one is fetched is fetched next, without another message", t, func() {
		peer := &versionedPeer{version: 1}
		server := httptest.NewServer(hatchpeer.NewFleetHandler(peer))
		defer server.Close()
		gateway := New(&platform.Settings{Host: "h"}, WithLogger(slog.New(slog.DiscardHandler)))
		announce := func(version int) {
			peer.mu.Lock()
			peer.version = version
			peer.mu.Unlock()
			gateway.mergeGossip(dragonflyhatch.Gossip{
				From: dragonflyhatch.Member{Host: "p", PeerAddress: server.Listener.Addr().String(), Version: 1}, RoutingVersion: uint64(version),
			})
		}
		announce(1)
		for version := 2; version <= 9; version++ {
			time.Sleep(8 * time.Millisecond)
			announce(version)
		}
		deadline := time.Now().Add(2 * time.Second)
		for (gateway.Table() == nil || gateway.Table().Version < 9) && time.Now().Before(deadline) {
			time.Sleep(5 * time.Millisecond)
		}
		convey.So(gateway.Table(), convey.ShouldNotBeNil)
		convey.So(gateway.Table().Version, convey.ShouldEqual, 9)
	})
}

func TestConfigurationsInQuickSuccession(t *testing.T) {
	convey.Convey("Of several versions in one batch of changes only the last is decoded", t, func() {
		var log bytes.Buffer
		gateway := New(&platform.Settings{Host: "h"}, WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
		change := func(name, text string) dragonflyhatch.Change {
			return dragonflyhatch.Change{Object: dragonflyhatch.Object{Name: name, Value: []byte(text)}}
		}
		version := func(number int) string { return `{"version":` + strconv.Itoa(number) + `}` }
		routingFollower{gateway}.applyChanges([]dragonflyhatch.Change{
			change(platform.RoutingName, "not decoded"), change(platform.RoutingName, version(7)), change("config/other", version(9)),
		}, 0)
		convey.So(gateway.Table().Version, convey.ShouldEqual, 7)
		convey.So(log.String(), convey.ShouldNotContainSubstring, "decoding")
		convey.Convey("and an older one does not replace it", func() {
			routingFollower{gateway}.applyChanges([]dragonflyhatch.Change{change(platform.RoutingName, version(6))}, 0)
			convey.So(gateway.Table().Version, convey.ShouldEqual, 7)
		})
	})
}
