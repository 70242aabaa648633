package hatchserve

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"dragonflyhatch"
	"dragonflyhatch/hatchmember"
)

// The names of the objects that all daemons watch, by one prefix so that one
// waiting watch is enough.
const (
	fleetPrefix       = "fleet/"
	configurationName = fleetPrefix + "configuration"
	daemonPrefix      = fleetPrefix + "daemon/"
	drainPrefix       = fleetPrefix + "drain/"
)

const (
	watchWait     = 30 * time.Second
	retryPause    = 500 * time.Millisecond
	maxRetryPause = 5 * time.Second
)

// watchFleet follows the fleet's objects until ctx is done.
func (daemon *Daemon) watchFleet(ctx context.Context) {
	wait := retryPause
	for ctx.Err() == nil {
		err := daemon.follow(ctx, func() { wait = retryPause })
		if ctx.Err() != nil {
			return
		}
		daemon.logger.Warn("platform not followed", "error", err)
		daemon.askPeers(ctx)
		daemon.pause(ctx, wait)
		wait = min(2*wait, maxRetryPause)
	}
}

// follow lists and then watches; it returns when a call fails.
func (daemon *Daemon) follow(ctx context.Context, progress func()) error {
	objects, version, err := daemon.platform.List(ctx, fleetPrefix)
	if err != nil {
		return err
	}
	for _, object := range objects {
		daemon.take(dragonflyhatch.Change{Object: object})
	}
	if err := daemon.register(ctx); err != nil {
		return err
	}
	for {
		progress()
		changes, next, err := daemon.platform.Watch(ctx, fleetPrefix, version, watchWait)
		if err != nil {
			return err
		}
		for _, change := range changes {
			daemon.take(change)
		}
		version = next
	}
}

// take puts one changed object of the fleet to use.
func (daemon *Daemon) take(change dragonflyhatch.Change) {
	object := change.Object
	switch {
	case object.Name == configurationName && !change.Deleted:
		var accepted dragonflyhatch.AcceptedConfiguration
		if daemon.decode(object, &accepted) {
			daemon.adopt(accepted, "platform")
		}
	case strings.HasPrefix(object.Name, daemonPrefix):
		daemon.takeDaemon(change)
	case strings.HasPrefix(object.Name, drainPrefix):
		daemon.takeDrain(change)
	}
}

func (daemon *Daemon) decode(object dragonflyhatch.Object, into any) bool {
	if err := json.Unmarshal(object.Value, into); err != nil {
		daemon.logger.Error("object cannot be read", "name", object.Name, "version", object.Version, "error", err)
		return false
	}
	return true
}

func (daemon *Daemon) takeDaemon(change dragonflyhatch.Change) {
	object := change.Object
	host := strings.TrimPrefix(object.Name, daemonPrefix)
	var registered hatchmember.Daemon
	if !change.Deleted && !daemon.decode(object, &registered) {
		return
	}
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	switch {
	case host == daemon.settings.Host:
	case change.Deleted:
		daemon.daemons.Removed(host, object.Version)
	default:
		daemon.daemons.Registered(registered, object.Version)
	}
}

func (daemon *Daemon) takeDrain(change dragonflyhatch.Change) {
	object := change.Object
	drain := dragonflyhatch.Drain{
		Address: strings.TrimPrefix(object.Name, drainPrefix),
		Source:  dragonflyhatch.DrainByOperator,
		Version: object.Version,
		Leaving: !change.Deleted,
	}
	daemon.merge("platform", drain)
}

// register writes the daemon's registration unless it is in place.
func (daemon *Daemon) register(ctx context.Context) error {
	name := daemonPrefix + daemon.settings.Host
	value, err := json.Marshal(daemon.registration())
	if err != nil {
		return err
	}
	object, err := daemon.platform.Get(ctx, name)
	if errors.Is(err, dragonflyhatch.ErrObjectMissing) {
		_, err = daemon.platform.Create(ctx, name, value)
		return err
	}
	if err != nil || bytes.Equal(object.Value, value) {
		return err
	}
	_, err = daemon.platform.Update(ctx, name, object.Version, value)
	return err
}

// deregister removes the daemon's registration.
func (daemon *Daemon) deregister(ctx context.Context) error {
	name := daemonPrefix + daemon.settings.Host
	object, err := daemon.platform.Get(ctx, name)
	if err != nil {
		return err
	}
	var registered hatchmember.Daemon
	if err := json.Unmarshal(object.Value, &registered); err != nil {
		return err
	}
	if registered.Process != daemon.process {
		return nil
	}
	return daemon.platform.Delete(ctx, name, object.Version)
}

// peerTimeout bounds a short call to a peer.
const peerTimeout = 700 * time.Millisecond

// askPeers looks for a newer configuration at the peers that the settings and
// the fleet's objects name, and adopts the highest.
func (daemon *Daemon) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	group := pool.New().WithMaxGoroutines(8)
	for _, address := range daemon.peerAddresses() {
		group.Go(func() {
			accepted, err := daemon.peer.Configuration(ctx, address)
			if err == nil {
				daemon.adopt(accepted, address)
			}
		})
	}
	group.Wait()
}

// maxAsked bounds the peers that are asked for a configuration at once.
const maxAsked = 8

func (daemon *Daemon) peerAddresses() []string {
	addresses := append([]string(nil), daemon.settings.Peers...)
	daemon.mu.Lock()
	for _, peer := range daemon.daemons.Peers() {
		addresses = append(addresses, peer.PeerAddress)
	}
	daemon.mu.Unlock()
	daemon.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(len(addresses), maxAsked)]
}
