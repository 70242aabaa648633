package hatchgateway

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchforward"
	"dragonflyhatch/hatchlimit"
	"dragonflyhatch/hatchmember"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchpeer"
	"dragonflyhatch/hatchquarantine"
	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/platform"
)

// Gateway is one daemon on the platform.
type Gateway struct {
	settings *platform.Settings
	logger   *slog.Logger
	registry metrics.Registry
	random   *rand.Rand

	timeOfDay func() time.Time

	store   dragonflyhatch.Platform
	engines dragonflyhatch.EngineControl
	peers   *hatchpeer.FleetClient

	registrations registrationDecoder

	forwarder   *hatchforward.Forwarder
	healths     *hatchpath.HealthSet
	quarantine  *hatchquarantine.Table
	slotMu      sync.Mutex // guards slots
	slots       *hatchlimit.SlotSchedule
	table       atomic.Pointer[hatchroute.Table]
	view        atomic.Pointer[hatchpath.View]
	daemonCount atomic.Int32
	stopping    atomic.Bool

	pushToAll         atomic.Bool               // the next push goes to all neighbours
	pushToLeader      atomic.Bool               // the next push goes to the leader too
	fetchingSnapshots atomic.Bool               // snapshots are being fetched from a peer
	newerPeer         atomic.Pointer[newerPeer] // the latest peer with newer versions, until snapshots are fetched from it
	sources           snapshotSources
	seeds             atomic.Pointer[[]string]
	tableLoaded       chan struct{} // closed when the first table is in force
	peerContact       chan struct{} // closed at the first gossip from a peer
	firstContact      sync.Once
	storeCalled       chan struct{} // closed when the first call to the store has ended
	firstCall         sync.Once
	refusalPushMu     sync.Mutex // guards refusalPushes
	refusalPushes     hatchpath.Allowance
	pushRequests      chan struct{} // holds an item while a push to peers is due
	serverFailed      chan error    // holds the error of the first server that failed

	mu              sync.Mutex // guards the fields below
	roster          *hatchmember.Roster
	routing         snapshot // the configuration in force
	replicas        replicaSet
	encodedReplicas snapshot // the replicas as JSON for peers; empty if stale
	reports         unreachableReports
	freshness       *hatchmember.Freshness // of what is known of the store
	leader          leadership
	refusals        refusalWatch

	earliestRead     time.Time // the store is not read for the first configuration before this time
	earliestRebuild  time.Time // the view is not rebuilt before this time
	rebuildScheduled bool      // a timer will rebuild the view at that time

	peerVersions    map[string]uint64 // replicas version of peers at the last exchange, by address
	lastPeerContact time.Time         // when gossip was last received from a peer
	membersDiffer   bool              // the peer called last had a different member digest
}

// bodyMemoryFraction is the part of the machine's memory, as its inverse, for large
// bodies of requests and responses. Their buffers may be twice as large.
const bodyMemoryFraction = 8

// loggedProcessLength is the length of the part of a process's name in log lines.
const loggedProcessLength = 8

// snapshot is an encoded value and its version.
type snapshot struct {
	version uint64
	value   []byte
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(gateway *Gateway) { gateway.logger = logger }
}

// WithClock sets the wall clock, which provides the first version of the daemon's
// own member entry. Everything else uses the monotonic clock.
func WithClock(now func() time.Time) Option {
	return func(gateway *Gateway) { gateway.timeOfDay = now }
}

// New returns a gateway; Run starts it.
func New(settings *platform.Settings, options ...Option) *Gateway {
	registry := metrics.NewRegistry()
	gateway := &Gateway{
		settings:     settings,
		logger:       slog.Default(),
		registry:     registry,
		random:       hatchpath.NewSharedRandom(),
		engines:      platform.NewEngineClient(),
		peers:        hatchpeer.NewFleetClient(gossipTimeout),
		healths:      hatchpath.NewHealthSet(),
		quarantine:   hatchquarantine.New(),
		slots:        hatchlimit.NewSlotSchedule(),
		tableLoaded:  make(chan struct{}),
		peerContact:  make(chan struct{}),
		storeCalled:  make(chan struct{}),
		pushRequests: make(chan struct{}, 1),
		serverFailed: make(chan error, 1),

		timeOfDay: time.Now,
		replicas:  newReplicaSet(),
		reports:   make(unreachableReports),
		refusals:  newRefusalWatch(registry),

		refusalPushes: hatchpath.Allowance{Interval: refusalPushInterval, Burst: refusalPushBurst},

		peerVersions: make(map[string]uint64),
	}
	for _, option := range options {
		option(gateway)
	}
	process := uuid.NewString()
	gateway.logger = gateway.logger.With(hatchaudit.DaemonField, settings.Host+"/"+process[:loggedProcessLength])
	gateway.registrations.logger = gateway.logger
	gateway.store = platform.NewStore(settings.StoreAddress, platform.WithMetrics(registry), platform.WithLogger(gateway.logger))
	gateway.roster = hatchmember.NewRoster(dragonflyhatch.Member{
		Host:          settings.Host,
		Site:          settings.Site,
		Process:       process,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		MilliCores:    settings.MilliCores,
		Version:       uint64(gateway.timeOfDay().UnixMilli()),
	})
	gateway.freshness = gateway.newFreshness(settings.Bounds)
	gateway.seeds.Store(&settings.Seeds)
	if settings.Bootstrap && len(settings.Seeds) > 0 && !slices.Contains(settings.Seeds, settings.PeerAddress) {
		gateway.earliestRead = time.Now().Add(bootstrapDelay + time.Duration(gateway.random.Int64N(int64(bootstrapDelay/2))))
	}
	gateway.daemonCount.Store(1)
	gateway.registerProcessMetrics()
	gateway.view.Store(hatchpath.NewView(nil, nil, gateway.healths))
	bounds := settings.Bounds
	gateway.forwarder = hatchforward.New(gateway, platform.Dialect{},
		hatchforward.WithLogger(gateway.logger),
		hatchforward.WithSite(settings.Site),
		hatchforward.WithMetrics(registry),
		hatchforward.WithEngineReports(gateway.engines),
		hatchforward.WithQuarantine(gateway.quarantine),
		hatchforward.WithBodyMemory(int64(settings.MemoryMB)<<20/bodyMemoryFraction),
		hatchforward.WithRetryLimits(hatchretry.SharedLimits{
			Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow,
		}))
	return gateway
}

// Reload applies new settings. Only the seeds take effect while the daemon runs;
// addresses and bounds need a restart.
func (gateway *Gateway) Reload(settings *platform.Settings) {
	gateway.seeds.Store(&settings.Seeds)
	gateway.logger.Info("settings reloaded", "seeds", settings.Seeds)
}

// Table returns the routes in force, or nil before the first configuration.
func (gateway *Gateway) Table() *hatchroute.Table {
	return gateway.table.Load()
}

// View returns the replicas that may be sent requests.
func (gateway *Gateway) View() *hatchpath.View {
	return gateway.view.Load()
}

// Daemons returns the number of known daemons including this one, at least 1.
func (gateway *Gateway) Daemons() int {
	return max(int(gateway.daemonCount.Load()), 1)
}

// replicasSettled reports whether the known replicas are all that are live.
func (gateway *Gateway) replicasSettled(now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.replicas.isSettled(now)
}

// ReportLeaving logs that a replica stated that it is leaving and reports it to
// peers.
func (gateway *Gateway) ReportLeaving(replica dragonflyhatch.Replica) {
	gateway.logger.Info("replica leaving", "replica", replica.ID, "address", replica.Address, "service", replica.Service, "source", "response")
	gateway.requestPush()
}

// ReportUnreachable logs that a replica was found unreachable and reports it to peers.
func (gateway *Gateway) ReportUnreachable(replica dragonflyhatch.Replica) {
	gateway.pushToLeader.Store(true)
	gateway.logger.Warn("replica unreachable", "replica", replica.ID, "address", replica.Address, "service", replica.Service)
	gateway.requestPush()
}
