package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back: some seconds.
	copyAge = 5 * time.Second
	// awayTime is how long the store is away: a moment.
	awayTime = time.Second
	// groupInterval is the time between two groups of orders, and groupSize their number.
	groupInterval = 5 * time.Second
	groupSize     = 12
	// orderWork is the time that a replica works on an order; on the sheet an order takes
	// up to 450 ms.
	orderWork = 400 * time.Millisecond
	// releaseDelay is the time from a group of orders to the drain of an old replica.
	releaseDelay = 1500 * time.Millisecond
	// longer is how much longer than drainTime an old replica serves before it exits.
	longer = 1700 * time.Millisecond
)

// drill brings the store back from a copy that is some seconds old, and then takes replicas
// of the order service away. The rule DRAIN is broken if an order that was sent later than
// drainTime after the store had acknowledged that a replica is draining reaches that replica.
//
// The copy is from just before the machines started, so that nothing but the lease is lost,
// and one replica leaves. With LOST=configs in the environment the lost seconds hold a series
// of versions instead, of which the operator writes the newest again, and all replicas are
// replaced one after the other.
func drill(run *run) (broken bool, err error) {
	if err := startStore(run); err != nil {
		return false, err
	}
	operator := &operator{run: run, version: 4}
	if _, err := operator.apply(); err != nil {
		return false, err
	}
	if err := run.addDaemons(3); err != nil {
		return false, err
	}
	var old, all []*replica
	for i, zone := range zones {
		replica, err := startReplica(run, fmt.Sprintf("i-old%d", i+1), zone, orderWork)
		if err != nil {
			return false, err
		}
		old, all = append(old, replica), append(all, replica)
	}
	leaseOnly := os.Getenv("LOST") != "configs"
	var copied contents
	var copiedAt time.Time
	if leaseOnly {
		copied, copiedAt = run.store.copyNow(), time.Now()
	}
	if err := run.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var sent attempts
	group := func() {
		var orders sync.WaitGroup
		for i := range groupSize {
			orders.Go(func() { run.order(&sent, zones[i%len(zones)]) })
		}
		orders.Wait()
	}
	group()

	if !leaseOnly {
		// The operator applies a series of versions: planned work that the pages name.
		copied, copiedAt = run.store.copyNow(), time.Now()
		for range 12 {
			if _, err := operator.apply(); err != nil {
				return false, err
			}
			time.Sleep(330 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(copiedAt.Add(copyAge)))
	if run.trouble {
		run.store.setAway(true)
		time.Sleep(awayTime)
		run.store.comeBackFrom(copied)
		if _, err := operator.rewrite(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(stableWindow + 2*time.Second)

	if leaseOnly {
		old = old[:1]
	}
	for i, leaving := range old {
		if leaseOnly {
			group()
			time.Sleep(releaseDelay)
			leaving.leave(longer)
			time.Sleep(groupInterval - releaseDelay)
			group()
			time.Sleep(2 * time.Second)
			break
		}
		replica, err := startReplica(run, fmt.Sprintf("i-new%d", i+1), leaving.zone, orderWork)
		if err != nil {
			return false, err
		}
		all = append(all, replica)
		group()
		began := time.Now()
		time.Sleep(releaseDelay)
		leaving.leave(longer)
		time.Sleep(time.Until(began.Add(groupInterval)))
		group()
		time.Sleep(2 * time.Second)
	}
	run.logf("all planned work is done")
	releasedAt := time.Now()
	for range 3 {
		group()
		time.Sleep(time.Second)
	}

	byID := sent.byID()
	late, lost := 0, 0
	for _, replica := range all {
		for _, arrival := range replica.takeArrivals() {
			attempt := byID[arrival.id]
			if attempt == nil || replica.leavingAck.IsZero() {
				continue
			}
			if after := attempt.sent.Sub(replica.leavingAck); after > drainTime {
				late++
				run.logf("DRAIN: order %s was sent %.2f s after the store had acknowledged that %s is draining, and reached it; it ended with %d",
					arrival.id, after.Seconds(), replica.id, attempt.status)
				if arrival.ran && attempt.status != http.StatusOK {
					lost++
				}
			}
		}
	}
	served, refused, other := 0, 0, 0
	for _, attempt := range byID {
		switch {
		case attempt.sent.Before(releasedAt):
		case attempt.status == http.StatusOK:
			served++
		case attempt.status == http.StatusServiceUnavailable:
			refused++
		default:
			other++
		}
	}
	run.logf("orders that reached a replica too late: %d, of which it ran and did not answer: %d", late, lost)
	run.logf("attempts after the planned work, with ready replicas in the store: %d served, %d refused with 503, %d other", served, refused, other)
	return late > 0, nil
}
