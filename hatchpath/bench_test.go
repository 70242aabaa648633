package hatchpath

import (
	"fmt"
	"testing"
	"time"

	"dragonflyhatch"
)

// largeFleet returns the given number of engines in three sites, which hold
// pipelines of ten stages with eight layers each.
func largeFleet(engines int) []dragonflyhatch.Replica {
	var replicas []dragonflyhatch.Replica
	for i := range engines {
		stage := i / 3 % 10
		site := string(rune('a' + i%3))
		replicas = append(replicas, engine(fmt.Sprintf("%s-%d", site, i), site, "slow", 8*stage, 8*stage+8))
	}
	return replicas
}

// BenchmarkPipeline measures the choice of one pipeline.
func BenchmarkPipeline(b *testing.B) {
	for _, engines := range []int{30, 300, 3000} {
		view := NewView(largeFleet(engines), testServices(80), NewHealthSet())
		request := query()
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			for range b.N {
				if _, err := view.Pipeline(now, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkView measures the construction of a View, which is rebuilt at each change
// of a registration.
func BenchmarkView(b *testing.B) {
	for _, engines := range []int{30, 300, 3000} {
		replicas, services, healths := largeFleet(engines), testServices(80), NewHealthSet()
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				NewView(replicas, services, healths)
			}
		})
	}
}
