package hatchsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

const (
	// startBound is when a new fleet must serve, and recoverBound when one must
	// again after the last fault.
	startBound   = 15 * time.Second
	recoverBound = 12 * time.Second
	servedPause  = 100 * time.Millisecond
	// enginesPerSite hold the model twice over in each site.
	enginesPerSite = 4
	deskReplicas   = 3
)

// Plan is what a run is to do.
type Plan struct {
	Program string        // the router's own executable
	Folder  string        // for settings and logs; one of the run's own if empty
	Seed    uint64        // of the faults
	Length  time.Duration // of the time in which faults begin
	Daemons int
	Slot    int // of the runs at the same time, 0 to 99; gives the addresses
}

// Report is what a run has shown.
type Report struct {
	Events     []Event
	Requests   int
	Served     int
	Violations []string
	Folder     string // with the logs
}

// run is a fleet under test.
type run struct {
	seed     uint64
	checker  *checker
	backends *backends
	daemons  []*daemon
	server   *storeServer

	storeBusy sync.Mutex // held by the fault that strikes the store
}

// Run plays the plan. An error means that it could not be played; what broke the
// promises is in the report.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	folder := plan.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "soak"); err != nil {
			return nil, errors.Wrap(err, "soak")
		}
	}
	run := &run{seed: plan.Seed, checker: newChecker()}
	run.backends = newBackends(run.checker)
	defer run.end()
	if err := run.begin(plan, folder); err != nil {
		return nil, err
	}
	report := &Report{Events: Draw(plan.Seed, plan.Length), Folder: folder}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers conc.WaitGroup
	if !run.awaitServed(ctx, startBound) {
		run.checker.violate("the fleet does not serve %v after its start", startBound)
	} else {
		for number := range callersPerSite * len(sites) {
			callers.Go(func() { run.callLoop(calling, number) })
		}
		for _, daemon := range run.daemons {
			callers.Go(func() { run.markerLoop(calling, daemon) })
		}
		run.strike(ctx, report.Events)
		if !run.awaitServed(ctx, recoverBound) {
			run.checker.violate("the fleet does not serve %v after the last fault", recoverBound)
		}
		run.stopAll()
	}
	stopCalling()
	callers.Wait()
	report.Violations = run.checker.finish()
	report.Requests, report.Served = run.checker.counts()
	return report, ctx.Err()
}

// begin starts the store, the replicas and the daemons.
func (run *run) begin(plan Plan, folder string) error {
	var err error
	if run.server, err = startStore(run.backends.store); err != nil {
		return err
	}
	run.backends.configure()
	for _, site := range sites {
		for range enginesPerSite {
			if _, err := run.backends.start(modelService, site); err != nil {
				return err
			}
		}
	}
	for number := range deskReplicas {
		if _, err := run.backends.start(deskService, sites[number%len(sites)]); err != nil {
			return err
		}
	}
	go run.backends.beat(run.server.done)
	for number := range plan.Daemons {
		daemon, err := run.newDaemon(plan, folder, number)
		if err != nil {
			return err
		}
		run.daemons = append(run.daemons, daemon)
	}
	for _, daemon := range run.daemons {
		if err := daemon.start(); err != nil {
			return err
		}
	}
	return nil
}

// newDaemon returns a machine that has not started. Each has an address of its
// own.
func (run *run) newDaemon(plan Plan, folder string, number int) (*daemon, error) {
	link, err := newProxy()
	if err != nil {
		return nil, err
	}
	link.setTarget(run.server.address)
	ip := machineIP(plan.Slot, number)
	daemon := &daemon{number: number, program: plan.Program, folder: folder, store: link}
	daemon.settings = platform.Settings{
		Host: fmt.Sprintf("machine-%d", number), IP: ip, Site: sites[number%len(sites)],
		CallerAddress: ip + ":8080", ReadyAddress: ip + ":8081", PeerAddress: ip + ":8082", DirectoryAddress: ip + ":8083",
		Seeds:    []string{machineIP(plan.Slot, 0) + ":8082", machineIP(plan.Slot, 1) + ":8082"},
		MemoryMB: 206, StoreAddress: link.address(),
		Bounds: platform.Bounds{
			StopTime: stopTime, RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow, MaxDirectoryTTL: 5 * time.Second,
		},
	}
	return daemon, nil
}

// machineIP is the loopback address of a machine of the run.
func machineIP(slot, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+slot%100, 1+os.Getpid()%250, 1+number)
}

func (run *run) directories(random *rand.Rand) []string {
	var addresses []string
	for _, daemon := range run.daemons {
		addresses = append(addresses, daemon.settings.DirectoryAddress)
	}
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), 3)]
}

// daemonAt returns the machine with the address for callers.
func (run *run) daemonAt(address string) *daemon {
	for _, daemon := range run.daemons {
		if daemon.settings.CallerAddress == address {
			return daemon
		}
	}
	return run.daemons[0]
}

// awaitServed waits until every daemon serves requests of each class.
func (run *run) awaitServed(ctx context.Context, bound time.Duration) bool {
	caller := hatchstandin.NewCaller(callerHost, sites[0], tenantKey)
	defer caller.Close()
	deadline := time.Now().Add(bound)
	for _, daemon := range run.daemons {
		for _, class := range []class{draft, order, status} {
			for {
				answer := run.call(ctx, caller, daemon.settings.CallerAddress, class, 0)
				if answer.Status == 200 && answer.Whole {
					break
				}
				if ctx.Err() != nil || time.Now().After(deadline) {
					return false
				}
				sleep(ctx, servedPause)
			}
		}
	}
	return true
}

// strike plays the faults, each by itself, and returns when all are over.
func (run *run) strike(ctx context.Context, events []Event) {
	begun := time.Now()
	var group conc.WaitGroup
	for _, event := range events {
		sleep(ctx, time.Until(begun.Add(event.At)))
		if ctx.Err() != nil {
			break
		}
		for _, daemon := range run.daemons {
			if err := daemon.hasEnded(); err != nil {
				run.checker.violate("%v", err)
			}
		}
		group.Go(func() { run.play(event) })
	}
	group.Wait()
}

// stopAll stops all daemons together.
func (run *run) stopAll() {
	var group sync.WaitGroup
	for _, daemon := range run.daemons {
		group.Add(1)
		go func() {
			defer group.Done()
			daemon.busy.Lock()
			defer daemon.busy.Unlock()
			defer run.checker.stop(daemon.number)()
			daemon.signal(syscall.SIGTERM)
			if err := daemon.await(stopTime + stopSlack); err != nil {
				run.checker.violate("%v", err)
			}
		}()
	}
	group.Wait()
}

// end ends whatever the run has started.
func (run *run) end() {
	for _, daemon := range run.daemons {
		if daemon.process != nil {
			daemon.signal(syscall.SIGKILL) // it may have ended
		}
		daemon.store.close()
	}
	for _, backend := range run.backends.of("") {
		run.backends.crash(backend)
	}
	if run.server != nil {
		run.server.close()
	}
}

// counts returns how many requests callers sent and how many were served.
func (checker *checker) counts() (requests, served int) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for _, record := range checker.records {
		if record.answer.Status == 200 && record.answer.Whole {
			served++
		}
	}
	return len(checker.records), served
}
