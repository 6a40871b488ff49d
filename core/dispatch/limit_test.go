package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/throttle"
)

// Guards against a question to the owner of the limits while an upstream without a limit is the better
// choice, against a grant that goes unused, and against work for limited upstreams that other
// upstreams could take.
func TestPlacementAsksForGrants(t *testing.T) {
	f := newTestFleet(1, 2)
	limited, other := upstreamRecord("model", 0, 0), upstreamRecord("model", 0, 1)
	limit, now := 2.0, start
	_, changed := f.ObserveLimit(now, now, limited.ID, limited.StartedMS, &limit)
	assert.Assert(t, changed)
	asked := 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		req := streamRequest()
		c, refusal := f.Place(now, req)
		if refusal != nil {
			asked++
			assert.Equal(t, len(refusal.Ask), 1, "another upstream has room")
			assert.Equal(t, refusal.Ask[0].Key, throttle.Key{ID: limited.ID, StartedMS: limited.StartedMS})
			answer := throttle.Answer{Key: refusal.Ask[0].Key, Statement: refusal.Ask[0].Statement, Wait: time.Second}
			if asked == 1 {
				answer.Granted = 1
			}
			f.ApplyGrant(now, now, req, throttle.Grant{Gateways: 3, Answers: []throttle.Answer{answer}})
			req.WithoutAsking = true
			c, refusal = f.Place(now, req)
			assert.Assert(t, refusal == nil)
			if asked > 1 {
				assert.Equal(t, c.Upstream.ID, other.ID)
			}
		}
		f.End(now, c.Ticket)
	}
	assert.Assert(t, asked >= 2 && asked <= 6, "asked %d times in 4 s although each refusal names 1 s", asked)
}

// Guards against a refusal that names a time at which nothing has changed, and against a continued
// stream that waits behind new ones.
func TestRefusalBeyondLimits(t *testing.T) {
	f := newTestFleet(1, 1)
	u := upstreamRecord("model", 0, 0)
	limit := 0.5
	f.ObserveLimit(start, start, u.ID, u.StartedMS, &limit)
	req := streamRequest()
	req.Priority = 2
	_, refusal := f.Place(start, req)
	assert.Equal(t, len(refusal.Ask), 1)
	f.ApplyGrant(start, start, req, throttle.Grant{Gateways: 3, Answers: []throttle.Answer{{Key: refusal.Ask[0].Key, Statement: refusal.Ask[0].Statement, Wait: 3 * time.Second}}})
	_, refusal = f.Place(start, req)
	assert.Assert(t, refusal.AllLimited && len(refusal.Ask) == 0)
	assert.Equal(t, refusal.RetryAfter, 3*time.Second)
	continued := streamRequest()
	continued.Priority, continued.Continues = 2, true
	_, refusal = f.Place(start, continued)
	assert.Equal(t, len(refusal.Ask), 1, "a continued stream may still ask")
}
