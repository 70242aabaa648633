package hatchlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchlimit"
)

// slotFleet is a fleet in virtual time whose daemons send requests to one replica with a
// limit, by slots of the daemon that each believes to be the holder.
type slotFleet struct {
	random    *rand.Rand
	schedules []*hatchlimit.SlotSchedule
	holder    int // true holder
	believed  []int
	loss      float64
	limit     float64
	arrivals  []time.Time
	granted   int
}

func newSlotFleet(daemons int, limit, loss float64, seed uint64) *slotFleet {
	fleet := &slotFleet{random: rand.New(rand.NewPCG(seed, uint64(daemons))), believed: make([]int, daemons), loss: loss, limit: limit}
	for range daemons {
		fleet.schedules = append(fleet.schedules, hatchlimit.NewSlotSchedule())
	}
	return fleet
}

// send lets a daemon send a request if it gets a slot. A lost message makes it use its
// own schedule with its equal part of the limit.
func (fleet *slotFleet) send(now time.Time, daemon int) {
	request := dragonflyhatch.SlotRequest{Process: dragonflyhatch.ReplicaProcess{ID: "r"}, PerSecond: hatchlimit.SlotRate(fleet.limit)}
	schedule := fleet.schedules[fleet.believed[daemon]]
	if fleet.believed[daemon] != daemon && fleet.random.Float64() < fleet.loss {
		request.PerSecond /= float64(len(fleet.schedules))
		schedule = fleet.schedules[daemon]
	}
	if reply := schedule.Take(now, request); reply.Granted {
		fleet.granted++
		fleet.arrivals = append(fleet.arrivals, now.Add(reply.Wait+time.Duration(fleet.random.Int64N(int64(10*time.Millisecond)))))
	}
}

// most returns the largest number of arrivals within the window.
func (fleet *slotFleet) most(window time.Duration) int {
	slices.SortFunc(fleet.arrivals, time.Time.Compare)
	most, first := 0, 0
	for last, at := range fleet.arrivals {
		for at.Sub(fleet.arrivals[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestSlotsOfAFleet guards against daemons that together exceed the limit of a replica, while messages are lost,
// the holder of the schedule changes and demand comes in bursts; and against slots that nobody uses.
func TestSlotsOfAFleet(t *testing.T) {
	for _, daemons := range []int{12, 100, 300} {
		for _, limit := range []float64{0, 0.3, 2.5, 9, 120} {
			t.Run(fmt.Sprintf("%d daemons, %g a second", daemons, limit), func(t *testing.T) {
				fleet := newSlotFleet(daemons, limit, 0.05, 7)
				const length = 40 * time.Second
				start := time.Unix(1000, 0)
				for offset := time.Duration(0); offset < length; offset += 4 * time.Millisecond {
					if offset%(8*time.Second) == 0 { // the holder changes, and daemons learn of it one by one
						fleet.holder = fleet.random.IntN(daemons)
					}
					daemon := fleet.random.IntN(daemons)
					if offset%(8*time.Second) > time.Duration(daemon)*(500*time.Millisecond)/time.Duration(daemons) {
						fleet.believed[daemon] = fleet.holder
					}
					if fleet.random.Float64() < 0.2 || offset/time.Second%10 == 9 { // a burst in each tenth second
						fleet.send(start.Add(offset), daemon)
					}
				}
				if most, allowed := fleet.most(4*time.Second), 1.5*limit*4+5; float64(most) > allowed {
					t.Errorf("%d requests in 4 s, at most %.1f are allowed", most, allowed)
				}
				if used, possible := float64(fleet.granted), limit*length.Seconds(); limit > 1 && limit < 50 && used < 0.8*possible {
					t.Errorf("%.0f of %.0f slots were used", used, possible)
				}
			})
		}
	}
}

func TestSlotSchedule(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	request := func(perSecond float64, urgent bool) dragonflyhatch.SlotRequest {
		return dragonflyhatch.SlotRequest{Process: dragonflyhatch.ReplicaProcess{ID: "r"}, PerSecond: perSecond, Urgent: urgent}
	}
	schedule := hatchlimit.NewSlotSchedule()
	for i, step := range []struct {
		millis    int
		perSecond float64
		urgent    bool
		want      string
	}{
		{0, 10, false, "true 100ms"},
		{0, 10, false, "true 200ms"},
		{0, 10, false, "false 50ms"},  // the next slot is 300 ms away
		{0, 10, true, "true 300ms"},   // resumed streams go first
		{0, 10, false, "false 150ms"}, // new requests wait longer then
		{400, 10, false, "true 0s"},
		{400, 0.1, false, "true 100ms"}, // the limit falls
		{500, 0.1, false, "false 9.75s"},
		{500, 10, false, "false 850ms"}, // the limit rises: no slot is further ahead than an urgent one
		{1600, 10, false, "true 0s"},
		{60_000, hatchlimit.SlotRate(0), false, "true 0s"}, // no requests at all are wanted; one shows when that ends
		{60_000, hatchlimit.SlotRate(0), false, "false 9.75s"},
	} {
		reply := schedule.Take(at(step.millis), request(step.perSecond, step.urgent))
		if got := fmt.Sprint(reply.Granted, " ", reply.Wait); got != step.want {
			t.Errorf("step %d: %s, want %s", i, got, step.want)
		}
	}
}
