package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
)

var start = time.Unix(1_000_000, 0)

const kvCacheTokens = 88_000

func newTestFleet(zones, each int) *Fleet {
	f := New("z0", rand.New(rand.NewPCG(1, 2)))
	f.SetEngines([]routing.Service{{Name: "model", Engine: &routing.Engine{Slots: 64, MemoryTokens: kvCacheTokens, SupportsBackups: true}}, {Name: "desk"}})
	for z := range zones {
		for i := range each {
			f.SetUpstream(upstreamRecord("model", z, i))
		}
	}
	return f
}

func upstreamRecord(service string, zone, i int) registration.Upstream {
	return registration.Upstream{
		ID: fmt.Sprintf("%s-z%d-%d", service, zone, i), Service: service, Zone: fmt.Sprint("z", zone),
		Addr: fmt.Sprintf("10.%d.0.%d:80", zone, i), Slots: 64, StartedMS: 1,
	}
}

func streamRequest() *Request {
	return &Request{Service: "model", Stream: true, PromptTokens: 8200, OutputTokens: 800, Backup: true}
}

// Guards against KV cache that is reserved twice, which makes a server preempt a stream,
// and against reservations that outlive their request.
func TestKVCacheIsNotOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(3, 2)
		var open []uint64
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			if len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				f.End(start, open[0])
				open = open[1:]
				continue
			}
			req := streamRequest()
			req.PromptTokens = rapid.IntRange(100, 14_400).Draw(t, "prompt")
			if c, refusal := f.Place(now, req); refusal == nil {
				open = append(open, c.Ticket)
			}
			for _, u := range f.byID {
				assert.Assert(t, u.tokens+u.backupTokens <= kvCacheTokens, "%s holds %d tokens", u.ID, u.tokens+u.backupTokens)
			}
		}
		for _, ticket := range open {
			f.End(start, ticket)
		}
		for _, u := range f.byID {
			assert.Equal(t, u.tokens+u.backupTokens, 0)
		}
	})
}

// Guards against a backup in the same availability zone as the stream, where one failure
// takes both.
func TestBackupIsInAnotherZone(t *testing.T) {
	f := newTestFleet(3, 4)
	for range 40 {
		c, refusal := f.Place(start, streamRequest())
		if refusal != nil {
			break
		}
		assert.Assert(t, c.Backup.ID != "")
		assert.Assert(t, c.Backup.Zone != c.Upstream.Zone)
	}
}

// Guards against a stream that resumes at an upstream other than its backup.
func TestResumeGoesToTheBackup(t *testing.T) {
	f := newTestFleet(3, 4)
	c, _ := f.Place(start, streamRequest())
	f.RecordFailure(start, c.Ticket)
	f.End(start, c.Ticket)
	req := streamRequest()
	req.Tried, req.Preferred = []string{c.Upstream.ID}, c.Backup.ID
	next, refusal := f.Place(start, req)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, next.Upstream.ID, c.Backup.ID)
}

// Simulates a zone whose upstreams all stop while streams arrive at a gateway of that
// zone. Every stream must find an upstream that is up within three attempts, since an
// attempt at a silent one costs 40 ms or more, and the zone must get work again soon after
// it is back.
func TestZoneFailure(t *testing.T) {
	f := newTestFleet(3, 6)
	now := start
	down := func(u registration.Upstream) bool { return u.Zone == "z0" && now.Sub(start) < 1200*time.Millisecond }
	tries, back := 0, 0
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		req := streamRequest()
		for {
			c, refusal := f.Place(now, req)
			assert.Assert(t, refusal == nil, "a stream is refused although two zones are up")
			if !down(c.Upstream) {
				f.RecordStarted(now, c.Ticket)
				f.End(start, c.Ticket)
				if c.Upstream.Zone == "z0" {
					back++
				}
				break
			}
			tries++
			f.RecordFailure(now, c.Ticket)
			f.End(start, c.Ticket)
			req.Tried = append(req.Tried, c.Upstream.ID)
			assert.Assert(t, len(req.Tried) < 3, "%v", req.Tried)
		}
	}
	assert.Assert(t, tries <= 6*4, "%d attempts; each upstream may be tried once per pause of its breaker", tries)
	assert.Assert(t, back > 0, "the zone got no work after it was back")
}

// Guards against streams that try one upstream after the other in a zone whose upstreams
// do not answer queries for load reports, and against a zone that is then avoided for
// good.
func TestUnreachableUpstreamsAreAvoided(t *testing.T) {
	f := newTestFleet(2, 4)
	asked := 0
	for range MaxReportRounds {
		for _, u := range f.ReportCandidates(start, streamRequest(), 2) {
			if u.Zone == "z0" {
				asked++
				f.RecordUnreachable(start, u.ID)
				continue
			}
			f.RecordReport(start, u.ID, LoadReport{})
		}
	}
	assert.Equal(t, asked, 2)
	c, _ := f.Place(start, streamRequest())
	assert.Equal(t, c.Upstream.Zone, "z1")
	later, _ := f.Place(start.Add(2*failureWindow), streamRequest())
	assert.Equal(t, later.Upstream.Zone, "z0")
}

// Simulates a burst of streams beyond the fleet's KV cache: placed streams fit, the others
// are refused with MemoryFull, and room becomes free when a stream ends.
func TestBurstBeyondKVCache(t *testing.T) {
	f := newTestFleet(2, 2)
	req := streamRequest()
	req.Backup = false
	var open []uint64
	for {
		c, refusal := f.Place(start, req)
		if refusal != nil {
			assert.Assert(t, refusal.MemoryFull)
			break
		}
		open = append(open, c.Ticket)
	}
	assert.Equal(t, len(open), 4*9, "nine streams of 9,000 tokens fit into 88,000")
	f.End(start, open[0])
	_, refusal := f.Place(start, req)
	assert.Assert(t, refusal == nil)
}

// Guards against prompts that queue at one upstream while others are idle.
func TestPromptsSpreadOverUpstreams(t *testing.T) {
	f := newTestFleet(1, 6)
	seen := map[string]int{}
	for i := range 6 {
		c, _ := f.Place(start.Add(time.Duration(i)*10*time.Millisecond), streamRequest())
		seen[c.Upstream.ID]++
	}
	assert.Equal(t, len(seen), 6)
}

// allAffinityUpstreams returns the affinity upstreams in all availability zones, sorted by
// id.
func allAffinityUpstreams(f *Fleet, req *Request) []registration.Upstream {
	own, others := f.AffinityUpstreams(start, req)
	all := append(own, others...)
	slices.SortFunc(all, func(a, b registration.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Guards against a second prefill for a caller that reconnects through another gateway.
// All gateways must compute the same affinity upstreams, the prompt must be at one of
// them, and the caller must go there even if that upstream is not the least loaded. A
// gateway of the same availability zone queries only the affinity upstreams in its own
// zone.
func TestAffinityIsTheSameAtEveryGateway(t *testing.T) {
	for i := range 20 {
		req := streamRequest()
		req.Affinity = fmt.Sprint("prompt-", i)
		a, b := newTestFleet(3, 4), newTestFleet(3, 4)
		b.zone = "z2"
		x, _ := a.Place(start, req)
		affinity := allAffinityUpstreams(b, req)
		assert.DeepEqual(t, allAffinityUpstreams(a, req), affinity)
		assert.Assert(t, slices.Contains(affinity, x.Upstream))
		own, _ := newTestFleet(3, 4).AffinityUpstreams(start, req)
		assert.Equal(t, len(own), affinityCount)
		assert.Assert(t, slices.Contains(own, x.Upstream))
		for range 8 {
			other := streamRequest()
			other.Preferred = x.Upstream.ID
			c, _ := b.Place(start, other)
			b.RecordStarted(start, c.Ticket)
		}
		req.CachedAt = x.Upstream.ID
		y, _ := b.Place(start, req)
		assert.Equal(t, x.Upstream.ID, y.Upstream.ID)
	}
}

// Guards against a prompt that is not found again after its stream has resumed from the
// backup: in a fault run (kill_all), 10 of 45 callers reconnected to gateways that did
// not find it.
func TestBackupsAreAtAffinityUpstreams(t *testing.T) {
	f := newTestFleet(4, 10)
	found := 0
	for i := range 20 {
		req := streamRequest()
		req.Affinity = fmt.Sprint("prompt-", i)
		c, refusal := f.Place(start, req)
		assert.Assert(t, refusal == nil)
		if slices.Contains(allAffinityUpstreams(f, req), c.Backup) {
			found++
		}
		f.End(start, c.Ticket)
	}
	assert.Equal(t, found, 20)
}

// Guards against affinity upstreams that change for most prompts when one upstream is
// replaced.
func TestAffinityIsStableWhenUpstreamsChange(t *testing.T) {
	const keys, zones = 300, 4
	f := newTestFleet(zones, 10)
	affinity := func() (out []string) {
		for i := range keys {
			own, others := f.AffinityUpstreams(start, &Request{Service: "model", Affinity: fmt.Sprint("prompt-", i)})
			for _, u := range append(own, others...) {
				out = append(out, u.ID)
			}
		}
		return out
	}
	before := affinity()
	left, joined := upstreamRecord("model", 0, 3), upstreamRecord("model", 0, 11)
	left.State = registration.Left
	f.SetUpstream(left)
	f.SetUpstream(joined)
	moved := 0
	after := affinity()
	firsts := keys * zones
	for i := range firsts {
		if before[affinityCount*i] != after[affinityCount*i] {
			moved++
		}
	}
	assert.Equal(t, len(before), affinityCount*firsts)
	assert.Assert(t, moved < firsts/10, "the first affinity upstream changed for %d of %d keys and zones; one of 40 upstreams changed", moved, firsts)
}

// Guards against new work for an upstream that is draining, lost or has left.
func TestNoWorkForLeavingUpstreams(t *testing.T) {
	for _, s := range []registration.State{registration.Draining, registration.Lost, registration.Left} {
		f := New("z0", rand.New(rand.NewPCG(1, 2)))
		u, other := upstreamRecord("desk", 0, 0), upstreamRecord("desk", 1, 0)
		f.SetUpstream(u)
		if s == registration.Lost {
			f.SetUpstream(other)
		}
		c, refusal := f.Place(start, &Request{Service: "desk"})
		assert.Assert(t, refusal == nil)
		u.State = s
		f.SetUpstream(u)
		next, refusal := f.Place(start, &Request{Service: "desk"})
		assert.Assert(t, refusal != nil || next.Upstream.ID == other.ID, s.String())
		f.End(start, c.Ticket) // ending work there must not fail
	}
}

// Guards against plain calls that all leave their zone, and against an upstream with
// failing answers that still gets as many calls as the others.
func TestPlainCalls(t *testing.T) {
	f := New("z0", rand.New(rand.NewPCG(1, 2)))
	for z := range 3 {
		f.SetUpstream(upstreamRecord("desk", z, 0))
	}
	count := map[string]int{}
	for range 100 {
		c, _ := f.Place(start, &Request{Service: "desk"})
		count[c.Upstream.Zone]++
		f.RecordStarted(start, c.Ticket)
		f.RecordAnswer(start, c.Ticket, c.Upstream.Zone != "z0")
		f.End(start, c.Ticket)
	}
	assert.Assert(t, count["z0"] > 0)
	assert.Assert(t, count["z0"] < 30, "%v", count)
}

// Simulates a service with one upstream that fails half of its answers for a while: few
// calls may fail soon after, and the upstream must get work again later.
func TestFailingUpstreamIsAvoidedForAWhile(t *testing.T) {
	f := New("z0", rand.New(rand.NewPCG(1, 2)))
	for z := range 4 {
		f.SetUpstream(upstreamRecord("desk", z, 0))
	}
	rng := rand.New(rand.NewPCG(3, 4))
	failures, later, now := 0, 0, start
	for i := range 600 {
		now = now.Add(50 * time.Millisecond)
		c, refusal := f.Place(now, &Request{Service: "desk"})
		assert.Assert(t, refusal == nil)
		failing := c.Upstream.Zone == "z0" && i < 200
		ok := rng.Float64() >= 0.1 && !(failing && rng.Float64() < 0.5)
		if failing && !ok {
			failures++
		}
		if i >= 400 && c.Upstream.Zone == "z0" {
			later++
		}
		f.RecordStarted(now, c.Ticket)
		f.RecordAnswer(now, c.Ticket, ok)
		f.End(start, c.Ticket)
	}
	assert.Assert(t, failures <= 20, "%d of 200 calls failed at the upstream", failures)
	assert.Assert(t, later >= 50, "%d of 200 calls went to it after it had recovered", later)
}

// Guards against calls that are refused because every upstream is in state lost, as
// reported by a control instance that has lost contact with all of them.
func TestAllUpstreamsLost(t *testing.T) {
	f := New("z0", rand.New(rand.NewPCG(1, 2)))
	for z := range 3 {
		u := upstreamRecord("desk", z, 0)
		u.State = registration.Lost
		f.SetUpstream(u)
	}
	_, refusal := f.Place(start, &Request{Service: "desk"})
	assert.Assert(t, refusal == nil)
	f.SetUpstream(upstreamRecord("desk", 3, 0))
	for range 10 {
		c, refusal := f.Place(start, &Request{Service: "desk"})
		assert.Assert(t, refusal == nil && c.Upstream.Zone == "z3")
	}
}
