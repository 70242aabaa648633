package hatchlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyhatch"
)

// TestFairLevel pins max-min fairness. It guards against small organisations that pay for
// large ones, and against a level below the largest share when all fit.
func TestFairLevel(t *testing.T) {
	for _, test := range []struct {
		shares []float64
		total  float64
		want   float64
	}{
		{nil, 0.5, 0},
		{[]float64{0.5, 0.25, 0.25}, 1, 0.5},
		{[]float64{0.5, 0.25, 0.25}, 0.75, 0.25},
		{[]float64{0.5, 0.25, 0.25}, 0.9375, 0.4375},
		{[]float64{0.5, 0.25, 0.25}, 0.375, 0.125},
		{[]float64{0.5, 0.25, 0.25}, 0, 0},
		{[]float64{0.5}, 0.25, 0.25},
		{[]float64{0.75, 0}, 0.5, 0.5},
	} {
		if got := fairLevel(test.shares, test.total); got != test.want {
			t.Errorf("shares %v, total %v: got %v, want %v", test.shares, test.total, got, test.want)
		}
	}
}

// TestFillRanks pins the order of the ranks. It guards against a less urgent rank that is
// admitted before a more urgent one, and against a rank that gets less than the floor.
func TestFillRanks(t *testing.T) {
	const floor = 0.125
	for _, test := range []struct {
		work     []float64
		admitted float64
		want     []float64
	}{
		{[]float64{1, 1}, 1, []float64{1, 1}},
		{[]float64{1, 1}, 2, []float64{1, 1}},
		{[]float64{1, 1}, 0.5, []float64{0.875, 0.125}},
		{[]float64{1, 1}, 0.75, []float64{1, 0.5}},
		{[]float64{1, 1}, 0, []float64{0.125, 0.125}},
		{[]float64{1, 0, 3}, 0.5, []float64{1, 1, 1. / 3}},
		{[]float64{0, 0}, 0.5, []float64{1, 1}},
	} {
		got := fillRanks(test.work, test.admitted, floor)
		if fmt.Sprintf("%.6f", got) != fmt.Sprintf("%.6f", test.want) {
			t.Errorf("work %v, admitted %v: got %v, want %v", test.work, test.admitted, got, test.want)
		}
	}
}

// TestDemandOfOrganisations guards against organisations whose requests are forgotten
// before they are part of the mean: at a daemon with many requests, and where requests
// carry no token counts.
func TestDemandOfOrganisations(t *testing.T) {
	for _, test := range []struct {
		work  float64
		every time.Duration
	}{{2000, 20 * time.Millisecond}, {2000, time.Millisecond}, {1, 20 * time.Millisecond}, {1, time.Millisecond}} {
		admission, now := NewAdmission(2), time.Unix(1_000_000, 0)
		for i := range 30_000 {
			now = now.Add(test.every)
			request := Request{Organisation: "small", Work: test.work, Target: time.Second}
			if i%3 > 0 {
				request.Organisation = "large"
			}
			admission.Decide(now, request, Room{}, func() float64 { return 0.5 })
		}
		got := admission.Demand().Organisations()
		if len(got) != 2 || got[0].Name != "large" || got[0].Work < 0.5*test.work/test.every.Seconds() {
			t.Errorf("work %v every %s: got %v", test.work, test.every, got)
		}
	}
}

// TestOddDemand guards against peers' messages that make a daemon keep many thousand
// organisations that do not exist.
func TestOddDemand(t *testing.T) {
	demand, now := NewDemand(2), time.Unix(1_000_000, 0)
	for message := range 200 {
		odd := dragonflyhatch.ServiceDemand{Ranks: []float64{math.NaN(), math.Inf(1)}}
		for i := range 5000 {
			odd.Organisations = append(odd.Organisations, dragonflyhatch.OrganisationDemand{Name: fmt.Sprint(message, "-", i), Work: 1e8})
		}
		now = now.Add(10 * time.Millisecond)
		demand.Merge(now, odd)
	}
	if got := len(demand.organisations); got > maxKnownOrganisations {
		t.Errorf("%d organisations are kept", got)
	}
	if got := fmt.Sprint(demand.Means()); got != "[0 0]" {
		t.Errorf("means %s", got)
	}
}

// TestHugeRequest guards against one request that states an absurd number of tokens, after
// which the requests of all others are refused for seconds.
func TestHugeRequest(t *testing.T) {
	daemons, now := []*Admission{NewAdmission(2), NewAdmission(2), NewAdmission(2), NewAdmission(2)}, time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	room := Room{Capacity: 100, Running: 86, RunTime: 4 * time.Second, Daemons: len(daemons), Heads: 1}
	refused := 0
	for i := range 600 { // 20 a second, about as many as the engines finish
		now = now.Add(50 * time.Millisecond)
		daemon := random.IntN(len(daemons))
		request := Request{Rank: 1, Organisation: "office", Work: 2000, Left: 20 * time.Second, Longest: 20 * time.Second, Target: time.Second}
		if i == 300 {
			request.Work = 1 << 30
		}
		if !daemons[daemon].Decide(now, request, room, random.Float64).Admitted {
			refused++
		}
		peer := daemons[(daemon+1)%len(daemons)].Demand()
		sent := daemons[daemon].Demand().Digest(now, true)
		peer.Merge(now, sent)
		daemons[daemon].Demand().Adopt(now, sent, peer.Digest(now, true))
	}
	if refused > 30 {
		t.Errorf("%d of 600 requests are refused", refused)
	}
}

// TestPromiseWithoutTime guards against a place that is kept for a caller that cannot be
// recognised when it returns, as it does not say how long it waits.
func TestPromiseWithoutTime(t *testing.T) {
	admission, now := NewAdmission(2), time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	room := Room{Capacity: 100, Running: 90, Waiting: 90, RunTime: 4 * time.Second, Daemons: 1, Heads: 1}
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		if verdict := admission.Decide(now, Request{Work: 2000, Target: time.Second, Wait: time.Second}, room, random.Float64); verdict.Kept {
			t.Fatal("a place is kept")
		}
	}
}

// TestUrgentWhileQueueIsWorkedOff guards against organisations that all count as beyond
// their fair share when hardly anything fits: the most urgent rank, which the engines take
// first, would then be refused like the least urgent one.
func TestUrgentWhileQueueIsWorkedOff(t *testing.T) {
	admission, now := NewAdmission(2), time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	room := Room{Capacity: 100, Running: 90, Waiting: 60, RunTime: 4 * time.Second, Daemons: 1, Heads: 1}
	asked, admitted := 0, 0
	for i := range 4000 { // 50 a second, a fifth of them urgent
		now = now.Add(20 * time.Millisecond)
		request := Request{
			Rank: 1, Organisation: fmt.Sprint(random.IntN(12)), Work: 2000, Left: 20 * time.Second, Longest: 20 * time.Second,
			Target: 500 * time.Millisecond, Wait: 300 * time.Millisecond,
		}
		if i%5 == 0 {
			request.Rank = 0
		}
		verdict := admission.Decide(now, request, room, random.Float64)
		if request.Rank == 0 && i > 1000 {
			asked++
			if verdict.Admitted {
				admitted++
			}
		}
	}
	if admitted < asked*9/10 {
		t.Errorf("%d of %d urgent requests are admitted", admitted, asked)
	}
}

// TestOrganisationsOrder guards against a selection of organisations that misses one of
// those with the most work, or depends on the order of a map.
func TestOrganisationsOrder(t *testing.T) {
	demand, now := NewDemand(2), time.Unix(1_000_000, 0)
	for i := range 300 {
		demand.organisation(fmt.Sprintf("o%03d", i)).mean = float64(10 + i/2)
	}
	demand.Update(now)
	for i, organisation := range demand.Organisations() {
		if want := fmt.Sprintf("o%03d", 298-i/2*2+i%2); organisation.Name != want {
			t.Errorf("%d: got %s, want %s", i, organisation.Name, want)
		}
	}
}

const benchmarkRanks = 8

// BenchmarkDecide measures a decision while room is short.
func BenchmarkDecide(b *testing.B) {
	for _, organisations := range []int{24, 300} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			admission, now := NewAdmission(benchmarkRanks), time.Unix(1_000_000, 0)
			room := Room{Capacity: 100, Running: 90, Waiting: 20, RunTime: 2 * time.Second, Daemons: 1, Heads: 1}
			decide := func(i int) {
				now = now.Add(time.Millisecond)
				admission.Decide(now, Request{
					Rank: i % benchmarkRanks, Organisation: fmt.Sprint(i % organisations), Work: 2000, Target: time.Second,
					Left: 20 * time.Second, Longest: 20 * time.Second,
				}, room, func() float64 { return 0.5 })
			}
			for i := range 20_000 {
				decide(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				decide(i)
			}
		})
	}
}
