package hatchproof

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchstandin"
)

// awaitHeld waits until every engine holds the version.
func (fleet *fleet) awaitHeld(version string) {
	fleet.t.Helper()
	for range 1500 {
		holding := 0
		for _, engine := range fleet.engines {
			var state hatchstandin.EngineState
			if err := fleet.get(engine, "/v1/state", &state); err == nil && state.Version == version {
				holding++
			}
		}
		if holding == len(fleet.engines) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	fleet.t.Errorf("not all engines hold %s", version)
}

// orderHolder returns the host that took the order lease over last.
func (fleet *fleet) orderHolder() *host {
	fleet.t.Helper()
	for range 100 {
		var entries []hatchaudit.Entry
		asked := fleet.hosts[len(fleet.hosts)-1]
		if err := fleet.get(asked.settings.OperatorAddress, "/v1/audit?what=orders.takeOver", &entries); err == nil && len(entries) > 0 {
			name, _, _ := strings.Cut(entries[len(entries)-1].Who, "/")
			for _, host := range fleet.hosts {
				if host.settings.Host == name {
					return host
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fleet.t.Fatal("nobody holds the order lease")
	return nil
}

// TestEnginesHoldWhatIsWanted changes the wanted version while the holder of the
// order lease is killed, and while it is frozen and wakes late.
func TestEnginesHoldWhatIsWanted(t *testing.T) {
	fleet := startFleet(t, 4, 2)
	order := func(version string) {
		fleet.version = version
		fleet.apply(fleet.hosts[0], "8s")
	}
	order("v2")
	fleet.awaitHeld("v2")

	holder := fleet.orderHolder()
	holder.signal(syscall.SIGSTOP)
	fleet.hosts = without(fleet.hosts, holder)
	order("v3")
	fleet.awaitHeld("v3")
	holder.signal(syscall.SIGCONT)
	order("v4")
	fleet.awaitHeld("v4")

	if next := fleet.orderHolder(); next != holder {
		next.signal(syscall.SIGKILL)
		fleet.hosts = without(fleet.hosts, next)
	}
	order("v5")
	fleet.awaitHeld("v5")
}

func without(hosts []*host, gone *host) []*host {
	var left []*host
	for _, host := range hosts {
		if host != gone {
			left = append(left, host)
		}
	}
	return left
}
