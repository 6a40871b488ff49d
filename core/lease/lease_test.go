package lease

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

const durationMS = 10000

// holder is a process that requests the lease. Its clock has its own rate.
type holder struct {
	name             string
	clockRatePercent int64
	fence            uint64
	validUntil       int64
	pending          *Acquire
	sentMS           int64
}

func (h *holder) localMS(now int64) int64 { return now * h.clockRatePercent / 100 }

func (h *holder) holdsAt(now int64) bool { return h.localMS(now) < h.validUntil }

type simulation struct {
	state         *State
	timers        [2]Timer
	leader        int
	clockOffsetMS [2]int64
	nowMS         int64
	index         uint64
	lastFence     uint64
	holders       []*holder
}

func (sim *simulation) apply(c Command) Reply {
	sim.index++
	return sim.state.Apply(sim.index, c)
}

// step advances the time and runs one event: the leader changes, leases expire,
// a holder acquires, acquires again, renews or releases the lease, or the state
// is restored from a snapshot.
func (sim *simulation) step(t *rapid.T) {
	sim.nowMS += rapid.SampledFrom([]int64{0, 100, 3000, durationMS, durationMS * 11 / 10}).Draw(t, "pause")
	h := sim.holders[rapid.IntRange(0, len(sim.holders)-1).Draw(t, "holder")]
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		sim.timers[sim.leader].Update(sim.nowMS+sim.clockOffsetMS[sim.leader], nil)
		sim.leader = 1 - sim.leader
	case 1, 2:
		for _, e := range sim.timers[sim.leader].Update(sim.nowMS+sim.clockOffsetMS[sim.leader], sim.state.List()) {
			sim.apply(Command{Expire: &e})
		}
	case 3:
		if h.pending == nil {
			h.pending = &Acquire{Name: "orders", Holder: h.name, Request: wire.ID(fmt.Sprint("r", sim.index)), DurationMS: durationMS}
			h.sentMS = h.localMS(sim.nowMS)
		}
		r := sim.apply(Command{Acquire: h.pending})
		if rapid.Bool().Draw(t, "answer lost") {
			return
		}
		sim.applyGrant(t, h, r)
		h.pending = nil
	case 4:
		sent := h.localMS(sim.nowMS)
		if r := sim.apply(Command{Renew: &Renew{"orders", h.fence}}); r.Granted {
			assert.Equal(t, r.Lease.Holder, h.name)
			h.validUntil = ValidUntil(sent, durationMS)
		}
	case 5:
		sim.apply(Command{Release: &Release{"orders", h.fence}})
		h.validUntil = 0
	default:
		b, err := sim.state.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, sim.state.Restore(b))
	}
}

func (sim *simulation) applyGrant(t *rapid.T, h *holder, r Reply) {
	if !r.Granted {
		return
	}
	assert.Equal(t, r.Lease.Holder, h.name)
	assert.Assert(t, r.Lease.Fence >= sim.lastFence, "a fencing token decreased")
	sim.lastFence = r.Lease.Fence
	h.fence, h.validUntil = r.Lease.Fence, ValidUntil(h.sentMS, durationMS)
}

// Guards against two processes that rely on the same lease, and against a fencing
// token that decreases, while leaders change, clock rates differ by 10% and
// replies are lost.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{state: New(), clockOffsetMS: [2]int64{0, rapid.Int64Range(-1e6, 1e6).Draw(t, "offset")}}
		for i, rate := range []int64{91, 100, 109} {
			sim.holders = append(sim.holders, &holder{name: fmt.Sprint("h", i), clockRatePercent: rate})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sim.step(t)
			valid := 0
			for _, h := range sim.holders {
				if h.holdsAt(sim.nowMS) {
					valid++
				}
			}
			assert.Assert(t, valid <= 1, "%d holders rely on the lease", valid)
		}
	})
}

// Guards against a lease that does not expire after its holder has failed, also
// after a change of leader, and against one that expires although it was renewed.
func TestLeaseExpires(t *testing.T) {
	s := New()
	a := &Acquire{Name: "orders", Holder: "h", Request: "r", DurationMS: durationMS}
	assert.Assert(t, s.Apply(1, Command{Acquire: a}).Granted)
	other := *a
	other.Holder, other.Request = "other", "r2"
	assert.Assert(t, !s.Apply(2, Command{Acquire: &other}).Granted)
	var first, second Timer
	assert.Equal(t, len(first.Update(0, s.List())), 0)
	assert.Equal(t, len(first.Update(11000, s.List())), 0)
	expired := first.Update(11001, s.List())
	assert.Equal(t, len(expired), 1)
	assert.Assert(t, s.Apply(3, Command{Renew: &Renew{"orders", 1}}).Granted)
	s.Apply(4, Command{Expire: &expired[0]})
	assert.Equal(t, s.Get("orders").Holder, "h", "renewed before the expiry was applied")
	assert.Equal(t, len(second.Update(50000, s.List())), 0, "a new leader must measure the full duration")
	expired = second.Update(61001, s.List())
	s.Apply(5, Command{Expire: &expired[0]})
	assert.Equal(t, s.Apply(6, Command{Renew: &Renew{"orders", 1}}).Code, result.FenceStale)
	assert.Assert(t, !s.Apply(7, Command{Acquire: a}).Granted, "a request must not be granted twice")
	assert.Equal(t, s.Apply(8, Command{Acquire: &other}).Lease.Fence, uint64(8))
}
