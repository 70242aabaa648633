package hatchsoak

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"dragonflyhatch/hatchstandin"
)

// storeServer serves the stand-in of the store until it is closed.
type storeServer struct {
	address string
	server  *http.Server
	done    chan struct{} // closed with the server; ends refreshRegistrations
}

func startStore(store *hatchstandin.Platform) (*storeServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	result := &storeServer{
		address: listener.Addr().String(),
		server:  &http.Server{Handler: store.Handler(), ReadHeaderTimeout: 10 * time.Second},
		done:    make(chan struct{}),
	}
	go func() { _ = result.server.Serve(listener) }() // returns when the server is closed
	return result, nil
}

func (server *storeServer) close() {
	close(server.done)
	server.server.Close()
}

// inject carries out the event and returns when it is over.
func (run *run) inject(event Event) {
	daemon := run.daemons[event.Target%len(run.daemons)]
	switch event.Fault {
	case DaemonStop, DaemonReload, DaemonKill, DaemonPause, DaemonClock, StoreCut:
		daemon.faultMu.Lock()
		defer daemon.faultMu.Unlock()
		run.injectDaemonFault(event, daemon)
	case FleetKill:
		run.killFleet(event)
	case ConfigurationChange:
		run.standins.applyConfiguration()
	case StoreOut, StoreSilent, StoreSlow, StoreLosesReplies, StoreHidesChanges, StoreRefuses:
		run.injectStoreFault(event)
	case StoreRestored:
		run.restoreStore(event)
	default:
		run.injectReplicaFault(event)
	}
}

// clockStep is the shift of a daemon's clock. It is far longer than the fleet needs
// for any agreement, so that a dependence on the wall clock shows.
const clockStep = 20 * time.Second

func (run *run) injectDaemonFault(event Event, daemon *daemon) {
	if !event.Fault.isPlanned() {
		defer run.checker.beginDisturbance(daemon.number)()
	}
	switch event.Fault {
	case DaemonStop:
		endStop := run.checker.beginPlannedStop(daemon.number)
		daemon.signal(syscall.SIGTERM)
		if err := daemon.awaitExit(stopTime + stopSlack); err != nil {
			run.checker.addViolation("%v", err)
		}
		endStop()
		run.restart(daemon)
	case DaemonReload:
		daemon.settings.Seeds = []string{run.daemons[event.Target%len(run.daemons)].settings.PeerAddress}
		daemon.signal(syscall.SIGHUP)
	case DaemonKill:
		run.kill(daemon)
		run.restart(daemon)
	case DaemonClock:
		daemon.clockOffset = clockStep
		if event.Target%2 == 0 {
			daemon.clockOffset = -clockStep
		}
		run.kill(daemon)
		run.restart(daemon)
		daemon.clockOffset = 0
	case DaemonPause:
		daemon.signal(syscall.SIGSTOP)
		time.Sleep(event.Length)
		daemon.signal(syscall.SIGCONT)
	case StoreCut:
		daemon.storeLink.setState([]linkState{linkSilent, linkOneWay, linkReset, linkSlow}[event.Target/len(run.daemons)%4])
		time.Sleep(event.Length)
		daemon.storeLink.setState(linkOpen)
	}
}

func (run *run) kill(daemon *daemon) {
	daemon.signal(syscall.SIGKILL)
	if err := daemon.awaitExit(stopSlack); err != nil {
		run.checker.addViolation("%v", err)
	}
}

// restart starts a new process on the host after a delay, as the platform does.
func (run *run) restart(daemon *daemon) {
	time.Sleep(restartDelay)
	if err := daemon.start(); err != nil {
		run.checker.addViolation("%v", err)
	}
}

func (run *run) killFleet(event Event) {
	defer run.checker.beginDisturbance(-1)()
	for _, daemon := range run.daemons {
		daemon.faultMu.Lock()
		defer daemon.faultMu.Unlock()
	}
	for _, daemon := range run.daemons {
		run.kill(daemon)
	}
	time.Sleep(event.Length)
	for _, daemon := range run.daemons {
		run.restart(daemon)
	}
}

const (
	// lostReplyCount is the number of writes in one fault whose replies are lost, and
	// lateWriteDelay the delay of late writes, which is longer than a client waits.
	lostReplyCount = 4
	lateWriteDelay = 1500 * time.Millisecond
	// refusedCallCount is the number of calls in one fault that get status 429.
	refusedCallCount = 20
	// storeDelay is added to each call of a slow store. A call normally takes
	// milliseconds.
	storeDelay = 300 * time.Millisecond
)

// injectStoreFault applies a fault to the store, one at a time.
func (run *run) injectStoreFault(event Event) {
	run.storeFaultMu.Lock()
	defer run.storeFaultMu.Unlock()
	defer run.checker.beginDisturbance(-1)()
	var faults hatchstandin.PlatformFaults
	switch event.Fault {
	case StoreOut:
		faults.Outage = true
	case StoreSilent:
		faults.Silent = true
	case StoreSlow:
		faults.Delay = hatchstandin.Duration(storeDelay)
	case StoreLosesReplies:
		faults.LoseReplies = lostReplyCount
		if event.Target%2 == 0 {
			faults.LateWrites = hatchstandin.Duration(lateWriteDelay)
		}
	case StoreHidesChanges:
		faults.HoldWatches = true
	case StoreRefuses:
		faults.Refuse = refusedCallCount
	}
	if faults.Outage || faults.Silent {
		defer run.standins.blockWrites()()
	}
	run.standins.store.SetFaults(faults)
	time.Sleep(event.Length)
	if faults.HoldWatches {
		run.standins.store.ForgetHistory()
	}
	run.standins.store.SetFaults(hatchstandin.PlatformFaults{})
}

// restoreDowntime is how long the store is away before it comes back from a copy.
const restoreDowntime = 500 * time.Millisecond

// restoreStore takes a copy of the store and brings the store back from it after the event's
// length.
func (run *run) restoreStore(event Event) {
	run.storeFaultMu.Lock()
	defer run.storeFaultMu.Unlock()
	copied := run.standins.store.Copy()
	time.Sleep(event.Length)
	defer run.checker.beginDisturbance(-1)()
	unblock := run.standins.blockWrites()
	run.standins.store.SetFaults(hatchstandin.PlatformFaults{Outage: true})
	time.Sleep(restoreDowntime)
	run.standins.store.Restore(copied)
	run.standins.store.SetFaults(hatchstandin.PlatformFaults{})
	unblock()
	run.standins.writeAgain()
}

// injectReplicaFault applies a fault to one replica. It does nothing if the service
// has fewer than two.
func (run *run) injectReplicaFault(event Event) {
	service := modelService
	if event.Fault >= DeskCrash && event.Fault <= DeskSheds || event.Fault == ReplicaLeaves && event.Target%3 == 0 {
		service = plainService
	}
	replicas := run.standins.byService(service)
	if len(replicas) < 2 {
		return
	}
	target := replicas[event.Target%len(replicas)]
	if !event.Fault.isPlanned() {
		defer run.checker.beginDisturbance(-1)()
	}
	linkStates := map[Fault]linkState{EngineSilent: linkSilent, EngineReset: linkReset, EngineSlow: linkSlow}
	plainFaults := map[Fault]hatchstandin.PlainFaults{DeskFails: {FailRate: 0.4}, DeskLosesAnswers: {LoseRate: 0.2, DuplicateRate: 0.1, BreakRate: 0.2}, DeskSheds: {RefuseRate: 0.6}}
	switch event.Fault {
	case ReplicaLeaves:
		run.startReplacement(target)
		run.standins.leave(target)
	case EngineCrash, DeskCrash:
		run.standins.crash(target)
		time.Sleep(event.Length)
		run.startReplacement(target)
	case EngineMute:
		target.link.silenceOpenConnections()
	case EngineSilent, EngineReset, EngineSlow:
		target.link.setState(linkStates[event.Fault])
		time.Sleep(event.Length)
		target.link.setState(linkOpen)
	case EngineForeign:
		target.engine.SetForeign(true)
		time.Sleep(event.Length)
		target.engine.SetForeign(false)
	case DeskFails, DeskLosesAnswers, DeskSheds:
		target.plain.SetFaults(plainFaults[event.Fault])
		time.Sleep(event.Length)
		target.plain.SetFaults(hatchstandin.PlainFaults{})
	}
}

// startReplacement starts a replica of the same service and site as one that has
// crashed or is leaving.
func (run *run) startReplacement(replica *replica) {
	if _, err := run.standins.start(replica.service(), replica.site); err != nil {
		run.checker.addViolation("replacement replica not started: %v", err)
	}
}
