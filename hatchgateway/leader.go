package hatchgateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

const (
	// leaseName is the object in the store that names the leader. It is changed only
	// by conditional writes.
	leaseName = "leases/placement"
	// rankDelay staggers the candidates for a vacant lease: one of rank r waits for
	// (r+1)*rankDelay before it takes the lease, so that rank 0 comes first.
	rankDelay = 500 * time.Millisecond
	// unknownHolderWait is how long the lease of a process that this daemon does not
	// know must be unchanged before this daemon takes it. When all daemons start at the
	// same time, each of them would otherwise take it from the one before.
	unknownHolderWait = 600 * time.Millisecond
	// leaderCheckInterval is the pause between checks for a leader.
	leaderCheckInterval = 200 * time.Millisecond
	// resignTime is how long a daemon that has given up the lease does not take it
	// again.
	resignTime = 10 * time.Second
)

// lease is the value of the lease object.
type lease struct {
	Host    string `json:"host"`
	Process string `json:"process"`
}

// leadership is a daemon's view of the leader. The term is the version of the
// lease object, so it increases whenever the leader changes. A leader whose term is of a past
// era of the store leads on, but takes the lease of the latest era too.
type leadership struct {
	host        string
	term        uint64
	isSelf      bool      // this process acquired the lease in the term
	vacantSince time.Time // since when no serving leader is known; zero if one is

	barredUntil time.Time // until then this daemon does not take the lease, as it has resigned

	unknownTerm  uint64    // term of a lease whose holder is not known
	unknownSince time.Time // when that term was first read
}

// mergeLeader applies a leader and its term if the term is newer; the mutex must be
// held.
func (gateway *Gateway) mergeLeader(host string, term uint64) {
	if term <= gateway.leader.term {
		return
	}
	if gateway.leader.isSelf {
		gateway.logger.Info("no longer leader", "term", gateway.leader.term, "leader", host, "newTerm", term)
	}
	gateway.leader = leadership{host: host, term: term, barredUntil: gateway.leader.barredUntil}
}

// isLeader reports whether this daemon is the leader and not stopping.
func (gateway *Gateway) isLeader() bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.leader.isSelf && !gateway.stopping.Load()
}

// runElection acquires the lease whenever no serving daemon holds it and this
// daemon's delay has passed, until ctx is done. A leader that was paused may resume
// while its successor is active. Each layer command therefore carries the number of
// commands that the engine has accepted, so that only one of two takes effect.
func (gateway *Gateway) runElection(ctx context.Context) {
	for ctx.Err() == nil {
		gateway.pause(ctx, leaderCheckInterval)
		if gateway.shouldTakeLease(time.Now()) {
			if err := gateway.acquireLease(ctx, time.Now()); err != nil {
				gateway.logger.Warn("acquiring lease failed", "error", err)
				gateway.pause(ctx, rankDelay)
			}
		}
	}
}

// shouldTakeLease reports whether there has been no serving leader for the delay of
// this daemon's rank. A leader on this host that is an earlier process does not
// count as serving.
func (gateway *Gateway) shouldTakeLease(now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	leader := &gateway.leader
	if leader.isSelf && gateway.isPastEra(leader.term) {
		return !gateway.freshness.IsPaced(now) && !now.Before(leader.barredUntil)
	}
	if leader.host != "" && gateway.roster.IsServing(leader.host) && (leader.isSelf || leader.host != gateway.settings.Host) {
		leader.vacantSince = time.Time{}
		return false
	}
	if leader.vacantSince.IsZero() {
		leader.vacantSince = now
	}
	rank := gateway.roster.Rank(leaseName)
	// While the store serves nobody, the lease cannot be taken either.
	return rank >= 0 && !gateway.freshness.IsPaced(now) && !now.Before(leader.barredUntil) && now.Sub(leader.vacantSince) >= time.Duration(rank+1)*rankDelay
}

// isPastEra reports whether the term is of an era before that of the known registrations. The
// lease of the term may then be lost. The mutex must be held.
func (gateway *Gateway) isPastEra(term uint64) bool {
	return dragonflyhatch.EraOf(term) < dragonflyhatch.EraOf(gateway.replicas.completeVersion)
}

// acquireLease makes this daemon the leader by a conditional write, unless the
// lease names a leader to follow. If an earlier write succeeded but its reply was
// lost, the read at the start finds that this process holds the lease already.
func (gateway *Gateway) acquireLease(ctx context.Context, now time.Time) error {
	gateway.mu.Lock()
	self := gateway.roster.Self()
	known := gateway.leader.term
	gateway.mu.Unlock()
	started := time.Now()
	object, err := gateway.store.Get(ctx, leaseName)
	missing := errors.Is(err, dragonflyhatch.ErrObjectMissing)
	if ctx.Err() == nil {
		gateway.recordStoreCall(started, err == nil || missing)
	}
	if err != nil && !missing {
		return err
	}
	var holder lease
	if !missing {
		if err := json.Unmarshal(object.Value, &holder); err != nil {
			gateway.logger.Warn("decoding lease failed", "error", err) // the lease is overwritten
		}
	}
	if holder.Process == self.Process {
		gateway.becomeLeader(object.Version)
		return nil
	}
	if !missing && holder != (lease{}) && (gateway.adoptHolder(holder, object.Version, known) || gateway.awaitUnknownHolder(holder, object.Version, known, now)) {
		return nil
	}
	value, err := json.Marshal(lease{Host: self.Host, Process: self.Process})
	if err != nil {
		return err
	}
	var version uint64
	if missing {
		version, err = gateway.store.Create(ctx, leaseName, value)
	} else {
		version, err = gateway.store.Update(ctx, leaseName, object.Version, value)
	}
	if err != nil {
		return err
	}
	gateway.becomeLeader(version)
	return nil
}

// resign gives up the lease after the leader's work has failed here, so that another
// daemon takes it. This daemon does not take it again for resignTime, unless it is
// the only one.
func (gateway *Gateway) resign(ctx context.Context) {
	gateway.mu.Lock()
	leader := gateway.leader
	if !leader.isSelf || gateway.roster.Size() == 1 {
		gateway.mu.Unlock()
		return
	}
	gateway.leader.barredUntil = time.Now().Add(resignTime)
	gateway.mu.Unlock()
	value, err := json.Marshal(lease{})
	if err != nil {
		gateway.logger.Error("encoding lease failed", "error", err)
		return
	}
	term, err := gateway.store.Update(ctx, leaseName, leader.term, value)
	if err != nil {
		gateway.logger.Warn("giving up lease failed", "term", leader.term, "error", err)
		return
	}
	gateway.logger.Warn("gave up lease", "term", leader.term, "newTerm", term)
	gateway.mu.Lock()
	gateway.mergeLeader("", term)
	gateway.mu.Unlock()
	gateway.requestPush()
}

// adoptHolder records the holder of the lease as the leader if the lease's term is
// newer than the known one, and reports whether it did. If no leader of the era was known,
// the holder must also be serving: otherwise the lease may be that of a process that has
// ended. A leader does not adopt a holder in an era in which it has not held the lease itself:
// the lease may be one of before its own.
func (gateway *Gateway) adoptHolder(holder lease, term, known uint64) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	isNewEra := dragonflyhatch.EraOf(term) > dragonflyhatch.EraOf(known)
	if term <= known || isNewEra && gateway.leader.isSelf ||
		(known == 0 || isNewEra) && !gateway.roster.IsServingProcess(holder.Host, holder.Process) {
		return false
	}
	gateway.mergeLeader(holder.Host, term)
	return true
}

// awaitUnknownHolder reports whether the holder of the lease is to be given more time,
// because this daemon knows neither a leader nor the holder's host, and has not seen the
// term unchanged for unknownHolderWait.
func (gateway *Gateway) awaitUnknownHolder(holder lease, term, known uint64, now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if _, isMember := gateway.roster.Member(holder.Host); known != 0 || isMember || holder.Host == gateway.settings.Host {
		return false
	}
	leader := &gateway.leader
	if leader.unknownTerm != term {
		leader.unknownTerm, leader.unknownSince = term, now
	}
	return now.Sub(leader.unknownSince) < unknownHolderWait
}

// becomeLeader records that this daemon acquired the lease, unless a leader of a
// newer term is known. A peer may have announced this daemon's own term before.
func (gateway *Gateway) becomeLeader(term uint64) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	known := gateway.leader
	if term < known.term || term == known.term && known.host != gateway.settings.Host {
		return
	}
	gateway.leader = leadership{host: gateway.settings.Host, term: term, isSelf: true, barredUntil: gateway.leader.barredUntil}
	gateway.logger.Info("became leader", "term", term)
}
