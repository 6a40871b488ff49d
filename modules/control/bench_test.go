package control

import (
	"fmt"
	"sync/atomic"
	"testing"

	"heatherway.dev/core/wire"
)

// BenchmarkClaim measures claims on the log, without the connection.
func BenchmarkClaim(b *testing.B) {
	c := running(b)
	s := &service{c: c}
	var n atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := wire.StartArgs{
				Key: fmt.Sprint("organisation/key-", n.Add(1)), Attempt: wire.NewID(), IssuedMS: nowMS(),
				BodyHash: "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", Agent: "agent-z03-0417", Incarnation: 1,
			}
			var r wire.StartReply
			if err := s.Start(a, &r); err != nil || !r.Granted {
				b.Fatal(err, r)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}
