package hatchretry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

func failure(kind dragonflyhatch.Kind) *dragonflyhatch.Failure {
	return &dragonflyhatch.Failure{Kind: kind, Detail: "test"}
}

func TestAttempts(t *testing.T) {
	now := time.Unix(100, 0)
	deadline := now.Add(time.Second)
	convey.Convey("Attempts that certainly did not run are retried, and the final failure reports the request as not run", t, func() {
		attempts, budget := NewAttempts(deadline, false), NewBudget()
		for range maxAttempts - 1 {
			convey.So(attempts.HandleFailure(now, failure(dragonflyhatch.KindUpstreamUnavailable), []string{"a"}, budget), convey.ShouldBeNil)
		}
		final := attempts.HandleFailure(now, failure(dragonflyhatch.KindUpstreamUnavailable), nil, budget)
		convey.So(dragonflyhatch.KindOf(final), convey.ShouldEqual, dragonflyhatch.KindUpstreamUnavailable)
		convey.So(attempts.Excluded(), convey.ShouldContain, "a")
	})
	convey.Convey("After an attempt that may have run, no failure reports the request as not run", t, func() {
		for name, before := range map[string]func(*Attempts){
			"lost": func(attempts *Attempts) {
				attempts.HandleFailure(now, failure(dragonflyhatch.KindUpstreamLost), nil, NewBudget())
			},
			"moved":   func(attempts *Attempts) { attempts.RecordAbandoned() }, // from the queue of one engine to another engine
			"resumed": func(*Attempts) {},
		} {
			for _, kind := range dragonflyhatch.Kinds() {
				attempts := NewAttempts(deadline, name == "resumed")
				before(attempts)
				final := attempts.FinalFailure(failure(kind))
				convey.So(dragonflyhatch.KindOf(final).ErrorResponse().Ran, convey.ShouldEqual, dragonflyhatch.RanUnknown)
			}
		}
	})
	convey.Convey("After the deadline no further attempt is made", t, func() {
		final := NewAttempts(deadline, false).HandleFailure(deadline, failure(dragonflyhatch.KindUpstreamRefused), nil, NewBudget())
		convey.So(dragonflyhatch.KindOf(final), convey.ShouldEqual, dragonflyhatch.KindDeadlineNotRun)
	})
	convey.Convey("Attempt numbers are based on the time, and always increase", t, func() {
		convey.So(NextAttemptNumber(5, now), convey.ShouldEqual, now.UnixMilli())
		convey.So(NextAttemptNumber(int(now.UnixMilli()), now), convey.ShouldEqual, now.UnixMilli()+1)
	})
}

func TestBudgetCannotAmplifyAnOutage(t *testing.T) {
	convey.Convey("Retries are at most a tenth of the requests plus a bounded burst", t, func() {
		budget, retries := NewBudget(), 0
		const requests = 10000
		for range requests {
			budget.RecordRequest()
			for budget.Spend() {
				retries++
			}
		}
		convey.So(retries, convey.ShouldBeLessThanOrEqualTo, requests/10+maxBalance/retryCost)
	})
}

func TestBackoff(t *testing.T) {
	convey.Convey("The pause doubles with each attempt that brings nothing, up to a limit, and has a random part", t, func() {
		for fruitless, mean := range []time.Duration{0, minBackoff, 2 * minBackoff, 4 * minBackoff, 8 * minBackoff, maxBackoff, maxBackoff} {
			convey.So(Backoff(fruitless, 0.5), convey.ShouldEqual, mean)
			convey.So(Backoff(fruitless, 0), convey.ShouldEqual, mean/2)
		}
	})
	convey.Convey("Once the caller has received a part, attempts that did not run are limited by time alone, others by number", t, func() {
		now := time.Unix(100, 0)
		attempts := NewAttempts(now.Add(time.Second), false)
		attempts.RecordDelivery()
		for range 2 * maxAttempts {
			convey.So(attempts.HandleFailure(now, failure(dragonflyhatch.KindUpstreamUnavailable), nil, NewBudget()), convey.ShouldBeNil)
		}
		convey.So(attempts.HandleFailure(now.Add(time.Second), failure(dragonflyhatch.KindUpstreamUnavailable), nil, NewBudget()), convey.ShouldNotBeNil)
		attempts = NewAttempts(now.Add(time.Second), false)
		attempts.RecordDelivery()
		for range maxAttempts - 1 {
			convey.So(attempts.HandleReplicaFailure(now, failure(dragonflyhatch.KindUpstreamLost), "r", nil, NewBudget()), convey.ShouldBeNil)
		}
		convey.So(attempts.HandleReplicaFailure(now, failure(dragonflyhatch.KindUpstreamLost), "r", nil, NewBudget()), convey.ShouldNotBeNil)
	})
}
