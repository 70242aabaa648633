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
	"dragonflyhatch/hatchloop"
	"dragonflyhatch/hatchmember"
	"dragonflyhatch/hatchpeer"
	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/hatchupstream"
	"dragonflyhatch/platform"
)

// Daemon is the process that serves an entry host.
type Daemon struct {
	settings *hatchconfig.Settings
	process  string // unique name of this start of the daemon
	logger   *slog.Logger
	registry metrics.Registry
	random   *rand.Rand

	platform dragonflyhatch.Platform
	engine   dragonflyhatch.Engine
	service  dragonflyhatch.Service
	peer     dragonflyhatch.Peer

	claims *claims

	layerCommands *layerCommands
	admission     *admission
	trail         *hatchaudit.Trail
	journal       *hatchaudit.Journal
	health        *hatchroute.HealthSet
	retryBudget   *hatchretry.Budget

	view         atomic.Pointer[view]
	leaving      atomic.Bool
	updateSignal chan struct{} // holds a value while updates are to be pushed to peers

	pushRoundsLeft atomic.Int32 // rounds in which the updates are still to be pushed

	mu       sync.Mutex // guards the fleet state below and the replacement of the view
	members  *hatchmember.Daemons
	drainSet *hatchmember.DrainSet

	started time.Time
	metrics daemonMetrics
}

// daemonMetrics are the daemon's own counters.
type daemonMetrics struct {
	resumes        metrics.Counter // further attempts at a completion after a failure
	moves          metrics.Counter // attempts moved from an engine's queue to a free engine
	ownerFailovers metrics.Counter // orders forwarded to another owner because one did not respond
	outcomeUnknown metrics.Counter // responses that leave open whether the request ran
	refused        metrics.Counter // responses that state that the request did not run
	served         metrics.Counter
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger sets the daemon's logger.
func WithLogger(logger *slog.Logger) Option {
	return func(daemon *Daemon) { daemon.logger = logger }
}

// WithPlatform replaces the client of the platform.
func WithPlatform(platform dragonflyhatch.Platform) Option {
	return func(daemon *Daemon) { daemon.platform = platform }
}

const (
	peerBytesMetric = "peers.bytes" // bytes sent and received between daemons
	peerDialTimeout = 300 * time.Millisecond
)

// globalSource is a rand.Source that draws from the global generator, which
// several goroutines may use concurrently.
type globalSource struct{}

// Uint64 returns a random number.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// New returns a daemon that has not started; Run starts it.
func New(settings *hatchconfig.Settings, options ...Option) *Daemon {
	registry := metrics.NewRegistry()
	timing := settings.Timing
	daemon := &Daemon{
		settings: settings,
		process:  settings.Host + "/" + uuid.NewString(),
		logger:   slog.Default(),
		registry: registry,
		random:   rand.New(globalSource{}),
		platform: platform.NewStore(settings.Platform,
			platform.WithTimeout(time.Duration(timing.PlatformTimeout)), platform.WithMetrics(registry)),
		engine:  hatchupstream.NewEngine(hatchupstream.WithStreamIdleTimeout(time.Duration(timing.StreamIdleTimeout))),
		service: hatchupstream.NewService(),
		peer: hatchpeer.NewClient(hatchpeer.WithDialer(
			countedDialer(peerDialTimeout, metrics.GetOrRegisterCounter(peerBytesMetric, registry)))),
		journal:      hatchaudit.NewJournal(settings.Host),
		health:       hatchroute.NewHealthSet(),
		retryBudget:  hatchretry.NewBudget(),
		updateSignal: make(chan struct{}, 1),
		members:      hatchmember.NewDaemons(settings.Host),
		drainSet:     hatchmember.NewDrainSet(),
		started:      time.Now(),
		metrics: daemonMetrics{
			resumes:        metrics.NewRegisteredCounter("completions.resumes", registry),
			moves:          metrics.NewRegisteredCounter("completions.moves", registry),
			ownerFailovers: metrics.NewRegisteredCounter("orders.handedOn", registry),
			outcomeUnknown: metrics.NewRegisteredCounter("answers.unknown", registry),
			refused:        metrics.NewRegisteredCounter("answers.notRun", registry),
			served:         metrics.NewRegisteredCounter("answers.served", registry),
		},
	}
	registerProcessMetrics(registry)
	for _, option := range options {
		option(daemon)
	}
	daemon.trail = hatchaudit.NewTrail(settings.Host, daemon.platform, daemon.logger)
	daemon.claims = newClaims(daemon.process, daemon.platform, daemon.dispatchClaimed, daemon.trail, daemon.logger,
		hatchclaim.WithCommitInterval(time.Duration(timing.CommitInterval)))
	daemon.layerCommands = newLayerCommands(daemon)
	daemon.admission = newAdmission(daemon)
	daemon.members.AddRegistration(daemon.registration(), 0)
	return daemon
}

// registration describes the daemon as it is registered with the fleet.
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

// background runs the daemon's periodic work until ctx is done.
func (daemon *Daemon) background(ctx context.Context) {
	var group conc.WaitGroup
	supervisor := hatchloop.NewSupervisor(daemon.logger, daemon.registry)
	for _, loop := range []hatchloop.Loop{
		{Name: "fleet watch", Run: daemon.watchFleet},
		{Name: "gossip", Run: daemon.gossip},
		{Name: "host polling", Run: daemon.pollHosts},
		{Name: "upstream probes", Run: daemon.probeUpstreams},
		{Name: "audit trail", Run: daemon.trail.Run},
		{Name: "layer commands", Run: daemon.layerCommands.run},
		{Name: "admission", Run: daemon.admission.run},
	} {
		group.Go(func() { supervisor.Run(ctx, loop) })
	}
	group.Wait()
}

// jitter returns a random duration between half and one and a half of the given
// one. It keeps daemons that were disturbed at the same time from acting in
// lockstep afterwards.
func (daemon *Daemon) jitter(duration time.Duration) time.Duration {
	return duration/2 + time.Duration(daemon.random.Int64N(int64(duration)))
}

// sleep waits for the jittered duration and returns true, or returns false once
// ctx is done.
func (daemon *Daemon) sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(daemon.jitter(duration))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
