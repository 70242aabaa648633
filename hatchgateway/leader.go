package hatchgateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

const (
	// leaseName is the object whose conditional write makes a daemon the leader.
	leaseName = "leases/placement"
	// rankWait is how long each rank of candidates waits for the ranks before.
	rankWait = 500 * time.Millisecond
	// leaderCheck is the pause between looks at whether there is a leader.
	leaderCheck = 200 * time.Millisecond
)

// lease is who places layers.
type lease struct {
	Host    string `json:"host"`
	Process string `json:"process"`
}

// leadership is what a daemon knows of who places layers. The term is the
// version of the lease's object, so it rises with every take-over.
type leadership struct {
	host     string
	term     uint64
	own      bool      // this process took the lease with the term
	vacantAt time.Time // since when no serving leader is known
}

// heardLeader takes what a peer says of the leader; the mutex must be held.
func (gateway *Gateway) heardLeader(host string, term uint64) {
	if term <= gateway.leader.term {
		return
	}
	if gateway.leader.own {
		gateway.logger.Info("no longer leader", "term", gateway.leader.term, "leader", host, "newTerm", term)
	}
	gateway.leader = leadership{host: host, term: term}
}

// isLeader says whether this daemon places layers.
func (gateway *Gateway) isLeader() bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.leader.own && !gateway.stopping.Load()
}

// elect takes the lease whenever no serving daemon holds it and it is this
// daemon's turn, until ctx is done. A paused leader may act beside a newer one:
// each order carries the number of orders that its engine has accepted, so that
// only one of two takes effect.
func (gateway *Gateway) elect(ctx context.Context) {
	for ctx.Err() == nil {
		gateway.pause(ctx, leaderCheck)
		if gateway.mayLead(time.Now()) {
			if err := gateway.takeLease(ctx); err != nil {
				gateway.logger.Warn("lease not taken", "error", err)
				gateway.pause(ctx, rankWait)
			}
		}
	}
}

// mayLead says whether there has been no leader for as long as this daemon's
// rank has to wait.
func (gateway *Gateway) mayLead(now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	leader := &gateway.leader
	if leader.host != "" && gateway.roster.IsServing(leader.host) && (leader.own || leader.host != gateway.settings.Host) {
		leader.vacantAt = time.Time{}
		return false
	}
	if leader.vacantAt.IsZero() {
		leader.vacantAt = now
	}
	rank := gateway.roster.Rank(leaseName)
	return rank >= 0 && now.Sub(leader.vacantAt) >= time.Duration(rank+1)*rankWait
}

// takeLease makes this daemon the leader by a conditional write. A write whose
// reply is lost is read back.
func (gateway *Gateway) takeLease(ctx context.Context) error {
	gateway.mu.Lock()
	self := gateway.roster.Self()
	known := gateway.leader.term
	gateway.mu.Unlock()
	object, err := gateway.store.Get(ctx, leaseName)
	missing := errors.Is(err, dragonflyhatch.ErrObjectMissing)
	if err != nil && !missing {
		return err
	}
	var holder lease
	if !missing {
		if err := json.Unmarshal(object.Value, &holder); err != nil {
			gateway.logger.Warn("lease not read", "error", err) // it is replaced
		}
	}
	if holder.Process == self.Process {
		gateway.lead(object.Version)
		return nil
	}
	if !missing && gateway.follows(holder, object.Version, known) {
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
	gateway.lead(version)
	return nil
}

// follows takes the holder of the lease for the leader, if that is news to this
// daemon: it has taken over from the leader that was known, or this daemon, which
// knew of none, sees it serve.
func (gateway *Gateway) follows(holder lease, term, known uint64) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if term <= known || known == 0 && !gateway.roster.IsServingProcess(holder.Host, holder.Process) {
		return false
	}
	gateway.heardLeader(holder.Host, term)
	return true
}

// lead notes that this daemon took the lease.
func (gateway *Gateway) lead(term uint64) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if term <= gateway.leader.term && !gateway.leader.own {
		return
	}
	gateway.leader = leadership{host: gateway.settings.Host, term: term, own: true}
	gateway.logger.Info("leader", "term", term)
}
