package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	chatEvents    = 40
	chatInterval  = 10 * time.Millisecond
	chatPause     = 250 * time.Millisecond // between two chats of a zone
	orderPause    = 100 * time.Millisecond // between two orders of a zone
	oddEntryAt    = 1 * time.Second        // after the start of traffic
	oddEntryTime  = 3 * time.Second        // until the other writer removes its entry
	releaseAt     = 5 * time.Second
	releasePause  = 1 * time.Second
	trafficLength = 88 * time.Second
)

// oddEntry plays a release of the engines. With the disruption, another writer has left
// an odd entry among the replicas for a few seconds before: its layers end at a number
// that is too large.
func oddEntry(record *record, trouble bool) (bool, error) {
	store, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"walu-bay", "toorak"}
	fleet, err := newFleet(record, zones, 3, func(string) (string, error) { return storeAddress, nil })
	if err != nil {
		return false, err
	}
	defer fleet.remove()
	defer fleet.stop()
	stopOnSignal(fleet)
	set, created := newEngineSet(), 0
	startEngine := func(zone string) (*replica, error) {
		created++
		engine := &replica{
			id: fmt.Sprintf("i-engine-%d", created), service: chatService, zone: zone, slots: 192, accelerator: "l4", store: store, record: record,
			peers: set, interval: chatInterval, events: chatEvents, loadTime: time.Second, layers: modelLayers,
		}
		return engine, engine.start()
	}
	var engines []*replica
	for _, zone := range zones {
		for range 2 {
			engine, err := startEngine(zone)
			if err != nil {
				return false, err
			}
			engines = append(engines, engine)
		}
		desk := &replica{id: "i-desk-" + zone, service: orderService, zone: zone, slots: 6, store: store, record: record, work: 30 * time.Millisecond}
		if err := desk.start(); err != nil {
			return false, err
		}
	}
	if err := fleet.start(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the engines load their layers

	var mu sync.Mutex
	asked, served := map[string]int{}, map[string]int{}
	lateAsked, lateServed := 0, 0 // chats after the release
	count := func(kind string, sent time.Duration, result outcome) {
		mu.Lock()
		defer mu.Unlock()
		asked[kind]++
		if result.served {
			served[kind]++
		}
		if kind == "chat" && sent > releaseAt+20*time.Second {
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
		for kind, pause := range map[string]time.Duration{"chat": chatPause, "order": orderPause} {
			group.Go(func() {
				for sent := time.Duration(0); sent < trafficLength; sent += pause {
					time.Sleep(time.Until(started.Add(sent)))
					group.Go(func() {
						if kind == "chat" {
							count(kind, sent, requester.chat(chatEvents))
						} else {
							count(kind, sent, requester.order())
						}
					})
				}
			})
		}
	}
	time.Sleep(time.Until(started.Add(oddEntryAt)))
	if trouble {
		store.set("servers", "i-7f00", map[string]any{
			"service": chatService, "address": "127.0.0.1:9", "zone": zones[0], "version": 1, "slots": 192, "state": "ready", "cold_remaining_ms": 0,
			"sequence": 1, "born": time.Now().UnixMilli(), "route_type": "l4", "layers": map[string]int{"from": 0, "to": 5000, "version": 1},
		})
		record.printf("another writer leaves the entry i-7f00: layers 0 to 5000")
		time.AfterFunc(oddEntryTime, func() {
			store.remove("servers", "i-7f00")
			record.printf("the entry i-7f00 is removed")
		})
	}
	time.Sleep(time.Until(started.Add(releaseAt)))
	for _, old := range engines {
		if _, err := startEngine(old.zone); err != nil {
			return false, err
		}
		time.Sleep(releasePause)
		old.drain()
		time.AfterFunc(drainTime+500*time.Millisecond, old.stop)
	}
	group.Wait()
	for _, host := range fleet.hosts {
		for _, line := range host.logged("became leader") {
			record.printf("%s logged: %s", host.name, line)
		}
	}
	fleet.stop()
	for _, host := range fleet.hosts {
		for _, line := range host.logged("panic: ") {
			if strings.HasPrefix(line, "panic: ") { // the lines of the stack name folders of this machine
				record.verdict("%s logged at its end: %s", host.name, line)
			}
		}
		if host.exitErr != nil {
			record.verdict("%s, stopped with SIGTERM, ended with %v", host.name, host.exitErr)
		}
	}
	total, totalServed := asked["chat"]+asked["order"], served["chat"]+served["order"]
	record.verdict("chats: %d of %d served; orders: %d of %d; all: %d of %d", served["chat"], asked["chat"], served["order"], asked["order"], totalServed, total)
	record.verdict("chats sent later than 20 s after the start of the release: %d of %d served", lateServed, lateAsked)
	chatShare, allShare := float64(served["chat"])/float64(asked["chat"]), float64(totalServed)/float64(total)
	held := chatShare >= allShare/4
	record.verdict("Starved: chats are served %.3f, all requests %.3f, a quarter of it is %.3f: held %v", chatShare, allShare, allShare/4, held)
	return held, nil
}
