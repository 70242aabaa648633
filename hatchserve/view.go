package hatchserve

import (
	"dragonflyhatch"
	"dragonflyhatch/hatchanswer"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchroute"
)

// view is what the path of a request reads: one configuration and the choices
// that follow from it. A view never changes; a new one replaces it.
type view struct {
	accepted      dragonflyhatch.AcceptedConfiguration
	configuration *hatchconfig.Configuration
	organisations map[hatchconfig.TokenHash]string
	sealer        *hatchanswer.Sealer
	engines       []string // addresses of all engines, leaving ones included
	snapshot      *hatchroute.Snapshot
}

// adopt puts a newer accepted configuration in force; the version in force
// never goes down. It says whether the configuration was newer.
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
	daemon.tell()
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
		snapshot:      hatchroute.NewSnapshot(configuration, daemon.facts.Leaving, daemon.tracks),
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

// merge takes facts about leaving upstreams and rebuilds the snapshot if any
// was news.
func (daemon *Daemon) merge(source string, drains ...dragonflyhatch.Drain) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	news := false
	for _, drain := range drains {
		before := daemon.facts.Leaving(drain.Address)
		news = daemon.facts.Merge(drain) || news
		if after := daemon.facts.Leaving(drain.Address); after != before {
			daemon.logger.Info("upstream leaving", "address", drain.Address, "leaving", after, "by", drain.Source, "source", source)
		}
	}
	if !news {
		return
	}
	daemon.tell()
	current := daemon.view.Load()
	if current == nil {
		return
	}
	next := *current
	next.snapshot = hatchroute.NewSnapshot(current.configuration, daemon.facts.Leaving, daemon.tracks)
	daemon.view.Store(&next)
}

// configurationVersion is the version in force, 0 before the first.
func (daemon *Daemon) configurationVersion() uint64 {
	if current := daemon.view.Load(); current != nil {
		return current.accepted.Version
	}
	return 0
}

// AcceptedConfiguration returns the configuration that the daemon holds, of
// version 0 if it has none.
func (daemon *Daemon) AcceptedConfiguration() dragonflyhatch.AcceptedConfiguration {
	if current := daemon.view.Load(); current != nil {
		return current.accepted
	}
	return dragonflyhatch.AcceptedConfiguration{}
}

// ready returns the view in force, or a Failure of KindNotReady.
func (daemon *Daemon) ready() (*view, error) {
	current := daemon.view.Load()
	if current == nil {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindNotReady, "no configuration has been accepted or found yet")
	}
	return current, nil
}
