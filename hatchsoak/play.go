package hatchsoak

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"dragonflyhatch/hatchstandin"
)

// storeServer serves the store until it is closed.
type storeServer struct {
	address string
	server  *http.Server
	done    chan struct{}
}

func startStore(store *hatchstandin.Platform) (*storeServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &storeServer{
		address: listener.Addr().String(),
		server:  &http.Server{Handler: store.Handler(), ReadHeaderTimeout: 10 * time.Second},
		done:    make(chan struct{}),
	}
	go func() { _ = started.server.Serve(listener) }() // ends with close
	return started, nil
}

func (server *storeServer) close() {
	close(server.done)
	server.server.Close()
}

// play makes the event happen and returns when it is over.
func (run *run) play(event Event) {
	daemon := run.daemons[event.Target%len(run.daemons)]
	switch event.Fault {
	case DaemonStop, DaemonReload, DaemonKill, DaemonPause, DaemonClock, StoreCut:
		daemon.busy.Lock()
		defer daemon.busy.Unlock()
		run.strikeDaemon(event, daemon)
	case FleetKill:
		run.killFleet(event)
	case ConfigurationChange:
		run.backends.configure()
	case StoreOut, StoreSilent, StoreSlow, StoreLosesReplies, StoreHidesChanges, StoreRefuses:
		run.strikeStore(event)
	default:
		run.strikeReplica(event)
	}
}

// clockStep is by how much the time of day of a machine is off: far more than a
// fleet takes to agree on anything.
const clockStep = 20 * time.Second

func (run *run) strikeDaemon(event Event, daemon *daemon) {
	if !event.Fault.isPlanned() {
		defer run.checker.disturb(daemon.number)()
	}
	switch event.Fault {
	case DaemonStop:
		ended := run.checker.stop(daemon.number)
		daemon.signal(syscall.SIGTERM)
		if err := daemon.await(stopTime + stopSlack); err != nil {
			run.checker.violate("%v", err)
		}
		ended()
		run.restart(daemon)
	case DaemonReload:
		daemon.settings.Seeds = []string{run.daemons[event.Target%len(run.daemons)].settings.PeerAddress}
		daemon.signal(syscall.SIGHUP)
	case DaemonKill:
		run.kill(daemon)
		run.restart(daemon)
	case DaemonClock:
		daemon.clock = clockStep
		if event.Target%2 == 0 {
			daemon.clock = -clockStep
		}
		run.kill(daemon)
		run.restart(daemon)
		daemon.clock = 0
	case DaemonPause:
		daemon.signal(syscall.SIGSTOP)
		time.Sleep(event.Lasts)
		daemon.signal(syscall.SIGCONT)
	case StoreCut:
		daemon.store.set([]linkState{linkSilent, linkOneWay, linkReset, linkSlow}[event.Target/len(run.daemons)%4])
		time.Sleep(event.Lasts)
		daemon.store.set(linkOpen)
	}
}

func (run *run) kill(daemon *daemon) {
	daemon.signal(syscall.SIGKILL)
	if err := daemon.await(stopSlack); err != nil {
		run.checker.violate("%v", err)
	}
}

// restart starts a process on the machine again, as the platform does.
func (run *run) restart(daemon *daemon) {
	time.Sleep(restartPause)
	if err := daemon.start(); err != nil {
		run.checker.violate("%v", err)
	}
}

func (run *run) killFleet(event Event) {
	defer run.checker.disturb(-1)()
	for _, daemon := range run.daemons {
		daemon.busy.Lock()
		defer daemon.busy.Unlock()
	}
	for _, daemon := range run.daemons {
		run.kill(daemon)
	}
	time.Sleep(event.Lasts)
	for _, daemon := range run.daemons {
		run.restart(daemon)
	}
}

const (
	// lostReplies is how many writes lose their replies in one fault, and
	// lateWrites when those are done that are late: longer than a client waits.
	lostReplies = 4
	lateWrites  = 1500 * time.Millisecond
	// refusedCalls is how many calls get 429 in one fault.
	refusedCalls = 20
	// storeDelay is added to each call of a slow store, which takes milliseconds
	// otherwise.
	storeDelay = 300 * time.Millisecond
)

// strikeStore has one fault of the store at a time.
func (run *run) strikeStore(event Event) {
	run.storeBusy.Lock()
	defer run.storeBusy.Unlock()
	defer run.checker.disturb(-1)()
	var faults hatchstandin.PlatformFaults
	switch event.Fault {
	case StoreOut:
		faults.Outage = true
	case StoreSilent:
		faults.Silent = true
	case StoreSlow:
		faults.Delay = hatchstandin.Duration(storeDelay)
	case StoreLosesReplies:
		faults.LoseReplies = lostReplies
		if event.Target%2 == 0 {
			faults.LateWrites = hatchstandin.Duration(lateWrites)
		}
	case StoreHidesChanges:
		faults.HoldWatches = true
	case StoreRefuses:
		faults.Refuse = refusedCalls
	}
	if faults.Outage || faults.Silent {
		defer run.backends.setDown()()
	}
	run.backends.store.SetFaults(faults)
	time.Sleep(event.Lasts)
	if faults.HoldWatches {
		run.backends.store.ForgetHistory()
	}
	run.backends.store.SetFaults(hatchstandin.PlatformFaults{})
}

// strikeReplica strikes one replica, unless too few are left.
func (run *run) strikeReplica(event Event) {
	service := modelService
	if event.Fault >= DeskCrash || event.Fault == ReplicaLeaves && event.Target%3 == 0 {
		service = deskService
	}
	replicas := run.backends.of(service)
	if len(replicas) < 2 {
		return
	}
	struck := replicas[event.Target%len(replicas)]
	if !event.Fault.isPlanned() {
		defer run.checker.disturb(-1)()
	}
	link := map[Fault]linkState{EngineSilent: linkSilent, EngineReset: linkReset, EngineSlow: linkSlow}
	faults := map[Fault]hatchstandin.PlainFaults{DeskFails: {Fail: 0.4}, DeskLosesAnswers: {Lose: 0.2, Double: 0.1}, DeskSheds: {Shed: 0.6}}
	switch event.Fault {
	case ReplicaLeaves:
		run.replace(struck)
		run.backends.leave(struck)
	case EngineCrash, DeskCrash:
		run.backends.crash(struck)
		time.Sleep(event.Lasts)
		run.replace(struck)
	case EngineMute:
		struck.link.silenceOpen()
	case EngineSilent, EngineReset, EngineSlow:
		struck.link.set(link[event.Fault])
		time.Sleep(event.Lasts)
		struck.link.set(linkOpen)
	case DeskFails, DeskLosesAnswers, DeskSheds:
		struck.desk.SetFaults(faults[event.Fault])
		time.Sleep(event.Lasts)
		struck.desk.SetFaults(hatchstandin.PlainFaults{})
	}
}

// replace starts a replica like the one that is gone or leaving.
func (run *run) replace(backend *backend) {
	if _, err := run.backends.start(backend.service(), backend.site); err != nil {
		run.checker.violate("replica not started: %v", err)
	}
}
