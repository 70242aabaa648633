package hatchproof

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"dragonflyhatch/hatchentry"
	"dragonflyhatch/hatchstandin"
)

// versionAt returns the configuration version in force at a host, or 0 if the host
// doesn't respond.
func (fleet *fleet) versionAt(host *host) uint64 {
	var status hatchentry.Status
	if err := fleet.get(host.settings.OperatorAddress, "/v1/status", &status); err != nil {
		return 0
	}
	return status.ConfigurationVersion
}

// awaitVersion waits until the configuration version is in force at the hosts, and
// returns how long that took. It checks that a host's version never decreases.
func (fleet *fleet) awaitVersion(version uint64, hosts ...*host) time.Duration {
	started := time.Now()
	for _, host := range hosts {
		highest := uint64(0)
		for attempts := 0; highest < version; attempts++ {
			current := fleet.versionAt(host)
			if current < highest {
				fleet.t.Errorf("%s went back from version %d to %d", host.settings.Host, highest, current)
			}
			highest = current
			if attempts == 3000 {
				fleet.t.Fatalf("%s did not apply version %d", host.settings.Host, version)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(started)
}

func TestConfigurationInForceEverywhere(t *testing.T) {
	fleet := startFleet(t, 5, 1)

	t.Run("through the platform", func(t *testing.T) {
		fleet.applyConfiguration(fleet.hosts[0], "7s")
		t.Logf("in force everywhere after %v", fleet.awaitVersion(fleet.acceptedVersion, fleet.hosts...))
	})
	t.Run("outage right after acceptance", func(t *testing.T) {
		// No watch shows the change, so the other hosts can receive it only from
		// the host that made it.
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{HoldWatches: true})
		fleet.applyConfiguration(fleet.hosts[1], "6s")
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{Outage: true})
		t.Logf("in force everywhere after %v", fleet.awaitVersion(fleet.acceptedVersion, fleet.hosts...))
	})
	t.Run("daemon started during the outage", func(*testing.T) {
		restarted := fleet.hosts[4]
		restarted.signal(syscall.SIGKILL)
		<-restarted.exited
		fleet.startHost(restarted)
		fleet.awaitOK(restarted.settings.OperatorAddress, "/readyz")
		fleet.awaitVersion(fleet.acceptedVersion, restarted)
	})
	t.Run("no change is accepted during the outage", func(t *testing.T) {
		if status, _ := fleet.proposeConfiguration(fleet.hosts[0], fleet.acceptedVersion, "5s"); status == http.StatusOK {
			t.Error("a change was accepted during the platform outage")
		}
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{})
	})
	t.Run("lost reply", func(*testing.T) {
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{LoseReplies: 1})
		fleet.applyConfiguration(fleet.hosts[2], "5s")
		fleet.awaitVersion(fleet.acceptedVersion, fleet.hosts...)
	})
	t.Run("concurrent changes by two operators", func(t *testing.T) {
		statuses := make([]int, 2)
		bodies := make([][]byte, 2)
		var group sync.WaitGroup
		for i := range statuses {
			group.Go(func() {
				statuses[i], bodies[i] = fleet.proposeConfiguration(fleet.hosts[i], fleet.acceptedVersion, []string{"4s", "3s"}[i])
			})
		}
		group.Wait()
		accepted, refused := 0, 0
		for i, status := range statuses {
			switch status {
			case http.StatusOK:
				accepted++
			case http.StatusConflict:
				refused++
			default:
				t.Errorf("operator %d got status %d: %s", i, status, bodies[i])
			}
		}
		if accepted != 1 || refused != 1 {
			t.Errorf("%d changes accepted and %d refused, want one of each", accepted, refused)
		}
		fleet.acceptedVersion++
		fleet.awaitVersion(fleet.acceptedVersion, fleet.hosts...)
	})
	t.Run("each change is in the audit trail", func(t *testing.T) { fleet.checkAudit(t) })
}

// checkAudit checks that the audit trail lists every change of the test, including
// the refused ones.
func (fleet *fleet) checkAudit(t *testing.T) {
	// Changes: the first configuration and four more. Refusals: one during the outage,
	// and one of the two concurrent changes.
	const changes, refusals = 5, 2
	for range 100 {
		var entries []struct {
			Who     string `json:"who"`
			What    string `json:"what"`
			Outcome string `json:"outcome"`
		}
		if err := fleet.get(fleet.hosts[3].settings.OperatorAddress, "/v1/audit?what=configuration", &entries); err != nil {
			t.Fatal(err)
		}
		applied := 0
		for _, entry := range entries {
			if entry.Who == "tester" && entry.Outcome == "applied" {
				applied++
			}
		}
		if applied == changes && len(entries) == changes+refusals {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the audit trail does not list each change once")
}
