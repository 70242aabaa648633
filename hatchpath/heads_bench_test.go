package hatchpath

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRoom measures what each decision of an admission reads of the engines, and what
// it computes a few times a second.
func BenchmarkRoom(b *testing.B) {
	for _, engines := range []int{99, 4000} {
		view, now := NewView(largeFleet(engines), testServices(80), NewHealthSet()), time.Now()
		for i, node := range view.engines["lm"].all {
			if i%2 == 0 {
				node.RecordHeadLoad(now, 10, 1)
			}
		}
		b.Run(fmt.Sprintf("loads, engines=%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				view.HeadLoads(now, "lm")
			}
		})
		b.Run(fmt.Sprintf("capacity, engines=%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				view.StreamCapacity(now, "lm")
			}
		})
	}
}
