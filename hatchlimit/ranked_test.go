package hatchlimit

import (
	"fmt"
	"testing"
	"time"
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
