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
	// placeInterval is the pause between two looks at where layers lie.
	placeInterval = 100 * time.Millisecond
	// settleTime is how long no engine must have registered before layers are
	// laid out for the first time, and settleLimit how long this may last.
	settleTime  = 1500 * time.Millisecond
	settleLimit = 6 * time.Second
	// lostAfter is how long an engine must be unreachable before its layers are
	// placed elsewhere.
	lostAfter = 200 * time.Millisecond
	// orderPatience is added to the time that an order should take before the
	// engine is asked what became of it.
	orderPatience = 1500 * time.Millisecond
	// unknownPatience is when an engine is asked about an order whose outcome is
	// not known.
	unknownPatience = 300 * time.Millisecond
	// reportPause is the pause between two reports of one engine.
	reportPause = 400 * time.Millisecond
	// callsAtOnce bounds the engines that are called at a time: thousands are laid out
	// at once, and each call takes a connection and a descriptor.
	callsAtOnce = 64
)

// placer gives orders to engines while its daemon is the leader. It remembers
// the orders under way; what engines hold it knows from their registrations.
type placer struct {
	gateway    *Gateway
	count      int       // of the engines at the last look
	countSince time.Time // when it last changed
	firstSeen  time.Time
	orders     map[string]*engineOrder // by replica
	results    chan orderResult
	calls      chan struct{} // holds an item for each engine that is being called
}

// engineOrder is an order to one process of an engine.
type engineOrder struct {
	started int64 // the engine's process
	layers  dragonflyhatch.LayerRange
	sending bool
	until   time.Time // when to ask what became of it
}

// orderResult is what became of a call to an engine.
type orderResult struct {
	replica dragonflyhatch.Replica
	layers  dragonflyhatch.LayerRange
	outcome dragonflyhatch.OrderOutcome
	done    bool // the engine holds the layers already
	err     error
}

// place runs the placer until ctx is done.
func (gateway *Gateway) place(ctx context.Context) {
	placer := &placer{
		gateway: gateway,
		orders:  make(map[string]*engineOrder),
		results: make(chan orderResult, 256),
		calls:   make(chan struct{}, callsAtOnce),
	}
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-placer.results:
			placer.take(result)
		case now := <-ticker.C:
			if gateway.isLeader() {
				placer.tick(ctx, now)
			}
		}
	}
}

func (placer *placer) tick(ctx context.Context, now time.Time) {
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

func (placer *placer) placeService(ctx context.Context, now time.Time, service dragonflyhatch.UpstreamService) {
	engines := placer.engines(now, service)
	if !placer.settled(now, engines) {
		return
	}
	for _, placement := range hatchorder.PlanLayers(service.Model, engines) {
		load := time.Duration(float64(service.Model.LoadTime) *
			float64(placement.Layers.End-placement.Layers.First) / float64(max(service.Model.Layers, 1)))
		placer.orders[placement.Replica.ID] = &engineOrder{
			started: placement.Replica.Started, layers: placement.Layers, sending: true, until: now.Add(2*load + orderPatience),
		}
		placer.gateway.logger.Info("placing layers", "replica", placement.Replica.ID, "address", placement.Replica.Address,
			"accelerator", placement.Replica.Accelerator, "site", placement.Replica.Site,
			"first", placement.Layers.First, "end", placement.Layers.End)
		go placer.order(ctx, placement)
	}
}

// engines returns the service's engines as the planner should see them.
func (placer *placer) engines(now time.Time, service dragonflyhatch.UpstreamService) []hatchorder.PlacedEngine {
	var engines []hatchorder.PlacedEngine
	for _, replica := range placer.gateway.View().Replicas() {
		if replica.Service != service.Name || replica.Leaving {
			continue
		}
		if placer.gateway.isLost(replica.Address, placer.gateway.healths.Of(replica), now) {
			continue
		}
		engine := hatchorder.PlacedEngine{Replica: replica, Layers: replica.Held.LayerRange}
		if order, ok := placer.orders[replica.ID]; ok {
			placer.applyOrder(now, replica, order, &engine)
		}
		engines = append(engines, engine)
	}
	return engines
}

// applyOrder shows the engine with the layers of the order under way, and ends
// an order that is done or has taken too long.
func (placer *placer) applyOrder(now time.Time, replica dragonflyhatch.Replica, order *engineOrder, engine *hatchorder.PlacedEngine) {
	switch {
	case order.started != replica.Started || !order.sending && engine.Layers == order.layers:
		delete(placer.orders, replica.ID)
	case !order.sending && now.After(order.until):
		placer.gateway.logger.Warn("order overdue", "replica", replica.ID, "first", order.layers.First, "end", order.layers.End)
		delete(placer.orders, replica.ID)
	default:
		engine.Layers, engine.Busy = order.layers, true
	}
}

// settled says whether layers may be placed: at once if some lie already, and
// else once the engines have registered.
func (placer *placer) settled(now time.Time, engines []hatchorder.PlacedEngine) bool {
	if len(engines) == 0 {
		return false
	}
	if placer.firstSeen.IsZero() {
		placer.firstSeen = now
	}
	if len(engines) != placer.count {
		placer.count, placer.countSince = len(engines), now
	}
	if slices.ContainsFunc(engines, func(engine hatchorder.PlacedEngine) bool { return engine.Layers.End > 0 }) {
		return true
	}
	return now.Sub(placer.countSince) >= settleTime || now.Sub(placer.firstSeen) >= settleLimit
}

// order asks the engine what it holds and gives it the order that fits.
func (placer *placer) order(ctx context.Context, placement hatchorder.Placement) {
	select {
	case placer.calls <- struct{}{}:
		defer func() { <-placer.calls }()
	case <-ctx.Done():
		return
	}
	result := orderResult{replica: placement.Replica, layers: placement.Layers}
	report, err := placer.gateway.engines.Report(ctx, placement.Replica.Address)
	switch {
	case err != nil:
		result.outcome, result.err = dragonflyhatch.OrderRefused, err // none was given
	case report.Held.LayerRange == placement.Layers:
		result.outcome, result.done = dragonflyhatch.OrderHolds, true
	case report.Busy:
		result.outcome = dragonflyhatch.OrderBegun // some order is; look again later
	default:
		result.outcome, result.err = placer.gateway.engines.OrderLayers(ctx, placement.Replica,
			dragonflyhatch.LayerOrder{Layers: placement.Layers, Accepted: report.Accepted})
	}
	select {
	case placer.results <- result:
	case <-ctx.Done():
	}
}

// take notes what became of an order.
func (placer *placer) take(result orderResult) {
	now := time.Now()
	order, ok := placer.orders[result.replica.ID]
	placer.gateway.logger.Info("order", "replica", result.replica.ID, "first", result.layers.First, "end", result.layers.End,
		"outcome", result.outcome, "error", result.err)
	if !ok || order.started != result.replica.Started || order.layers != result.layers {
		return
	}
	order.sending = false
	switch result.outcome {
	case dragonflyhatch.OrderRefused:
		order.until = now.Add(reportPause)
	case dragonflyhatch.OrderUnknown:
		order.until = now.Add(unknownPatience)
	}
}
