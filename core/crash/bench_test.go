package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func BenchmarkDecide(b *testing.B) {
	for _, parts := range []int{20, 100, 400, 1000} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			t := New()
			r := rand.New(rand.NewPCG(1, 1))
			for i := 0; i < 3800; i++ {
				u := r.IntN(150)
				t.PartInterrupted(after(float64(u)/10), runAt(PartKey(fmt.Sprint(r.IntN(parts))), fmt.Sprint("u", u), "z"), 1, Interrupted)
			}
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				t.lastChange++
				t.decideParts(after(20).Add(time.Duration(i)))
			}
			b.ReportMetric(float64(len(t.decisions)), "held")
			b.ReportMetric(float64(t.runCount), "runs")
		})
	}
}
