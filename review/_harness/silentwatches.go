package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	orderGroup     = 12              // orders that come together
	groupPause     = 6 * time.Second // between two groups
	silenceAt      = 1 * time.Second // after the start of traffic
	firstGroupAt   = 5 * time.Second
	removalDelay   = 3500 * time.Millisecond          // from a group to the removal of a replica
	serveAfter     = drainTime + 800*time.Millisecond // a replica without an entry serves for drain_ms and a little longer
	orderWork      = 400 * time.Millisecond
	releasedDesks  = 2
	deskStartDelay = 500 * time.Millisecond // from a group to the start of a new replica
)

// silentWatches plays a release of the replicas of a plain service, none of which ever
// reports that it is draining. With the disruption, the channels between the machines and
// the store that were open before have gone silent, while new ones work.
func silentWatches(record *record, trouble bool) (bool, error) {
	store, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"walu-bay", "toorak", "laucala"}
	var links []*proxy
	fleet, err := newFleet(record, zones, 4, func(string) (string, error) {
		link, err := newProxy("127.0.0.1:0", storeAddress)
		if err != nil {
			return "", err
		}
		links = append(links, link)
		return link.address(), nil
	})
	if err != nil {
		return false, err
	}
	defer fleet.remove()
	defer fleet.stop()
	stopOnSignal(fleet)
	created := 0
	startDesk := func(zone string) (*replica, error) {
		created++
		desk := &replica{id: fmt.Sprintf("i-desk-%d", created), service: orderService, zone: zone, slots: 6, store: store, record: record, work: orderWork}
		return desk, desk.start()
	}
	var desks []*replica
	for _, zone := range zones {
		desk, err := startDesk(zone)
		if err != nil {
			return false, err
		}
		desks = append(desks, desk)
	}
	if err := fleet.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the machines learn of each other

	started := time.Now()
	at := func(offset time.Duration) { time.Sleep(time.Until(started.Add(offset))) }
	at(silenceAt)
	if trouble {
		silenced := 0
		for _, link := range links {
			silenced += link.silence()
		}
		record.printf("%d open channels to the store go silent", silenced)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	ended := map[string]outcome{}
	for i := range releasedDesks + 1 {
		groupAt := firstGroupAt + time.Duration(i)*groupPause
		at(groupAt)
		for order := range orderGroup {
			group.Go(func() {
				requester := newRequester(fleet, zones[order%len(zones)])
				result := requester.order()
				mu.Lock()
				defer mu.Unlock()
				ended[result.id] = result
			})
		}
		if i == releasedDesks {
			break
		}
		at(groupAt + deskStartDelay)
		if _, err := startDesk(desks[i].zone); err != nil {
			return false, err
		}
		at(groupAt + removalDelay)
		desks[i].vanish()
		time.AfterFunc(serveAfter, desks[i].stop)
	}
	group.Wait()
	time.Sleep(time.Second)
	broken, lost := 0, 0
	for _, desk := range desks[:releasedDesks] {
		for _, arrival := range desk.late() {
			broken++
			if result := ended[arrival]; !result.served {
				lost++
				record.verdict("DRAIN: order %s from %s reached %s later than %v after its removal; answered %d %s", arrival, result.front, desk.id, drainTime, result.status, result.detail)
			} else {
				record.verdict("DRAIN: order %s from %s reached %s later than %v after its removal; answered %d", arrival, result.front, desk.id, drainTime, result.status)
			}
		}
	}
	record.verdict("%d orders reached a replica later than drain_ms after its removal; %d of them were not served", broken, lost)
	return broken == 0, nil
}
