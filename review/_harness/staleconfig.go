package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	configApply = 2 * time.Second // config_apply_ms
	outageAt    = 3 * time.Second
	outageTime  = 8 * time.Second
	calmTime    = 30 * time.Second // after the outage
	awayTime    = 9 * time.Second
	awayPause   = 12 * time.Second
	awayRounds  = 2
	maxAway     = 5 // machines of 15, a share of 0.33
	probePause  = 250 * time.Millisecond
)

// staleConfig plays changes of the configuration that take a key away. With the
// disruption, the store was down for a while before, and turns the machines that watch
// it away while it serves all others.
func staleConfig(record *record, trouble bool) (bool, error) {
	store, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	zones := []string{"walu-bay", "toorak", "laucala"}
	links := map[string]*proxy{}
	fleet, err := newFleet(record, zones, 5, func(host string) (string, error) {
		link, err := newProxy("127.0.0.1:0", storeAddress)
		if err != nil {
			return "", err
		}
		links[host] = link
		return link.address(), nil
	})
	if err != nil {
		return false, err
	}
	defer fleet.remove()
	defer fleet.stop()
	stopOnSignal(fleet)
	for i, zone := range zones {
		menu := &replica{id: fmt.Sprintf("i-menu-%d", i+1), service: menuService, zone: zone, slots: 100, store: store, record: record, work: 5 * time.Millisecond}
		if err := menu.start(); err != nil {
			return false, err
		}
	}
	keys := make([]string, awayRounds)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-of-guest-%d", i+1)
	}
	version := 1
	apply := func(kept []string) time.Time {
		version++
		next := configuration(version)
		next["tenants"] = append(next["tenants"].([]any), map[string]any{"name": "guests", "api_keys": kept, "priority": 1})
		store.set("config", "main", next)
		return time.Now()
	}
	apply(keys)
	if err := fleet.start(); err != nil {
		return false, err
	}
	time.Sleep(outageAt)
	if trouble {
		record.printf("the store is down: it answers 503")
		store.setBusy(true)
		time.Sleep(outageTime)
		store.setBusy(false)
		record.printf("the store is back")
	}
	time.Sleep(calmTime)

	broken := 0
	for i, key := range keys {
		var away []string
		if trouble {
			for _, host := range fleet.hosts {
				if links[host.name].oldest() > 2*time.Second { // it waits for changes
					away = append(away, host.name)
				}
			}
			if len(away) > maxAway {
				return false, fmt.Errorf("%d machines watch the store, which are more than may be turned away", len(away))
			}
			for _, name := range away {
				links[name].setResetting(true)
			}
			record.printf("the store resets the channels of %v", away)
		}
		started := time.Now()
		time.Sleep(500 * time.Millisecond)
		acked := apply(keys[i+1:])
		record.printf("the store acknowledges version %d, which takes %s away", version, key)
		var group sync.WaitGroup
		var mu sync.Mutex
		last := map[string]time.Duration{} // by machine, when the last request was run
		for _, host := range fleet.hosts {
			if slices.Contains(away, host.name) {
				continue
			}
			group.Go(func() {
				requester := newRequester(fleet, host.zone)
				for at := probePause; at < awayTime-time.Second; at += probePause {
					time.Sleep(time.Until(acked.Add(at)))
					sent := time.Since(acked)
					if result := requester.probe(host, key); result.status == http.StatusOK && sent > configApply {
						mu.Lock()
						broken++
						last[host.name] = sent
						mu.Unlock()
					}
				}
			})
		}
		group.Wait()
		for _, host := range fleet.hosts {
			if sent, ok := last[host.name]; ok {
				record.verdict("CONFIG: %s ran requests with %s until %.2f s after the ack of version %d", host.name, key, sent.Seconds(), version)
			}
		}
		time.Sleep(time.Until(started.Add(awayTime)))
		for _, name := range away {
			links[name].setResetting(false)
		}
		if trouble {
			record.printf("the store serves all machines")
		}
		time.Sleep(awayPause)
	}
	record.verdict("%d requests that were sent later than config_apply_ms after the ack were run with a key that had been taken away", broken)
	return broken == 0, nil
}

// probe sends a request with the key to the machine.
func (requester *requester) probe(host *host, key string) outcome {
	requester.mu.Lock()
	requester.addresses, requester.until = []string{host.front}, time.Now().Add(time.Hour)
	requester.mu.Unlock()
	result, _ := requester.attempt(http.MethodGet, "/menu/today", 3*time.Second, map[string]string{"Authorization": "Bearer " + key}, func(id, body string) bool { return body == plainBody(id) })
	return result
}
