package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// newVersionFleet returns a fleet of three zones with two upstreams of each version in each. An empty
// version is not stated.
func newVersionFleet(versions ...string) *Fleet {
	f := newTestFleet(0, 0)
	for zone := range 3 {
		for i := range 2 * len(versions) {
			u := upstreamRecord("model", zone, i)
			u.Version = versions[i/2]
			f.SetUpstream(u)
		}
	}
	return f
}

// Guards against a stream that goes on, or is backed up, at another software version, also one
// whose name differs only in case, and against one that goes nowhere although its version serves.
func TestStreamStaysAtItsVersion(t *testing.T) {
	f := newVersionFleet("v1", "V1", "v2")
	now := start
	for range 60 {
		now = now.Add(5 * time.Second)
		c, refusal := f.Place(now, streamRequest())
		assert.Assert(t, refusal == nil)
		version := c.Upstream.Version
		assert.Equal(t, c.Backup.Version, version)
		holder, ok := f.ReplaceBackup(now, c.Ticket, streamRequest())
		assert.Assert(t, ok)
		assert.Equal(t, holder.Version, version)
		f.RecordFailure(now, c.Ticket)
		f.End(now, c.Ticket)
		next := streamRequest()
		next.Version, next.Tried = version, []string{c.Upstream.ID}
		for _, u := range f.ReportCandidates(now, next, 4) {
			assert.Equal(t, u.Version, version)
		}
		c, refusal = f.Place(now, next)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.Upstream.Version, version)
		f.End(now, c.Ticket)
	}
}

// Guards against two upstreams that state no version and are taken for the same one, and against
// another incarnation with the same id.
func TestUnstatedVersionIsThatOfOneIncarnation(t *testing.T) {
	f := newVersionFleet("")
	c, _ := f.Place(start, streamRequest())
	assert.Assert(t, c.Version == "" && c.Backup.ID != "", "no upstream states a version")
	f.End(start, c.Ticket)
	other := upstreamRecord("model", 2, 9)
	other.Version, other.State = "v1", registration.Draining
	f.SetUpstream(other)
	c, _ = f.Place(start, streamRequest())
	assert.Equal(t, c.Backup.ID, "")
	f.End(start, c.Ticket)
	next := streamRequest()
	next.Version = c.Version
	again, refusal := f.Place(start, next)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, again.Upstream.ID, c.Upstream.ID)
	f.End(start, again.Ticket)
	restarted := c.Upstream
	restarted.StartedMS++
	f.SetUpstream(restarted)
	_, refusal = f.Place(start, next)
	assert.Assert(t, refusal != nil && refusal.VersionGone)
}

// Guards against a stream that waits for a version that has left, or is told that it has left while
// its upstreams are only lost.
func TestVersionGone(t *testing.T) {
	f := newVersionFleet("v1", "v2")
	set := func(state registration.State) {
		for zone := range 3 {
			for i := range 2 {
				u := upstreamRecord("model", zone, i)
				u.Version, u.State = "v1", state
				u.Seq++
				f.SetUpstream(u)
			}
		}
	}
	req := streamRequest()
	req.Version = "v1"
	for _, c := range []struct {
		state        registration.State
		placed, gone bool
	}{{registration.Ready, true, false}, {registration.Lost, true, false}, {registration.Draining, false, true}, {registration.Left, false, true}} {
		set(c.state)
		choice, refusal := f.Place(start, req)
		assert.Equal(t, refusal == nil, c.placed, fmt.Sprint(c.state))
		if refusal == nil {
			assert.Equal(t, choice.Upstream.Version, "v1")
			f.End(start, choice.Ticket)
			continue
		}
		assert.Equal(t, refusal.VersionGone, c.gone, fmt.Sprint(c.state))
	}
}
