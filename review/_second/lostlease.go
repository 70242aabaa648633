package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	chainLayers = 24 // as many as chainLength engines hold
	chainLength = 6
	draftEvents = 10
	draftPause  = 15 * time.Millisecond

	recoverTime  = 12 * time.Second       // bounds.recover_s
	downTime     = 500 * time.Millisecond // from the kill to the start
	lossTime     = 4500 * time.Millisecond
	crashTime    = 4500 * time.Millisecond
	crashAt      = 6 * time.Second  // after the machines are back
	servedTime   = 30 * time.Second // in which the first request must be served
	beforeTime   = 6 * time.Second  // traffic before the final fault
	afterTime    = 10 * time.Second
	requestPause = 100 * time.Millisecond
)

// runLostLease kills all gateways at the same moment. While they start again, the store
// loses the answer of one write. Then an engine crashes and comes back empty.
func runLostLease(run *run) (broken bool, err error) {
	store, err := startStore(run)
	if err != nil {
		return false, err
	}
	fleet, err := newFleet(run, store.address, 3)
	if err != nil {
		return false, err
	}
	defer fleet.kill()
	servers := newServers(run, store)
	crashes, err := servers.startEngines(chainLength, draftEvents, draftPause)
	if err != nil {
		return false, err
	}
	if err := store.write("config", "main", configuration(1, chainLayers)); err != nil {
		return false, err
	}
	atStart := os.Getenv("START") == "1" // the answer is lost at the first start
	if atStart {
		store.loseAnswers(lossTime, firstLeaseWrite())
	}
	if err := fleet.start(true); err != nil {
		return false, err
	}
	if err := fleet.awaitServed(servedTime); err != nil {
		if atStart {
			fleet.recordLogs("became leader", "acquiring lease", "placing layers")
			run.record.printf("%v", err)
			return true, nil
		}
		return false, err
	}
	stop := sendDrafts(run, fleet)
	time.Sleep(beforeTime)
	sentBefore, servedBefore := stop()

	if run.trouble {
		if err := store.write("config", "main", configuration(2, chainLayers)); err != nil {
			return false, err
		}
		run.record.printf("a configuration was acknowledged; all gateways are killed")
		fleet.kill()
		time.Sleep(downTime)
		if os.Getenv("LOST") != "0" { // with LOST=0 the store loses no answer
			store.loseAnswers(lossTime, firstLeaseWrite())
		}
		if err := fleet.start(false); err != nil {
			return false, err
		}
	}
	back := time.Now()
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	run.record.printf("all gateways are ready")
	if run.trouble {
		time.Sleep(time.Until(back.Add(crashAt)))
		run.record.printf("engine i-3 crashes")
		crashes["i-3"]()
		time.Sleep(crashTime)
		run.record.printf("an empty engine comes in its place")
		if _, err := servers.startEngine("i-7", draftEvents, draftPause); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(back.Add(recoverTime)))
	stop = sendDrafts(run, fleet)
	time.Sleep(afterTime)
	sentAfter, servedAfter := stop()
	fleet.recordLogs("became leader", "acquiring lease", "placing layers")
	run.record.printf("before the final fault %d of %d were served; of those sent later than %s after the machines were back, %d of %d",
		servedBefore, sentBefore, recoverTime, servedAfter, sentAfter)
	if 4*servedBefore < sentBefore {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	return 4*servedAfter < sentAfter, nil
}

// firstLeaseWrite returns a function that is true for the first write of the lease.
func firstLeaseWrite() func(path string) bool {
	var once sync.Once
	return func(path string) bool {
		first := false
		if strings.HasPrefix(path, "/-/objects/leases") {
			once.Do(func() { first = true })
		}
		return first
	}
}

// sendDrafts sends requests to the model, to the machines in turn, until stop is called.
// stop returns how many were sent and how many of them were served.
func sendDrafts(run *run, fleet *fleet) (stop func() (sent, served int)) {
	var mu sync.Mutex
	var group sync.WaitGroup
	sent, served := 0, 0
	statuses := make(map[int]int)
	stopped := make(chan struct{})
	group.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stopped:
				return
			case <-time.After(requestPause):
			}
			machine := fleet.machines[number%len(fleet.machines)]
			group.Go(func() {
				answer := call(machine.frontend(), "/draft/x", newID(), requestTime)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if answer.isServed() && answer.events() == draftEvents {
					served++
				}
				statuses[answer.status]++
			})
		}
	})
	return func() (int, int) {
		close(stopped)
		group.Wait()
		for _, status := range slices.Sorted(maps.Keys(statuses)) {
			run.record.printf("requests: %d of %d answered with status %d", statuses[status], sent, status)
		}
		return sent, served
	}
}
