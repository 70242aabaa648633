package hatchgateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/platform"
)

const (
	// watchTimeout is how long the store holds a watch open without changes. It is
	// long because each watch is a billed call.
	watchTimeout = 25 * time.Second
	// watchPause is the pause between two watches, in which changes accumulate. It is
	// far below the time within which a drain or a configuration must take effect.
	watchPause = 50 * time.Millisecond
	// retryPause and maxRetryPause are the first and the longest backoff after a
	// failed call.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = time.Second
)

// follower applies the store's objects of one kind.
type follower interface {
	kind() string
	// applyListing applies a listing of all objects of the kind as of the version;
	// afterOutage means that the store was unreachable before.
	applyListing(objects []dragonflyhatch.Object, version uint64, afterOutage bool)
	// applyChanges applies all later changes up to the version.
	applyChanges(changes []dragonflyhatch.Change, version uint64)
}

// runFollower passes the store's state to the follower until ctx is done: a listing,
// then the changes from watches, and a new listing when a watch fails or the store
// no longer has the history that it needs.
func (gateway *Gateway) runFollower(ctx context.Context, follower follower) {
	prefix := follower.kind() + "/"
	pause, unreachable := retryPause, false
	gateway.awaitFirstCall(ctx, follower.kind())
	for ctx.Err() == nil {
		if !gateway.shouldFollowStore(time.Now()) {
			gateway.pause(ctx, followCheckInterval)
			continue
		}
		started := time.Now()
		objects, version, err := gateway.store.List(ctx, prefix)
		if ctx.Err() != nil {
			return
		}
		gateway.recordStoreReachable(err == nil)
		gateway.recordStoreCall(started, err == nil)
		if err == nil {
			follower.applyListing(objects, version, unreachable)
			if unreachable {
				gateway.logger.Info("store reachable again", "kind", follower.kind(), "version", version)
			}
			pause, unreachable = retryPause, false
			err = gateway.watchChanges(ctx, follower, prefix, version)
			gateway.recordWatchEnd(ctx, err)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errNotFollowing) {
			continue
		}
		if errors.Is(err, dragonflyhatch.ErrHistoryGone) {
			gateway.logger.Info("store history gone, listing again", "kind", follower.kind())
			continue // a watch on another kind may still deliver no events; runPolling covers that
		}
		if !unreachable {
			gateway.logger.Warn("store unreachable", "kind", follower.kind(), "error", err)
		}
		unreachable = true
		gateway.pause(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// recordWatchEnd records that the store has ended a watch, which counts as a failed call
// now, however long ago the watch began. Without that each follower would list the store
// again to find out that it is unavailable.
func (gateway *Gateway) recordWatchEnd(ctx context.Context, err error) {
	if ctx.Err() == nil && !errors.Is(err, errNotFollowing) && !errors.Is(err, dragonflyhatch.ErrHistoryGone) {
		gateway.recordStoreCall(time.Now(), false)
	}
}

// errNotFollowing ends the watches of a daemon that no longer needs to follow the
// store.
var errNotFollowing = errors.New("store is followed by other daemons")

// watchChanges passes changes to the follower until a watch fails or the daemon no
// longer needs to follow the store.
func (gateway *Gateway) watchChanges(ctx context.Context, follower follower, prefix string, version uint64) error {
	following, stop := gateway.whileFollowing(ctx)
	defer stop()
	for {
		changes, next, err := gateway.store.Watch(following, prefix, version, watchTimeout)
		if following.Err() != nil && ctx.Err() == nil {
			return errNotFollowing
		}
		if err != nil {
			return err
		}
		version = next
		if len(changes) > 0 {
			follower.applyChanges(changes, version)
			gateway.pause(ctx, watchPause)
		}
		gateway.recordStoreCall(time.Now(), true)
		if !gateway.goesOnFollowing(time.Now()) {
			return errNotFollowing
		}
	}
}

// whileFollowing returns a context that is done when ctx is, or when this daemon has not
// needed to follow the store for unfollowDelay. The delay is hysteresis against ranks
// that change for a moment. stop releases the context.
func (gateway *Gateway) whileFollowing(ctx context.Context) (following context.Context, stop context.CancelFunc) {
	following, stop = context.WithCancel(ctx)
	go func() {
		defer stop()
		needed := time.Now()
		for following.Err() == nil && time.Since(needed) < unfollowDelay {
			sleep(following, unfollowDelay/4)
			if now := time.Now(); gateway.goesOnFollowing(now) {
				needed = now
			}
		}
	}()
	return following, stop
}

// pause waits for a random time of 0.5 to 1.5 times the duration, or until ctx is
// done. The jitter spreads out daemons that were disturbed by the same event.
func (gateway *Gateway) pause(ctx context.Context, duration time.Duration) {
	sleep(ctx, duration/2+time.Duration(gateway.random.Int64N(int64(duration))))
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// routingFollower applies the operator's configuration.
type routingFollower struct{ *Gateway }

func (routingFollower) kind() string { return platform.RoutingKind }

func (follower routingFollower) applyListing(objects []dragonflyhatch.Object, _ uint64, _ bool) {
	for _, object := range objects {
		follower.applyObject(object)
	}
}

// applyChanges applies only the last of several versions: decoding one takes
// milliseconds, and versions may come within less than that.
func (follower routingFollower) applyChanges(changes []dragonflyhatch.Change, _ uint64) {
	for _, change := range slices.Backward(changes) {
		if !change.Deleted && change.Object.Name == platform.RoutingName {
			follower.applyObject(change.Object)
			return
		}
	}
}

func (follower routingFollower) applyObject(object dragonflyhatch.Object) {
	if object.Name == platform.RoutingName {
		follower.applyRouting(object.Value, "store")
	}
}

// applyRouting puts a configuration in force if it is newer than the current one: a
// daemon never goes back to an older version.
func (gateway *Gateway) applyRouting(value []byte, source string) {
	routing, err := platform.DecodeRouting(value)
	if err != nil {
		gateway.logger.Error("decoding configuration failed", "source", source, "error", err)
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if routing.Version <= gateway.routing.version {
		return
	}
	first := gateway.routing.version == 0
	table := hatchroute.NewTable(routing)
	changes := table.ChangesSince(gateway.table.Load())
	gateway.logger.Info("configuration in force", "version", routing.Version, "before", gateway.routing.version,
		"routes", len(routing.Routes), "organisations", len(routing.Organisations), "keysNeeded", routing.Organisations != nil, "source", source,
		"added", changes.Added, "removed", changes.Removed, "keysChanged", changes.Keys,
		"changed", changes.Changed[:min(len(changes.Changed), maxChangesLogged)])
	gateway.routing = snapshot{routing.Version, value}
	gateway.table.Store(table)
	gateway.requestRebuild()
	if first {
		close(gateway.tableLoaded)
	}
	gateway.pushToAll.Store(true)
	gateway.requestPush()
}

// maxChangesLogged bounds the changed routes named in one log line.
const maxChangesLogged = 16

const (
	// rebuildPauseFactor is the pause after a rebuild of the view as a multiple of the
	// time that the rebuild took. When a fleet of thousands of replicas starts, with
	// hundreds of changes per second, a small machine would otherwise do nothing but
	// rebuild.
	rebuildPauseFactor = 10
	// maxRebuildPause bounds the pause; it is far below the time within which a drain
	// must take effect.
	maxRebuildPause = 300 * time.Millisecond
)

// requestRebuild drops the cached encoding of the replicas and rebuilds the view:
// immediately, or at the end of the pause after an earlier rebuild. The mutex must
// be held.
func (gateway *Gateway) requestRebuild() {
	gateway.encodedReplicas = snapshot{}
	wait := time.Until(gateway.earliestRebuild)
	switch {
	case gateway.rebuildScheduled: // that rebuild will include this change
	case wait <= 0:
		gateway.rebuildView()
	default:
		gateway.rebuildScheduled = true
		time.AfterFunc(wait, func() {
			gateway.mu.Lock()
			defer gateway.mu.Unlock()
			gateway.rebuildScheduled = false
			gateway.rebuildView()
		})
	}
}

// rebuildView rebuilds the view from the known replicas; the mutex must be held.
func (gateway *Gateway) rebuildView() {
	start := time.Now()
	defer func() {
		took := time.Since(start)
		gateway.earliestRebuild = start.Add(took + min(rebuildPauseFactor*took, maxRebuildPause))
	}()
	var services map[string]dragonflyhatch.UpstreamService
	if table := gateway.table.Load(); table != nil {
		services = table.Services
	}
	list := slices.DeleteFunc(gateway.replicas.usable(start), func(replica dragonflyhatch.Replica) bool {
		return !gateway.registrations.fitsModel(replica, services[replica.Service].Model)
	})
	gateway.view.Store(hatchpath.NewView(list, services, gateway.healths))
	gateway.healths.Retain(start, list)
}

// minOutageForGrace is the age of this daemon's knowledge from which registrations may have
// expired in the store because replicas could not renew them: over one interval of renewals.
const minOutageForGrace = 2 * time.Second

// replicaFollower applies the registrations of replicas.
type replicaFollower struct{ *Gateway }

func (replicaFollower) kind() string { return platform.ReplicaKind }

func (follower replicaFollower) applyListing(objects []dragonflyhatch.Object, version uint64, afterOutage bool) {
	list := follower.decodeReplicas(objects)
	follower.updateReplicas(func(replicas *replicaSet, now time.Time) bool {
		// A daemon that the store has turned away, but that peers kept up to date, knows what
		// has been removed meanwhile: its first listing is no reason to defer removals.
		if follower.freshness.Age(now) > minOutageForGrace {
			if afterOutage {
				replicas.startGrace(now)
			} else if end := follower.freshness.OutageEnd(now); now.Sub(end) < reregistrationGrace {
				replicas.startGrace(end)
			}
		}
		return replicas.replace(list, version, now)
	})
}

// applyPolledListing applies a listing that was read by polling beside the watch. It is
// the first one after an outage in which the calls are paced.
func (follower replicaFollower) applyPolledListing(objects []dragonflyhatch.Object, version uint64) {
	follower.applyListing(objects, version, false)
}

// updateReplicas changes the known replicas and, if update reports a change, puts it in
// force and pushes it to peers.
func (gateway *Gateway) updateReplicas(update func(replicas *replicaSet, now time.Time) bool) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	before := gateway.replicas.completeVersion
	if update(&gateway.replicas, now) {
		gateway.requestRebuild()
		gateway.requestPush()
	}
	if era := dragonflyhatch.EraOf(gateway.replicas.completeVersion); before > 0 && era > dragonflyhatch.EraOf(before) {
		gateway.logger.Info("registrations of a later era of the store", "era", era,
			"before", dragonflyhatch.EraOf(before), "overridden", len(gateway.replicas.overrides))
		for _, delay := range []time.Duration{reregistrationGrace, restoredEntryDelay} { // when overrides end
			time.AfterFunc(delay, func() {
				gateway.mu.Lock()
				defer gateway.mu.Unlock()
				gateway.requestRebuild()
			})
		}
	}
}

func (follower replicaFollower) decodeReplicas(objects []dragonflyhatch.Object) []dragonflyhatch.Replica {
	var list []dragonflyhatch.Replica
	for _, object := range objects {
		if replica, ok := follower.registrations.decode(object); ok {
			list = append(list, replica)
		}
	}
	return list
}

func (follower replicaFollower) applyChanges(changes []dragonflyhatch.Change, version uint64) {
	decoded := make([]dragonflyhatch.ReplicaChange, len(changes))
	for i, change := range changes {
		decoded[i] = follower.decodeChange(change)
	}
	follower.updateReplicas(func(replicas *replicaSet, now time.Time) bool {
		replicas.applyWatched(decoded, version, now)
		replicas.expire(now)
		return true
	})
}

// decodeChange decodes and logs a change that a watch has delivered.
func (follower replicaFollower) decodeChange(change dragonflyhatch.Change) dragonflyhatch.ReplicaChange {
	object := change.Object
	id := object.Name[len(platform.ReplicaKind)+1:]
	removal := dragonflyhatch.ReplicaChange{Replica: dragonflyhatch.Replica{ID: id, Revision: object.Version}, Removed: true}
	if change.Deleted {
		follower.logger.Info("replica deregistered", "replica", id, "revision", object.Version)
		return removal
	}
	replica, ok := follower.registrations.decode(object)
	if !ok { // it replaces a registration that was usable
		return removal
	}
	follower.logger.Info("replica registered", "replica", id, "service", replica.Service, "address", replica.Address,
		"leaving", replica.Leaving, "first", replica.Held.First, "end", replica.Held.End, "revision", replica.Revision)
	return dragonflyhatch.ReplicaChange{Replica: replica}
}

// encodeReplicas returns the replicas as JSON for peers; the mutex must be held. The
// encoding is cached until the replicas change, as many peers ask for it at the
// same time.
func (gateway *Gateway) encodeReplicas() []byte {
	if gateway.encodedReplicas.value != nil {
		return gateway.encodedReplicas.value
	}
	text, err := json.Marshal(gateway.replicas.snapshot(time.Now()))
	if err != nil { // cannot happen for plain structs
		gateway.logger.Error("encoding replicas failed", "error", err)
	}
	gateway.encodedReplicas = snapshot{gateway.replicas.announced(), text}
	return text
}

// applyReplicaSnapshot applies a peer's snapshot of the replicas if it is newer.
func (gateway *Gateway) applyReplicaSnapshot(version uint64, value []byte, source string) {
	var listed []listedReplica
	if err := json.Unmarshal(value, &listed); err != nil {
		gateway.logger.Error("decoding replica snapshot failed", "source", source, "error", err)
		return
	}
	gateway.updateReplicas(func(replicas *replicaSet, now time.Time) bool {
		if version <= replicas.completeVersion {
			return false
		}
		gateway.logger.Info("replica snapshot applied", "source", source, "version", version, "before", replicas.version)
		replicas.applySnapshot(listed, version, now)
		replicas.version = max(replicas.version, version)
		return true
	})
}
