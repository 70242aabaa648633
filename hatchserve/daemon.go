package hatchserve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"dragonflyhatch"
	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchclaim"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchmember"
	"dragonflyhatch/hatchpeer"
	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/hatchupstream"
	"dragonflyhatch/platform"
)

// Daemon is one entry host's process.
type Daemon struct {
	settings *hatchconfig.Settings
	process  string // name of this start of the daemon, used once
	logger   *slog.Logger
	registry metrics.Registry
	random   *rand.Rand

	platform dragonflyhatch.Platform
	engine   dragonflyhatch.Engine
	service  dragonflyhatch.Service
	peer     dragonflyhatch.Peer

	claims *claims

	engineOrders *engineOrders
	admission    *admission
	trail        *hatchaudit.Trail
	journal      *hatchaudit.Journal
	tracks       *hatchroute.Tracks
	budget       *hatchretry.Budget

	view    atomic.Pointer[view]
	leaving atomic.Bool
	news    chan struct{} // holds a value while there is news to tell peers

	newsLeft atomic.Int32 // rounds in which it is still to be told

	mu      sync.Mutex // guards the fleet's state below and the replacement of the view
	daemons *hatchmember.Daemons
	facts   *hatchmember.Facts

	started time.Time
	metrics serveMetrics
}

// serveMetrics are the daemon's own meters.
type serveMetrics struct {
	resumes   metrics.Counter // attempts at an answer after the first
	moves     metrics.Counter // attempts moved from a queue to a free engine
	takeOvers metrics.Counter // orders handed to a further host
	unknown   metrics.Counter // answers that do not say whether the request ran
	refused   metrics.Counter // answers that say that it did not
	served    metrics.Counter
}

// Option changes a daemon.
type Option func(*Daemon)

// WithLogger sets the daemon's log.
func WithLogger(logger *slog.Logger) Option {
	return func(daemon *Daemon) { daemon.logger = logger }
}

// WithPlatform replaces the client of the platform.
func WithPlatform(platform dragonflyhatch.Platform) Option {
	return func(daemon *Daemon) { daemon.platform = platform }
}

// peerBytes is the meter of the bytes that daemons exchange, both ways.
const (
	peerBytes       = "peers.bytes"
	peerDialTimeout = 300 * time.Millisecond
)

// sharedRandom draws from the process's generator, which may be used by several
// goroutines.
type sharedRandom struct{}

// Uint64 returns a random number.
func (sharedRandom) Uint64() uint64 { return rand.Uint64() }

// New returns a daemon that has not started.
func New(settings *hatchconfig.Settings, options ...Option) *Daemon {
	registry := metrics.NewRegistry()
	timing := settings.Timing
	daemon := &Daemon{
		settings: settings,
		process:  settings.Host + "/" + uuid.NewString(),
		logger:   slog.Default(),
		registry: registry,
		random:   rand.New(sharedRandom{}),
		platform: platform.NewStore(settings.Platform,
			platform.WithTimeout(time.Duration(timing.PlatformTimeout)), platform.WithMetrics(registry)),
		engine:  hatchupstream.NewEngine(hatchupstream.WithSilence(time.Duration(timing.StreamSilence))),
		service: hatchupstream.NewService(),
		peer: hatchpeer.NewClient(hatchpeer.WithDialer(
			countedDialer(peerDialTimeout, metrics.GetOrRegisterCounter(peerBytes, registry)))),
		journal: hatchaudit.NewJournal(settings.Host),
		tracks:  hatchroute.NewTracks(),
		budget:  hatchretry.NewBudget(),
		news:    make(chan struct{}, 1),
		daemons: hatchmember.NewDaemons(settings.Host),
		facts:   hatchmember.NewFacts(),
		started: time.Now(),
		metrics: serveMetrics{
			resumes:   metrics.NewRegisteredCounter("completions.resumes", registry),
			moves:     metrics.NewRegisteredCounter("completions.moves", registry),
			takeOvers: metrics.NewRegisteredCounter("orders.handedOn", registry),
			unknown:   metrics.NewRegisteredCounter("answers.unknown", registry),
			refused:   metrics.NewRegisteredCounter("answers.notRun", registry),
			served:    metrics.NewRegisteredCounter("answers.served", registry),
		},
	}
	registerProcessMeters(registry)
	for _, option := range options {
		option(daemon)
	}
	daemon.trail = hatchaudit.NewTrail(settings.Host, daemon.platform, daemon.logger)
	daemon.claims = newClaims(daemon.process, daemon.platform, daemon.runClaimed, daemon.trail, daemon.logger,
		hatchclaim.WithCommitInterval(time.Duration(timing.CommitInterval)))
	daemon.engineOrders = newEngineOrders(daemon)
	daemon.admission = newAdmission(daemon)
	daemon.daemons.Registered(daemon.registration(), 0)
	return daemon
}

// registration is what the daemon tells the fleet of itself.
func (daemon *Daemon) registration() hatchmember.Daemon {
	settings := daemon.settings
	return hatchmember.Daemon{
		Host:            settings.Host,
		Site:            settings.Site,
		Process:         daemon.process,
		CallerAddress:   settings.CallerAddress,
		OperatorAddress: settings.OperatorAddress,
		PeerAddress:     settings.PeerAddress,
		Leaving:         daemon.leaving.Load(),
	}
}

// background runs the daemon's own work until ctx is done.
func (daemon *Daemon) background(ctx context.Context) {
	var group conc.WaitGroup
	for _, loop := range []func(context.Context){
		daemon.watchFleet, daemon.beat, daemon.pollHosts, daemon.probeUpstreams, daemon.trail.Run, daemon.engineOrders.run,
		daemon.admission.run,
	} {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
}

// spread returns about the duration; daemons that were disturbed together do
// not go on acting together.
func (daemon *Daemon) spread(duration time.Duration) time.Duration {
	return duration/2 + time.Duration(daemon.random.Int64N(int64(duration)))
}

// pause waits for about the duration; it returns false once ctx is done.
func (daemon *Daemon) pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(daemon.spread(duration))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
