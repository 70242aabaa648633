package hatchserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"dragonflyhatch/hatchentry"
	"dragonflyhatch/hatchpeer"
)

// maxOperatorBody bounds an operator's request, in bytes: a whole configuration
// may be as large as an object of the platform.
const maxOperatorBody = 2 << 20

const peerListener = "peers"

// listener is one of the daemon's HTTP servers.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
}

// Run serves until ctx is done and then stops gracefully. A stop lasts at most
// the stop bound; what it cut is logged. Run returns an error if the daemon
// could not start or if requests were cut.
func (daemon *Daemon) Run(ctx, hurry context.Context) error {
	callers, err := daemon.listen("callers", daemon.settings.CallerAddress, hatchentry.NewCallers(daemon, daemon.settings.Limits))
	if err != nil {
		return err
	}
	operators, err := daemon.listen("operators", daemon.settings.OperatorAddress, hatchentry.NewOperators(daemon, maxOperatorBody))
	if err != nil {
		return err
	}
	peers, err := daemon.listen(peerListener, daemon.settings.PeerAddress, hatchpeer.NewHandler(daemon))
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { daemon.background(background) })
	daemon.logger.Info("started", "host", daemon.settings.Host, "site", daemon.settings.Site, "process", daemon.process,
		"callers", daemon.settings.CallerAddress, "operators", daemon.settings.OperatorAddress, "peers", daemon.settings.PeerAddress)

	<-ctx.Done()
	stopErr := daemon.stop(hurry, callers)
	stopBackground()
	group.Wait()
	err = errors.CombineErrors(stopErr, daemon.finish(peers, operators))
	daemon.logger.Info("stopped", "host", daemon.settings.Host)
	return err
}

func (daemon *Daemon) listen(name, address string, handler http.Handler) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listener for %s", name)
	}
	if name == peerListener {
		socket = &countedListener{socket, metrics.GetOrRegisterCounter(peerBytes, daemon.registry)}
	}
	listener := &listener{name: name, socket: socket, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Duration(daemon.settings.Limits.HeaderTimeout),
	}}
	go func() {
		if err := listener.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			daemon.logger.Error("listener failed", "name", name, "error", err)
		}
	}()
	return listener, nil
}

// stop makes the fleet and the callers leave this host, and waits until the
// last request is over: first the entries answers that name it run out, then
// the requests in flight.
func (daemon *Daemon) stop(hurry context.Context, callers *listener) error {
	begun := time.Now()
	bound, cancel := context.WithTimeout(hurry, time.Duration(daemon.settings.Timing.StopBound))
	defer cancel()
	daemon.leaving.Store(true)
	daemon.logger.Info("stopping", "bound", time.Duration(daemon.settings.Timing.StopBound))
	daemon.announceLeaving(bound)

	kept := time.NewTimer(time.Duration(daemon.settings.Timing.EntriesKept))
	defer kept.Stop()
	select {
	case <-kept.C:
	case <-bound.Done():
	}
	err := callers.server.Shutdown(bound)
	for err == nil && !daemon.claims.idle() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-bound.Done():
			err = errors.New("claims were left open")
		}
	}
	if err == nil {
		daemon.logger.Info("stop cut nothing", "elapsed", time.Since(begun))
		return nil
	}
	for _, record := range daemon.journal.Open() {
		daemon.logger.Error("stop cut a request", "request", record.Request, "organisation", record.Organisation, "target", record.Target)
	}
	return errors.Wrap(err, "the stop bound passed")
}

// announceLeaving tells the platform and the peers. Those that it cannot tell
// learn it from their own calls.
func (daemon *Daemon) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	daemon.mu.Lock()
	daemon.daemons.Registered(daemon.registration(), 0)
	peers := daemon.daemons.Peers()
	daemon.mu.Unlock()
	var group conc.WaitGroup
	group.Go(func() {
		if err := daemon.register(ctx); err != nil {
			daemon.logger.Warn("leaving not registered", "error", err)
		}
	})
	for _, peer := range peers {
		group.Go(func() { daemon.beatOne(ctx, peer) })
	}
	group.Wait()
}

// finishTimeout bounds the last calls of a stopping daemon.
const finishTimeout = 3 * time.Second

// finish writes the last of the audit trail, takes the registration back and
// closes the remaining listeners.
func (daemon *Daemon) finish(listeners ...*listener) error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := daemon.trail.Flush(ctx); err != nil {
		daemon.logger.Warn("audit trail not written", "error", err)
	}
	if err := daemon.deregister(ctx); err != nil {
		daemon.logger.Warn("registration not removed", "error", err)
	}
	var err error
	for _, listener := range listeners {
		err = errors.CombineErrors(err, listener.server.Shutdown(ctx))
	}
	return err
}
