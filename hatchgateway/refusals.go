package hatchgateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

const (
	// maxRefusalsSent bounds the reports of refusals in one gossip message.
	maxRefusalsSent = 32
	// refusalPushInterval and refusalPushBurst bound the pushes that refusals cause. A full
	// fleet has news of them all the time, which the periodic exchanges also carry.
	refusalPushInterval = 250 * time.Millisecond
	refusalPushBurst    = 8
	// refusalLogInterval and refusalLogBurst bound the log lines on processes that start
	// or stop being treated as refusing.
	refusalLogInterval = 500 * time.Millisecond
	refusalLogBurst    = 40
)

// refusalWatch holds what the daemon has logged of refusing processes.
type refusalWatch struct {
	since    map[dragonflyhatch.ReplicaProcess]time.Time // when each began to be treated as refusing
	lines    hatchpath.Allowance
	omitted  int // log lines since the last one
	started  metrics.Counter
	ended    metrics.Counter
	refusing metrics.Gauge
}

func newRefusalWatch(registry metrics.Registry) refusalWatch {
	return refusalWatch{
		since:    make(map[dragonflyhatch.ReplicaProcess]time.Time),
		lines:    hatchpath.Allowance{Interval: refusalLogInterval, Burst: refusalLogBurst},
		started:  metrics.GetOrRegisterCounter("refusals.started", registry),
		ended:    metrics.GetOrRegisterCounter("refusals.ended", registry),
		refusing: metrics.GetOrRegisterGauge("fleet.refusing", registry),
	}
}

// ReportRefusals sends what is known of refusals to peers, unless that was done often
// lately: then the next exchanges carry it.
func (gateway *Gateway) ReportRefusals() {
	gateway.refusalPushMu.Lock()
	push := gateway.refusalPushes.Take(time.Now())
	gateway.refusalPushMu.Unlock()
	if push {
		gateway.requestPush()
	}
}

// mergeRefusals merges what a peer reports of the refusals of registered processes. Others
// are not kept: peers repeat the reports, and a message may name processes that never existed.
func (gateway *Gateway) mergeRefusals(now time.Time, reports []dragonflyhatch.ReplicaRefusals) {
	view, news := gateway.View(), false
	for _, report := range reports[:min(len(reports), maxRefusalsSent)] {
		if node := view.NodeAt(report.Process.Address); node != nil && node.Process() == report.Process {
			news = node.MergeRefusals(now, report) || news
		}
	}
	if news {
		gateway.ReportRefusals()
	}
}

// rankTrials determines the rank for trials that are due soon when there is no peer to
// exchange gossip with. Without a rank a daemon tries last, after several seconds.
func (gateway *Gateway) rankTrials() {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.composeRefusals(time.Now())
}

// composeRefusals returns what is reported to a peer of refusals. It also determines the
// daemon's rank for trials that are due soon, and logs which processes start or stop being
// treated as refusing. The mutex must be held.
func (gateway *Gateway) composeRefusals(now time.Time) []dragonflyhatch.ReplicaRefusals {
	refusing, reports := gateway.View().Refusing(now, maxRefusalsSent)
	if len(refusing) == 0 && len(gateway.refusals.since) == 0 {
		return reports
	}
	current := make(map[dragonflyhatch.ReplicaProcess]bool, len(refusing))
	for _, node := range refusing {
		process := node.Process()
		current[process] = true
		node.RankTrial(now, func(trial int) int {
			return gateway.roster.TransientRank("refusals/" + process.ID + "/" + process.Address + "/" +
				strconv.FormatInt(process.Started, 10) + "/" + strconv.Itoa(trial))
		})
		if _, ok := gateway.refusals.since[process]; !ok {
			gateway.refusals.since[process] = now
			gateway.refusals.started.Inc(1)
			gateway.logRefusals(now, "replica refuses requests", process)
		}
	}
	for process, since := range gateway.refusals.since {
		if !current[process] {
			delete(gateway.refusals.since, process)
			gateway.refusals.ended.Inc(1)
			gateway.logRefusals(now, "replica no longer avoided for refusals", process, "after", now.Sub(since))
		}
	}
	gateway.refusals.refusing.Update(int64(len(refusing)))
	return reports
}

// logRefusals logs that the process starts or stops being treated as refusing, unless
// there were many such lines lately.
func (gateway *Gateway) logRefusals(now time.Time, message string, process dragonflyhatch.ReplicaProcess, fields ...any) {
	if !gateway.refusals.lines.Take(now) {
		gateway.refusals.omitted++
		return
	}
	gateway.logger.With(fields...).Warn(message, "replica", process.ID, "address", process.Address, "linesOmitted", gateway.refusals.omitted)
	gateway.refusals.omitted = 0
}
