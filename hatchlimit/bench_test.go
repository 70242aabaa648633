package hatchlimit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkArrive measures an arrival and a completion at a limiter whose queues
// are full.
func BenchmarkArrive(b *testing.B) {
	for _, organisations := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			limiter := NewLimiter(DefaultOptions())
			now := time.Unix(0, 0)
			var running []*Ticket
			arrive := func(i int) {
				ticket := &Ticket{
					Organisation: fmt.Sprintf("o%d", i%organisations), Share: 1, Tokens: 64, Deadline: now.Add(time.Hour),
				}
				for _, decision := range limiter.Arrive(now, ticket) {
					if decision.Failure == nil {
						running = append(running, decision.Ticket)
					}
				}
			}
			for i := range 2 * organisations {
				arrive(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				arrive(i)
				done := running[0]
				running = running[1:]
				for _, decision := range limiter.Done(now, done, Result{Tokens: 32, AfterFirstToken: time.Second, Complete: true}) {
					if decision.Failure == nil {
						running = append(running, decision.Ticket)
					}
				}
			}
		})
	}
}
