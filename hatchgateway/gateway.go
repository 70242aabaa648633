package hatchgateway

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
	"dragonflyhatch/hatchforward"
	"dragonflyhatch/hatchmember"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchpeer"
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

	forwarder *hatchforward.Forwarder
	healths   *hatchpath.Healths
	table     atomic.Pointer[hatchroute.Table]
	view      atomic.Pointer[hatchpath.View]
	daemons   atomic.Int32
	stopping  atomic.Bool

	catchingUp atomic.Bool // from a peer that knows more
	seeds      atomic.Pointer[[]string]
	hasTable   chan struct{} // closed once there is a table
	news       chan struct{} // holds an item while there is news to tell

	mu       sync.Mutex // guards what follows
	roster   *hatchmember.Roster
	routing  snapshot
	replicas replicaSet
	encoded  snapshot // of the replicas, for peers
	reports  lossReports
	leader   leadership

	nextRebuild    time.Time // before which the view is not replaced again
	rebuildPlanned bool      // it is replaced then

	lastHeard     time.Time // when a peer last answered or called
	membersDiffer bool      // from those of the peer that was called last
}

// snapshot is a value as it was read, with its version.
type snapshot struct {
	version uint64
	value   []byte
}

// Option changes a gateway.
type Option func(*Gateway)

// WithLogger sets the gateway's log.
func WithLogger(logger *slog.Logger) Option {
	return func(gateway *Gateway) { gateway.logger = logger }
}

// WithClock sets the time of day, from which the versions of what a daemon says
// of itself start; everything else goes by the process's own time.
func WithClock(now func() time.Time) Option {
	return func(gateway *Gateway) { gateway.timeOfDay = now }
}

// New returns a gateway that has not started.
func New(settings *platform.Settings, options ...Option) *Gateway {
	registry := metrics.NewRegistry()
	gateway := &Gateway{
		settings: settings,
		logger:   slog.Default(),
		registry: registry,
		random:   hatchpath.NewSharedRandom(),
		store:    platform.NewStore(settings.StoreAddress, platform.WithMetrics(registry)),
		engines:  platform.NewEngines(),
		peers:    hatchpeer.NewFleetClient(gossipTimeout),
		healths:  hatchpath.NewHealths(),
		hasTable: make(chan struct{}),
		news:     make(chan struct{}, 1),

		timeOfDay: time.Now,
		replicas:  newReplicaSet(),
		reports:   make(lossReports),
	}
	for _, option := range options {
		option(gateway)
	}
	gateway.roster = hatchmember.NewRoster(dragonflyhatch.Member{
		Host:          settings.Host,
		Site:          settings.Site,
		Process:       uuid.NewString(),
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		MilliCores:    settings.MilliCores,
		Version:       uint64(gateway.timeOfDay().UnixMilli()),
	})
	gateway.seeds.Store(&settings.Seeds)
	gateway.daemons.Store(1)
	gateway.registerProcessMeters()
	gateway.view.Store(hatchpath.NewView(nil, nil, gateway.healths))
	bounds := settings.Bounds
	gateway.forwarder = hatchforward.New(gateway, platform.Dialect{},
		hatchforward.WithLogger(gateway.logger),
		hatchforward.WithSite(settings.Site),
		hatchforward.WithMetrics(registry),
		hatchforward.WithEngines(gateway.engines),
		hatchforward.WithRetryTerms(hatchretry.SharedTerms{
			Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow,
		}))
	return gateway
}

// Reload takes new settings. Only the seeds may change while a daemon runs: its
// addresses and bounds are those of its start.
func (gateway *Gateway) Reload(settings *platform.Settings) {
	gateway.seeds.Store(&settings.Seeds)
	gateway.logger.Info("settings reloaded", "seeds", settings.Seeds)
}

// Table returns the routes in force, or nil before the first configuration.
func (gateway *Gateway) Table() *hatchroute.Table {
	return gateway.table.Load()
}

// View returns the replicas that may be given work.
func (gateway *Gateway) View() *hatchpath.View {
	return gateway.view.Load()
}

// Daemons returns how many daemons share the work, 1 at least.
func (gateway *Gateway) Daemons() int {
	return max(int(gateway.daemons.Load()), 1)
}

// Lost notes that a replica was found unreachable, and warns the peers.
func (gateway *Gateway) Lost(replica dragonflyhatch.Replica) {
	gateway.logger.Warn("replica unreachable", "replica", replica.ID, "address", replica.Address, "service", replica.Service)
	gateway.tellNews()
}
