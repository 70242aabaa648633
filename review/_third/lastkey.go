package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// configTime is config_apply_ms of the settings, and requestsPerMachine the number of
// requests with each key that each machine gets after it.
const (
	configTime         = 2 * time.Second
	requestsPerMachine = 5
)

// lastKey takes away the only tenant of a small deployment, and with it the only key. The
// rule ROUTE is broken if a request runs whose key no configuration ever held. Requests
// with the key that was taken away are counted too.
func lastKey(run *run) (broken bool, err error) {
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
	var replicas []*replica
	for i, zone := range zones {
		replica, err := startReplica(run, fmt.Sprintf("i-order%d", i+1), zone, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, replica)
	}
	if err := run.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)

	operator.version += 3
	operator.latest = configuration(operator.version)
	if run.trouble {
		operator.latest["tenants"] = []any{}
	}
	if _, err := operator.rewrite(); err != nil {
		return false, err
	}
	time.Sleep(configTime + time.Second)
	var withKnown, withUnknown attempts
	for _, daemon := range run.daemons {
		for range requestsPerMachine {
			run.sendWithKey(&withKnown, daemon.callers, http.MethodPost, "/order/new", strings.Repeat("o", 600), tenantKey, 3*time.Second)
			run.sendWithKey(&withUnknown, daemon.callers, http.MethodPost, "/order/new", strings.Repeat("o", 600),
				fmt.Sprintf("k-unknown-%08x", rand.Uint32()), 3*time.Second)
		}
	}
	known, unknown := 0, 0
	for _, replica := range replicas {
		for _, arrival := range replica.takeArrivals() {
			if arrival.ran && withKnown.byID()[arrival.id] != nil {
				known++
			}
			if arrival.ran && withUnknown.byID()[arrival.id] != nil {
				unknown++
			}
		}
	}
	run.logf("orders that ran: %d with the key of the first configuration (taken away: %t), %d with keys that no configuration ever held",
		known, run.trouble, unknown)
	return unknown > 0, nil
}
