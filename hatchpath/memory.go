package hatchpath

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyhatch"
)

const (
	// memoryMaxAge is how long a report of an engine's KV memory is used.
	memoryMaxAge = 4 * time.Second
	// memoryLimit is the share of its KV memory above which an engine is full: the
	// engine preempts its newest streams when further tokens do not fit.
	memoryLimit = 0.95
	// fullMemoryMaxAge is how long an engine counts as full after its report. Later, much of
	// what it had in use is free again; if all daemons still avoided it, others would fill up.
	fullMemoryMaxAge = 2 * time.Second
	// memorySpread is the mean of the random part of the cost of an engine with the mean
	// capacity that is about to be free.
	memorySpread = 2
	// maxMemorySpread bounds the random part, so that a small engine costs less than a full one.
	maxMemorySpread = 100
	// memoryHeld is the part of the memory in use that is still in use when the next report
	// has arrived. Streams run for about twice that time.
	memoryHeld = 0.5
	// memoryBlur is the largest relative error that is added at random to the reported share
	// of a pipeline's tightest stage, so that daemons with the same reports do not all choose
	// the same site.
	memoryBlur = 0.3
	// fullMemoryPenalty is the cost of a full engine relative to others. It exceeds what
	// accelerators, sites and the random part add to a pipeline's cost.
	fullMemoryPenalty = 1000
	// reportedMemory is the share of its KV memory above which daemons tell each other of
	// an engine.
	reportedMemory = 0.6
	// memoryReportSends is how often a daemon sends each report to a peer. A report that
	// does not reach a daemon is replaced by the next one a second later.
	memoryReportSends = 3
	// sameReportAge is the difference between the ages of reports up to which they count as
	// the same one; engines are asked once a second at most.
	sameReportAge = 200 * time.Millisecond
	// sentBucket is the resolution of the time at which tokens were sent to an engine, and
	// sentBuckets the number of them that is kept: memoryMaxAge and the one in progress.
	sentBucket  = 250 * time.Millisecond
	sentBuckets = int(memoryMaxAge/sentBucket) + 1
)

// memoryReport is the share of its KV memory that an engine reported as in use.
type memoryReport struct {
	share    float64
	previous float64      // share in the report before, or 0
	at       time.Time    // when the engine was asked
	sends    atomic.Int32 // to peers
}

// RecordMemory records the share of its KV memory that the engine's process reported as
// in use. A report that is not newer than the latest one, or too old to be used, is
// ignored. RecordMemory reports whether the engine has thereby become full or ceased to
// be full.
func (health *Health) RecordMemory(now, observed time.Time, share float64) (changed bool) {
	if now.Sub(observed) > memoryMaxAge || math.IsNaN(share) {
		return false
	}
	report := &memoryReport{share: min(max(share, 0), 1), at: observed}
	previous := health.memory.Load()
	if previous != nil {
		if !observed.After(previous.at) {
			return false
		}
		if observed.Sub(previous.at) <= memoryMaxAge {
			report.previous = previous.share
		}
	}
	if !health.memory.CompareAndSwap(previous, report) {
		return false
	}
	if health.memoryUntil != nil && report.share > reportedMemory {
		extendExclusion(health.memoryUntil, observed, memoryMaxAge)
	}
	return (report.share > memoryLimit) != (report.previous > memoryLimit)
}

// ReportedMemory returns the share of its KV memory that the engine reported as in use,
// or false if there is no recent report.
func (health *Health) ReportedMemory(now time.Time) (share float64, ok bool) {
	report := health.recentMemory(now)
	if report == nil {
		return 0, false
	}
	return report.share, true
}

// IsMemoryFull reports whether the engine recently reported that its KV memory is full.
func (health *Health) IsMemoryFull(now time.Time) bool {
	share, _ := health.ReportedMemory(now)
	return share > memoryLimit
}

// recentMemory returns the latest report of the engine's KV memory, or nil if it is too
// old.
func (health *Health) recentMemory(now time.Time) *memoryReport {
	report := health.memory.Load()
	if report == nil || now.Sub(report.at) > memoryMaxAge {
		return nil
	}
	return report
}

// sentTokens records the tokens of requests sent to an engine, less those of requests that
// have ended, by time, for the latest sentBuckets.
type sentTokens struct {
	mu      sync.Mutex
	buckets [sentBuckets]struct {
		number int64 // of the bucket since epoch
		tokens int
	}
}

// sentBucketAt returns the number of the bucket to which the time belongs.
func sentBucketAt(at time.Time) int64 {
	return int64(math.Floor(float64(monotonicNanos(at)) / float64(sentBucket)))
}

// recordSent adds the tokens of a request that was sent to the engine, or subtracts those of
// one that has ended, at the given time.
func (health *Health) recordSent(at time.Time, tokens int) {
	if tokens == 0 {
		return
	}
	if health.sent.Load() == nil {
		health.sent.CompareAndSwap(nil, new(sentTokens))
	}
	health.sent.Load().add(at, tokens)
}

// add adds the tokens, which may be negative, at the given time. They are not counted if it
// is longer ago than the buckets reach.
func (sent *sentTokens) add(at time.Time, tokens int) {
	number := sentBucketAt(at)
	sent.mu.Lock()
	defer sent.mu.Unlock()
	bucket := &sent.buckets[((number%int64(sentBuckets))+int64(sentBuckets))%int64(sentBuckets)]
	switch {
	case number < bucket.number:
		return
	case number > bucket.number:
		bucket.number, bucket.tokens = number, 0
	}
	bucket.tokens += tokens
}

// since returns the tokens sent less those ended at the given time or later.
func (sent *sentTokens) since(at time.Time) int {
	first, total := sentBucketAt(at), 0
	sent.mu.Lock()
	defer sent.mu.Unlock()
	for i := range sent.buckets {
		if sent.buckets[i].number >= first {
			total += sent.buckets[i].tokens
		}
	}
	return total
}

// reportedUtilization returns the share of the engine's KV memory that was reported as in
// use, plus what this daemon has sent there since and less what of it has ended, or 0 without
// a recent report.
func (node *Node) reportedUtilization(now time.Time, kvCapacity float64) float64 {
	report := node.recentMemory(now)
	if report == nil {
		return 0
	}
	share := report.share
	if sent := node.sent.Load(); sent != nil && kvCapacity > 0 {
		share += float64(sent.since(report.at)) / kvCapacity
	}
	return max(share, 0)
}

// isFullWith reports whether the request would fill the engine beyond memoryLimit, if the
// given share of its KV memory is in use.
func (query *Query) isFullWith(share, kvCapacity float64) bool {
	if kvCapacity > 0 {
		share += float64(query.Expected) / kvCapacity
	}
	return share > memoryLimit
}

// spreadFactor returns the random factor by which the cost of an engine is multiplied while
// there are recent reports of KV memory, if the given share of its own is in use. Its random
// part has an exponential distribution whose mean is inverse to the memory that the engine is
// expected to have free until the next report. Each of several equal engines then has the
// lowest factor with a probability in proportion to that memory. Daemons that all learn the
// same reports at the same time would otherwise choose the same engine.
func (set *engineSet) spreadFactor(share float64, query *Query, kvCapacity float64) float64 {
	if kvCapacity <= 0 {
		return 1
	}
	free := kvCapacity * (memoryLimit - memoryHeld*min(share, 1))
	return 1 + min(memorySpread*query.Random.ExpFloat64()*set.meanCapacity/free, maxMemorySpread)
}

// blurMemory returns the reported share with a random error of up to memoryBlur.
func blurMemory(share float64, random *rand.Rand) float64 {
	if share == 0 {
		return 0
	}
	return share * (1 + memoryBlur*(2*random.Float64()-1))
}

// EngineUsage returns the engines whose KV memory peers are to know of, the fullest first,
// at most limit of them: those above reportedMemory, and those that were in the report
// before. It leaves out the reports that the peer has sent itself. Each report is returned at
// most memoryReportSends times.
func (view *View) EngineUsage(now time.Time, limit int, known []dragonflyhatch.EngineUsage) []dragonflyhatch.EngineUsage {
	type recent struct {
		node   *Node
		report *memoryReport
	}
	var found []recent
	knownAges := make(map[dragonflyhatch.ReplicaProcess]time.Duration, len(known))
	for _, usage := range known {
		knownAges[usage.Process] = usage.Age
	}
	for _, set := range view.engines {
		for _, node := range set.all {
			report := node.recentMemory(now)
			if report == nil || max(report.share, report.previous) <= reportedMemory || report.sends.Load() >= memoryReportSends {
				continue
			}
			if age, ok := knownAges[node.Process()]; !ok || age > now.Sub(report.at)+sameReportAge {
				found = append(found, recent{node, report})
			}
		}
	}
	slices.SortFunc(found, func(a, b recent) int {
		return cmp.Or(cmp.Compare(b.report.share, a.report.share), cmp.Compare(a.node.Address, b.node.Address))
	})
	var usages []dragonflyhatch.EngineUsage
	for _, each := range found[:min(len(found), limit)] {
		each.report.sends.Add(1)
		usages = append(usages, dragonflyhatch.EngineUsage{
			Process: each.node.Process(), Share: each.report.share, Age: max(now.Sub(each.report.at), 0),
		})
	}
	return usages
}

// Engines returns the engines of all services that hold layers, in no particular order.
func (view *View) Engines() []*Node {
	var nodes []*Node
	for _, set := range view.engines {
		nodes = append(nodes, set.all...)
	}
	return nodes
}

// CountMemory returns the number of engines that recently reported more than
// reportedMemory of their KV memory as in use, and of those that are full.
func (view *View) CountMemory(now time.Time) (reported, full int) {
	for _, set := range view.engines {
		for _, node := range set.all {
			share, _ := node.ReportedMemory(now)
			if share > reportedMemory {
				reported++
			}
			if node.IsMemoryFull(now) {
				full++
			}
		}
	}
	return reported, full
}
