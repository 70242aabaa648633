package hatchgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

// storeModel is a store of registrations that may come back from an older copy.
type storeModel struct {
	era      uint64
	revision uint64
	entries  map[string]dragonflyhatch.Replica
	changes  []dragonflyhatch.ReplicaChange // of the era, and those that its copy had
}

func (store *storeModel) version(revision uint64) uint64 {
	version, _ := dragonflyhatch.StoreVersion(store.era, revision)
	return version
}

func (store *storeModel) write(replica dragonflyhatch.Replica, removed bool) {
	known, exists := store.entries[replica.ID]
	replica.Revision = known.Revision
	if removed && !exists || !removed && exists && known == replica {
		return
	}
	store.revision++
	replica.Revision = store.revision
	store.entries[replica.ID] = replica
	if removed {
		delete(store.entries, replica.ID)
	}
	store.changes = append(store.changes, dragonflyhatch.ReplicaChange{Replica: replica, Removed: removed})
}

func (store *storeModel) copy() storeModel {
	copied := *store
	copied.entries, copied.changes = maps.Clone(store.entries), slices.Clone(store.changes)
	return copied
}

// listing returns the registrations as the client of the store does.
func (store *storeModel) listing() (list []dragonflyhatch.Replica, version uint64) {
	for _, id := range slices.Sorted(maps.Keys(store.entries)) {
		replica := store.entries[id]
		replica.Revision = store.version(replica.Revision)
		list = append(list, replica)
	}
	return list, store.version(store.revision)
}

// eraDaemon is what a daemon knows.
type eraDaemon struct {
	set       replicaSet
	watchFrom uint64 // 0 if it has not listed the registrations
	began     time.Time
	atBegin   []dragonflyhatch.Replica                 // known when the era began
	leaving   map[string]dragonflyhatch.ReplicaProcess // known to be leaving
}

// eraFleet is a store, its replicas and daemons, and messages in transit, in virtual time.
type eraFleet struct {
	t        *rapid.T
	now      time.Time
	store    storeModel
	replicas map[string]dragonflyhatch.Replica // that live, as they describe themselves
	copies   []storeModel
	rewrites map[string]time.Time // when a replica, or the removal of one, is written again
	daemons  []*eraDaemon
	messages []eraMessage
}

type eraMessage struct {
	from, to int
	gossip   dragonflyhatch.Gossip
}

func newEraFleet(t *rapid.T) *eraFleet {
	fleet := &eraFleet{t: t, now: time.Unix(1000, 0), replicas: make(map[string]dragonflyhatch.Replica), rewrites: make(map[string]time.Time)}
	fleet.store = storeModel{era: 1, revision: 10, entries: make(map[string]dragonflyhatch.Replica)}
	for range rapid.IntRange(2, 4).Draw(t, "daemons") {
		fleet.daemons = append(fleet.daemons, &eraDaemon{set: newReplicaSet(), leaving: make(map[string]dragonflyhatch.ReplicaProcess)})
	}
	return fleet
}

// list has a daemon read all registrations.
func (fleet *eraFleet) list(daemon *eraDaemon) {
	list, version := fleet.store.listing()
	fleet.apply(daemon, func() { daemon.set.replace(list, version, fleet.now) })
	daemon.watchFrom = version
}

// watch has a daemon read the changes since its last read, or all registrations if the store is
// in another era.
func (fleet *eraFleet) watch(daemon *eraDaemon) {
	if daemon.watchFrom == 0 || dragonflyhatch.EraOf(daemon.watchFrom) != fleet.store.era {
		fleet.list(daemon)
		return
	}
	var changes []dragonflyhatch.ReplicaChange
	for _, change := range fleet.store.changes {
		if change.Replica.Revision = fleet.store.version(change.Replica.Revision); change.Replica.Revision > daemon.watchFrom {
			changes = append(changes, change)
		}
	}
	version := fleet.store.version(fleet.store.revision)
	fleet.apply(daemon, func() {
		daemon.set.applyWatched(changes, version, fleet.now)
		daemon.set.expire(fleet.now)
	})
	daemon.watchFrom = version
}

// send puts a daemon's gossip in transit.
func (fleet *eraFleet) send(from, to int) {
	set := &fleet.daemons[from].set
	fleet.messages = append(fleet.messages, eraMessage{from, to, set.gossip(fleet.now, fleet.daemons[to].set.completeVersion)})
}

// deliver has a daemon merge a message, and fetch the sender's snapshot if that is newer.
func (fleet *eraFleet) deliver(message eraMessage) {
	daemon, sender := fleet.daemons[message.to], &fleet.daemons[message.from].set
	fleet.apply(daemon, func() {
		daemon.set.observeVersion(message.gossip.ReplicasVersion)
		daemon.set.applyUpdates(message.gossip, fleet.now)
		if version := sender.announced(); message.gossip.ReplicasVersion > daemon.set.completeVersion && version > daemon.set.completeVersion {
			daemon.set.applySnapshot(sender.snapshot(fleet.now), version, fleet.now)
			daemon.set.version = max(daemon.set.version, version)
		}
	})
}

// apply changes what a daemon knows and checks the change.
func (fleet *eraFleet) apply(daemon *eraDaemon, change func()) {
	before, usedBefore := daemon.set.completeVersion, daemon.set.usable(fleet.now)
	change()
	if daemon.set.completeVersion < before {
		fleet.t.Fatalf("version %d after %d", daemon.set.completeVersion, before)
	}
	if before > 0 && dragonflyhatch.EraOf(daemon.set.completeVersion) > dragonflyhatch.EraOf(before) {
		daemon.began, daemon.atBegin = fleet.now, usedBefore
	}
	known, used := daemon.set.byID, make(map[string]dragonflyhatch.Replica)
	for _, replica := range daemon.set.usable(fleet.now) {
		used[replica.ID] = replica
	}
	if fleet.now.Sub(daemon.began) < reregistrationGrace {
		for _, replica := range daemon.atBegin {
			if _, ok := known[replica.ID]; !ok && fleet.replicas[replica.ID].Process() == replica.Process() {
				fleet.t.Fatalf("replica %s lives, but was dropped %s after the era began", replica.ID, fleet.now.Sub(daemon.began))
			}
			if now, ok := used[replica.ID]; ok && now.Process() == replica.Process() && now.Held.Version < replica.Held.Version {
				fleet.t.Fatalf("replica %s is used in version %d, %d was known", replica.ID, now.Held.Version, replica.Held.Version)
			}
		}
	}
	for id, process := range daemon.leaving {
		if known[id].Process() != process {
			delete(daemon.leaving, id)
		} else if !known[id].Leaving {
			fleet.t.Fatalf("replica %s leaves, but is used again", id)
		}
	}
	for id, replica := range known {
		if replica.Leaving {
			daemon.leaving[id] = replica.Process()
		}
	}
}

// restore brings the store back from a copy. What replicas wrote is written again, and what has
// left is removed again.
func (fleet *eraFleet) restore(copied storeModel) {
	era := fleet.store.era + 1
	fleet.store = copied.copy()
	fleet.store.era = era
	for _, id := range slices.Sorted(maps.Keys(fleet.store.entries)) {
		fleet.rewrites[id] = fleet.now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(fleet.t, "removal")) * time.Millisecond)
	}
	for _, id := range slices.Sorted(maps.Keys(fleet.replicas)) {
		fleet.rewrites[id] = fleet.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(fleet.t, "rewrite")) * time.Millisecond)
	}
}

// advance lets time pass.
func (fleet *eraFleet) advance(duration time.Duration) {
	fleet.now = fleet.now.Add(duration)
	for _, id := range slices.Sorted(maps.Keys(fleet.rewrites)) {
		if !fleet.now.Before(fleet.rewrites[id]) {
			replica, lives := fleet.replicas[id]
			replica.ID = id
			fleet.store.write(replica, !lives)
			delete(fleet.rewrites, id)
		}
	}
}

// step carries out one random event.
func (fleet *eraFleet) step() {
	t := fleet.t
	fleet.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
	daemon := rapid.IntRange(0, len(fleet.daemons)-1).Draw(t, "daemon")
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "replica")
	replica, lives := fleet.replicas[id]
	switch rapid.SampledFrom([]string{"start", "change", "drain", "leave", "copy", "restore", "list", "watch", "watch", "send", "send", "deliver", "deliver", "lose"}).Draw(t, "event") {
	case "start":
		if !lives {
			fleet.replicas[id] = dragonflyhatch.Replica{ID: id, Address: id + ":1", Started: fleet.now.UnixMilli()}
			fleet.store.write(fleet.replicas[id], false)
		}
	case "change":
		if lives {
			replica.Held.Version++
			fleet.replicas[id] = replica
			fleet.store.write(replica, false)
		}
	case "drain":
		if lives {
			replica.Leaving = true
			fleet.replicas[id] = replica
			fleet.store.write(replica, false)
		}
	case "leave":
		delete(fleet.replicas, id)
		fleet.store.write(dragonflyhatch.Replica{ID: id}, true)
	case "copy":
		fleet.copies = append(fleet.copies, fleet.store.copy())
	case "restore":
		if len(fleet.copies) > 0 {
			fleet.restore(rapid.SampledFrom(fleet.copies).Draw(t, "copy"))
		}
	case "list":
		fleet.list(fleet.daemons[daemon])
	case "watch":
		fleet.watch(fleet.daemons[daemon])
	case "send":
		fleet.send(daemon, (daemon+1)%len(fleet.daemons))
	case "deliver", "lose":
		if len(fleet.messages) > 0 {
			at := rapid.IntRange(0, len(fleet.messages)-1).Draw(t, "message")
			message := fleet.messages[at]
			fleet.messages = slices.Delete(fleet.messages, at, at+1)
			if rapid.Bool().Draw(t, "arrives") {
				fleet.deliver(message)
			}
		}
	}
}

// TestRegistrationsAcrossEras guards against daemons that ignore the store, undo what is known or
// block each other after the store came back from an older copy.
func TestRegistrationsAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newEraFleet(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			fleet.step()
		}
		for _, message := range fleet.messages { // late
			fleet.deliver(message)
		}
		for range 4 { // one daemon follows the store, and all exchange gossip
			fleet.advance(2 * time.Second)
			fleet.watch(fleet.daemons[0])
			for range fleet.daemons {
				for from := range fleet.daemons {
					fleet.messages = nil
					fleet.send(from, (from+1)%len(fleet.daemons))
					fleet.deliver(fleet.messages[0])
				}
			}
		}
		for _, daemon := range fleet.daemons {
			if daemon.set.digest() != fleet.daemons[0].set.digest() { // its knowledge is not confirmed by gossip, so it reads the store
				fleet.list(daemon)
			}
		}
		fleet.advance(reregistrationGrace)
		for number, daemon := range fleet.daemons {
			daemon.set.expire(fleet.now)
			got, want := make(map[string]dragonflyhatch.Replica), fleet.replicas
			for _, replica := range daemon.set.usable(fleet.now.Add(restoredEntryDelay)) {
				replica.Revision = 0
				got[replica.ID] = replica
			}
			if !maps.Equal(got, want) {
				t.Fatalf("daemon %d knows %v, want %v", number, got, want)
			}
		}
	})
}

// TestRestoredRemovals guards against requests to a replica that was removed and is registered
// again only since the store came back from an older copy.
func TestRestoredRemovals(t *testing.T) {
	now := time.Now()
	version := func(era, revision uint64) uint64 {
		version, _ := dragonflyhatch.StoreVersion(era, revision)
		return version
	}
	const again = 300 * time.Millisecond // from one restoration to the next
	for name, test := range map[string]struct {
		restored    dragonflyhatch.Replica
		writesAgain bool
		twice       bool // the store is restored again
		usedAfter   time.Duration
	}{
		"the same process":                        {newTestReplica("a", version(2, 5), false), false, false, restoredEntryDelay},
		"the same process, twice":                 {newTestReplica("a", version(2, 5), false), false, true, again + restoredEntryDelay},
		"the same process, which registers again": {newTestReplica("a", version(2, 5), false), true, false, 0},
		"another process":                         {dragonflyhatch.Replica{ID: "a", Address: "a:1", Started: 9, Revision: version(2, 5)}, false, false, 0},
	} {
		set := newReplicaSet()
		set.replace([]dragonflyhatch.Replica{newTestReplica("a", version(1, 5), false)}, version(1, 6), now)
		set.remove("a", version(1, 7), now)
		set.replace([]dragonflyhatch.Replica{test.restored}, version(2, 6), now)
		if test.writesAgain {
			test.restored.Revision = version(2, 7)
			set.put(test.restored)
		}
		if test.twice {
			test.restored.Revision = version(3, 5)
			set.replace([]dragonflyhatch.Replica{test.restored}, version(3, 6), now.Add(again))
		}
		if test.usedAfter > 0 && len(set.usable(now.Add(test.usedAfter-1))) > 0 || len(set.usable(now.Add(test.usedAfter))) == 0 {
			t.Errorf("%s: is not used from %s on", name, test.usedAfter)
		}
		if len(set.list()) != 1 {
			t.Errorf("%s: peers do not learn of it", name)
		}
	}
}

// TestPlacementWaitsAfterRestoration guards against layers that are placed by registrations which
// are older than the engines' state.
func TestPlacementWaitsAfterRestoration(t *testing.T) {
	now := time.Now()
	first, _ := dragonflyhatch.StoreVersion(1, 9)
	second, _ := dragonflyhatch.StoreVersion(2, 3)
	set := newReplicaSet()
	set.replace(nil, first, now.Add(-time.Minute))
	if !set.isSettled(now) {
		t.Error("the registrations of a minute ago are not settled")
	}
	set.replace(nil, second, now)
	if set.isSettled(now.Add(reregistrationGrace-1)) || !set.isSettled(now.Add(reregistrationGrace)) {
		t.Errorf("the registrations are not settled from %s after the restoration on", reregistrationGrace)
	}
}

// TestLeaseOfRestoredStore guards against a fleet without a leader, or with two that take the lease
// from each other, after the store came back with a lease of before.
func TestLeaseOfRestoredStore(t *testing.T) {
	ctx := context.Background()
	for name, lease := range map[string]*lease{
		"missing": nil, "of an earlier leader": {Host: "b", Process: "b-1"}, "of a process that has ended": {Host: "b", Process: "b-0"},
		"of the leader": {Host: "a"},
	} {
		standIn := hatchstandin.NewPlatform()
		server := httptest.NewServer(standIn.Handler())
		daemons := make(map[string]*Gateway)
		for _, host := range []string{"a", "b", "c"} {
			daemons[host] = New(&platform.Settings{Host: host, PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String()})
		}
		for host, daemon := range daemons {
			for other := range daemons {
				if other != host {
					daemon.roster.Merge(dragonflyhatch.Member{Host: other, Process: other + "-1", PeerAddress: "127.0.0.1:1", Version: 1})
				}
			}
		}
		if lease != nil {
			if lease.Process == "" {
				lease.Process = daemons["a"].roster.Self().Process
			}
			value, err := json.Marshal(lease)
			if err != nil {
				t.Fatal(err)
			}
			standIn.Put("leases", "placement", value)
		}
		copied := standIn.Copy()
		standIn.Put("leases", "placement", []byte(`{"host":"a","process":"`+daemons["a"].roster.Self().Process+`"}`))
		for range 5 {
			standIn.Put("config", "main", fmt.Appendf(nil, `{"version":%d}`, time.Now().UnixNano()))
		}
		if err := daemons["a"].acquireLease(ctx, time.Now()); err != nil || !daemons["a"].isLeader() {
			t.Fatalf("%s: no leader before, %v", name, err)
		}
		for _, daemon := range daemons {
			daemon.mergeLeader("a", daemons["a"].leader.term)
		}
		standIn.Restore(copied)
		for _, daemon := range daemons {
			if _, err := daemon.readStore(ctx, 0); err != nil {
				t.Fatal(err)
			}
		}
		// The leader takes the lease of the later era, and no other daemon does while it serves.
		for host, daemon := range daemons {
			if daemon.shouldTakeLease(time.Now()) != (host == "a") {
				t.Errorf("%s: daemon %s takes the lease: %t", name, host, host != "a")
			}
		}
		for range 2 {
			if err := daemons["a"].acquireLease(ctx, time.Now()); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		term := daemons["a"].leader.term
		if !daemons["a"].isLeader() || dragonflyhatch.EraOf(term) != 2 || daemons["a"].shouldTakeLease(time.Now()) {
			t.Errorf("%s: leader %t in the term %d", name, daemons["a"].isLeader(), term)
		}
		// A daemon that has not heard of that follows it, and so does the earlier leader.
		for _, host := range []string{"b", "c"} {
			daemons[host].roster.Merge(dragonflyhatch.Member{Host: "a", Process: daemons["a"].roster.Self().Process, Version: 2})
			if err := daemons[host].acquireLease(ctx, time.Now()); err != nil || daemons[host].isLeader() || daemons[host].leader.term != term {
				t.Errorf("%s: daemon %s leads: %t, in the term %d, %v", name, host, daemons[host].isLeader(), daemons[host].leader.term, err)
			}
		}
		server.Close()
	}
}

// TestDrainAfterRestoration guards against a drain that is ignored since the store's revisions went
// back, and against a peer that knows the store of before and undoes it.
func TestDrainAfterRestoration(t *testing.T) {
	ctx := context.Background()
	standIn := hatchstandin.NewPlatform()
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	daemon := func(host string) *Gateway {
		return New(&platform.Settings{Host: host, PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String()})
	}
	register := func(id, state string) {
		standIn.Put("servers", id, fmt.Appendf(nil, `{"service":"desk","address":"127.0.0.1:9","zone":"a","slots":4,"born":1,"state":%q}`, state))
	}
	reader, peer := daemon("a"), daemon("b")
	register("r-1", "ready")
	register("r-2", "ready")
	copied := standIn.Copy()
	for version := range 9 { // which the store loses
		standIn.Put("config", "main", fmt.Appendf(nil, `{"version":%d}`, version+1))
	}
	lastVersion := reader.pollOnce(ctx, 0, true)
	peer.pollOnce(ctx, 0, true)
	standIn.Restore(copied)
	lastVersion = reader.pollOnce(ctx, lastVersion, true)
	register("r-1", "draining")
	register("r-3", "ready")
	reader.pollOnce(ctx, lastVersion, true)
	// A peer fetches the newer versions that gossip announces concurrently.
	locked := func(gateway *Gateway, read func() bool) bool {
		gateway.mu.Lock()
		defer gateway.mu.Unlock()
		return read()
	}
	isRight := func(gateway *Gateway) bool {
		return locked(gateway, func() bool {
			known := gateway.replicas.byID
			return known["r-1"].Leaving && !known["r-2"].Leaving && known["r-3"].Service != ""
		})
	}
	compose := func(gateway *Gateway) (gossip dragonflyhatch.Gossip) {
		locked(gateway, func() bool {
			gossip = gateway.composeGossip(false, 0)
			return true
		})
		return gossip
	}
	if !isRight(reader) || reader.Table().Version != 9 {
		t.Errorf("the daemon that reads the store does not follow it, or is at configuration %d", reader.Table().Version)
	}
	reader.mergeGossip(peer.ExchangeGossip(compose(reader)))
	if !isRight(reader) {
		t.Error("gossip of a peer in the era before undoes what is known")
	}
	if !peer.isBehind(compose(reader)) {
		t.Error("the peer does not fetch the registrations of the later era")
	}
	version, value := reader.Snapshot(dragonflyhatch.SnapshotReplicas)
	peer.applyReplicaSnapshot(version, value, "a")
	if !isRight(peer) || compose(peer).ReplicasDigest != compose(reader).ReplicasDigest {
		t.Error("the peer does not know what the reader knows")
	}
}

// TestGatewaysAfterRestoration guards against a fleet that stops to serve, follows nothing or has no
// leader after the store came back from a copy of before its start.
func TestGatewaysAfterRestoration(t *testing.T) {
	convey.Convey("Given a fleet whose store has lost all that was written since its start", t, func() {
		cluster := newCluster(t, 0)
		copied := cluster.platform.Copy()
		for number := range 3 {
			cluster.startGateway(number, cluster.peerAddresses()...)
		}
		cluster.eventually(12*time.Second, "all gateways serve", cluster.allServing)
		cluster.eventually(2*time.Second, "there is one leader", func() bool { return cluster.leaders() == 1 })
		for version := 2; version <= 6; version++ {
			cluster.configure(version, "/draft/")
		}
		inForce := func(version uint64) func() bool {
			return func() bool {
				return !slices.ContainsFunc(cluster.gateways, func(gateway *testGateway) bool { return gateway.Table().Version != version })
			}
		}
		cluster.eventually(2*time.Second, "the configuration is in force", inForce(6))
		cluster.platform.SetFaults(hatchstandin.PlatformFaults{Outage: true})
		time.Sleep(300 * time.Millisecond)
		cluster.platform.Restore(copied)
		cluster.platform.SetFaults(hatchstandin.PlatformFaults{})
		restored := time.Now()
		convey.So(cluster.allServing(), convey.ShouldBeTrue)
		for number, engine := range cluster.engines {
			entry, err := json.Marshal(engine.Registration())
			convey.So(err, convey.ShouldBeNil)
			cluster.platform.Put("servers", fmt.Sprint("i-", number), entry)
		}
		cluster.configure(6, "/draft/")
		leads := func() bool {
			object, err := cluster.store.Get(context.Background(), leaseName)
			var holder lease
			return err == nil && json.Unmarshal(object.Value, &holder) == nil && slices.ContainsFunc(cluster.gateways, func(gateway *testGateway) bool {
				gateway.mu.Lock()
				defer gateway.mu.Unlock()
				return gateway.leader.isSelf && gateway.leader.term == object.Version && holder.Process == gateway.roster.Self().Process
			})
		}
		cluster.eventually(time.Until(restored.Add(2*time.Second)), "one leader has the lease of the era", func() bool { return cluster.leaders() == 1 && leads() })
		for time.Since(restored) < reregistrationGrace+time.Second {
			convey.So(cluster.allServing(), convey.ShouldBeTrue)
			convey.So(inForce(6)(), convey.ShouldBeTrue)
		}
		cluster.configure(7, "/draft/")
		cluster.eventually(2*time.Second, "a later configuration is in force", inForce(7))
		leaving := cluster.engines[0]
		leaving.Leave()
		cluster.eventually(2*time.Second, "all know that an engine is leaving", func() bool {
			return !slices.ContainsFunc(cluster.gateways, func(gateway *testGateway) bool {
				node := gateway.View().NodeAt(leaving.Address())
				return node != nil && !node.Leaving
			})
		})
		cluster.eventually(3*time.Second, "all gateways serve", cluster.allServing)
	})
}

// TestLeaderEndsWithRestoration guards against a fleet without a leader after its leader has ended
// while the store came back from a copy.
func TestLeaderEndsWithRestoration(t *testing.T) {
	ctx := context.Background()
	for name, holder := range map[string]string{"missing": "", "of the leader that has ended": "a", "of an earlier leader": "b"} {
		standIn := hatchstandin.NewPlatform()
		server := httptest.NewServer(standIn.Handler())
		newDaemon := func(host string) *Gateway {
			return New(&platform.Settings{Host: host, PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String()})
		}
		daemons := map[string]*Gateway{"a": newDaemon("a"), "b": newDaemon("b"), "c": newDaemon("c")}
		if holder != "" {
			value, err := json.Marshal(lease{Host: holder, Process: daemons[holder].roster.Self().Process})
			if err != nil {
				t.Fatal(err)
			}
			standIn.Put("leases", "placement", value)
		}
		copied := standIn.Copy()
		standIn.Put("config", "main", []byte(`{"version":1}`))
		leaving := daemons["a"].roster.Self()
		leaving.Leaving, leaving.Version = true, leaving.Version+1
		known, _ := dragonflyhatch.StoreVersion(1, 90)
		standIn.Restore(copied)
		for host, daemon := range daemons {
			for other := range daemons {
				if other != host {
					daemon.roster.Merge(daemons[other].roster.Self())
				}
			}
			daemon.mergeLeader("a", known)
			daemon.roster.Merge(leaving)
		}
		leads := func() *Gateway {
			for _, host := range []string{"c", "b"} { // c is the first to notice
				if err := daemons[host].acquireLease(ctx, time.Now()); err != nil {
					t.Errorf("%s: %v", name, err)
				}
				daemons["b"].mergeLeader(daemons["c"].leader.host, daemons["c"].leader.term)
				daemons["c"].mergeLeader(daemons["b"].leader.host, daemons["b"].leader.term)
			}
			switch b, c := daemons["b"], daemons["c"]; {
			case b.isLeader() == c.isLeader(), b.leader.term != c.leader.term, dragonflyhatch.EraOf(b.leader.term) != 2:
				t.Errorf("%s: b leads: %t in the term %d, c: %t in %d", name, b.isLeader(), b.leader.term, c.isLeader(), c.leader.term)
				return nil
			case b.isLeader():
				return b
			default:
				return c
			}
		}
		if first := leads(); first != leads() {
			t.Errorf("%s: the leader changes", name)
		}
		server.Close()
	}
}
