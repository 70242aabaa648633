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

// The names of the objects that all daemons watch. They have a common prefix, so
// that a single watch covers them all.
const (
	fleetPrefix       = "fleet/"
	configurationName = fleetPrefix + "configuration"
	daemonPrefix      = fleetPrefix + "daemon/"
	drainPrefix       = fleetPrefix + "drain/"
)

const (
	maxWatchWait     = 30 * time.Second
	minRetryInterval = 500 * time.Millisecond
	maxRetryInterval = 5 * time.Second
)

// watchFleet keeps the daemon's state up to date with the fleet's objects until
// ctx is done. While the platform cannot be reached it gets newer
// configurations from peers.
func (daemon *Daemon) watchFleet(ctx context.Context) {
	wait := minRetryInterval
	for ctx.Err() == nil {
		err := daemon.listAndWatch(ctx, func() { wait = minRetryInterval })
		if ctx.Err() != nil {
			return
		}
		daemon.logger.Warn("watching the platform failed", "error", err)
		daemon.fetchConfigurationFromPeers(ctx)
		daemon.sleep(ctx, wait)
		wait = min(2*wait, maxRetryInterval)
	}
}

// listAndWatch lists and then watches the fleet's objects, and calls progress
// before each watch. It returns when a call fails.
func (daemon *Daemon) listAndWatch(ctx context.Context, progress func()) error {
	objects, version, err := daemon.platform.List(ctx, fleetPrefix)
	if err != nil {
		return err
	}
	for _, object := range objects {
		daemon.applyChange(dragonflyhatch.Change{Object: object})
	}
	if err := daemon.register(ctx); err != nil {
		return err
	}
	for {
		progress()
		changes, next, err := daemon.platform.Watch(ctx, fleetPrefix, version, maxWatchWait)
		if err != nil {
			return err
		}
		for _, change := range changes {
			daemon.applyChange(change)
		}
		version = next
	}
}

// applyChange applies a change of one of the fleet's objects.
func (daemon *Daemon) applyChange(change dragonflyhatch.Change) {
	object := change.Object
	switch {
	case object.Name == configurationName && !change.Deleted:
		var accepted dragonflyhatch.AcceptedConfiguration
		if daemon.decode(object, &accepted) {
			daemon.adopt(accepted, "platform")
		}
	case strings.HasPrefix(object.Name, daemonPrefix):
		daemon.applyRegistration(change)
	case strings.HasPrefix(object.Name, drainPrefix):
		daemon.applyDrain(change)
	}
}

func (daemon *Daemon) decode(object dragonflyhatch.Object, into any) bool {
	if err := json.Unmarshal(object.Value, into); err != nil {
		daemon.logger.Error("object cannot be decoded", "name", object.Name, "version", object.Version, "error", err)
		return false
	}
	return true
}

func (daemon *Daemon) applyRegistration(change dragonflyhatch.Change) {
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
		daemon.members.RemoveRegistration(host, object.Version)
	default:
		daemon.members.AddRegistration(registered, object.Version)
	}
}

func (daemon *Daemon) applyDrain(change dragonflyhatch.Change) {
	object := change.Object
	drain := dragonflyhatch.Drain{
		Address: strings.TrimPrefix(object.Name, drainPrefix),
		Source:  dragonflyhatch.DrainByOperator,
		Version: object.Version,
		Leaving: !change.Deleted,
	}
	daemon.mergeDrains("platform", drain)
}

// register writes the daemon's registration unless it is already up to date.
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

// deregister removes the daemon's registration unless another process has
// replaced it.
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

// fetchConfigurationFromPeers asks random peers, from the settings and the
// fleet's objects, for their configurations and adopts the newest.
func (daemon *Daemon) fetchConfigurationFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	group := pool.New().WithMaxGoroutines(8)
	for _, address := range daemon.randomPeerAddresses() {
		group.Go(func() {
			accepted, err := daemon.peer.Configuration(ctx, address)
			if err == nil {
				daemon.adopt(accepted, address)
			}
		})
	}
	group.Wait()
}

// maxPeersAsked bounds how many peers are asked for a configuration at a time.
const maxPeersAsked = 8

// randomPeerAddresses returns the addresses of at most maxPeersAsked peers.
func (daemon *Daemon) randomPeerAddresses() []string {
	addresses := append([]string(nil), daemon.settings.Peers...)
	daemon.mu.Lock()
	for _, peer := range daemon.members.Peers() {
		addresses = append(addresses, peer.PeerAddress)
	}
	daemon.mu.Unlock()
	daemon.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(len(addresses), maxPeersAsked)]
}
