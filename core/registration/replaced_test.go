package registration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// namedOnly reports the services that a configuration names.
func namedOnly(services ...string) func(string) bool {
	return func(service string) bool {
		for _, s := range services {
			if s == service {
				return true
			}
		}
		return false
	}
}

func (u Upstream) withService(service string) Upstream { u.Service = service; return u }

// Guards against a running upstream that ends, if only for a moment, because another writer
// announces a service that no configuration names at its address or under its ID, in any order
// with its own announcements.
func TestForeignAnnouncementEndsNoUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := [][]string{{}, {"s"}, {"s", "mailer"}, {"mailer"}}
		named := rapid.IntRange(0, 1).Draw(t, "named at first")
		heard := map[string]bool{}
		d := New(func(service string) bool { return namedOnly(services[named]...)(service) })
		d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 1))
		seq := int64(1)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				seq++
				d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, seq))
			case 1:
				id := rapid.SampledFrom([]string{"a", "job-0", "job-1"}).Draw(t, "id")
				if named < 2 || heard[id] && id != "a" { // else it is an announcement of a service that is named
					foreign := readyUpstream(id, "10.0.0.1:80", 2000, rapid.Int64Range(0, 100).Draw(t, "seq")).withService("mailer")
					foreign.State = rapid.SampledFrom([]State{Ready, Draining}).Draw(t, "state")
					d.Observe(start, foreign)
					heard[id] = true
				}
			case 2: // a configuration names the service later, or the other one no longer
				named = rapid.IntRange(0, 3).Draw(t, "named")
			case 3:
				d.MarkLost(start.Add(time.Minute), time.Minute)
				d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, seq+1))
				seq++
				for _, u := range d.All() { // what is saved and read back
					d.Observe(start, u)
				}
			}
			u, _ := d.Get("a")
			assert.Equal(t, u.State, Ready)
			assert.Equal(t, u.Service, "s")
		}
	})
}

// Guards against an upstream that stays away because another writer has announced an upstream
// of a service that the configuration names at its address, and against one that is gone and comes
// back with a single late announcement.
func TestReplacedUpstreamThatRunsReturns(t *testing.T) {
	d := New(allNamed)
	reader := NewReader(allNamed)
	var seen uint64
	feed := func() State {
		for _, u := range d.ChangedSince(seen) {
			reader.Observe(start, u)
		}
		seen = d.LastChange()
		u, _ := reader.Get("a")
		return u.State
	}
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 1))
	assert.Equal(t, feed(), Ready)
	d.Observe(start, readyUpstream("b", "10.0.0.1:80", 2000, 1).withService("other"))
	assert.Equal(t, feed(), Left, "the address is taken over at once")
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 2))
	assert.Equal(t, feed(), Left, "one announcement may be late")
	d.Observe(start, readyUpstream("b", "10.0.0.1:80", 2000, 2).withService("other"))
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 2))
	assert.Equal(t, feed(), Left, "a repeat of it proves nothing")
	assert.Assert(t, !d.Refresh(start, "a", 1000, 3), "another instance must send the record")
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 3))
	assert.Equal(t, feed(), Ready)
	b, _ := reader.Get("b")
	assert.Equal(t, b.State, Ready)
	d.Observe(start, readyUpstream("b", "10.0.0.1:80", 2000, 3).withService("other"))
	assert.Equal(t, feed(), Ready, "the same upstream claims its address only once")
	d.Observe(start, readyUpstream("c", "10.0.0.1:80", 3000, 1))
	assert.Equal(t, feed(), Left, "the next one claims it from both")
	b, _ = reader.Get("b")
	assert.Equal(t, b.State, Left)
	assert.Equal(t, d.Observe(start, Upstream{ID: "a", State: Left, StartedMS: 1000}), Changed)
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 8))
	d.Observe(start, readyUpstream("a", "10.0.0.1:80", 1000, 9))
	assert.Equal(t, feed(), Left, "a departure is final")
	assert.Equal(t, len(d.WithdrawnSince(0)), 1, "a claim is no withdrawal")
}

// Guards against control instances that disagree for good on an upstream whose address was
// claimed: one of them hears its announcements, the others what that one sends.
func TestInstancesAgreeOnReplacedUpstream(t *testing.T) {
	first, second := New(allNamed), New(allNamed)
	a, b := readyUpstream("a", "10.0.0.1:80", 1000, 1), readyUpstream("b", "10.0.0.1:80", 2000, 1)
	first.Observe(start, a)
	second.Observe(start, a)
	first.Observe(start, b)
	for a.Seq = 2; a.Seq < 4; a.Seq++ {
		first.Observe(start, a)
	}
	second.Observe(start, b)
	returned, _ := first.Get("a")
	assert.Equal(t, returned.State, Ready)
	for range 2 {
		if !second.Refresh(start, "a", 1000, returned.Seq) {
			second.Observe(start, returned)
		}
	}
	u, _ := second.Get("a")
	assert.Equal(t, u.State, Ready)
	assert.Equal(t, len(second.MarkLost(start.Add(time.Minute), time.Second)), 2)
}
