package hatchclaim

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOrder measures an order from its submission to the recording of its
// outcome, including the encoding of both head writes, at a shard whose head
// holds the given number of claims.
func BenchmarkOrder(b *testing.B) {
	for _, claims := range []int{50, 200, 400} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
			head := Head{Epoch: 1, Owner: "p1"}
			for i := range claims {
				head.Claims = append(head.Claims, Claim{
					ID: ID{"office", fmt.Sprintf("old%d", i)}, Digest: "0123456789abcdef0123456789abcdef", KeyTime: now,
					Owner: "p1", Outcome: &Outcome{Status: 200, Body: make([]byte, 100)},
				})
			}
			bytes := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				shard := NewShard(0, "p1", WithCommitInterval(time.Nanosecond), WithSealBytes(1<<30))
				order := Order{ID: ID{"office", fmt.Sprint(i)}, Digest: "d", KeyTime: now, Deadline: now.Add(time.Hour), Waiter: 1}
				shard.Submit(now, order)
				claim := shard.HeadRead(now, head, 1, true)[0].(WriteHead)
				written, _ := claim.Head.Encode()
				bytes = len(written)
				shard.HeadWritten(now, 2, WriteApplied)
				record := shard.RunDone(now, order.ID, RunResult{Outcome: &Outcome{Status: 200}})[0].(WriteHead)
				if _, err := record.Head.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "head-bytes")
		})
	}
}
