package hatchgateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/platform"
)

const (
	// watchWait is how long the store holds a watch without changes; each watch
	// is a call that is paid for.
	watchWait = 25 * time.Second
	// watchPause is the pause between two watches, in which changes gather: far
	// below the bounds on drains and configurations.
	watchPause = 50 * time.Millisecond
	// retryPause and maxRetryPause bound the pauses between calls that fail.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = time.Second
)

// follower takes what the store holds of one kind.
type follower interface {
	kind() string
	// listed takes all objects of the kind; away says that the store was not to
	// be reached before.
	listed(objects []dragonflyhatch.Object, version uint64, away bool)
	// changed takes all changes since, up to the version.
	changed(changes []dragonflyhatch.Change, version uint64)
}

// follow keeps the follower informed until ctx is done: by a listing, then by
// watches, and by a listing again when a watch failed or its history was gone.
func (gateway *Gateway) follow(ctx context.Context, follower follower) {
	prefix := follower.kind() + "/"
	pause, away := retryPause, false
	for ctx.Err() == nil {
		if !gateway.followsStore(time.Now()) {
			gateway.pause(ctx, dutyCheck)
			continue
		}
		objects, version, err := gateway.store.List(ctx, prefix)
		gateway.storeAnswered(err == nil)
		if err == nil {
			follower.listed(objects, version, away)
			if away {
				gateway.logger.Info("store regained", "kind", follower.kind(), "version", version)
			}
			pause, away = retryPause, false
			err = gateway.watch(ctx, follower, prefix, version)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errOffDuty) {
			continue
		}
		if errors.Is(err, dragonflyhatch.ErrHistoryGone) {
			gateway.logger.Info("store forgot its history", "kind", follower.kind())
			continue // a watch of another kind may still be silent: see poll
		}
		if !away {
			gateway.logger.Warn("store lost", "kind", follower.kind(), "error", err)
		}
		away = true
		gateway.pause(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// errOffDuty ends a watch of a daemon that need not follow the store any more.
var errOffDuty = errors.New("other daemons follow the store")

// watch passes changes on until a watch fails.
func (gateway *Gateway) watch(ctx context.Context, follower follower, prefix string, version uint64) error {
	for {
		changes, next, err := gateway.store.Watch(ctx, prefix, version, watchWait)
		if err != nil {
			return err
		}
		version = next
		if len(changes) > 0 {
			follower.changed(changes, version)
			gateway.pause(ctx, watchPause)
		}
		if !gateway.followsStore(time.Now()) {
			return errOffDuty
		}
	}
}

// pause waits for about the duration, so that daemons that were disturbed
// together do not go on acting together.
func (gateway *Gateway) pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration/2 + time.Duration(gateway.random.Int64N(int64(duration))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// routingFollower takes the operator's configuration.
type routingFollower struct{ *Gateway }

func (routingFollower) kind() string { return platform.RoutingKind }

func (follower routingFollower) listed(objects []dragonflyhatch.Object, _ uint64, _ bool) {
	for _, object := range objects {
		follower.take(object)
	}
}

func (follower routingFollower) changed(changes []dragonflyhatch.Change, _ uint64) {
	for _, change := range changes {
		if !change.Deleted {
			follower.take(change.Object)
		}
	}
}

func (follower routingFollower) take(object dragonflyhatch.Object) {
	if object.Name == platform.RoutingName {
		follower.adoptRouting(object.Value, "store")
	}
}

// adoptRouting puts a configuration in force, unless it is not newer than the
// one that is: a daemon never goes back.
func (gateway *Gateway) adoptRouting(value []byte, source string) {
	routing, err := platform.DecodeRouting(value)
	if err != nil {
		gateway.logger.Error("configuration not read", "source", source, "error", err)
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
		"routes", len(routing.Routes), "organisations", len(routing.Organisations), "source", source,
		"added", changes.Added, "removed", changes.Removed, "keysChanged", changes.Keys,
		"changed", changes.Changed[:min(len(changes.Changed), maxChangesLogged)])
	gateway.routing = snapshot{routing.Version, value}
	gateway.table.Store(table)
	gateway.rebuild()
	if first {
		close(gateway.hasTable)
		return
	}
	gateway.tellNews()
}

// maxChangesLogged bounds the changed routes that one line of the log names.
const maxChangesLogged = 16

const (
	// rebuildRest is how many times as long as a rebuild of the view takes the next
	// one waits: with thousands of replicas that change by hundreds a second, as when
	// a fleet starts, a small machine would do nothing else.
	rebuildRest = 10
	// maxRebuildRest bounds the wait, far below the bounds on drains.
	maxRebuildRest = 300 * time.Millisecond
)

// rebuild replaces the view now, or soon if it was replaced a moment ago; the
// mutex must be held.
func (gateway *Gateway) rebuild() {
	gateway.encoded = snapshot{}
	wait := time.Until(gateway.nextRebuild)
	switch {
	case gateway.rebuildPlanned: // it will show this change too
	case wait <= 0:
		gateway.rebuildNow()
	default:
		gateway.rebuildPlanned = true
		time.AfterFunc(wait, func() {
			gateway.mu.Lock()
			defer gateway.mu.Unlock()
			gateway.rebuildPlanned = false
			gateway.rebuildNow()
		})
	}
}

// rebuildNow replaces the view; the mutex must be held.
func (gateway *Gateway) rebuildNow() {
	begun := time.Now()
	defer func() {
		took := time.Since(begun)
		gateway.nextRebuild = begun.Add(took + min(rebuildRest*took, maxRebuildRest))
	}()
	var services map[string]dragonflyhatch.UpstreamService
	if table := gateway.table.Load(); table != nil {
		services = table.Services
	}
	list := gateway.replicas.list()
	gateway.view.Store(hatchpath.NewView(list, services, gateway.healths))
	gateway.healths.Keep(list)
}

// replicaFollower takes the registrations of replicas.
type replicaFollower struct{ *Gateway }

func (replicaFollower) kind() string { return platform.ReplicaKind }

func (follower replicaFollower) listed(objects []dragonflyhatch.Object, version uint64, away bool) {
	list := follower.decode(objects)
	now := time.Now()
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if away {
		follower.replicas.returned(now)
	}
	follower.replicas.replace(list, version, now)
	follower.rebuild()
}

// polled takes a listing that was read beside the watch.
func (follower replicaFollower) polled(objects []dragonflyhatch.Object, version uint64) {
	list := follower.decode(objects)
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.replicas.replace(list, version, time.Now()) {
		return
	}
	follower.rebuild()
	follower.tellNews()
}

func (follower replicaFollower) decode(objects []dragonflyhatch.Object) []dragonflyhatch.Replica {
	var list []dragonflyhatch.Replica
	for _, object := range objects {
		replica, err := platform.DecodeReplica(object)
		if err != nil {
			follower.logger.Warn("registration not read", "object", object.Name, "error", err)
			continue
		}
		list = append(list, replica)
	}
	return list
}

func (follower replicaFollower) changed(changes []dragonflyhatch.Change, version uint64) {
	now := time.Now()
	follower.mu.Lock()
	defer follower.mu.Unlock()
	for _, change := range changes {
		follower.change(change, now)
	}
	follower.replicas.saw(version)
	follower.replicas.expire(now)
	follower.rebuild()
	follower.tellNews()
}

func (follower replicaFollower) change(change dragonflyhatch.Change, now time.Time) {
	object := change.Object
	id := object.Name[len(platform.ReplicaKind)+1:]
	removed := dragonflyhatch.ReplicaChange{Replica: dragonflyhatch.Replica{ID: id, Revision: object.Version}, Removed: true}
	if change.Deleted {
		follower.logger.Info("replica gone", "replica", id, "revision", object.Version)
		follower.replicas.remove(id, object.Version, now)
		follower.replicas.note(removed, now)
		return
	}
	replica, err := platform.DecodeReplica(object)
	if err != nil {
		// An entry that cannot be read names no replica to use.
		follower.logger.Warn("registration not read", "object", object.Name, "error", err)
		follower.replicas.remove(id, object.Version, now)
		follower.replicas.note(removed, now)
		return
	}
	follower.logger.Info("replica registered", "replica", id, "service", replica.Service, "address", replica.Address,
		"leaving", replica.Leaving, "first", replica.Held.First, "end", replica.Held.End, "revision", replica.Revision)
	follower.replicas.put(replica)
	follower.replicas.note(dragonflyhatch.ReplicaChange{Replica: replica}, now)
}

// encodeReplicas returns the replicas as JSON for a peer; the mutex must be
// held. The text is kept until the replicas change: many peers ask at once.
func (gateway *Gateway) encodeReplicas() []byte {
	if gateway.encoded.value != nil {
		return gateway.encoded.value
	}
	text, err := json.Marshal(gateway.replicas.list())
	if err != nil { // plain structs always encode
		gateway.logger.Error("replicas not encoded", "error", err)
	}
	gateway.encoded = snapshot{gateway.replicas.version, text}
	return text
}

// adoptReplicas takes the replicas that a peer knows.
func (gateway *Gateway) adoptReplicas(version uint64, value []byte, source string) {
	var list []dragonflyhatch.Replica
	if err := json.Unmarshal(value, &list); err != nil {
		gateway.logger.Error("replicas not read", "source", source, "error", err)
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if version <= gateway.replicas.seen {
		return
	}
	gateway.logger.Info("replicas learnt", "source", source, "version", version, "before", gateway.replicas.version)
	gateway.replicas.replace(list, version, time.Now())
	gateway.replicas.version = max(gateway.replicas.version, version)
	gateway.rebuild()
	gateway.tellNews()
}
