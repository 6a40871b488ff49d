package registration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func allNamed(string) bool { return true }

func readyUpstream(id, addr string, started, seq int64) Upstream {
	return Upstream{ID: id, Service: "s", Addr: addr, Zone: "z", Slots: 4, StartedMS: started, Seq: seq}
}

func (u Upstream) withState(s State) Upstream { u.State = s; return u }

// Guards against a directory that depends on the order in which a control instance receives
// announcements: gateways would disagree on which upstreams are draining.
func TestAnnouncementOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Upstream
		for seq := range int64(rapid.IntRange(1, 6).Draw(t, "announcements")) {
			u := readyUpstream("a", "10.0.0.1:80", 1000, seq+1)
			if seq >= 3 {
				u.State = Draining
			}
			list = append(list, u)
		}
		if rapid.Bool().Draw(t, "left") {
			list = append(list, Upstream{ID: "a", State: Left, StartedMS: 1000, Seq: 7})
		}
		if rapid.Bool().Draw(t, "restarted") {
			list = append(list, readyUpstream("a", "10.0.0.1:80", 2000, 1))
		}
		want, got := New(allNamed), New(allNamed)
		for _, u := range list {
			want.Observe(start, u)
		}
		for _, u := range rapid.Permutation(list).Draw(t, "order") {
			got.Observe(start, u)
		}
		a, _ := want.Get("a")
		b, _ := got.Get("a")
		assert.Equal(t, a.State, b.State)
		assert.Equal(t, a.StartedMS, b.StartedMS)
	})
}

// Guards against a delayed announcement that makes an upstream available again after it
// has left.
func TestLateAnnouncementAfterDeparture(t *testing.T) {
	d := New(allNamed)
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 5))
	assert.Equal(t, d.Observe(start, Upstream{ID: "a", State: Left}), Changed)
	assert.Equal(t, d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 6)), Stale)
	u, _ := d.Get("a")
	assert.Equal(t, u.State, Left)
	assert.Equal(t, d.Observe(start, readyUpstream("a", "10.0.0.1:80", 3000, 1)), Changed, "a new start under the same id")
}

// Guards against requests to a crashed upstream whose announcement arrives after another
// upstream has taken over its address.
func TestAddressReuse(t *testing.T) {
	d := New(allNamed)
	d.Observe(start, readyUpstream("old", "10.0.0.1:80", 1000, 5))
	d.Observe(start, readyUpstream("new", "10.0.0.1:80", 2000, 1))
	d.Observe(start, readyUpstream("old", "10.0.0.1:80", 1000, 6))
	old, _ := d.Get("old")
	now, _ := d.Get("new")
	assert.Equal(t, old.State, Left)
	assert.Equal(t, now.State, Ready)
}

// Guards against an upstream that stays lost although its announcements arrive again, and
// against one that is marked as lost while its announcements arrive.
func TestLostUpstreamReturns(t *testing.T) {
	d := New(allNamed)
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 1))
	d.Observe(start.Add(4*time.Second), readyUpstream("a", "10.0.0.1:80", 1000, 2))
	assert.Equal(t, len(d.MarkLost(start.Add(6*time.Second), 5*time.Second)), 0)
	assert.Equal(t, len(d.MarkLost(start.Add(9*time.Second), 5*time.Second)), 1)
	assert.Equal(t, d.Observe(start.Add(10*time.Second), readyUpstream("a", "10.0.0.1:80", 1000, 3)), Changed)
	u, _ := d.Get("a")
	assert.Equal(t, u.State, Ready)
}

// Guards against a directory, fed with the changes of another one, that misses states that
// no announcement carries, such as a lost upstream or one whose address was taken over.
func TestChangesCarryDerivedStates(t *testing.T) {
	first, second := New(allNamed), New(allNamed)
	feed := func(since uint64) uint64 {
		for _, u := range first.ChangedSince(since) {
			second.Observe(start, u)
		}
		return first.LastChange()
	}
	first.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 1))
	first.Observe(start, readyUpstream("b", "10.0.0.2:80", 1000, 1))
	seen := feed(0)
	first.Observe(start.Add(time.Minute), readyUpstream("c", "10.0.0.1:80", 2000, 1))
	first.MarkLost(start.Add(time.Minute), time.Second)
	feed(seen)
	a, _ := second.Get("a")
	b, _ := second.Get("b")
	assert.Equal(t, a.State, Left)
	assert.Equal(t, b.State, Lost)
}

// Guards against a directory that keeps the records of ended upstreams forever.
func TestExpire(t *testing.T) {
	d := New(allNamed)
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 1))
	d.Observe(start, readyUpstream("a", "", 1000, 2).withState(Left))
	d.Expire(start.Add(time.Minute), time.Minute)
	assert.Equal(t, len(d.All()), 0)
}

// Guards against new requests to an upstream that has signalled that it is leaving. This
// would happen if a later announcement cleared the flag, if the result depended on the order
// of announcements, or if a flag on a record older than the newest announcement was ignored.
func TestLeavingIsKeptInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := []Upstream{readyUpstream("a", "10.0.0.1:80", 1000, 1)}
		for seq := range int64(rapid.IntRange(0, 4).Draw(t, "announcements")) {
			u := readyUpstream("a", "10.0.0.1:80", 1000, seq+2)
			u.Leaving = rapid.Bool().Draw(t, "leaving")
			list = append(list, u)
		}
		leaving := readyUpstream("a", "10.0.0.1:80", 1000, 1)
		leaving.Leaving = true
		list = append(list, leaving)
		d := New(allNamed)
		for _, u := range rapid.Permutation(list).Draw(t, "order") {
			d.Observe(start, u)
		}
		got, _ := d.Get("a")
		assert.Assert(t, got.Leaving)
		assert.Equal(t, got.State, Draining)
		d.Observe(start, readyUpstream("a", "10.0.0.1:80", 2000, 1))
		got, _ = d.Get("a")
		assert.Equal(t, got.State, Ready, "the next incarnation must accept requests")
	})
}
