package hatchserve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchclaim"
	"dragonflyhatch/hatchmember"
	"dragonflyhatch/hatchpeer"
)

// Call routes a request to a plain service. A repeatable one goes straight to
// a replica; any other one goes through the owner of its claim.
func (daemon *Daemon) Call(ctx context.Context, request string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	current, err := daemon.ready()
	if err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	service, ok := current.configuration.Services[call.Service]
	if !ok {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Fail(dragonflyhatch.KindNotFound, "no service %q", call.Service)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if service.Repeatable(call.Method, call.Path) {
		call.Key = ""
		return daemon.callRepeatable(ctx, request, call)
	}
	if call.Key == "" {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Fail(dragonflyhatch.KindKeyMissing, "%s %s may not be repeated", call.Method, call.Path)
	}
	if _, err := hatchclaim.ParseKey(call.Key, time.Now()); err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	return daemon.order(ctx, request, call)
}

// order hands the request to the daemons that may own its claim, one after the
// other, until one answers.
func (daemon *Daemon) order(ctx context.Context, request string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	owners := daemon.owners(hatchclaim.ID{Organisation: call.Organisation, Key: call.Key}.Shard())
	byHost := make(map[string]hatchmember.Daemon, len(owners))
	hosts := make([]string, len(owners))
	for i, owner := range owners {
		hosts[i] = owner.Host
		byHost[owner.Host] = owner
	}
	forward := hatchclaim.NewForward(hosts)
	for {
		host, ok := forward.Next()
		if !ok || ctx.Err() != nil {
			return dragonflyhatch.ServiceReply{}, forward.End("no host answered in time")
		}
		daemon.journal.Note(request, "handed to claim owner", host)
		reply, reached, err := daemon.orderAt(ctx, byHost[host], call)
		switch {
		case err == nil:
			return reply, nil
		case reached == answered:
			failure := dragonflyhatch.FailureOf(err)
			daemon.journal.Note(request, "claim owner refused", failure.Error())
			if final := forward.Failed(failure); final != nil {
				return dragonflyhatch.ServiceReply{}, final
			}
		case reached == silent:
			forward.Silent()
			fallthrough
		default:
			daemon.journal.Note(request, "claim owner gave no answer", err.Error())
			daemon.metrics.takeOvers.Inc(1)
		}
	}
}

// maxOwners bounds the other daemons that an order is handed to.
const maxOwners = 3

// owners returns the daemons to hand an order of the shard to, in order. The
// daemon itself comes last, so that an order is not lost with the others.
func (daemon *Daemon) owners(shard int) []hatchmember.Daemon {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	var owners []hatchmember.Daemon
	for _, owner := range daemon.daemons.Owners(shard) {
		if owner.Host == daemon.settings.Host || len(owners) == maxOwners {
			break
		}
		owners = append(owners, owner)
	}
	return append(owners, daemon.registration())
}

// reach says how far a call to an owner came.
type reach int

const (
	unreached reach = iota // no byte has left
	silent                 // it may have arrived, and there is no answer
	answered
)

func (daemon *Daemon) orderAt(ctx context.Context, owner hatchmember.Daemon, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, reach, error) {
	if owner.Host == daemon.settings.Host {
		reply, err := daemon.claims.run(call)
		return reply, answered, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go daemon.supervise(ctx, cancel, owner)
	reply, err := daemon.peer.Order(ctx, owner.PeerAddress, call)
	return reply, reachOf(err), err
}

func reachOf(err error) reach {
	var failure *dragonflyhatch.Failure
	switch {
	case err == nil || errors.As(err, &failure):
		return answered
	case errors.Is(err, hatchpeer.ErrUnreachable):
		return unreached
	}
	return silent
}

// supervisePause is the time between two heartbeats to a daemon that runs an
// order for this one.
const supervisePause = 200 * time.Millisecond

// supervise gives an order up when its owner stops answering heartbeats: it may
// be frozen, and another daemon can find out from the claims what became of it.
func (daemon *Daemon) supervise(ctx context.Context, giveUp context.CancelFunc, owner hatchmember.Daemon) {
	for daemon.pause(ctx, supervisePause) {
		if !daemon.beatOne(ctx, owner) {
			giveUp()
			return
		}
	}
}

// RunOrder runs the request as the owner of its claim shard.
func (daemon *Daemon) RunOrder(_ context.Context, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	if _, err := daemon.ready(); err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	if daemon.leaving.Load() {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Fail(dragonflyhatch.KindLeaving, "%s hands its claims over", daemon.settings.Host)
	}
	return daemon.claims.run(call)
}

// runClaimed sends a claimed request to a replica. A replica that surely did
// not run it is followed by the next one.
func (daemon *Daemon) runClaimed(call dragonflyhatch.ServiceRequest) hatchclaim.RunResult {
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	reply, err := daemon.callReplicas(ctx, call, func(failure *dragonflyhatch.Failure) bool {
		return failure.Kind.Answer().Ran == dragonflyhatch.RanNo
	})
	if err == nil {
		return hatchclaim.RunResult{Outcome: hatchclaim.OutcomeOf(reply)}
	}
	failure := dragonflyhatch.FailureOf(err)
	return hatchclaim.RunResult{Kind: failure.Kind, Detail: failure.Detail}
}

func (daemon *Daemon) callRepeatable(ctx context.Context, request string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	daemon.budget.Earn()
	return daemon.callReplicas(ctx, call, func(failure *dragonflyhatch.Failure) bool {
		daemon.journal.Note(request, "replica failed", failure.Error())
		return daemon.budget.Spend()
	})
}

// callReplicas tries the service's replicas in the order of the snapshot. After
// a failure it goes on if again says so.
func (daemon *Daemon) callReplicas(ctx context.Context, call dragonflyhatch.ServiceRequest, again func(*dragonflyhatch.Failure) bool) (dragonflyhatch.ServiceReply, error) {
	current, err := daemon.ready()
	if err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	targets, err := current.snapshot.ServiceTargets(time.Now(), call.Service, daemon.random)
	if err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	last := &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "no replica of " + call.Service + " takes requests"}
	maybeRan := false
	for _, target := range targets {
		reply, err := daemon.callReplica(ctx, target.Address, call)
		if err == nil {
			return reply, nil
		}
		last = dragonflyhatch.FailureOf(err)
		maybeRan = maybeRan || last.Kind.Answer().Ran == dragonflyhatch.RanUnknown
		if ctx.Err() != nil {
			last = deadlineFailure(maybeRan, last)
			break
		}
		if !again(last) {
			break
		}
	}
	if maybeRan && last.Kind.Answer().Ran == dragonflyhatch.RanNo {
		last = &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamLost, Detail: last.Detail, Cause: last}
	}
	return dragonflyhatch.ServiceReply{}, last
}

func (daemon *Daemon) callReplica(ctx context.Context, address string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	track := daemon.tracks.Of(address)
	track.Begin()
	defer track.End()
	reply, err := daemon.service.Call(ctx, address, call)
	if err != nil && ctx.Err() == nil {
		track.Failed(time.Now())
	}
	if err == nil {
		track.Succeeded(time.Now())
	}
	return reply, err
}

func deadlineFailure(maybeRan bool, failure *dragonflyhatch.Failure) *dragonflyhatch.Failure {
	kind := dragonflyhatch.KindDeadlineNotRun
	if maybeRan {
		kind = dragonflyhatch.KindDeadlineUnknown
	}
	return &dragonflyhatch.Failure{Kind: kind, Detail: failure.Detail, Cause: failure}
}
