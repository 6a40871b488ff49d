package registration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a departure that is acknowledged before enough disks hold it: the loss of the
// disks that do would bring the upstream back as ready.
func TestDepartureIsAcknowledgedOnceEnoughDisksHoldIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.IntRange(0, 2).Draw(t, "losses")
		tracker := NewCopyTracker(losses)
		disks, best := map[string]uint64{}, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			holder := fmt.Sprint("instance-", rapid.IntRange(0, 4).Draw(t, "holder"))
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				tracker.Forget(holder)
				delete(disks, holder)
			} else {
				change := rapid.Uint64Range(1, 9).Draw(t, "change")
				tracker.RecordSaved(holder, change)
				disks[holder] = max(disks[holder], change)
			}
			for change := best + 1; change <= 9; change++ {
				copies := 0
				for _, saved := range disks {
					if saved >= change {
						copies++
					}
				}
				if copies > losses {
					best = change
				}
			}
			assert.Equal(t, tracker.Acknowledged(), best)
		}
	})
}

// Guards against a withdrawal that is left out of what instances save and send to each other.
func TestWithdrawnSince(t *testing.T) {
	d := New(allNamed)
	d.Observe(start, readyUpstream("ready", "10.0.0.1:80", 1000, 1))
	d.Observe(start, readyUpstream("draining", "10.0.0.2:80", 1000, 1).withState(Draining))
	d.Observe(start, Upstream{ID: "unknown", State: Left})
	d.Observe(start, readyUpstream("leaving", "10.0.0.3:80", 1000, 1))
	d.MarkLeaving(start, "leaving", 1000)
	var ids []string
	for _, u := range d.WithdrawnSince(0) {
		ids = append(ids, u.ID)
	}
	assert.DeepEqual(t, ids, []string{"draining", "leaving", "unknown"})
	before := d.LastChange()
	assert.Equal(t, d.WithdrawalChange("ready"), uint64(0))
	d.Observe(start, Upstream{ID: "ready", State: Left, StartedMS: 1000})
	assert.Equal(t, len(d.WithdrawnSince(before)), 1)
	assert.Equal(t, d.WithdrawalChange("ready"), d.LastChange())
}
