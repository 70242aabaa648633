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

// versionAt returns the version that a host has in force, or 0.
func (fleet *fleet) versionAt(host *host) uint64 {
	var status hatchentry.Status
	if err := fleet.get(host.settings.OperatorAddress, "/v1/status", &status); err != nil {
		return 0
	}
	return status.ConfigurationVersion
}

// awaitVersion waits until the hosts have the version in force, and returns how
// long that took. A host's version never goes down meanwhile.
func (fleet *fleet) awaitVersion(version uint64, hosts ...*host) time.Duration {
	begun := time.Now()
	for _, host := range hosts {
		highest := uint64(0)
		for tries := 0; highest < version; tries++ {
			now := fleet.versionAt(host)
			if now < highest {
				fleet.t.Errorf("%s went from version %d to %d", host.settings.Host, highest, now)
			}
			highest = now
			if tries == 3000 {
				fleet.t.Fatalf("%s never had version %d in force", host.settings.Host, version)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(begun)
}

func TestConfigurationInForceEverywhere(t *testing.T) {
	fleet := startFleet(t, 5, 1)

	t.Run("by the platform", func(t *testing.T) {
		fleet.apply(fleet.hosts[0], "7s")
		t.Logf("in force everywhere after %v", fleet.awaitVersion(fleet.accepted, fleet.hosts...))
	})
	t.Run("an outage right after acceptance", func(t *testing.T) {
		// No watch shows the change, so the others can hear of it from the
		// host that made it only.
		fleet.platformFaults(hatchstandin.PlatformFaults{HoldWatches: true})
		fleet.apply(fleet.hosts[1], "6s")
		fleet.platformFaults(hatchstandin.PlatformFaults{Outage: true})
		t.Logf("in force everywhere after %v", fleet.awaitVersion(fleet.accepted, fleet.hosts...))
	})
	t.Run("a daemon started during the outage", func(*testing.T) {
		late := fleet.hosts[4]
		late.signal(syscall.SIGKILL)
		<-late.ended
		fleet.startHost(late)
		fleet.await(late.settings.OperatorAddress, "/readyz")
		fleet.awaitVersion(fleet.accepted, late)
	})
	t.Run("nothing is accepted during the outage", func(t *testing.T) {
		if status, _ := fleet.propose(fleet.hosts[0], fleet.accepted, "5s"); status == http.StatusOK {
			t.Error("a change was accepted without the platform")
		}
		fleet.platformFaults(hatchstandin.PlatformFaults{})
	})
	t.Run("a lost reply", func(*testing.T) {
		fleet.platformFaults(hatchstandin.PlatformFaults{LoseReplies: 1})
		fleet.apply(fleet.hosts[2], "5s")
		fleet.awaitVersion(fleet.accepted, fleet.hosts...)
	})
	t.Run("two operators at once", func(t *testing.T) {
		statuses := make([]int, 2)
		answers := make([][]byte, 2)
		var both sync.WaitGroup
		for i := range statuses {
			both.Go(func() {
				statuses[i], answers[i] = fleet.propose(fleet.hosts[i], fleet.accepted, []string{"4s", "3s"}[i])
			})
		}
		both.Wait()
		accepted, refused := 0, 0
		for i, status := range statuses {
			switch status {
			case http.StatusOK:
				accepted++
			case http.StatusConflict:
				refused++
			default:
				t.Errorf("operator %d was told %d %s", i, status, answers[i])
			}
		}
		if accepted != 1 || refused != 1 {
			t.Errorf("%d accepted, %d refused", accepted, refused)
		}
		fleet.accepted++
		fleet.awaitVersion(fleet.accepted, fleet.hosts...)
	})
	t.Run("each change is in the audit trail", func(t *testing.T) { fleet.checkAudit(t) })
}

// checkAudit wants every change of the test in the trail, the refused ones too.
func (fleet *fleet) checkAudit(t *testing.T) {
	const changes, refusals = 5, 2 // the first configuration and four more; the outage and the race
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
	t.Error("the trail does not show each change")
}
