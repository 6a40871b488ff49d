package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/signal"
)

// Guards against new work, backups and queries for upstreams that are leaving or have
// asked for backoff, while others can take the work.
func TestUpstreamsThatTakeNoWork(t *testing.T) {
	f := newTestFleet(2, 3)
	leaving, backingOff := upstreamRecord("model", 0, 0), upstreamRecord("model", 0, 1)
	assert.Assert(t, f.MarkLeaving(leaving.ID, leaving.StartedMS))
	assert.Assert(t, !f.MarkLeaving(leaving.ID, leaving.StartedMS), "already known")
	f.SetBackoff(start, backingOff.ID, backingOff.StartedMS, 5*time.Second)
	f.SetUpstream(leaving) // the directory does not have it yet
	for range 60 {
		req := streamRequest()
		req.Affinity, req.Preferred = "prompt", backingOff.ID
		for _, u := range f.ReportCandidates(start, req, 4) {
			assert.Assert(t, u.ID != leaving.ID && u.ID != backingOff.ID)
		}
		c, refusal := f.Place(start, req)
		if refusal != nil {
			break
		}
		for _, id := range []string{c.Upstream.ID, c.Backup.ID} {
			assert.Assert(t, id != leaving.ID && id != backingOff.ID, "placed at %s", id)
		}
	}
}

// Guards against a backoff that never ends, one that a later and shorter one cuts short,
// and one that carries over to the next incarnation.
func TestBackoffEnds(t *testing.T) {
	f := newTestFleet(1, 1)
	u := upstreamRecord("model", 0, 0)
	f.SetBackoff(start, u.ID, u.StartedMS, 3*time.Second)
	f.SetBackoff(start, u.ID, u.StartedMS, time.Second)
	_, refusal := f.Place(start.Add(2*time.Second), streamRequest())
	assert.Equal(t, refusal.RetryAfter, time.Second)
	assert.Assert(t, refusal.AllBackingOff)
	_, refusal = f.Place(start.Add(3*time.Second), streamRequest())
	assert.Assert(t, refusal == nil)
	f.SetBackoff(start, u.ID, u.StartedMS, 1000*time.Hour)
	assert.Equal(t, f.Backoff(start, u.ID, u.StartedMS), signal.MaxBackoff)
	f.SetBackoff(start, u.ID, u.StartedMS+1, time.Hour)
	u.StartedMS++
	f.SetUpstream(u)
	_, refusal = f.Place(start, streamRequest())
	assert.Assert(t, refusal == nil, "the backoff must not carry over to the next incarnation")
}
