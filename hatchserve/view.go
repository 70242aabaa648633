package hatchserve

import (
	"dragonflyhatch"
	"dragonflyhatch/hatchanswer"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchroute"
)

// view is the state that the handling of a request reads: one configuration and
// what is derived from it. A view is immutable; it is replaced as a whole.
type view struct {
	accepted      dragonflyhatch.AcceptedConfiguration
	configuration *hatchconfig.Configuration
	organisations map[hatchconfig.TokenHash]string
	sealer        *hatchanswer.Sealer
	engines       []string // addresses of all engines, leaving ones included
	snapshot      *hatchroute.Snapshot
}

// adopt puts an accepted configuration in force if it is newer, and reports
// whether it did. The version in force never decreases.
func (daemon *Daemon) adopt(accepted dragonflyhatch.AcceptedConfiguration, source string) bool {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	if accepted.Version <= daemon.configurationVersion() {
		return false
	}
	configuration, err := hatchconfig.Resolve(accepted, daemon.settings.Site)
	if err != nil {
		daemon.logger.Error("accepted configuration cannot be used", "version", accepted.Version, "error", err)
		return false
	}
	next, err := daemon.newView(accepted, configuration)
	if err != nil {
		daemon.logger.Error("accepted configuration cannot be used", "version", accepted.Version, "error", err)
		return false
	}
	daemon.view.Store(next)
	daemon.pushUpdates()
	daemon.logger.Info("configuration in force", "version", accepted.Version, "author", accepted.Author, "source", source)
	return true
}

func (daemon *Daemon) newView(accepted dragonflyhatch.AcceptedConfiguration, configuration *hatchconfig.Configuration) (*view, error) {
	keys := make([][32]byte, len(configuration.SealingKeys))
	for i, key := range configuration.SealingKeys {
		keys[i] = key
	}
	sealer, err := hatchanswer.NewSealer(keys...)
	if err != nil {
		return nil, err
	}
	next := &view{
		accepted:      accepted,
		configuration: configuration,
		organisations: make(map[hatchconfig.TokenHash]string),
		sealer:        sealer,
		snapshot:      hatchroute.NewSnapshot(configuration, daemon.drainSet.Leaving, daemon.health),
	}
	for _, engine := range configuration.Engines {
		next.engines = append(next.engines, engine.Address)
	}
	for name, organisation := range configuration.Organisations {
		for _, hash := range organisation.TokenHashes {
			next.organisations[hash] = name
		}
	}
	return next, nil
}

// mergeDrains merges drains of upstreams and rebuilds the snapshot if any of
// them was new.
func (daemon *Daemon) mergeDrains(source string, drains ...dragonflyhatch.Drain) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	changed := false
	for _, drain := range drains {
		before := daemon.drainSet.Leaving(drain.Address)
		changed = daemon.drainSet.Merge(drain) || changed
		if after := daemon.drainSet.Leaving(drain.Address); after != before {
			daemon.logger.Info("drain changed", "address", drain.Address, "leaving", after, "by", drain.Source, "source", source)
		}
	}
	if !changed {
		return
	}
	daemon.pushUpdates()
	current := daemon.view.Load()
	if current == nil {
		return
	}
	next := *current
	next.snapshot = hatchroute.NewSnapshot(current.configuration, daemon.drainSet.Leaving, daemon.health)
	daemon.view.Store(&next)
}

// configurationVersion returns the version in force, or 0 before the first one.
func (daemon *Daemon) configurationVersion() uint64 {
	if current := daemon.view.Load(); current != nil {
		return current.accepted.Version
	}
	return 0
}

// AcceptedConfiguration returns the configuration in force. Its version is 0 if
// there is none.
func (daemon *Daemon) AcceptedConfiguration() dragonflyhatch.AcceptedConfiguration {
	if current := daemon.view.Load(); current != nil {
		return current.accepted
	}
	return dragonflyhatch.AcceptedConfiguration{}
}

// currentView returns the view in force, or a Failure of KindNotReady.
func (daemon *Daemon) currentView() (*view, error) {
	current := daemon.view.Load()
	if current == nil {
		return nil, dragonflyhatch.Failf(dragonflyhatch.KindNotReady, "no configuration has been received yet")
	}
	return current, nil
}
