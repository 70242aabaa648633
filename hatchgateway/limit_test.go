package hatchgateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchstandin"
)

// arrivalLog records when requests arrived at which engine.
type arrivalLog struct {
	mu    sync.Mutex
	times map[string][]time.Time // by id of the engine
}

func (log *arrivalLog) add(engine string, arrival hatchstandin.Arrival) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.times == nil {
		log.times = make(map[string][]time.Time)
	}
	log.times[engine] = append(log.times[engine], arrival.At)
}

// most returns the largest number of arrivals at one engine within the window, counted
// from the given time on.
func (log *arrivalLog) most(from time.Time, window time.Duration) int {
	log.mu.Lock()
	defer log.mu.Unlock()
	most := 0
	for _, times := range log.times {
		for first, at := range times {
			if at.Before(from) {
				continue
			}
			last := first
			for last < len(times) && times[last].Sub(at) < window {
				last++
			}
			most = max(most, last-first)
		}
	}
	return most
}

// TestNamedLimitIsShared guards against gateways that together send a replica more requests than the limit
// that it names.
func TestNamedLimitIsShared(t *testing.T) {
	const (
		limit  = 4.0 // requests a second
		window = 4 * time.Second
	)
	convey.Convey("Four gateways under load send an engine at most one and a half times its limit and five requests", t, func() {
		cluster := newCluster(t, 4, func(cluster *cluster) { cluster.limit = fmt.Sprint(limit) })
		cluster.eventually(15*time.Second, "all gateways serve", cluster.allServing)
		time.Sleep(500 * time.Millisecond)
		from := time.Now()
		var served, refused int
		var mu sync.Mutex
		var group sync.WaitGroup
		for i := range 180 {
			group.Add(1)
			go func() {
				defer group.Done()
				status, _ := cluster.gateways[i%4].call("/draft/x", fmt.Sprint("limited-", i))
				mu.Lock()
				defer mu.Unlock()
				if status == 200 {
					served++
				} else {
					refused++
				}
			}()
			time.Sleep(30 * time.Millisecond)
		}
		group.Wait()
		convey.So(cluster.arrivals.most(from, window), convey.ShouldBeLessThanOrEqualTo, int(1.5*limit*window.Seconds())+5)
		// Two heads at 4 a second take 40 requests and more in the time of the test.
		convey.So(served, convey.ShouldBeGreaterThanOrEqualTo, 20)
	})
}
