// Package heaptest watches the size of the heap in tests.
package heaptest

import (
	"runtime"
	"testing"
	"time"
)

// pollInterval is the time between two looks at the heap.
const pollInterval = 5 * time.Millisecond

// FailOnGrowth fails the test if the heap grows by more than bound bytes until its end.
func FailOnGrowth(t testing.TB, bound uint64) {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	stop, done := make(chan struct{}), make(chan uint64)
	go func() {
		peak := uint64(0)
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapInuse)
			select {
			case <-stop:
				done <- peak
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		grown := int64(<-done) - int64(before.HeapInuse)
		t.Logf("the heap grew by %d MB", grown>>20)
		if grown > int64(bound) {
			t.Errorf("the heap grew by %d MB, more than %d", grown>>20, bound>>20)
		}
	})
}
