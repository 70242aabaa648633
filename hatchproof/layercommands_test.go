package hatchproof

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchstandin"
)

// awaitLoadedVersion waits until every engine has loaded the model version.
func (fleet *fleet) awaitLoadedVersion(version string) {
	fleet.t.Helper()
	for range 1500 {
		loaded := 0
		for _, engine := range fleet.engines {
			var state hatchstandin.EngineState
			if err := fleet.get(engine, "/v1/state", &state); err == nil && state.Version == version {
				loaded++
			}
		}
		if loaded == len(fleet.engines) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	fleet.t.Errorf("not all engines have loaded version %s", version)
}

// commandLeaseHolder returns the host that last took over the lease for layer
// commands, according to the audit trail.
func (fleet *fleet) commandLeaseHolder() *host {
	fleet.t.Helper()
	for range 100 {
		var entries []hatchaudit.Entry
		queried := fleet.hosts[len(fleet.hosts)-1]
		if err := fleet.get(queried.settings.OperatorAddress, "/v1/audit?what=orders.takeOver", &entries); err == nil && len(entries) > 0 {
			name, _, _ := strings.Cut(entries[len(entries)-1].Actor, "/")
			for _, host := range fleet.hosts {
				if host.settings.Host == name {
					return host
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fleet.t.Fatal("no host holds the lease for layer commands")
	return nil
}

// TestEnginesLoadTargetVersion changes the target version while the holder of the
// lease for layer commands is paused, after it resumes, and after the next holder is
// killed. The engines must load each target version.
func TestEnginesLoadTargetVersion(t *testing.T) {
	fleet := startFleet(t, 4, 2)
	setTarget := func(targetVersion string) {
		fleet.targetVersion = targetVersion
		fleet.applyConfiguration(fleet.hosts[0], "8s")
	}
	setTarget("v2")
	fleet.awaitLoadedVersion("v2")

	holder := fleet.commandLeaseHolder()
	holder.signal(syscall.SIGSTOP)
	fleet.hosts = withoutHost(fleet.hosts, holder)
	setTarget("v3")
	fleet.awaitLoadedVersion("v3")
	holder.signal(syscall.SIGCONT)
	setTarget("v4")
	fleet.awaitLoadedVersion("v4")

	if next := fleet.commandLeaseHolder(); next != holder {
		next.signal(syscall.SIGKILL)
		fleet.hosts = withoutHost(fleet.hosts, next)
	}
	setTarget("v5")
	fleet.awaitLoadedVersion("v5")
}

func withoutHost(hosts []*host, excluded *host) []*host {
	var remaining []*host
	for _, host := range hosts {
		if host != excluded {
			remaining = append(remaining, host)
		}
	}
	return remaining
}
