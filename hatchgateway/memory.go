package hatchgateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

const (
	// memoryRoundInterval is the interval between two rounds in which the leader asks the
	// engines for their KV memory. While all were below lowMemory in the latest round it is
	// lowMemoryInterval, and while they used none unusedMemoryInterval, because each query
	// is charged.
	memoryRoundInterval  = time.Second
	lowMemoryInterval    = 3 * time.Second
	unusedMemoryInterval = 10 * time.Second
	lowMemory            = 0.4
	// maxMemoryQueries bounds the concurrent queries of a round. Each has the time limit of
	// the engine client.
	maxMemoryQueries = 20
	// engineReportDelay is how old the numbers in an engine's report may be. What was sent
	// to the engine within that time counts as not included.
	engineReportDelay = 300 * time.Millisecond
	// maxUsageSent bounds the KV memory of engines in one gossip message.
	maxUsageSent = 48
)

// memoryCollector asks engines for their KV memory while its daemon is the leader.
type memoryCollector struct {
	gateway *Gateway
	queries metrics.Counter
	failed  metrics.Counter
	next    time.Time // start of the next round
}

func newMemoryCollector(gateway *Gateway) *memoryCollector {
	return &memoryCollector{
		gateway: gateway,
		queries: metrics.GetOrRegisterCounter("memory.queries", gateway.registry),
		failed:  metrics.GetOrRegisterCounter("memory.queriesFailed", gateway.registry),
	}
}

// runMemoryReports collects the KV memory of engines until ctx is done.
func (gateway *Gateway) runMemoryReports(ctx context.Context) {
	collector := newMemoryCollector(gateway)
	for ctx.Err() == nil {
		gateway.pause(ctx, leaderCheckInterval)
		if now := time.Now(); gateway.isLeader() && !now.Before(collector.next) {
			collector.collect(ctx, now)
		}
	}
}

// collect performs a round that starts now, and sets the start of the next one.
func (collector *memoryCollector) collect(ctx context.Context, now time.Time) {
	queries := pool.NewWithResults[float64]().WithMaxGoroutines(maxMemoryQueries)
	for _, node := range collector.gateway.View().Engines() {
		if _, limited := node.Limit(); limited || node.IsDown(now) || node.IsLeaving() {
			continue
		}
		queries.Go(func() float64 { return collector.query(ctx, node) })
	}
	highest := 0.0
	for _, share := range queries.Wait() {
		highest = max(highest, share)
	}
	interval := memoryRoundInterval
	switch {
	case highest == 0:
		interval = unusedMemoryInterval
	case highest < lowMemory:
		interval = lowMemoryInterval
	}
	collector.next = now.Add(interval)
}

// query asks the engine for its KV memory, records the share in use, and returns it. It
// returns the share known before if the engine does not answer, and 0 if another process
// does.
func (collector *memoryCollector) query(ctx context.Context, node *hatchpath.Node) float64 {
	logger, asked := collector.gateway.logger, time.Now()
	collector.queries.Inc(1)
	report, err := collector.gateway.engines.Report(ctx, node.Address)
	switch {
	case err != nil:
		collector.failed.Inc(1)
		logger.Debug("memory query failed", "replica", node.ID, "address", node.Address, "error", err)
		share, _ := node.ReportedMemory(asked)
		return share
	case report.Started != node.Started:
		logger.Debug("memory report of another process", "replica", node.ID, "address", node.Address, "started", report.Started)
		return 0
	case report.KVTotal <= 0:
		return 0
	}
	share := float64(report.KVUsed) / float64(report.KVTotal)
	collector.gateway.recordMemory(node, asked.Add(-engineReportDelay), share, "engine")
	return share
}

// recordMemory records the share of its KV memory that an engine reported as in use, and
// logs if it is full or has ceased to be.
func (gateway *Gateway) recordMemory(node *hatchpath.Node, observed time.Time, share float64, source string) {
	now := time.Now()
	if !node.RecordMemory(now, observed, share) {
		return
	}
	gateway.logger.Info("engine's KV memory full or free again", "replica", node.ID, "address", node.Address, "accelerator", node.Accelerator,
		"first", node.Held.First, "end", node.Held.End, "share", share, "full", node.IsMemoryFull(now), "age", now.Sub(observed), "source", source)
}

// mergeEngineUsage records what a peer reports of the KV memory of engines. What it reports
// of a process that is not the registered one at its address is ignored.
func (gateway *Gateway) mergeEngineUsage(now time.Time, usages []dragonflyhatch.EngineUsage, peer string) {
	view := gateway.View()
	for _, usage := range usages[:min(len(usages), maxUsageSent)] {
		if node := view.NodeAt(usage.Process.Address); node != nil && node.Process() == usage.Process {
			gateway.recordMemory(node, now.Add(-max(usage.Age, 0)), usage.Share, peer)
		}
	}
}
