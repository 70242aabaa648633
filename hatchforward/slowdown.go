package hatchforward

import (
	"context"
	"time"

	"dragonflyhatch/hatchpath"
)

// loggedSlowdown is the smallest slowdown at which an engine is logged as slow.
const loggedSlowdown = 2

// requestReports requests a report of its current slowdown from each engine among
// the nodes, so that new requests avoid slow engines.
func (forwarder *Forwarder) requestReports(nodes []*hatchpath.Node) {
	if forwarder.engines == nil {
		return
	}
	for _, node := range nodes {
		if _, limited := node.Limit(); limited || node.Accelerator == "" || !node.TryStartSlowdownQuery(time.Now()) {
			continue
		}
		go func() {
			report, err := forwarder.engines.Report(context.Background(), node.Address)
			if err != nil {
				forwarder.logger.Info("engine report failed", "address", node.Address, "error", err)
				return
			}
			node.RecordSlowdown(time.Now(), report.Slowdown)
			forwarder.logger.Debug("engine report", "address", node.Address, "held", node.Held, "pace", report.Slowdown,
				"queued", report.Queued, "running", report.Running, "kvUsed", report.KVUsed, "kvTotal", report.KVTotal)
			if report.Slowdown >= loggedSlowdown {
				forwarder.logger.Warn("engine is slow", "address", node.Address, "pace", report.Slowdown)
			}
		}()
	}
}
