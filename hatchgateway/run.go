package hatchgateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"dragonflyhatch/hatchloop"
	"dragonflyhatch/hatchpeer"
	"dragonflyhatch/platform"
)

const (
	// headerTimeout bounds the time to read a request's header, unless the
	// configuration sets another bound for callers.
	headerTimeout = 5 * time.Second
	// idleTimeoutMargin is added to the configured idle timeout, so that the caller
	// and not the daemon closes an idle connection.
	idleTimeoutMargin = 2 * time.Second
	// directoryTTL is how long callers cache a directory response. A shorter time
	// moves them off a stopping daemon sooner but causes more lookups.
	directoryTTL = time.Second
	// acceptFraction is the fraction of the time from SIGTERM to SIGKILL in which a
	// stopping daemon still accepts requests, so that cached directory responses
	// expire first.
	acceptFraction = 0.35
	// shutdownMargin is how long before SIGKILL the remaining connections are closed.
	shutdownMargin = 400 * time.Millisecond
	// cutMargin is how long before that requests in progress are ended, so that
	// their callers get the response that says so.
	cutMargin = 300 * time.Millisecond
	// arrivalTime is how long a stopping daemon waits for requests on connections that
	// were opened just before it stopped listening.
	arrivalTime = 100 * time.Millisecond
	// shutdownPollInterval is the pause between two checks for connections in use.
	shutdownPollInterval = 20 * time.Millisecond
)

// server is one of the daemon's HTTP servers.
type server struct {
	name string
	*http.Server
	listener net.Listener

	mu    sync.Mutex        // guards inUse
	inUse map[net.Conn]bool // connections with a request that is not fully answered
}

func newServer(name string, httpServer *http.Server, listener net.Listener) *server {
	server := &server{name: name, Server: httpServer, listener: listener, inUse: make(map[net.Conn]bool)}
	httpServer.ConnState = server.trackState
	return server
}

// trackState counts the connections in use. It is the server's ConnState hook, whose
// calls for one connection are in order.
func (server *server) trackState(conn net.Conn, state http.ConnState) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if state == http.StateActive {
		server.inUse[conn] = true
	} else {
		delete(server.inUse, conn)
	}
}

// drain stops listening and waits until no connection is in use, at most until ctx
// is done. Until then requests on open connections are served: http.Server.Shutdown would
// close their connections without a response.
func (server *server) drain(ctx context.Context) error {
	if err := server.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // closed if the server has failed
		return err
	}
	sleep(ctx, arrivalTime)
	if err := server.awaitUnused(ctx); err != nil {
		return err
	}
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_ = server.Shutdown(ended) // does not wait; from now on net/http serves no request that was not in use before
	if err := server.awaitUnused(ctx); err != nil {
		return err
	}
	return server.Close()
}

// awaitUnused waits until no connection is in use. It checks more often than
// http.Server.Shutdown, whose pauses grow to 0.5 s.
func (server *server) awaitUnused(ctx context.Context) error {
	for {
		server.mu.Lock()
		inUse := len(server.inUse)
		server.mu.Unlock()
		if inUse == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
}

// Run serves until ctx is done and then shuts down gracefully.
func (gateway *Gateway) Run(ctx context.Context) error {
	gateway.logger.Info("started", "host", gateway.settings.Host, "site", gateway.settings.Site,
		"process", gateway.roster.Self().Process, "callers", gateway.settings.CallerAddress, "metrics", gateway.settings.MetricsAddress)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*server
	for _, each := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"readiness", gateway.settings.ReadyAddress, platform.NewReadinessHandler(gateway.isReady)},
		{"directory", gateway.settings.DirectoryAddress, platform.NewDirectoryHandler(gateway.directoryEntries)},
		{"peers", gateway.settings.PeerAddress, hatchpeer.NewFleetHandler(gateway)},
		{"metrics", gateway.settings.MetricsAddress, gateway.metricsHandler()},
	} {
		if each.address == "" {
			continue
		}
		started, err := gateway.startServer(each.name, each.address, &http.Server{Handler: each.handler, ReadHeaderTimeout: headerTimeout})
		if err != nil {
			return err
		}
		servers = append(servers, started)
	}
	var group conc.WaitGroup
	supervisor := hatchloop.NewSupervisor(gateway.logger, gateway.registry)
	for _, loop := range gateway.loops() {
		group.Go(func() { supervisor.Run(background, loop) })
	}
	callers, err := gateway.startCallerServer(ctx)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-gateway.serverFailed:
	}
	err = errors.CombineErrors(err, gateway.stop(callers))
	cancel()
	group.Wait()
	for _, server := range servers {
		err = errors.CombineErrors(err, server.Close())
	}
	gateway.logger.Info("stopped", "host", gateway.settings.Host, "error", err)
	return err
}

// loops returns the daemon's long-lived tasks.
func (gateway *Gateway) loops() []hatchloop.Loop {
	return []hatchloop.Loop{
		{Name: "gossip", Run: gateway.runGossip},
		{Name: "seed joins", Run: gateway.runSeedJoins},
		{Name: "pushes", Run: gateway.runPushes},
		{Name: "election", Run: gateway.runElection},
		{Name: "placement", Run: gateway.runPlacement, OnFailure: gateway.resign},
		{Name: "polling", Run: gateway.runPolling},
		{Name: "routing follower", Run: func(ctx context.Context) { gateway.runFollower(ctx, routingFollower{gateway}) }},
		{Name: "replica follower", Run: func(ctx context.Context) { gateway.runFollower(ctx, replicaFollower{gateway}) }},
		{Name: "replica expiry", Run: gateway.runReplicaExpiry},
	}
}

// startServer listens on the address and serves in a goroutine. A server that fails
// later ends Run: a daemon without it would go on without serving.
func (gateway *Gateway) startServer(name, address string, httpServer *http.Server) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	started := newServer(name, httpServer, listener)
	go func() {
		if err := started.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			gateway.logger.Error("server failed", "name", name, "error", err)
			select {
			case gateway.serverFailed <- errors.Wrapf(err, "server for %s", name):
			default: // another one has failed already
			}
		}
	}()
	return started, nil
}

// startCallerServer serves callers once a configuration is in force. It returns
// nil if ctx is done first.
func (gateway *Gateway) startCallerServer(ctx context.Context) (*server, error) {
	select {
	case <-gateway.tableLoaded:
	case <-ctx.Done():
		return nil, nil
	}
	gateway.awaitPeer(ctx)
	limits := gateway.Table().Limits
	httpServer := &http.Server{
		Handler:           gateway.forwarder,
		ReadHeaderTimeout: headerTimeout,
	}
	if limits.HeaderBytes > 0 {
		httpServer.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		httpServer.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		httpServer.IdleTimeout = limits.IdleTimeout + idleTimeoutMargin
	}
	return gateway.startServer("callers", gateway.settings.CallerAddress, httpServer)
}

// awaitPeer waits until the first peer has answered, but not for long: a daemon that has
// started again learns from its peers which requests are held back.
func (gateway *Gateway) awaitPeer(ctx context.Context) {
	if gateway.settings.Bootstrap || len(gateway.unknownSeeds()) == 0 {
		return
	}
	select {
	case <-gateway.peerContact:
	case <-time.After(gossipTimeout):
	case <-ctx.Done():
	}
}

// isReady reports whether the daemon accepts requests.
func (gateway *Gateway) isReady() bool {
	return gateway.Table() != nil && !gateway.stopping.Load()
}

// directoryEntries returns the caller addresses of the daemons that callers in the
// site should use, in random order, and how long they may be cached.
func (gateway *Gateway) directoryEntries(site string) ([]string, time.Duration) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	var addresses []string
	for _, member := range gateway.roster.Entries(site) {
		addresses = append(addresses, member.CallerAddress)
	}
	gateway.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses, min(directoryTTL, gateway.settings.Bounds.MaxDirectoryTTL)
}

// runReplicaExpiry drops replicas that did not register again after an outage of
// the store, until ctx is done.
func (gateway *Gateway) runReplicaExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		gateway.pause(ctx, reregistrationGrace/4)
		gateway.expireReplicas(time.Now())
	}
}

func (gateway *Gateway) expireReplicas(now time.Time) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.replicas.expire(now) {
		gateway.requestRebuild()
	}
}

// stop announces to callers and peers that the daemon is leaving, accepts requests
// for a part of the stop time, and then waits for those in flight.
func (gateway *Gateway) stop(callers *server) error {
	start := time.Now()
	grace := gateway.settings.Bounds.StopTime
	gateway.logger.Info("stopping", "grace", grace)
	gateway.stopping.Store(true)
	gateway.forwarder.StopAt(start.Add(grace - shutdownMargin - cutMargin))
	if callers == nil {
		return nil
	}
	gateway.announceLeaving()
	time.Sleep(time.Until(start.Add(time.Duration(acceptFraction * float64(grace)))))
	deadlineCtx, cancel := context.WithDeadline(context.Background(), start.Add(grace-shutdownMargin))
	defer cancel()
	gateway.forwarder.StopAccepting()
	if err := callers.drain(deadlineCtx); err != nil {
		gateway.logger.Error("graceful stop timed out, closing remaining connections", "elapsed", time.Since(start), "error", err)
		return errors.CombineErrors(err, callers.Close())
	}
	if cut := gateway.forwarder.Cut(); cut > 0 {
		gateway.logger.Error("stop cut requests", "requests", cut, "elapsed", time.Since(start))
		return errors.Newf("the stop cut %d requests", cut)
	}
	if aborted := gateway.forwarder.Aborted(); aborted > 0 {
		gateway.logger.Warn("all requests ended before stop, some streams incomplete", "aborted", aborted, "elapsed", time.Since(start))
		return nil
	}
	gateway.logger.Info("all requests completed before stop", "elapsed", time.Since(start))
	return nil
}

// maxLeaveNotices bounds the peers to which a leaving daemon sends gossip directly;
// these pass it on to the others.
const maxLeaveNotices = 24

// announceLeaving marks this daemon as leaving and exchanges gossip with random
// peers.
func (gateway *Gateway) announceLeaving() {
	gateway.mu.Lock()
	gateway.roster.MarkLeaving()
	peers := gateway.roster.Peers(gateway.random)
	gateway.mu.Unlock()
	var group conc.WaitGroup
	for _, peer := range peers[:min(len(peers), maxLeaveNotices)] {
		group.Go(func() {
			if err := gateway.exchange(context.Background(), peer.PeerAddress); err != nil {
				gateway.logger.Debug("announcing leave to peer failed", "host", peer.Host, "error", err)
			}
		})
	}
	group.Wait()
}
