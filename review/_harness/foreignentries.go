package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	cutTime       = 3 * time.Second // a replica is cut off; shorter than three check-ins, so that its entry stays
	cutPause      = 500 * time.Millisecond
	firstCutAt    = 4 * time.Second
	deskCount     = 3
	menuPause     = 25 * time.Millisecond
	deskPause     = 50 * time.Millisecond
	foreignLength = 88 * time.Second
)

// foreignEntries cuts the replicas of a plain service off one after the other, each for
// three seconds. With the disruption, another writer has left entries of a service that no
// config names, at the addresses of these replicas.
func foreignEntries(record *record, trouble bool) (bool, error) {
	store, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"walu-bay", "toorak", "laucala"}
	fleet, err := newFleet(record, zones, 2, func(string) (string, error) { return storeAddress, nil })
	if err != nil {
		return false, err
	}
	defer fleet.remove()
	defer fleet.stop()
	stopOnSignal(fleet)
	var links []*proxy
	for i := range deskCount {
		desk := &replica{id: fmt.Sprintf("i-desk-%d", i+1), service: orderService, zone: zones[i], slots: 6, store: store, record: record, work: 150 * time.Millisecond}
		link, err := desk.startBehindProxy()
		if err != nil {
			return false, err
		}
		links = append(links, link)
		if trouble {
			store.set("servers", fmt.Sprintf("m-%d", i+1), map[string]any{
				"service": "inventory", "address": link.address(), "zone": zones[i], "version": 1, "slots": 1, "state": "ready",
				"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			record.printf("another writer leaves the entry m-%d: service inventory at %s", i+1, link.address())
		}
	}
	for i := range deskCount {
		menu := &replica{id: fmt.Sprintf("i-menu-%d", i+1), service: menuService, zone: zones[i], slots: 6, store: store, record: record, work: 10 * time.Millisecond}
		if err := menu.start(); err != nil {
			return false, err
		}
	}
	if err := fleet.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	asked, served := map[string]int{}, map[string]int{}
	lateAsked, lateServed := 0, 0
	quietAt := firstCutAt + deskCount*(cutTime+cutPause) + stableWindow
	count := func(kind string, sent time.Duration, result outcome) {
		mu.Lock()
		defer mu.Unlock()
		asked[kind]++
		if result.served {
			served[kind]++
		}
		if kind == "order" && sent > quietAt {
			lateAsked++
			if result.served {
				lateServed++
			}
		}
	}
	started := time.Now()
	var group sync.WaitGroup
	for _, zone := range zones {
		requester := newRequester(fleet, zone)
		for kind, pause := range map[string]time.Duration{"menu": menuPause, "order": deskPause} {
			group.Go(func() {
				for sent := time.Duration(0); sent < foreignLength; sent += pause {
					time.Sleep(time.Until(started.Add(sent)))
					group.Go(func() {
						if kind == "menu" {
							count(kind, sent, requester.menu())
						} else {
							count(kind, sent, requester.order())
						}
					})
				}
			})
		}
	}
	for i, link := range links {
		time.Sleep(time.Until(started.Add(firstCutAt + time.Duration(i)*(cutTime+cutPause))))
		record.printf("i-desk-%d is cut off", i+1)
		if err := link.cut(); err != nil {
			return false, err
		}
		time.Sleep(cutTime)
		if err := link.heal(); err != nil {
			return false, err
		}
		record.printf("i-desk-%d is reached again", i+1)
	}
	group.Wait()
	total, totalServed := asked["menu"]+asked["order"], served["menu"]+served["order"]
	record.verdict("orders: %d of %d served; menus: %d of %d; all: %d of %d", served["order"], asked["order"], served["menu"], asked["menu"], totalServed, total)
	record.verdict("orders sent %v or more after the start, when all replicas are sound and reached: %d of %d served", quietAt, lateServed, lateAsked)
	orderShare, allShare := float64(served["order"])/float64(asked["order"]), float64(totalServed)/float64(total)
	held := orderShare >= allShare/4
	record.verdict("Starved: orders are served %.3f, all requests %.3f, a quarter of it is %.3f: held %v", orderShare, allShare, allShare/4, held)
	return held, nil
}
