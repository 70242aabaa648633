package main

import "time"

const (
	// requestsPerKind is the number of requests of each kind, and leaverShare the inverse of
	// the share of requesters that leave.
	requestsPerKind = 25
	leaverShare     = 5
	// leaveAfter is when a requester leaves: before its order is done, and in the middle of
	// its stream.
	leaveAfter = 40 * time.Millisecond
	orderTime  = 60 * time.Millisecond // work of an order
	orderLimit = 3 * time.Second       // time limit of an order
)

// runHalfClose has requesters that leave before their answer: they close their direction
// of the channel, and read what still comes.
func runHalfClose(run *run) (broken bool, err error) {
	store, err := startStore(run)
	if err != nil {
		return false, err
	}
	fleet, err := newFleet(run, store.address, 2)
	if err != nil {
		return false, err
	}
	defer fleet.kill()
	servers := newServers(run, store)
	if _, err := servers.startEngines(chainLength, draftEvents, draftPause); err != nil {
		return false, err
	}
	runs, err := servers.startPlain("p-1", orderTime)
	if err != nil {
		return false, err
	}
	if err := store.write("config", "main", configuration(1, chainLayers)); err != nil {
		return false, err
	}
	if err := fleet.start(true); err != nil {
		return false, err
	}
	if err := fleet.awaitServed(20 * time.Second); err != nil {
		return false, err
	}
	for _, path := range []string{"/order/x", "/draft/x"} {
		for number := range requestsPerKind {
			leaves := run.trouble && number%leaverShare == 0
			id := newID()
			conn, err := openRequest(fleet.machines[0].frontend(), path, id, orderLimit)
			if err != nil {
				return false, err
			}
			if leaves {
				time.Sleep(leaveAfter)
				if err := conn.CloseWrite(); err != nil {
					return false, err
				}
			}
			answer := readAnswer(conn)
			conn.Close()
			run.record.printf("%s %s, leaves %t: %s; the plain replica began it %d times", path, id, leaves, answer, runs.count(id))
			isStream := path == "/draft/x"
			if answer.status/100 == 2 && (!answer.sealed || isStream && answer.complete && answer.events() < draftEvents) {
				broken = true
			}
		}
	}
	return broken, nil
}
