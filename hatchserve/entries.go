package hatchserve

import (
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchentry"
)

// Entries returns the entry addresses that a caller may use, in the order in
// which to try them.
func (daemon *Daemon) Entries(caller string) hatchentry.Entries {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	entries := hatchentry.Entries{KeepSeconds: time.Duration(daemon.settings.Timing.EntriesTTL).Seconds()}
	for _, entry := range daemon.members.Entries(daemon.settings.Site, caller) {
		entries.Addresses = append(entries.Addresses, entry.CallerAddress)
	}
	return entries
}

// Authenticate returns the organisation that the bearer token belongs to, or a
// Failure of KindUnauthorized.
func (daemon *Daemon) Authenticate(token string) (hatchentry.Organisation, error) {
	current, err := daemon.currentView()
	if err != nil {
		return hatchentry.Organisation{}, err
	}
	name, ok := current.organisations[hatchconfig.HashToken(token)]
	if !ok {
		return hatchentry.Organisation{}, dragonflyhatch.Failf(dragonflyhatch.KindUnauthorized, "the bearer token belongs to no organisation")
	}
	organisation := current.configuration.Organisations[name]
	return hatchentry.Organisation{Name: name, MaxDuration: time.Duration(organisation.Deadline), Share: organisation.Share}, nil
}

// ModelMaxTokens returns the maximum length of the model's answers in tokens, or
// a Failure of KindNotFound.
func (daemon *Daemon) ModelMaxTokens(name string) (int, error) {
	current, err := daemon.currentView()
	if err != nil {
		return 0, err
	}
	model, ok := current.configuration.Models[name]
	if !ok {
		return 0, dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no model %q", name)
	}
	return model.MaxTokens, nil
}

// Sealer returns the Sealer for resume tokens of the configuration in force.
func (daemon *Daemon) Sealer() (hatchentry.Sealer, error) {
	current, err := daemon.currentView()
	if err != nil {
		return nil, err
	}
	return current.sealer, nil
}

// Begin starts the record of a request.
func (daemon *Daemon) Begin(request, organisation, target string, deadline time.Time) {
	daemon.journal.Begin(request, organisation, target, deadline)
}

// End closes the record of a request and counts its outcome. err is nil if the
// request was served.
func (daemon *Daemon) End(request string, err error) {
	if err == nil {
		daemon.metrics.served.Inc(1)
		daemon.journal.End(request, "served")
		return
	}
	failure := dragonflyhatch.FailureOf(err)
	if failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanUnknown {
		daemon.metrics.outcomeUnknown.Inc(1)
	} else {
		daemon.metrics.refused.Inc(1)
	}
	daemon.journal.End(request, failure.Error())
}

// Leaving reports whether the daemon is stopping.
func (daemon *Daemon) Leaving() bool {
	return daemon.leaving.Load()
}
