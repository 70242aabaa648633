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

// AuthenticateOperator returns the name of the operator that the bearer token
// belongs to, or a Failure of KindUnauthorized.
func (daemon *Daemon) AuthenticateOperator(token string) (string, error) {
	hash := hatchconfig.HashToken(token)
	for name, operator := range daemon.settings.Operators {
		if operator.TokenHash.Equal(hash) {
			return name, nil
		}
	}
	return "", dragonflyhatch.Failf(dragonflyhatch.KindUnauthorized, "the bearer token belongs to no operator")
}

// Ready returns nil if the daemon serves callers, or a Failure with the reason
// why it does not.
func (daemon *Daemon) Ready() error {
	if daemon.leaving.Load() {
		return dragonflyhatch.Failf(dragonflyhatch.KindLeaving, "%s is stopping", daemon.settings.Host)
	}
	_, err := daemon.currentView()
	return err
}

// Metrics returns the daemon's metrics registry.
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
		OwnedShards:          daemon.claims.ownedShards(),
	}
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	for _, serving := range daemon.members.Serving() {
		status.Serving = append(status.Serving, serving.Host)
	}
	for _, known := range daemon.members.All() {
		status.Known = append(status.Known, known.Host)
	}
	status.Drains = daemon.drainSet.List()
	return status
}

// ExplainLocally returns the record of a request that this daemon received from
// a caller, or false if it has none.
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
	peers := daemon.members.Peers()
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
	return nil, dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no reachable host has a record of request %.60q", request)
}

// explainTimeout bounds the search for a record on the peers.
const explainTimeout = 2 * time.Second

// AuditEntries returns the entries of the audit trail whose Action starts with
// actionPrefix.
func (daemon *Daemon) AuditEntries(ctx context.Context, actionPrefix string) ([]hatchaudit.Entry, error) {
	if err := daemon.trail.Flush(ctx); err != nil {
		return nil, platformFailure(err)
	}
	entries, err := hatchaudit.ReadEntries(ctx, daemon.platform, actionPrefix)
	return entries, platformFailure(err)
}

// platformFailure turns an error of the platform into a Failure, and nil into
// nil.
func platformFailure(err error) error {
	if err == nil {
		return nil
	}
	return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindPlatformUnavailable, Detail: err.Error(), Cause: err}
}

// SetDrain records whether an upstream is leaving.
func (daemon *Daemon) SetDrain(ctx context.Context, operator string, change hatchentry.DrainChange) error {
	err := daemon.writeDrain(ctx, operator, change)
	daemon.trail.Add(hatchaudit.Entry{
		Actor: operator, Action: "drain " + change.Address, To: "leaving=" + strconv.FormatBool(change.Leaving), Outcome: auditOutcome(err),
	})
	return err
}

func auditOutcome(err error) string {
	if err == nil {
		return "applied"
	}
	return "refused: " + err.Error()
}

// drainObject is the value of the object on the platform that marks an upstream
// as leaving. The object exists as long as the upstream is leaving.
type drainObject struct {
	Who string `json:"who"`
}

func (daemon *Daemon) writeDrain(ctx context.Context, operator string, change hatchentry.DrainChange) error {
	name := drainPrefix + change.Address
	object, err := daemon.platform.Get(ctx, name)
	missing := errors.Is(err, dragonflyhatch.ErrObjectMissing)
	if err != nil && !missing {
		return platformFailure(err)
	}
	if missing != change.Leaving {
		return nil // already in the wanted state
	}
	if !change.Leaving {
		err = daemon.platform.Delete(ctx, name, object.Version)
	} else {
		var value []byte
		if value, err = json.Marshal(drainObject{operator}); err == nil {
			_, err = daemon.platform.Create(ctx, name, value)
		}
	}
	if errors.IsAny(err, dragonflyhatch.ErrVersionConflict, dragonflyhatch.ErrObjectMissing) {
		return dragonflyhatch.Failf(dragonflyhatch.KindConflict, "another operator changed the drain of %s", change.Address)
	}
	return platformFailure(err)
}

// maxApplyTries bounds the attempts to write a proposal to the configuration
// object and to find out whether an earlier write was applied.
const maxApplyTries = 5

// maxObjectBytes is the size limit of an object on the platform, in bytes.
const maxObjectBytes = 1 << 20

// maxRecentChanges bounds the list of recent changes in the configuration
// object.
const maxRecentChanges = 64

// ApplyConfiguration makes the proposal the accepted configuration and returns
// its version.
func (daemon *Daemon) ApplyConfiguration(ctx context.Context, operator string, proposal hatchentry.Proposal) (uint64, error) {
	accepted, err := daemon.acceptProposal(ctx, operator, proposal)
	daemon.trail.Add(hatchaudit.Entry{
		Actor:   operator,
		Action:  "configuration",
		From:    strconv.FormatUint(proposal.IfVersion, 10),
		To:      strconv.FormatUint(proposal.IfVersion+1, 10),
		Outcome: auditOutcome(err),
	})
	if err != nil {
		return 0, err
	}
	daemon.adopt(accepted, "operator")
	return accepted.Version, nil
}

func (daemon *Daemon) acceptProposal(ctx context.Context, operator string, proposal hatchentry.Proposal) (dragonflyhatch.AcceptedConfiguration, error) {
	next := dragonflyhatch.AcceptedConfiguration{
		Version:  proposal.IfVersion + 1,
		Change:   uuid.NewString(),
		Author:   operator,
		Base:     proposal.Base,
		Overlays: proposal.Overlays,
	}
	if err := hatchconfig.Check(next); err != nil {
		return next, &dragonflyhatch.Failure{Kind: dragonflyhatch.KindConfigurationInvalid, Detail: "the proposed configuration is invalid", Cause: err}
	}
	outcomeUnknown := false
	var err error
	for range maxApplyTries {
		var current dragonflyhatch.AcceptedConfiguration
		var version uint64
		if current, version, err = daemon.currentConfiguration(ctx); err != nil {
			if !daemon.sleep(ctx, minRetryInterval) {
				break
			}
			continue
		}
		if current.Version != proposal.IfVersion {
			return next, checkSuperseded(current, next)
		}
		next.Recent = appendRecentChange(current.Recent, next)
		if err = daemon.writeConfiguration(ctx, version, next); err == nil {
			return next, nil
		}
		if dragonflyhatch.KindOf(err) == dragonflyhatch.KindConfigurationInvalid {
			return next, err
		}
		outcomeUnknown = outcomeUnknown || !errors.Is(err, dragonflyhatch.ErrVersionConflict)
	}
	if outcomeUnknown {
		return next, &dragonflyhatch.Failure{Kind: dragonflyhatch.KindOutcomeUnknown, Detail: "the platform does not respond; the change may have been accepted", Cause: err}
	}
	return next, platformFailure(err)
}

// checkSuperseded returns nil if the proposed change is among the accepted
// ones, or else a Failure that names the change that was accepted instead.
func checkSuperseded(current, proposed dragonflyhatch.AcceptedConfiguration) error {
	for _, record := range current.Recent {
		if record.Change == proposed.Change {
			return nil
		}
		if record.Version == proposed.Version {
			return dragonflyhatch.Failf(dragonflyhatch.KindConflict, "version %d by %s was accepted first; version %d is in force", record.Version, record.Author, current.Version)
		}
	}
	return dragonflyhatch.Failf(dragonflyhatch.KindConflict, "version %d by %s is in force", current.Version, current.Author)
}

func appendRecentChange(recent []dragonflyhatch.ChangeRecord, next dragonflyhatch.AcceptedConfiguration) []dragonflyhatch.ChangeRecord {
	kept := recent[max(0, len(recent)+1-maxRecentChanges):]
	return append(append([]dragonflyhatch.ChangeRecord(nil), kept...), dragonflyhatch.ChangeRecord{
		Version: next.Version, Change: next.Change, Author: next.Author,
	})
}

// currentConfiguration reads the accepted configuration and its object's
// version. Both are zero if no configuration was ever accepted.
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
	if len(value) > maxObjectBytes {
		return dragonflyhatch.Failf(dragonflyhatch.KindConfigurationInvalid, "the configuration has %d bytes, more than a platform object can hold", len(value))
	}
	if version == 0 {
		_, err = daemon.platform.Create(ctx, configurationName, value)
		return err
	}
	_, err = daemon.platform.Update(ctx, configurationName, version, value)
	return err
}
