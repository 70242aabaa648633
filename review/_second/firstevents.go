package main

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"dragonflyhatch/hatchstandin"
)

const (
	firstEngines = 4 // they hold the eight layers twice
	firstLayers  = 8
	firstEvents  = 10
	eventPause   = 50 * time.Millisecond
	// The time to a first event rises from quickFirst to slowFirst while the engines get
	// busier, from riseFrom to riseTo after the start.
	quickFirst = 300 * time.Millisecond
	slowFirst  = 1500 * time.Millisecond
	riseFrom   = 8 * time.Second
	riseTo     = 20 * time.Second
	// patience is the longest gap that requesters bear, also before the first event.
	patience   = 2 * time.Second
	firstPause = 133 * time.Millisecond // between two requests
	faultAfter = 28 * time.Second       // from the start to the final fault
	// The requests of beforeFault are counted, up to inFlight before the final fault: those
	// sent later may be cut by it.
	beforeFault = 8 * time.Second
	inFlight    = 3 * time.Second
)

// runFirstEvents kills all gateways at the same moment while the engines take 1.5 s to a
// first event, as they have for a while.
func runFirstEvents(run *run) (broken bool, err error) {
	store, err := startStore(run)
	if err != nil {
		return false, err
	}
	fleet, err := newFleet(run, store.address, 3)
	if err != nil {
		return false, err
	}
	defer fleet.kill()
	start := time.Now()
	busy := func(arrival hatchstandin.Arrival) {
		if arrival.Ran {
			risen := min(max(float64(time.Since(start)-riseFrom)/float64(riseTo-riseFrom), 0), 1)
			time.Sleep(quickFirst + time.Duration(risen*float64(slowFirst-quickFirst)))
		}
	}
	if _, err := newServers(run, store, withArrivals(busy)).startEngines(firstEngines, firstEvents, eventPause); err != nil {
		return false, err
	}
	if err := store.write("config", "main", configuration(1, firstLayers)); err != nil {
		return false, err
	}
	if err := fleet.start(true); err != nil {
		return false, err
	}
	if err := fleet.awaitServed(20 * time.Second); err != nil {
		return false, err
	}
	traffic := &patientTraffic{run: run, fleet: fleet, start: start, seconds: make(map[int]*tally)}
	stop := traffic.begin()
	time.Sleep(time.Until(start.Add(faultAfter)))
	fault := time.Now()
	if run.trouble {
		if err := store.write("config", "main", configuration(2, firstLayers)); err != nil {
			return false, err
		}
		run.record.printf("a configuration was acknowledged; all gateways are killed")
		fleet.kill()
		time.Sleep(downTime)
		if err := fleet.start(false); err != nil {
			return false, err
		}
	}
	back := time.Now()
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	run.record.printf("all gateways are ready")
	time.Sleep(time.Until(back.Add(recoverTime + afterTime)))
	stop()
	before := traffic.sum(fault.Add(-inFlight-beforeFault), fault.Add(-inFlight))
	after := traffic.sum(back.Add(recoverTime), time.Now())
	run.record.printf("before the final fault %d of %d were served; of those sent later than %s after the machines were back, %d of %d",
		before.served, before.sent, recoverTime, after.served, after.sent)
	if 4*before.served < before.sent {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	return 4*after.served < after.sent, nil
}

// tally counts the requests that were sent in a second.
type tally struct {
	sent, served int
	answers      map[int]int // by status
}

// patientTraffic sends requests whose requesters give up after a gap of patience.
type patientTraffic struct {
	run   *run
	fleet *fleet
	start time.Time

	mu      sync.Mutex
	seconds map[int]*tally // from the start
}

// begin sends requests to the machines in turn, until stop is called.
func (traffic *patientTraffic) begin() (stop func()) {
	var group sync.WaitGroup
	stopped := make(chan struct{})
	group.Go(func() {
		ticker := time.NewTicker(firstPause)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-stopped:
				return
			case <-ticker.C:
			}
			machine := traffic.fleet.machines[number%len(traffic.fleet.machines)]
			group.Go(func() { traffic.send(machine) })
		}
	})
	return func() {
		close(stopped)
		group.Wait()
		for _, second := range slices.Sorted(maps.Keys(traffic.seconds)) {
			tally := traffic.seconds[second]
			traffic.run.record.printf("sent in second %d: %d, %d served; statuses %v, 0 for no answer", second, tally.sent, tally.served, tally.answers)
		}
	}
}

func (traffic *patientTraffic) send(machine *machine) {
	second := int(time.Since(traffic.start).Seconds())
	var got answer
	conn, err := openRequest(machine.frontend(), "/draft/x", newID(), requestTime)
	if err == nil {
		got = readAnswer(patientConn{conn})
		conn.Close()
	}
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	counted, ok := traffic.seconds[second]
	if !ok {
		counted = &tally{answers: make(map[int]int)}
		traffic.seconds[second] = counted
	}
	counted.sent++
	counted.answers[got.status]++
	if got.isServed() && got.events() == firstEvents {
		counted.served++
	}
}

// sum adds up the whole seconds between the times.
func (traffic *patientTraffic) sum(from, to time.Time) tally {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	var total tally
	for second, counted := range traffic.seconds {
		at := traffic.start.Add(time.Duration(second) * time.Second)
		if !at.Before(from) && !at.Add(time.Second).After(to) {
			total.sent += counted.sent
			total.served += counted.served
		}
	}
	return total
}

// patientConn is a channel whose reads fail after a gap of patience.
type patientConn struct{ net.Conn }

func (conn patientConn) Read(buffer []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return 0, err
	}
	return conn.Conn.Read(buffer)
}
