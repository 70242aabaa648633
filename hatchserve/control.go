package hatchserve

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchentry"
)

// Operator returns the name of an operator by the bearer token, or a Failure of
// KindUnauthorized.
func (daemon *Daemon) Operator(token string) (string, error) {
	hash := hatchconfig.HashToken(token)
	for name, operator := range daemon.settings.Operators {
		if operator.TokenHash.Equal(hash) {
			return name, nil
		}
	}
	return "", dragonflyhatch.Fail(dragonflyhatch.KindUnauthorized, "the bearer token names no operator")
}

// Ready returns nil if the daemon serves callers.
func (daemon *Daemon) Ready() error {
	if daemon.leaving.Load() {
		return dragonflyhatch.Fail(dragonflyhatch.KindLeaving, "%s is stopping", daemon.settings.Host)
	}
	_, err := daemon.ready()
	return err
}

// Metrics returns the daemon's meters.
func (daemon *Daemon) Metrics() metrics.Registry {
	return daemon.registry
}

// Status describes the daemon and what it knows of the fleet.
func (daemon *Daemon) Status() hatchentry.Status {
	status := hatchentry.Status{
		Host:                 daemon.settings.Host,
		Site:                 daemon.settings.Site,
		Process:              daemon.process,
		Started:              daemon.started.UTC(),
		Leaving:              daemon.leaving.Load(),
		ConfigurationVersion: daemon.configurationVersion(),
		OwnedShards:          daemon.claims.owned(),
	}
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	for _, serving := range daemon.daemons.Serving() {
		status.Serving = append(status.Serving, serving.Host)
	}
	for _, known := range daemon.daemons.All() {
		status.Known = append(status.Known, known.Host)
	}
	status.Drains = daemon.facts.List()
	return status
}

// ExplainLocally returns the record of a request that this daemon took, or
// false.
func (daemon *Daemon) ExplainLocally(request string) ([]byte, bool) {
	record, ok := daemon.journal.Find(request)
	if !ok {
		return nil, false
	}
	text, err := json.Marshal(record)
	return text, err == nil
}

// Explain returns the record of a request from whichever host has it, or a
// Failure of KindNotFound.
func (daemon *Daemon) Explain(ctx context.Context, request string) ([]byte, error) {
	if record, ok := daemon.ExplainLocally(request); ok {
		return record, nil
	}
	daemon.mu.Lock()
	peers := daemon.daemons.Peers()
	daemon.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	found := make(chan []byte, len(peers))
	for _, peer := range peers {
		go func() {
			record, err := daemon.peer.Explain(ctx, peer.PeerAddress, request)
			if err != nil {
				record = nil
			}
			found <- record
		}()
	}
	for range peers {
		if record := <-found; record != nil {
			return record, nil
		}
	}
	return nil, dragonflyhatch.Fail(dragonflyhatch.KindNotFound, "no host that answers has a record of %.60q", request)
}

// explainTimeout bounds the search for a record.
const explainTimeout = 2 * time.Second

// Audit returns the changes whose description begins with what.
func (daemon *Daemon) Audit(ctx context.Context, what string) ([]hatchaudit.Entry, error) {
	if err := daemon.trail.Flush(ctx); err != nil {
		return nil, platformFailure(err)
	}
	entries, err := hatchaudit.Read(ctx, daemon.platform, what)
	return entries, platformFailure(err)
}

// platformFailure turns an error of the platform into a Failure; nil stays nil.
func platformFailure(err error) error {
	if err == nil {
		return nil
	}
	return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindPlatformUnavailable, Detail: err.Error(), Cause: err}
}

// Drain says that an upstream is leaving, or that it is not.
func (daemon *Daemon) Drain(ctx context.Context, who string, order hatchentry.DrainOrder) error {
	err := daemon.writeDrain(ctx, who, order)
	daemon.trail.Add(hatchaudit.Entry{
		Who: who, What: "drain " + order.Address, To: "leaving=" + strconv.FormatBool(order.Leaving), Outcome: outcomeOf(err),
	})
	return err
}

func outcomeOf(err error) string {
	if err == nil {
		return "applied"
	}
	return "refused: " + err.Error()
}

// drainNote is the value of a drain's object.
type drainNote struct {
	Who string `json:"who"`
}

func (daemon *Daemon) writeDrain(ctx context.Context, who string, order hatchentry.DrainOrder) error {
	name := drainPrefix + order.Address
	object, err := daemon.platform.Get(ctx, name)
	missing := errors.Is(err, dragonflyhatch.ErrObjectMissing)
	if err != nil && !missing {
		return platformFailure(err)
	}
	if missing != order.Leaving {
		return nil // it is so already
	}
	if !order.Leaving {
		err = daemon.platform.Delete(ctx, name, object.Version)
	} else {
		var value []byte
		if value, err = json.Marshal(drainNote{who}); err == nil {
			_, err = daemon.platform.Create(ctx, name, value)
		}
	}
	if errors.IsAny(err, dragonflyhatch.ErrVersionChanged, dragonflyhatch.ErrObjectMissing) {
		return dragonflyhatch.Fail(dragonflyhatch.KindConflict, "another operator changed the drain of %s", order.Address)
	}
	return platformFailure(err)
}

// applyTries bounds the reads that find out what became of a write.
const applyTries = 5

// maxObject is the largest value that the platform holds, in bytes.
const maxObject = 1 << 20

// maxRecent bounds the memory of accepted changes in the configuration object.
const maxRecent = 64

// Apply makes the proposal the accepted configuration and returns its version.
func (daemon *Daemon) Apply(ctx context.Context, who string, proposal hatchentry.Proposal) (uint64, error) {
	accepted, err := daemon.accept(ctx, who, proposal)
	daemon.trail.Add(hatchaudit.Entry{
		Who:     who,
		What:    "configuration",
		From:    strconv.FormatUint(proposal.IfVersion, 10),
		To:      strconv.FormatUint(proposal.IfVersion+1, 10),
		Outcome: outcomeOf(err),
	})
	if err != nil {
		return 0, err
	}
	daemon.adopt(accepted, "operator")
	return accepted.Version, nil
}

func (daemon *Daemon) accept(ctx context.Context, who string, proposal hatchentry.Proposal) (dragonflyhatch.AcceptedConfiguration, error) {
	next := dragonflyhatch.AcceptedConfiguration{
		Version:  proposal.IfVersion + 1,
		Change:   uuid.NewString(),
		Author:   who,
		Base:     proposal.Base,
		Overlays: proposal.Overlays,
	}
	if err := hatchconfig.Check(next); err != nil {
		return next, &dragonflyhatch.Failure{Kind: dragonflyhatch.KindConfigurationInvalid, Detail: "the proposal has faults", Cause: err}
	}
	unsure := false
	var err error
	for range applyTries {
		var current dragonflyhatch.AcceptedConfiguration
		var version uint64
		if current, version, err = daemon.currentConfiguration(ctx); err != nil {
			if !daemon.pause(ctx, retryPause) {
				break
			}
			continue
		}
		if current.Version != proposal.IfVersion {
			return next, superseded(current, next)
		}
		next.Recent = noted(current.Recent, next)
		if err = daemon.writeConfiguration(ctx, version, next); err == nil {
			return next, nil
		}
		if dragonflyhatch.KindOf(err) == dragonflyhatch.KindConfigurationInvalid {
			return next, err
		}
		unsure = unsure || !errors.Is(err, dragonflyhatch.ErrVersionChanged)
	}
	if unsure {
		return next, &dragonflyhatch.Failure{Kind: dragonflyhatch.KindOutcomeUnknown, Detail: "the platform does not answer; the change may be accepted", Cause: err}
	}
	return next, platformFailure(err)
}

// superseded returns nil if the change wanted is among the accepted ones, or a
// Failure that names the change that came first.
func superseded(current, wanted dragonflyhatch.AcceptedConfiguration) error {
	for _, note := range current.Recent {
		if note.Change == wanted.Change {
			return nil
		}
		if note.Version == wanted.Version {
			return dragonflyhatch.Fail(dragonflyhatch.KindConflict, "version %d of %s came first; in force is %d", note.Version, note.Author, current.Version)
		}
	}
	return dragonflyhatch.Fail(dragonflyhatch.KindConflict, "version %d of %s is in force", current.Version, current.Author)
}

func noted(recent []dragonflyhatch.ConfigurationNote, next dragonflyhatch.AcceptedConfiguration) []dragonflyhatch.ConfigurationNote {
	kept := recent[max(0, len(recent)+1-maxRecent):]
	return append(append([]dragonflyhatch.ConfigurationNote(nil), kept...), dragonflyhatch.ConfigurationNote{
		Version: next.Version, Change: next.Change, Author: next.Author,
	})
}

// currentConfiguration reads the accepted configuration and its object's
// version; both are zero before the first.
func (daemon *Daemon) currentConfiguration(ctx context.Context) (dragonflyhatch.AcceptedConfiguration, uint64, error) {
	var current dragonflyhatch.AcceptedConfiguration
	object, err := daemon.platform.Get(ctx, configurationName)
	if errors.Is(err, dragonflyhatch.ErrObjectMissing) {
		return current, 0, nil
	}
	if err != nil {
		return current, 0, err
	}
	err = json.Unmarshal(object.Value, &current)
	return current, object.Version, err
}

func (daemon *Daemon) writeConfiguration(ctx context.Context, version uint64, next dragonflyhatch.AcceptedConfiguration) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if len(value) > maxObject {
		return dragonflyhatch.Fail(dragonflyhatch.KindConfigurationInvalid, "%d bytes are more than an object of the platform holds", len(value))
	}
	if version == 0 {
		_, err = daemon.platform.Create(ctx, configurationName, value)
		return err
	}
	_, err = daemon.platform.Update(ctx, configurationName, version, value)
	return err
}
