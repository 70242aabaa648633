package hatchgateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchorder"
)

const (
	// placementInterval is the interval between two checks of the placement.
	placementInterval = 100 * time.Millisecond
	// settleTime is how long the number of engines must be unchanged before layers
	// are placed for the first time; maxSettleTime bounds that wait.
	settleTime    = 1500 * time.Millisecond
	maxSettleTime = 6 * time.Second
	// unreachableThreshold is how long an engine must be unreachable before its
	// layers are placed elsewhere.
	unreachableThreshold = 200 * time.Millisecond
	// commandMargin is added to twice the expected load time of a layer command
	// before the command counts as overdue.
	commandMargin = 1500 * time.Millisecond
	// unknownOutcomeDelay is how long a layer command of unknown outcome stays in
	// progress before the engine is asked again.
	unknownOutcomeDelay = 300 * time.Millisecond
	// refusalDelay is the pause after a refused layer command or a failed report call
	// before the engine is asked again.
	refusalDelay = 400 * time.Millisecond
	// maxConcurrentCalls bounds the concurrent calls to engines: layers are placed on
	// thousands of engines at once, and each call takes a connection and a file
	// descriptor.
	maxConcurrentCalls = 64
)

// placer sends layer commands to engines while its daemon is the leader. It keeps
// only the commands in progress; the layers that engines hold are known from their
// registrations.
type placer struct {
	gateway   *Gateway
	settling  map[string]*settling     // by service
	commands  map[string]*layerCommand // by replica
	results   chan commandResult
	callSlots chan struct{} // holds an item for each call in progress
}

// settling tracks the number of a service's engines until layers are placed for the
// first time.
type settling struct {
	engineCount      int       // at the last check
	engineCountSince time.Time // when it last changed
	firstSeen        time.Time // when the first engine was seen
}

// layerCommand is an instruction to one process of an engine to hold a range of
// layers.
type layerCommand struct {
	started  int64 // identifies the engine's process
	layers   dragonflyhatch.LayerRange
	sending  bool      // the call to the engine is in progress
	deadline time.Time // after which the command is dropped as overdue
}

// commandResult is the result of a call to an engine.
type commandResult struct {
	replica     dragonflyhatch.Replica
	layers      dragonflyhatch.LayerRange
	outcome     dragonflyhatch.CommandOutcome
	alreadyHeld bool // the engine held the layers already
	err         error
}

func newPlacer(gateway *Gateway) *placer {
	return &placer{
		gateway:   gateway,
		settling:  make(map[string]*settling),
		commands:  make(map[string]*layerCommand),
		results:   make(chan commandResult, 256),
		callSlots: make(chan struct{}, maxConcurrentCalls),
	}
}

// runPlacement runs the placer until ctx is done.
func (gateway *Gateway) runPlacement(ctx context.Context) {
	placer := newPlacer(gateway)
	timer := time.NewTimer(placementInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-placer.results:
			placer.applyResult(result)
		case now := <-timer.C:
			interval := leaderCheckInterval // daemons that are not the leader wake up less often
			if gateway.isLeader() {
				placer.placeAll(ctx, now)
				interval = placementInterval
			}
			timer.Reset(interval)
		}
	}
}

// placeAll places the layers of each service that has a model.
func (placer *placer) placeAll(ctx context.Context, now time.Time) {
	table := placer.gateway.Table()
	if table == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(table.Services)) {
		if service := table.Services[name]; service.Model != nil {
			placer.placeService(ctx, now, service)
		}
	}
}

// placeService plans the service's layers and sends the resulting commands.
func (placer *placer) placeService(ctx context.Context, now time.Time, service dragonflyhatch.UpstreamService) {
	engines := placer.engines(now, service)
	if !placer.isSettled(now, service.Name, engines) {
		return
	}
	for _, placement := range hatchorder.PlanLayers(service.Model, engines) {
		loadTime := time.Duration(float64(service.Model.LoadTime) *
			float64(placement.Layers.End-placement.Layers.First) / float64(max(service.Model.Layers, 1)))
		placer.commands[placement.Replica.ID] = &layerCommand{
			started: placement.Replica.Started, layers: placement.Layers, sending: true, deadline: now.Add(2*loadTime + commandMargin),
		}
		placer.gateway.logger.Info("placing layers", "replica", placement.Replica.ID, "address", placement.Replica.Address,
			"accelerator", placement.Replica.Accelerator, "site", placement.Replica.Site,
			"first", placement.Layers.First, "end", placement.Layers.End)
		go placer.sendCommand(ctx, placement)
	}
}

// engines returns the reachable engines of the service as input for the planner.
func (placer *placer) engines(now time.Time, service dragonflyhatch.UpstreamService) []hatchorder.PlacedEngine {
	var engines []hatchorder.PlacedEngine
	for _, replica := range placer.gateway.View().Replicas() {
		if replica.Service != service.Name || replica.Leaving {
			continue
		}
		health := placer.gateway.healths.Get(replica)
		if health.IsLeaving() || placer.gateway.isUnreachable(replica.Address, health, now) {
			continue
		}
		engine := hatchorder.PlacedEngine{Replica: replica, Layers: replica.Held.LayerRange}
		if command, ok := placer.commands[replica.ID]; ok {
			placer.applyCommand(now, replica, command, &engine)
		}
		engines = append(engines, engine)
	}
	return engines
}

// applyCommand sets the engine's layers to those of its command in progress, as
// input for the planner. It drops a command that is complete, overdue, or for a
// process that has ended.
func (placer *placer) applyCommand(now time.Time, replica dragonflyhatch.Replica, command *layerCommand, engine *hatchorder.PlacedEngine) {
	switch {
	case command.started != replica.Started || !command.sending && engine.Layers == command.layers:
		delete(placer.commands, replica.ID)
	case !command.sending && now.After(command.deadline):
		placer.gateway.logger.Warn("layer command overdue", "replica", replica.ID, "first", command.layers.First, "end", command.layers.End)
		delete(placer.commands, replica.ID)
	default:
		engine.Layers, engine.CommandPending = command.layers, true
	}
}

// isSettled reports whether layers of the service may be placed. If an engine holds
// layers already, that is once all live engines have had the time to register again:
// layers that only seem lost would be placed on engines that serve. Otherwise it is once
// the number of engines has been stable for a while.
func (placer *placer) isSettled(now time.Time, service string, engines []hatchorder.PlacedEngine) bool {
	if len(engines) == 0 {
		return false
	}
	state := placer.settling[service]
	if state == nil {
		state = &settling{firstSeen: now}
		placer.settling[service] = state
	}
	if len(engines) != state.engineCount {
		state.engineCount, state.engineCountSince = len(engines), now
	}
	if slices.ContainsFunc(engines, func(engine hatchorder.PlacedEngine) bool { return engine.Layers.End > 0 }) {
		return placer.gateway.replicasSettled(now)
	}
	return now.Sub(state.engineCountSince) >= settleTime || now.Sub(state.firstSeen) >= maxSettleTime
}

// sendCommand asks the engine what it holds and, unless it holds the layers already
// or is busy, sends it the layer command.
func (placer *placer) sendCommand(ctx context.Context, placement hatchorder.Placement) {
	select {
	case placer.callSlots <- struct{}{}:
		defer func() { <-placer.callSlots }()
	case <-ctx.Done():
		return
	}
	result := commandResult{replica: placement.Replica, layers: placement.Layers}
	report, err := placer.gateway.engines.Report(ctx, placement.Replica.Address)
	switch {
	case err != nil:
		result.outcome, result.err = dragonflyhatch.CommandRefused, err // no command was sent
	case report.Held.LayerRange == placement.Layers:
		result.outcome, result.alreadyHeld = dragonflyhatch.CommandSatisfied, true
	case report.Busy:
		result.outcome = dragonflyhatch.CommandStarted // a command is in progress; checked again later
	default:
		result.outcome, result.err = placer.gateway.engines.SendLayerCommand(ctx, placement.Replica,
			dragonflyhatch.LayerCommand{Layers: placement.Layers, Accepted: report.Accepted})
	}
	select {
	case placer.results <- result:
	case <-ctx.Done():
	}
}

// applyResult records the result of a layer command.
func (placer *placer) applyResult(result commandResult) {
	now := time.Now()
	command, ok := placer.commands[result.replica.ID]
	placer.gateway.logger.Info("layer command result", "replica", result.replica.ID, "first", result.layers.First, "end", result.layers.End,
		"outcome", result.outcome, "error", result.err)
	if !ok || command.started != result.replica.Started || command.layers != result.layers {
		return
	}
	command.sending = false
	switch result.outcome {
	case dragonflyhatch.CommandRefused:
		command.deadline = now.Add(refusalDelay)
	case dragonflyhatch.CommandUnknown:
		command.deadline = now.Add(unknownOutcomeDelay)
	}
}
