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

// maxOperatorBody is the size limit of an operator's request body, in bytes. A
// proposal contains a whole configuration, which may be as large as a platform
// object.
const maxOperatorBody = 2 << 20

const peerListenerName = "peers"

// listener is one of the daemon's HTTP servers.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
}

// Run serves until ctx is done and then stops gracefully. The stop ends at the
// latest after the stop timeout or when abort is done; requests that are still
// open then are cut off and logged. Run returns an error if the daemon could not
// start or if requests were cut off.
func (daemon *Daemon) Run(ctx, abort context.Context) error {
	callers, err := daemon.listen("callers", daemon.settings.CallerAddress, hatchentry.NewCallerHandler(daemon, daemon.settings.Limits))
	if err != nil {
		return err
	}
	operators, err := daemon.listen("operators", daemon.settings.OperatorAddress, hatchentry.NewOperatorHandler(daemon, maxOperatorBody))
	if err != nil {
		return err
	}
	peers, err := daemon.listen(peerListenerName, daemon.settings.PeerAddress, hatchpeer.NewHandler(daemon))
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { daemon.background(background) })
	daemon.logger.Info("started", "host", daemon.settings.Host, "site", daemon.settings.Site, "process", daemon.process,
		"callers", daemon.settings.CallerAddress, "operators", daemon.settings.OperatorAddress, "peers", daemon.settings.PeerAddress)

	<-ctx.Done()
	stopErr := daemon.stop(abort, callers)
	stopBackground()
	group.Wait()
	err = errors.CombineErrors(stopErr, daemon.finish(peers, operators))
	daemon.logger.Info("stopped", "host", daemon.settings.Host)
	return err
}

func (daemon *Daemon) listen(name, address string, handler http.Handler) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for %s", name)
	}
	if name == peerListenerName {
		socket = &countedListener{socket, metrics.GetOrRegisterCounter(peerBytesMetric, daemon.registry)}
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

// stop announces that the host is leaving and waits until its last request is
// done. It first waits until callers have dropped the entry lists that name
// this host, then for the requests in flight.
func (daemon *Daemon) stop(abort context.Context, callers *listener) error {
	start := time.Now()
	stopCtx, cancel := context.WithTimeout(abort, time.Duration(daemon.settings.Timing.StopTimeout))
	defer cancel()
	daemon.leaving.Store(true)
	daemon.logger.Info("stopping", "bound", time.Duration(daemon.settings.Timing.StopTimeout))
	daemon.announceLeaving(stopCtx)

	entriesExpired := time.NewTimer(time.Duration(daemon.settings.Timing.EntriesTTL))
	defer entriesExpired.Stop()
	select {
	case <-entriesExpired.C:
	case <-stopCtx.Done():
	}
	err := callers.server.Shutdown(stopCtx)
	for err == nil && !daemon.claims.isIdle() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-stopCtx.Done():
			err = errors.New("orders are still in progress")
		}
	}
	if err == nil {
		daemon.logger.Info("all requests completed before stop", "elapsed", time.Since(start))
		return nil
	}
	for _, record := range daemon.journal.Unfinished() {
		daemon.logger.Error("stop cut a request", "request", record.Request, "organisation", record.Organisation, "target", record.Target)
	}
	return errors.Wrap(err, "the stop bound passed")
}

// announceLeaving announces to the platform and the peers that the daemon is
// leaving. Peers that it does not reach learn of it by their own calls.
func (daemon *Daemon) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	daemon.mu.Lock()
	daemon.members.AddRegistration(daemon.registration(), 0)
	peers := daemon.members.Peers()
	daemon.mu.Unlock()
	var group conc.WaitGroup
	group.Go(func() {
		if err := daemon.register(ctx); err != nil {
			daemon.logger.Warn("registering as leaving failed", "error", err)
		}
	})
	for _, peer := range peers {
		group.Go(func() { daemon.heartbeatPeer(ctx, peer) })
	}
	group.Wait()
}

// finishTimeout bounds the last calls of a stopping daemon.
const finishTimeout = 3 * time.Second

// finish writes the rest of the audit trail, removes the registration and
// closes the remaining listeners. All callers have their responses by then, so
// connections of peers and operators that are still open are closed: a connection
// that was never used would otherwise delay the stop for 5 s.
func (daemon *Daemon) finish(listeners ...*listener) error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := daemon.trail.Flush(ctx); err != nil {
		daemon.logger.Warn("writing the audit trail failed", "error", err)
	}
	if err := daemon.deregister(ctx); err != nil {
		daemon.logger.Warn("removing the registration failed", "error", err)
	}
	var err error
	for _, listener := range listeners {
		if listener.server.Shutdown(ctx) != nil {
			daemon.logger.Info("closing the remaining connections", "name", listener.name)
			err = errors.CombineErrors(err, listener.server.Close())
		}
	}
	return err
}
