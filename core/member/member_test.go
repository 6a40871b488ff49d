package member

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
)

func newUpstream(id string, inc int, state wire.UpstreamState) wire.Upstream {
	return wire.Upstream{ID: id, Incarnation: wire.Incarnation(inc), Zone: "z", Addr: "a", Models: []string{"m"}, State: state}
}

// Guards against an older incarnation of an agent that replaces a newer one, in any order
// of announcements and digests.
func TestNewestIncarnationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type announcement struct{ inc, seq int }
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) announcement {
			return announcement{rapid.IntRange(1, 3).Draw(t, "inc"), rapid.IntRange(1, 4).Draw(t, "seq")}
		}), 1, 12).Draw(t, "announcements")
		table, newest := NewTable(0), announcement{}
		for i, a := range all {
			u := newUpstream("a", a.inc, wire.UpstreamState(a.seq%3))
			if rapid.Bool().Draw(t, "by digest") {
				table.Merge(int64(i), Digest{Full: []Announcement{{Upstream: u, Seq: uint64(a.seq)}}})
			} else {
				refused, _ := table.Announce(int64(i), u, uint64(a.seq))
				assert.Equal(t, refused, a.inc < newest.inc)
			}
			if a.inc > newest.inc || a.inc == newest.inc && a.seq > newest.seq {
				newest = a
			}
			have := table.Members()[0]
			assert.Equal(t, int(have.Incarnation), newest.inc)
			assert.Equal(t, have.State, wire.UpstreamState(newest.seq%3))
		}
	})
}

// Guards against an upstream that stays a member after its agent has crashed, one that is
// removed too early, and a crashed incarnation that never counts as gone.
func TestLostAndGoneUpstreams(t *testing.T) {
	table := NewTable(0)
	table.Announce(0, newUpstream("a", 5, wire.UpstreamUp), 1)
	assert.Assert(t, !table.Expire(LostAfterMS-1) && len(table.Members()) == 1)
	assert.Assert(t, table.Expire(LostAfterMS) && len(table.Members()) == 0)
	assert.Assert(t, !table.Expire(LostAfterMS+1))
	assert.Assert(t, !table.Gone(GoneAfterMS-1, "a", 5) && table.Gone(GoneAfterMS, "a", 5))
	assert.Assert(t, table.Gone(1, "a", 4))
	assert.Assert(t, !table.Gone(1, "unknown", 4), "a new table must not report unknown upstreams as gone")
	refused, _ := table.Announce(RetentionMS-1, newUpstream("a", 4, wire.UpstreamUp), 9)
	assert.Assert(t, refused, "the incarnation of a lost upstream must be retained")
}

// Guards against control instances that have different members although they exchange
// digests.
func TestDigestsConverge(t *testing.T) {
	a, b := NewTable(0), NewTable(0)
	a.Announce(100, newUpstream("x", 1, wire.UpstreamUp), 1)
	a.Announce(100, newUpstream("y", 1, wire.UpstreamLeaving), 1)
	send := func(now, since int64) {
		unknown, _ := b.Merge(now, Digest{Heard: a.DigestEntriesSince(since, now)})
		b.Merge(now, Digest{Full: a.Announcements(unknown, now)})
	}
	send(200, 0)
	assert.DeepEqual(t, a.Members(), b.Members())
	a.Announce(5000, newUpstream("x", 1, wire.UpstreamUp), 2)
	send(5100, 4000)
	b.Expire(100 + LostAfterMS)
	assert.Equal(t, len(b.Members()), 1, "only x has announced itself again")
	unknown, _ := b.Merge(5200, Digest{Heard: a.DigestEntriesSince(4000, 5200)})
	assert.Equal(t, len(unknown), 0, "known content must not be requested again")
}

func drawUpstreams(t *rapid.T) []wire.Upstream {
	n := rapid.IntRange(0, 150).Draw(t, "upstreams")
	zones := rapid.IntRange(1, 4).Draw(t, "zones")
	var out []wire.Upstream
	for i := range n {
		u := newUpstream(fmt.Sprintf("u%03d", i), 1, wire.UpstreamUp)
		zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
		u.Zone, u.Region = fmt.Sprint("z", zone), fmt.Sprint("r", zone/2)
		u.Models = []string{fmt.Sprint("m", rapid.IntRange(0, 1).Draw(t, "model"))}
		if rapid.IntRange(0, 9).Draw(t, "state") == 0 {
			u.State = wire.UpstreamLeaving
		}
		out = append(out, u)
	}
	return out
}

func servingModel(list []wire.Upstream, model string) []wire.Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u wire.Upstream) bool { return u.Models[0] != model })
}

func countZones(list []wire.Upstream) int {
	seen := map[string]bool{}
	for _, u := range list {
		if u.State == wire.UpstreamUp {
			seen[u.Zone] = true
		}
	}
	return len(seen)
}

// Guards against subsets that are too large, omit upstreams although they are not full, or
// are limited to one zone.
func TestSubsetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawUpstreams(t)
		subset := NewIndex(members).Subset("e", "z0")
		for _, m := range []string{"m0", "m1"} {
			all, mine := servingModel(members, m), servingModel(subset, m)
			assert.Equal(t, len(mine), min(len(all), MaxUpstreamsPerGroup))
			assert.Assert(t, countZones(mine) >= min(2, countZones(all)))
		}
	})
}

// Guards against churn: if one upstream is removed or starts leaving, a subset may lose and
// gain at most one upstream for each of its models.
func TestSubsetIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawUpstreams(t)
		if len(members) == 0 {
			return
		}
		at := rapid.IntRange(0, len(members)-1).Draw(t, "changed")
		after := slices.Clone(members)
		if rapid.Bool().Draw(t, "leaves") {
			after[at].State = wire.UpstreamLeaving
		} else {
			after = slices.Delete(after, at, at+1)
		}
		had, has := ids(NewIndex(members).Subset("e", "z0")), ids(NewIndex(after).Subset("e", "z0"))
		assert.Assert(t, countMissing(had, has) <= 1 && countMissing(has, had) <= 1)
	})
}

func ids(list []wire.Upstream) []string {
	var out []string
	for _, u := range list {
		out = append(out, u.ID)
	}
	return out
}

func countMissing(from, in []string) (n int) {
	for _, id := range from {
		if !slices.Contains(in, id) {
			n++
		}
	}
	return n
}

// newTargetFleet returns a fleet of the target size: 2,800 upstreams of 6 models in 11 zones
// of 3 regions.
func newTargetFleet() []wire.Upstream {
	var out []wire.Upstream
	for i := range 2800 {
		u := newUpstream(fmt.Sprintf("u%04d", i), 1, wire.UpstreamUp)
		u.Zone, u.Region, u.Models = fmt.Sprint("z", i%11), fmt.Sprint("r", i%11%3), []string{fmt.Sprint("m", i%6)}
		out = append(out, u)
	}
	return out
}

// Guards against the removal of one upstream changing the subsets of entries that don't
// have it in theirs.
func TestChurnAtTargetSize(t *testing.T) {
	const entries = 300
	members := newTargetFleet()
	before, after := NewIndex(members), NewIndex(slices.Delete(slices.Clone(members), 1234, 1235))
	changed, affected := 0, 0
	for e := range entries {
		name, zone := fmt.Sprint("e", e), fmt.Sprint("z", e%11)
		a, b := before.Subset(name, zone), after.Subset(name, zone)
		if Version(a) != Version(b) {
			changed++
		}
		if countMissing([]string{members[1234].ID}, ids(a)) == 0 {
			affected++
		}
	}
	t.Logf("of %d entries, %d had the upstream in their subset and %d subsets changed", entries, affected, changed)
	assert.Equal(t, changed, affected)
	assert.Assert(t, changed < entries/4)
}

func BenchmarkSubsetAtTargetSize(b *testing.B) {
	x := NewIndex(newTargetFleet())
	for b.Loop() {
		Version(x.Subset("e1", "z1"))
	}
}

// Guards against an entry without upstreams in its own zone whose subset is limited to one
// other zone.
func TestSubsetWithoutLocalUpstreamsSpansTwoZones(t *testing.T) {
	var members []wire.Upstream
	for i := range 60 {
		members = append(members, newUpstream(fmt.Sprintf("u%02d", i), 1, wire.UpstreamUp))
	}
	members[30].Zone = "other"
	for e := range 20 {
		assert.Equal(t, countZones(NewIndex(members).Subset(fmt.Sprint("e", e), "none")), 2)
	}
}

// Guards against an entry whose subset differs from the control instance's after it has
// applied a delta.
func TestDeltaLeadsToNextSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawUpstreams(t), drawUpstreams(t)
		put, remove := NewSentSubset(from).Delta(to)
		got, ok := ApplyDelta(from, put, remove, Version(to))
		assert.Assert(t, ok)
		assert.DeepEqual(t, ids(got), ids(to))
		put, remove = NewSentSubset(to).Delta(to)
		assert.Equal(t, len(put)+len(remove), 0)
		_, ok = ApplyDelta(from, nil, nil, Version(to)+1)
		assert.Assert(t, !ok)
	})
}
