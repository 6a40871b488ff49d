package control

import (
	"context"
	"sync/atomic"
	"time"

	"heatherway.dev/kernel/result"
)

const (
	touchInterval = 500 * time.Millisecond
	touchTimeout  = time.Second
	// touchLimit is the age of the last read through a quorum from which this
	// instance sends its callers elsewhere: it may be cut off and old.
	touchLimit = 3 * time.Second
)

// touch notes when this instance last reached a quorum of the control
// instances.
type touch struct{ last atomic.Int64 }

func (t *touch) run(ctx context.Context, log Log) {
	tick := time.NewTicker(touchInterval)
	defer tick.Stop()
	for {
		t.try(ctx, log)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (t *touch) try(ctx context.Context, log Log) {
	ctx, cancel := context.WithTimeout(ctx, touchTimeout)
	defer cancel()
	begin := time.Now()
	if log.ReadIndex(ctx, fleetGroup) == nil {
		t.last.Store(begin.UnixNano())
	}
}

// check returns an error if this instance may be cut off.
func (t *touch) check(now time.Time) error {
	if now.UnixNano()-t.last.Load() < int64(touchLimit) {
		return nil
	}
	return result.New(result.ControlUnavailable, "this control instance has not reached a quorum for %v", touchLimit)
}
