package hatchgateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"dragonflyhatch/hatchpeer"
	"dragonflyhatch/platform"
)

const (
	// headerTimeout bounds the time in which a caller must send a request's
	// header before the configuration says so.
	headerTimeout = 5 * time.Second
	// idleSlack is added to the time for which callers keep idle connections, so
	// that it is they who close them.
	idleSlack = 2 * time.Second
	// directoryTTL is how long callers keep the directory's answer. A shorter one
	// makes them leave a stopping daemon sooner and costs more answers.
	directoryTTL = time.Second
	// acceptShare is the share of the time from SIGTERM to SIGKILL in which a
	// stopping daemon takes new requests: until kept directory answers have run
	// out.
	acceptShare = 0.35
	// stopSlack is what is left of that time when the last streams are broken
	// off.
	stopSlack = 400 * time.Millisecond
)

// server is one of the daemon's HTTP servers.
type server struct {
	name string
	*http.Server
}

// Run serves until ctx is done and then stops gracefully.
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
		{"readiness", gateway.settings.ReadyAddress, platform.NewReadiness(gateway.ready)},
		{"directory", gateway.settings.DirectoryAddress, platform.NewDirectory(gateway.entries)},
		{"peers", gateway.settings.PeerAddress, hatchpeer.NewFleetHandler(gateway)},
		{"metrics", gateway.settings.MetricsAddress, gateway.metricsHandler()},
	} {
		if each.address == "" {
			continue
		}
		started, err := gateway.listen(each.name, each.address, &http.Server{Handler: each.handler, ReadHeaderTimeout: headerTimeout})
		if err != nil {
			return err
		}
		servers = append(servers, started)
	}
	var group conc.WaitGroup
	for _, loop := range []func(context.Context){
		gateway.gossip, gateway.seek, gateway.spreadNews, gateway.elect, gateway.place, gateway.poll,
		func(ctx context.Context) { gateway.follow(ctx, routingFollower{gateway}) },
		func(ctx context.Context) { gateway.follow(ctx, replicaFollower{gateway}) },
		gateway.expireReplicas,
	} {
		group.Go(func() { loop(background) })
	}
	callers, err := gateway.listenToCallers(ctx)
	if err != nil {
		return err
	}
	<-ctx.Done()
	err = gateway.stop(callers)
	cancel()
	group.Wait()
	for _, server := range servers {
		err = errors.CombineErrors(err, server.Close())
	}
	gateway.logger.Info("stopped", "host", gateway.settings.Host, "error", err)
	return err
}

func (gateway *Gateway) listen(name, address string, httpServer *http.Server) (*server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listener for %s", name)
	}
	started := &server{name, httpServer}
	go func() {
		if err := started.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			gateway.logger.Error("listener failed", "name", name, "error", err)
		}
	}()
	return started, nil
}

// listenToCallers takes requests once there is a configuration. It returns nil
// if ctx ends before.
func (gateway *Gateway) listenToCallers(ctx context.Context) (*server, error) {
	select {
	case <-gateway.hasTable:
	case <-ctx.Done():
		return nil, nil
	}
	limits := gateway.Table().Limits
	httpServer := &http.Server{
		Handler:           gateway.callerHandler(),
		ReadHeaderTimeout: headerTimeout,
	}
	if limits.HeaderBytes > 0 {
		httpServer.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		httpServer.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		httpServer.IdleTimeout = limits.IdleTimeout + idleSlack
	}
	return gateway.listen("callers", gateway.settings.CallerAddress, httpServer)
}

// callerHandler forwards requests. A stopping daemon has each caller close its
// connection.
func (gateway *Gateway) callerHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if gateway.stopping.Load() {
			writer.Header().Set("Connection", "close")
		}
		gateway.forwarder.ServeHTTP(writer, request)
	})
}

// ready says whether the daemon takes requests.
func (gateway *Gateway) ready() bool {
	return gateway.Table() != nil && !gateway.stopping.Load()
}

// entries returns the addresses for callers in the site and how long they may be
// kept.
func (gateway *Gateway) entries(site string) ([]string, time.Duration) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	var addresses []string
	for _, member := range gateway.roster.Entries(site) {
		addresses = append(addresses, member.CallerAddress)
	}
	gateway.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses, min(directoryTTL, gateway.settings.Bounds.MaxDirectoryTTL)
}

// expireReplicas forgets replicas that did not come back after the store was
// away.
func (gateway *Gateway) expireReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		gateway.pause(ctx, returnTime/4)
		gateway.mu.Lock()
		if gateway.replicas.expire(time.Now()) {
			gateway.rebuild()
		}
		gateway.mu.Unlock()
	}
}

// stop makes callers and peers leave this daemon, takes requests until they
// have, and waits for the last one.
func (gateway *Gateway) stop(callers *server) error {
	begun := time.Now()
	grace := gateway.settings.Bounds.StopTime
	gateway.logger.Info("stopping", "grace", grace)
	gateway.stopping.Store(true)
	if callers == nil {
		return nil
	}
	gateway.announceLeaving()
	time.Sleep(time.Until(begun.Add(time.Duration(acceptShare * float64(grace)))))
	bound, cancel := context.WithDeadline(context.Background(), begun.Add(grace-stopSlack))
	defer cancel()
	err := callers.Shutdown(bound)
	if err != nil {
		gateway.logger.Error("stop cut requests", "elapsed", time.Since(begun), "error", err)
		return errors.CombineErrors(err, callers.Close())
	}
	gateway.logger.Info("stop cut nothing", "elapsed", time.Since(begun))
	return nil
}

// toldOfLeaving bounds the peers that are told at once; the others hear it from
// them.
const toldOfLeaving = 24

func (gateway *Gateway) announceLeaving() {
	gateway.mu.Lock()
	gateway.roster.Leave()
	peers := gateway.roster.Peers(gateway.random)
	gateway.mu.Unlock()
	var group conc.WaitGroup
	for _, peer := range peers[:min(len(peers), toldOfLeaving)] {
		group.Go(func() {
			if err := gateway.exchange(context.Background(), peer.PeerAddress); err != nil {
				gateway.logger.Debug("leaving not told", "host", peer.Host, "error", err)
			}
		})
	}
	group.Wait()
}
