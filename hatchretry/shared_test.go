package hatchretry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
)

// TestFleetKeepsTheSharedBudget lets daemons spend and transfer as many retry tokens
// as they can, and checks that the retries of the fleet stay within the limit in
// every window.
func TestFleetKeepsTheSharedBudget(t *testing.T) {
	limits := SharedLimits{Ratio: 0.2, Extra: 40, Window: 10 * time.Second}
	const step = 100 * time.Millisecond
	const windowSteps = 100
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 8).Draw(t, "daemons")
		budgets := make([]*SharedBudget, daemons)
		for i := range budgets {
			budgets[i] = NewSharedBudget(limits)
		}
		start := time.Now()
		var requests, retries []int
		for at := range 3 * windowSteps {
			now := start.Add(time.Duration(at) * step)
			requests, retries = append(requests, 0), append(retries, 0)
			for _, budget := range budgets {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					budget.RecordRequest(now)
					requests[at]++
				}
				if !rapid.Bool().Draw(t, "spends") {
					continue
				}
				for budget.Spend(now, daemons) {
					retries[at]++
				}
				granting := budgets[rapid.IntRange(0, daemons-1).Draw(t, "granting")]
				if granting != budget && rapid.Bool().Draw(t, "transfers") {
					budget.AddGrant(now, granting.GrantRetryTokens(now, daemons, rapid.IntRange(0, 10).Draw(t, "wanted")))
				}
				for budget.Spend(now, daemons) {
					retries[at]++
				}
			}
			from := max(0, at+1-windowSteps)
			allowed := limits.Ratio*float64(sumOf(requests[from:])) + limits.Extra
			// If the preceding window had more requests, its limit applies.
			before := max(0, from-windowSteps)
			allowed = max(allowed, limits.Ratio*float64(sumOf(requests[before:from]))+limits.Extra)
			if spent := sumOf(retries[from:]); float64(spent) > allowed {
				t.Fatalf("%d retries in a window that allows %.1f", spent, allowed)
			}
		}
	})
}

func sumOf(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

func TestSharedBudgetIsUsable(t *testing.T) {
	convey.Convey("One of ten daemons may spend its share of Extra immediately, and has it again after the window", t, func() {
		budget := NewSharedBudget(SharedLimits{Ratio: 0.2, Extra: 400, Window: 10 * time.Second})
		now := time.Now()
		spent := 0
		for budget.Spend(now, 10) {
			spent++
		}
		convey.So(spent, convey.ShouldEqual, 28)
		convey.So(budget.Remaining(now, 10), convey.ShouldEqual, 0)

		convey.Convey("For a short time it may spend tokens granted by another daemon, which that daemon can no longer spend", func() {
			other := NewSharedBudget(SharedLimits{Ratio: 0.2, Extra: 400, Window: 10 * time.Second})
			convey.So(other.GrantRetryTokens(now, 10, 6), convey.ShouldEqual, 6)
			convey.So(other.Remaining(now, 10), convey.ShouldEqual, 22)
			budget.AddGrant(now, 6)
			for range 5 {
				convey.So(budget.Spend(now, 10), convey.ShouldBeTrue)
			}
			convey.So(budget.Spend(now.Add(2*grantLifetime), 10), convey.ShouldBeFalse)
			convey.So(other.GrantRetryTokens(now, 10, 100), convey.ShouldEqual, 11)
			convey.So(budget.GrantRetryTokens(now, 10, 1), convey.ShouldEqual, 0)
		})
		convey.So(budget.Remaining(now.Add(11*time.Second), 10), convey.ShouldEqual, 28)
	})
	convey.Convey("Requests that can still be refused leave a reserve for streams that have begun", t, func() {
		budget := NewSharedBudget(SharedLimits{Ratio: 0.2, Extra: 400, Window: 10 * time.Second})
		now := time.Now()
		for budget.SpendUnreserved(now, 10) {
		}
		convey.So(budget.Remaining(now, 10), convey.ShouldEqual, 9)
		convey.So(budget.GrantUnreserved(now, 10, 1), convey.ShouldEqual, 0)
		convey.So(budget.GrantRetryTokens(now, 10, 1), convey.ShouldEqual, 1)
		convey.So(budget.Spend(now, 10), convey.ShouldBeTrue)
	})
}

func TestAttemptsThatMayRunOnce(t *testing.T) {
	now := time.Unix(100, 0)
	deadline := now.Add(time.Second)
	convey.Convey("A request that may run once is retried only after an attempt that certainly did not run", t, func() {
		attempts := NewAttempts(deadline, false, WithMaxRuns(1))
		convey.So(attempts.HandleFailure(now, failure(dragonflyhatch.KindUpstreamUnavailable), nil, NewBudget()), convey.ShouldBeNil)
		convey.So(attempts.RemainingRuns(), convey.ShouldEqual, 1)
		final := attempts.HandleFailure(now, failure(dragonflyhatch.KindUpstreamLost), nil, NewBudget())
		convey.So(dragonflyhatch.KindOf(final), convey.ShouldEqual, dragonflyhatch.KindUpstreamLost)
		convey.So(attempts.RemainingRuns(), convey.ShouldEqual, 0)
		convey.So(attempts.MayHaveRun(), convey.ShouldBeTrue)
	})
}
