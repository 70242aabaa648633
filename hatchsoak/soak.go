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
	// startTimeout is the time within which a new fleet must serve requests, and
	// recoveryTimeout the time within which it must do so after the last fault.
	startTimeout        = 15 * time.Second
	recoveryTimeout     = 12 * time.Second
	servingPollInterval = 100 * time.Millisecond
	// enginesPerSite is enough to hold two copies of the model in each site.
	enginesPerSite = 4
	plainReplicas  = 3
)

// Plan holds the parameters of a run.
type Plan struct {
	Program string        // path of the router's executable
	Dir     string        // for settings and logs; a new temporary one if empty
	Seed    uint64        // determines the faults
	Length  time.Duration // of the period in which faults start
	Daemons int
	Slot    int // 0 to 99, distinct for concurrent runs; selects their loopback addresses
}

// Report holds the results of a run.
type Report struct {
	Events     []Event
	Requests   int
	Served     int
	Violations []string
	Dir        string // holds the settings and logs
}

// run is a fleet under test.
type run struct {
	seed     uint64
	checker  *checker
	standins *standins
	daemons  []*daemon
	server   *storeServer

	storeFaultMu sync.Mutex // held while a fault is active on the store
}

// Run starts a fleet, injects the plan's faults and checks the guarantees. It
// returns an error if the run could not be carried out; violated guarantees are in
// the report.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	dir := plan.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return nil, errors.Wrap(err, "create directory for settings and logs")
		}
	}
	run := &run{seed: plan.Seed, checker: newChecker()}
	run.standins = newStandins(run.checker)
	defer run.cleanup()
	if err := run.startFleet(plan, dir); err != nil {
		return nil, err
	}
	report := &Report{Events: GenerateEvents(plan.Seed, plan.Length), Dir: dir}
	callContext, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers conc.WaitGroup
	if !run.awaitServing(ctx, startTimeout) {
		run.checker.addViolation("the fleet does not serve requests %v after its start", startTimeout)
	} else {
		for number := range callersPerSite * len(sites) {
			callers.Go(func() { run.callLoop(callContext, number) })
		}
		for _, daemon := range run.daemons {
			callers.Go(func() { run.markerLoop(callContext, daemon) })
		}
		run.injectFaults(ctx, report.Events)
		if !run.awaitServing(ctx, recoveryTimeout) {
			run.checker.addViolation("the fleet does not serve requests %v after the last fault", recoveryTimeout)
		}
		run.stopAll()
	}
	stopCalls()
	callers.Wait()
	report.Violations = run.checker.checkAll()
	report.Requests, report.Served = run.checker.counts()
	return report, ctx.Err()
}

// startFleet starts the store, the replicas and the daemons.
func (run *run) startFleet(plan Plan, dir string) error {
	var err error
	if run.server, err = startStore(run.standins.store); err != nil {
		return err
	}
	run.standins.applyConfiguration()
	for _, site := range sites {
		for range enginesPerSite {
			if _, err := run.standins.start(modelService, site); err != nil {
				return err
			}
		}
	}
	for number := range plainReplicas {
		if _, err := run.standins.start(plainService, sites[number%len(sites)]); err != nil {
			return err
		}
	}
	go run.standins.refreshRegistrations(run.server.done)
	for number := range plan.Daemons {
		daemon, err := run.newDaemon(plan, dir, number)
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

// newDaemon returns a daemon that has not been started, with a loopback address of
// its own.
func (run *run) newDaemon(plan Plan, dir string, number int) (*daemon, error) {
	link, err := newProxy()
	if err != nil {
		return nil, err
	}
	link.setTarget(run.server.address)
	ip := hostIP(plan.Slot, number)
	daemon := &daemon{number: number, program: plan.Program, dir: dir, storeLink: link}
	daemon.settings = platform.Settings{
		Host: fmt.Sprintf("machine-%d", number), IP: ip, Site: sites[number%len(sites)],
		CallerAddress: ip + ":8080", ReadyAddress: ip + ":8081", PeerAddress: ip + ":8082", DirectoryAddress: ip + ":8083",
		Seeds:    []string{hostIP(plan.Slot, 0) + ":8082", hostIP(plan.Slot, 1) + ":8082"},
		MemoryMB: 206, StoreAddress: link.address(),
		Bounds: platform.Bounds{
			StopTime: stopTime, RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow, MaxDirectoryTTL: 5 * time.Second,
		},
	}
	return daemon, nil
}

// hostIP returns the loopback address of a host. It depends on the slot and the
// process id, so that concurrent runs don't share addresses.
func hostIP(slot, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+slot%100, 1+os.Getpid()%250, 1+number)
}

// directoryAddresses returns the directory addresses of up to three daemons, in
// random order.
func (run *run) directoryAddresses(random *rand.Rand) []string {
	var addresses []string
	for _, daemon := range run.daemons {
		addresses = append(addresses, daemon.settings.DirectoryAddress)
	}
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), 3)]
}

// daemonAt returns the daemon with the caller address.
func (run *run) daemonAt(address string) *daemon {
	for _, daemon := range run.daemons {
		if daemon.settings.CallerAddress == address {
			return daemon
		}
	}
	return run.daemons[0]
}

// awaitServing waits until every daemon has served a request of each class, and
// reports whether that happened within the bound.
func (run *run) awaitServing(ctx context.Context, bound time.Duration) bool {
	caller := hatchstandin.NewCaller(callerHost, sites[0], tenantKey)
	defer caller.Close()
	deadline := time.Now().Add(bound)
	for _, daemon := range run.daemons {
		for _, class := range []class{classStream, classOrder, classStatus} {
			for {
				response := run.call(ctx, caller, daemon.settings.CallerAddress, class, 0)
				if response.Status == 200 && response.Complete {
					break
				}
				if ctx.Err() != nil || time.Now().After(deadline) {
					return false
				}
				sleep(ctx, servingPollInterval)
			}
		}
	}
	return true
}

// injectFaults starts each fault at its time, concurrently with the others, and
// returns when all are over. It also reports daemons that exited by themselves.
func (run *run) injectFaults(ctx context.Context, events []Event) {
	started := time.Now()
	var group conc.WaitGroup
	for _, event := range events {
		sleep(ctx, time.Until(started.Add(event.Start)))
		if ctx.Err() != nil {
			break
		}
		for _, daemon := range run.daemons {
			if err := daemon.checkRunning(); err != nil {
				run.checker.addViolation("%v", err)
			}
		}
		group.Go(func() { run.inject(event) })
	}
	group.Wait()
}

// stopAll stops all daemons at the same time.
func (run *run) stopAll() {
	var group sync.WaitGroup
	for _, daemon := range run.daemons {
		group.Add(1)
		go func() {
			defer group.Done()
			daemon.faultMu.Lock()
			defer daemon.faultMu.Unlock()
			defer run.checker.beginPlannedStop(daemon.number)()
			daemon.signal(syscall.SIGTERM)
			if err := daemon.awaitExit(stopTime + stopSlack); err != nil {
				run.checker.addViolation("%v", err)
			}
		}()
	}
	group.Wait()
}

// cleanup ends all processes and servers that the run has started.
func (run *run) cleanup() {
	for _, daemon := range run.daemons {
		if daemon.process != nil {
			daemon.signal(syscall.SIGKILL) // it may have exited
		}
		daemon.storeLink.close()
	}
	for _, replica := range run.standins.byService("") {
		run.standins.crash(replica)
	}
	if run.server != nil {
		run.server.close()
	}
}

// counts returns the number of requests that callers sent and of those served.
func (checker *checker) counts() (requests, served int) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for _, record := range checker.records {
		if record.response.Status == 200 && record.response.Complete {
			served++
		}
	}
	return len(checker.records), served
}
