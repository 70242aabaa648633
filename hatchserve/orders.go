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

// Call routes a request to a plain service. A repeatable request is sent
// directly to a replica; any other request goes through the owner of its claim
// shard.
func (daemon *Daemon) Call(ctx context.Context, request string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	current, err := daemon.currentView()
	if err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	service, ok := current.configuration.Services[call.Service]
	if !ok {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no service %q", call.Service)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if service.Repeatable(call.Method, call.Path) {
		call.Key = ""
		return daemon.callRepeatable(ctx, request, call)
	}
	if call.Key == "" {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Failf(dragonflyhatch.KindKeyMissing, "%s %s is not repeatable and needs an idempotency key", call.Method, call.Path)
	}
	if _, err := hatchclaim.ParseKey(call.Key, time.Now()); err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	return daemon.forwardOrder(ctx, request, call)
}

// forwardOrder sends the request to the candidate owners of its claim shard,
// one after the other, until one gives a final response.
func (daemon *Daemon) forwardOrder(ctx context.Context, request string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	owners := daemon.owners(hatchclaim.ID{Organisation: call.Organisation, Key: call.Key}.Shard())
	byHost := make(map[string]hatchmember.Daemon, len(owners))
	hosts := make([]string, len(owners))
	for i, owner := range owners {
		hosts[i] = owner.Host
		byHost[owner.Host] = owner
	}
	plan := hatchclaim.NewForwardPlan(hosts)
	for {
		host, ok := plan.NextHost()
		if !ok || ctx.Err() != nil {
			return dragonflyhatch.ServiceReply{}, plan.FinalFailure("no host responded in time")
		}
		daemon.journal.AddEvent(request, "handed to claim owner", host)
		reply, result, err := daemon.sendOrder(ctx, byHost[host], call)
		switch {
		case err == nil:
			return reply, nil
		case result == callResponded:
			failure := dragonflyhatch.FailureOf(err)
			daemon.journal.AddEvent(request, "claim owner refused", failure.Error())
			if final := plan.HandleFailure(failure); final != nil {
				return dragonflyhatch.ServiceReply{}, final
			}
		case result == callNoResponse:
			plan.RecordNoResponse()
			fallthrough
		default:
			daemon.journal.AddEvent(request, "claim owner gave no answer", err.Error())
			daemon.metrics.ownerFailovers.Inc(1)
		}
	}
}

// maxOtherOwners bounds how many other daemons an order is forwarded to.
const maxOtherOwners = 3

// owners returns the daemons to send an order of the shard to, in order of
// preference. The daemon itself comes last, so that the order can run even if
// none of the others responds.
func (daemon *Daemon) owners(shard int) []hatchmember.Daemon {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	var owners []hatchmember.Daemon
	for _, owner := range daemon.members.Owners(shard) {
		if owner.Host == daemon.settings.Host || len(owners) == maxOtherOwners {
			break
		}
		owners = append(owners, owner)
	}
	return append(owners, daemon.registration())
}

// callResult is how far a call to an owner got.
type callResult int

const (
	callNotSent    callResult = iota // no byte was sent
	callNoResponse                   // the request may have arrived, but there was no response
	callResponded                    // the owner responded
)

func (daemon *Daemon) sendOrder(ctx context.Context, owner hatchmember.Daemon, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, callResult, error) {
	if owner.Host == daemon.settings.Host {
		reply, err := daemon.claims.runOrder(call)
		return reply, callResponded, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go daemon.monitorOwner(ctx, cancel, owner)
	reply, err := daemon.peer.Order(ctx, owner.PeerAddress, call)
	return reply, classifyCall(err), err
}

func classifyCall(err error) callResult {
	var failure *dragonflyhatch.Failure
	switch {
	case err == nil || errors.As(err, &failure):
		return callResponded
	case errors.Is(err, hatchpeer.ErrUnreachable):
		return callNotSent
	}
	return callNoResponse
}

// ownerCheckInterval is the interval between two heartbeats to a daemon that
// runs an order for this one.
const ownerCheckInterval = 200 * time.Millisecond

// monitorOwner abandons an order once its owner stops responding to heartbeats.
// The owner may be frozen, and another daemon can determine the outcome of the
// order from the claims.
func (daemon *Daemon) monitorOwner(ctx context.Context, abandon context.CancelFunc, owner hatchmember.Daemon) {
	for daemon.sleep(ctx, ownerCheckInterval) {
		if !daemon.heartbeatPeer(ctx, owner) {
			abandon()
			return
		}
	}
}

// RunOrder runs the request as the owner of its claim shard.
func (daemon *Daemon) RunOrder(_ context.Context, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	if _, err := daemon.currentView(); err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	if daemon.leaving.Load() {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Failf(dragonflyhatch.KindLeaving, "%s is stopping and takes no more orders", daemon.settings.Host)
	}
	return daemon.claims.runOrder(call)
}

// dispatchClaimed sends a claimed request to a replica. It tries the next one
// only if the request certainly did not run.
func (daemon *Daemon) dispatchClaimed(call dragonflyhatch.ServiceRequest) hatchclaim.RunResult {
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	reply, err := daemon.callReplicas(ctx, call, func(failure *dragonflyhatch.Failure) bool {
		return failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanNo
	})
	if err == nil {
		return hatchclaim.RunResult{Outcome: hatchclaim.OutcomeOf(reply)}
	}
	failure := dragonflyhatch.FailureOf(err)
	return hatchclaim.RunResult{Kind: failure.Kind, Detail: failure.Detail}
}

func (daemon *Daemon) callRepeatable(ctx context.Context, request string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	daemon.retryBudget.RecordRequest()
	return daemon.callReplicas(ctx, call, func(failure *dragonflyhatch.Failure) bool {
		daemon.journal.AddEvent(request, "replica failed", failure.Error())
		return daemon.retryBudget.Spend()
	})
}

// callReplicas tries the replicas of the service in the order that the snapshot
// gives. After a failure it tries the next one if shouldRetry returns true.
func (daemon *Daemon) callReplicas(ctx context.Context, call dragonflyhatch.ServiceRequest, shouldRetry func(*dragonflyhatch.Failure) bool) (dragonflyhatch.ServiceReply, error) {
	current, err := daemon.currentView()
	if err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	targets, err := current.snapshot.ServiceTargets(time.Now(), call.Service, daemon.random)
	if err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	lastFailure := &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "no replica of " + call.Service + " is available"}
	mayHaveRun := false
	for _, target := range targets {
		reply, err := daemon.callReplica(ctx, target.Address, call)
		if err == nil {
			return reply, nil
		}
		lastFailure = dragonflyhatch.FailureOf(err)
		mayHaveRun = mayHaveRun || lastFailure.Kind.ErrorResponse().Ran == dragonflyhatch.RanUnknown
		if ctx.Err() != nil {
			lastFailure = deadlineFailure(mayHaveRun, lastFailure)
			break
		}
		if !shouldRetry(lastFailure) {
			break
		}
	}
	if mayHaveRun && lastFailure.Kind.ErrorResponse().Ran == dragonflyhatch.RanNo {
		lastFailure = &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamLost, Detail: lastFailure.Detail, Cause: lastFailure}
	}
	return dragonflyhatch.ServiceReply{}, lastFailure
}

func (daemon *Daemon) callReplica(ctx context.Context, address string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	replicaHealth := daemon.health.Get(address)
	replicaHealth.Begin()
	defer replicaHealth.End()
	reply, err := daemon.service.Call(ctx, address, call)
	if err != nil && ctx.Err() == nil {
		replicaHealth.RecordFailure(time.Now())
	}
	if err == nil {
		replicaHealth.RecordSuccess(time.Now())
	}
	return reply, err
}

func deadlineFailure(mayHaveRun bool, failure *dragonflyhatch.Failure) *dragonflyhatch.Failure {
	kind := dragonflyhatch.KindDeadlineNotRun
	if mayHaveRun {
		kind = dragonflyhatch.KindDeadlineUnknown
	}
	return &dragonflyhatch.Failure{Kind: kind, Detail: failure.Detail, Cause: failure}
}
