package main

import (
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	slowStreams = 4
	slowEvents  = 7
	// slowPause is the pause after each event of a request that the engine preempts and
	// reads again. Requesters abandon a stream after 2 s without an event.
	slowPause = 1500 * time.Millisecond
	// quickEvents and quickPause give a stream of the same length without such pauses.
	quickEvents = 90
	quickPause  = 100 * time.Millisecond
	// stopAt is when SIGTERM is sent, after the requests.
	stopAt = 5 * time.Second
)

// runSlowStreams stops a machine while it forwards streams whose engines pause, but never
// fail. The streams would end long before the end of the grace time.
func runSlowStreams(run *run) (broken bool, err error) {
	store, err := startStore(run)
	if err != nil {
		return false, err
	}
	fleet, err := newFleet(run, store.address, 3)
	if err != nil {
		return false, err
	}
	defer fleet.kill()
	events, pause := slowEvents, slowPause
	if os.Getenv("PAUSES") == "0" {
		events, pause = quickEvents, quickPause
	}
	// Six engines hold the eight layers three times.
	if _, err := newServers(run, store).startEngines(6, events, pause); err != nil {
		return false, err
	}
	if err := store.write("config", "main", configuration(1, 8)); err != nil {
		return false, err
	}
	if err := fleet.start(true); err != nil {
		return false, err
	}
	if err := fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the engines load their layers

	var group sync.WaitGroup
	var mu sync.Mutex
	type ended struct {
		answer
		at time.Time
	}
	var all []ended
	sent := time.Now()
	for range slowStreams {
		group.Go(func() {
			id := newID()
			answer := call(fleet.machines[0].frontend(), "/draft/x", id, requestTime)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, ended{answer, time.Now()})
			run.record.printf("request %s: %s, after %s", id, answer, time.Since(sent).Round(time.Millisecond))
		})
	}
	var stopped time.Time
	time.Sleep(time.Until(sent.Add(stopAt)))
	if run.trouble {
		stopped = time.Now()
		_ = fleet.machines[0].process.Signal(syscall.SIGTERM) // fails only if it has ended
		run.record.printf("SIGTERM to the gateway of %s", fleet.machines[0].name)
	}
	group.Wait()
	lost := 0
	for _, end := range all {
		// A replica that was at work in the last sixth of the grace time would be an excuse.
		duringStop := !stopped.IsZero() && end.at.After(stopped) && end.at.Before(stopped.Add(graceTime*5/6))
		if duringStop && (!end.complete || end.status != 0 && end.events() < events) && end.at.Before(sent.Add(requestTime)) {
			lost++
		}
	}
	fleet.recordLogs("request failed")
	run.record.printf("%d of %d requests ended without a complete answer during the stop", lost, len(all))
	return lost > 0, nil
}
