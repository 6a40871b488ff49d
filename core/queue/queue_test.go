package queue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func newQueue(upstreams ...Upstream) *Queue {
	q := New(start, DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	q.SetUpstreams(start, upstreams)
	return q
}

// fleet returns model servers in four zones.
func fleet(n int) (list []Upstream) {
	for i := range n {
		list = append(list, Upstream{ID: fmt.Sprintf("u%03d", i), Zone: fmt.Sprintf("z%d", i%4), Slots: 64, MemoryTokens: 88_000, HoldsCopies: true, Accepts: true})
	}
	return list
}

func stream(id uint64, priority int) Event {
	return Event{Kind: Submitted, ID: id, Request: &Request{RequestID: fmt.Sprint(id), Zone: "z0", Organisation: "o", Priority: priority,
		PromptTokens: 8200, OutputTokens: 600, PromptKey: fmt.Sprint(id), Aim: 5 * time.Second, Deadline: 25 * time.Second, Copy: true}}
}

func begun(id uint64) Event { return Event{Kind: Begun, ID: id, Took: time.Second} }

func completed(id uint64) Event { return Event{Kind: Ended, ID: id, Outcome: Completed} }

// only returns the decisions of one kind.
func only(list []Decision, action Action) (out []Decision) {
	for _, d := range list {
		if d.Action == action {
			out = append(out, d)
		}
	}
	return out
}

// Guards against requests that wait in an upstream, where their order cannot change.
func TestOnePromptAtATimeMostUrgentFirst(t *testing.T) {
	q := newQueue(fleet(1)...)
	q.Apply(start, "g", []Event{stream(1, 2), stream(2, 1), stream(3, 0)})
	var order []uint64
	now := start
	for range 3 {
		d := only(q.Decide(now), Place)
		assert.Equal(t, len(d), 1)
		order = append(order, d[0].ID)
		assert.Equal(t, len(q.Decide(now.Add(500*time.Millisecond))), 0)
		now = now.Add(time.Second)
		q.Apply(now, "g", []Event{begun(d[0].ID)})
	}
	assert.DeepEqual(t, order, []uint64{3, 2, 1})
}

// Guards against an upstream that idles while the message with the next request travels.
func TestNextPromptIsGrantedShortlyBefore(t *testing.T) {
	q := newQueue(fleet(1)...)
	q.Apply(start, "g", []Event{stream(1, 0), stream(2, 0)})
	assert.Equal(t, len(q.Decide(start)), 1)
	now := start.Add(q.NextDecision(start))
	for range 20 {
		if len(q.Decide(now)) == 1 {
			break
		}
		now = now.Add(q.NextDecision(now))
	}
	early := start.Add(fromMS(8200.0 / priorTokensPerMS)).Sub(now)
	assert.Assert(t, early > 50*time.Millisecond && early <= q.settings.Lead, "%v", early)
}

// Guards against a copy in the zone that is lost together with the stream.
func TestCopyIsInAnotherZone(t *testing.T) {
	q := newQueue(fleet(8)...)
	q.Apply(start, "g", []Event{stream(1, 0)})
	d := q.Decide(start)
	assert.Equal(t, len(d), 1)
	assert.Assert(t, d[0].CopyHolder != "")
	assert.Assert(t, q.upstreams[d[0].Upstream].Zone != q.upstreams[d[0].CopyHolder].Zone)
}

// Guards against interrupted streams that wait behind new ones.
func TestResumeGoesToItsCopyAtOnce(t *testing.T) {
	q := newQueue(fleet(2)...)
	q.Apply(start, "g", []Event{stream(1, 0), stream(2, 0), stream(3, 0)})
	assert.Equal(t, len(only(q.Decide(start), Place)), 2)
	resume := stream(4, 2)
	resume.Request.Continues, resume.Request.Preferred = true, "u001"
	q.Apply(start, "g", []Event{resume})
	d := q.Decide(start)
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].ID, uint64(4))
	assert.Equal(t, d[0].Upstream, "u001")
}

// Guards against a zone that crashes as a whole and gets the streams that it has just lost.
func TestCrashedZoneIsAvoided(t *testing.T) {
	q := newQueue(fleet(16)...)
	for i := range uint64(4) {
		e := Event{Kind: Placed, ID: 100 + i, Request: stream(0, 0).Request, Upstream: fmt.Sprintf("u%03d", 4*(i%2)), HasBegun: true}
		q.Apply(start, "g", []Event{e, {Kind: Ended, ID: 100 + i, Outcome: Broken}})
	}
	q.Apply(start, "g", []Event{stream(1, 0), stream(2, 0), stream(3, 0), stream(4, 0)})
	for _, d := range only(q.Decide(start.Add(50*time.Millisecond)), Place) {
		assert.Assert(t, q.upstreams[d.Upstream].Zone != "z0")
		assert.Assert(t, q.upstreams[d.CopyHolder].Zone != "z0")
	}
}

// Guards against small requests that keep a large one waiting for ever.
func TestLargePromptIsNotStarved(t *testing.T) {
	q := newQueue(fleet(2)...)
	large := stream(1, 2)
	large.Request.PromptTokens, large.Request.Deadline = 86_000, 0
	now, id := start, uint64(10)
	var ends []func(time.Time) bool
	for step := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if step == 500 {
			q.Apply(now, "g", []Event{large})
		}
		if step%40 == 0 {
			id++
			small := stream(id, 0)
			small.Request.Copy = false
			q.Apply(now, "g", []Event{small})
		}
		kept := ends[:0]
		for _, end := range ends {
			if !end(now) {
				kept = append(kept, end)
			}
		}
		ends = kept
		for _, d := range q.Decide(now) {
			if d.ID == 1 {
				assert.Equal(t, d.Action, Place)
				return
			}
			ends = append(ends, lifeOf(q, d.ID, now))
		}
	}
	t.Fatal("not placed within 35 s")
}

// lifeOf returns a function that reports the first event after a second and the end after six.
func lifeOf(q *Queue, id uint64, from time.Time) func(time.Time) bool {
	hasBegun := false
	return func(now time.Time) bool {
		if !hasBegun && now.Sub(from) >= time.Second {
			hasBegun = true
			q.Apply(now, "g", []Event{begun(id)})
		}
		if now.Sub(from) >= 6*time.Second {
			q.Apply(now, "g", []Event{completed(id)})
			return true
		}
		return false
	}
}

// Guards against requests that no upstream can run and that keep all others waiting.
func TestStrandedRequestsBlockNobody(t *testing.T) {
	q := newQueue(fleet(2)...)
	for i := range uint64(200) {
		e := stream(i+1, 0)
		e.Request.Version, e.Request.Deadline = "2", 10*time.Second
		q.Apply(start, "g", []Event{e})
	}
	q.Apply(start, "g", []Event{stream(1000, 2)})
	d := only(q.Decide(start), Place)
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].ID, uint64(1000))
	list := fleet(2)
	list[0].Version, list[0].StartedMS = "2", 1
	q.SetUpstreams(start, list)
	assert.Equal(t, len(only(q.Decide(start.Add(sweepInterval)), Place)), 1)
	refused := only(q.Decide(start.Add(10*time.Second)), Refuse)
	assert.Equal(t, len(refused), 199)
}

// Guards against an upstream that is kept out for seconds because several streams failed with it.
func TestFailureOfManyStreamsCountsOnce(t *testing.T) {
	q := newQueue(fleet(1)...)
	for i := range uint64(8) {
		q.Apply(start, "g", []Event{{Kind: Placed, ID: i, Request: stream(i, 0).Request, Upstream: "u000", HasBegun: true}})
	}
	for i := range uint64(8) {
		q.Apply(start, "g", []Event{{Kind: Ended, ID: i, Outcome: Broken}})
	}
	q.Apply(start, "g", []Event{stream(9, 0)})
	assert.Equal(t, len(only(q.Decide(start), Place)), 0)
	assert.Equal(t, len(only(q.Decide(start.Add(q.settings.BrokenPause)), Place)), 1)
}

// overload returns a queue with one upstream and far more than it can begin within any deadline.
func overload(t *testing.T) (*Queue, []Decision) {
	q := newQueue(fleet(1)...)
	for i := range uint64(60) {
		q.Apply(start, "g", []Event{stream(i+1, 1)})
	}
	refused := only(q.Decide(start), Refuse)
	assert.Assert(t, len(refused) > 0 && len(refused) < 55, "%d", len(refused))
	return q, refused
}

// Guards against callers that are told to come back later than they would.
func TestRetryAfterIsHonoured(t *testing.T) {
	_, refused := overload(t)
	distinct := map[time.Duration]bool{}
	for _, d := range refused {
		assert.Assert(t, d.RetryAfter > 0 && d.RetryAfter <= 25*time.Second/3)
		distinct[d.RetryAfter] = true
	}
	assert.Assert(t, len(distinct) > len(refused)/2)
}

// Guards against callers that gain by repeating at once, and lose by doing as they were told.
func TestReturnInTimeGoesFirstEarlyReturnGainsNothing(t *testing.T) {
	q, refused := overload(t)
	in, early := refused[0], refused[1]
	again := func(d Decision, id uint64, at time.Time) {
		e := stream(id, 1)
		e.Request.PromptKey = fmt.Sprint(d.ID)
		e.Request.Deadline = 25*time.Second - at.Sub(start)
		q.Apply(at, "g", []Event{e})
	}
	now := start.Add(100 * time.Millisecond)
	again(early, 1001, now)
	d := only(q.Decide(now), Refuse)
	d = slices.DeleteFunc(d, func(d Decision) bool { return d.ID != 1001 })
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].RetryAfter, early.RetryAfter-100*time.Millisecond)
	now = start.Add(in.RetryAfter)
	again(in, 1002, now)
	q.Apply(now, "g", []Event{stream(1003, 1)})
	q.Decide(now)
	r := q.requests[Key{"g", 1002}]
	assert.Assert(t, r != nil && r.returned && r.arrivedAt.Equal(start))
	assert.Equal(t, q.classes[r.priority()].first(), r)
}

// Guards against callers that pay for the flood of another organisation.
func TestFloodingOrganisationPays(t *testing.T) {
	q := newQueue(fleet(1)...)
	for i := range uint64(44) {
		e := stream(i+1, 1)
		e.Request.Organisation, e.Request.Deadline = "large", 0
		if i%11 == 10 {
			e.Request.Organisation = "small"
		}
		q.Apply(start, "g", []Event{e})
	}
	refused := only(q.Decide(start), Refuse)
	assert.Assert(t, len(refused) > 20)
	for _, d := range refused {
		assert.Assert(t, d.ID%11 != 0, "%d", d.ID)
	}
}

// Guards against a new owner that refuses everything because it does not know the upstreams yet.
func TestNoRefusalWithoutUpstreams(t *testing.T) {
	q := newQueue()
	q.Apply(start, "g", []Event{stream(1, 1)})
	assert.Equal(t, len(q.Decide(start)), 0)
	now := start.Add(time.Second)
	q.SetUpstreams(now, fleet(1))
	assert.Equal(t, len(only(q.Decide(now), Place)), 1)
}

// Guards against plain services that get one call at a time.
func TestPlainServiceFillsItsSlots(t *testing.T) {
	q := newQueue(Upstream{ID: "s", Zone: "z0", Slots: 6, Accepts: true})
	for i := range uint64(10) {
		q.Apply(start, "g", []Event{{Kind: Submitted, ID: i, Request: &Request{Zone: "z0", Organisation: "o", Priority: 1, Aim: 120 * time.Millisecond, Deadline: time.Second}}})
	}
	d := q.Decide(start)
	assert.Equal(t, len(only(d, Place)), 6)
	assert.Equal(t, len(only(d, Refuse)), 0)
	now := start.Add(15 * time.Millisecond)
	q.Apply(now, "g", []Event{{Kind: Begun, ID: d[0].ID, Took: 15 * time.Millisecond}, completed(d[0].ID)})
	assert.Equal(t, len(only(q.Decide(now), Place)), 1)
}

// Guards against room that a lost gateway holds for ever.
func TestLostGatewayFreesItsRoom(t *testing.T) {
	q := newQueue(fleet(4)...)
	for i := range uint64(20) {
		q.Apply(start, fmt.Sprint("g", i%2), []Event{stream(i, 0)})
	}
	q.Decide(start)
	q.RemoveGateway(start, "g0")
	q.RemoveGateway(start, "g1")
	checkAccounts(t, q)
	assert.Equal(t, len(q.requests), 0)
	assert.Equal(t, q.usedTokens, 0)
	assert.Equal(t, q.waiting(), 0)
}

// Guards against a new owner that gives away room which is taken.
func TestNewOwnerTakesInWhatRuns(t *testing.T) {
	q := New(start, DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	for i := range uint64(10) {
		q.Apply(start, "g", []Event{{Kind: Placed, ID: i, Request: stream(i, 0).Request, Upstream: "u000", HasBegun: true}})
	}
	q.SetUpstreams(start, fleet(1))
	q.Apply(start, "g", []Event{stream(99, 0)})
	assert.Equal(t, len(only(q.Decide(start), Place)), 0)
	q.Apply(start, "g", []Event{completed(3)})
	assert.Equal(t, len(only(q.Decide(start), Place)), 1)
	checkAccounts(t, q)
}

// measure has a queue measure its service at the prior's speed.
func measure(t *testing.T, q *Queue) {
	before := start.Add(-fromMS(8200.0 / priorTokensPerMS))
	q.Apply(before, "g", []Event{stream(1000, 0)})
	assert.Equal(t, len(only(q.Decide(before), Place)), 1)
	q.Apply(start, "g", []Event{{Kind: Begun, ID: 1000, Took: start.Sub(before)}, completed(1000)})
}

// Guards against a request that stays at a frozen upstream while others are free.
func TestOverdueRequestIsMovedAtMostTwice(t *testing.T) {
	q := newQueue(fleet(4)...)
	measure(t, q)
	q.Apply(start, "g", []Event{stream(1, 0)})
	d := q.Decide(start)
	now, moves := start, 0
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		for _, m := range only(q.Decide(now), Move) {
			moves++
			assert.Assert(t, now.Sub(start) > 1500*time.Millisecond)
			assert.Equal(t, m.Upstream, d[0].Upstream)
			e := stream(1, 0)
			e.Kind = Rejected
			e.Request.Excluded = []string{m.Upstream}
			q.Apply(now, "g", []Event{e})
			next := only(q.Decide(now), Place)
			assert.Equal(t, len(next), 1)
			assert.Assert(t, next[0].Upstream != m.Upstream)
			d = next
		}
	}
	assert.Equal(t, moves, 2)
}

// Guards against prompts that their callers do not find after the loss of all gateways.
func TestAffinityBreaksTies(t *testing.T) {
	list := fleet(12)
	for _, u := range list {
		q := newQueue(list...)
		e := stream(1, 0)
		e.Request.Zone, e.Request.Affinity = u.Zone, []string{u.ID}
		q.Apply(start, "g", []Event{e})
		d := q.Decide(start)
		assert.Equal(t, len(d), 1)
		assert.Equal(t, d[0].Upstream, u.ID)
	}
}

// Guards against the release of a copy that its upstream would send anew, and against such copies
// while requests wait.
func TestGrowingCopyIsNotDropped(t *testing.T) {
	for _, grows := range []bool{true, false} {
		list := fleet(2)
		list[0].Zone, list[1].Zone = "z0", "z1"
		list[0].MemoryTokens, list[1].MemoryTokens = 20_000, 20_000
		q := newQueue(list...)
		events := []Event{}
		for i := range uint64(2) { // each upstream holds one stream and the copy of the other's
			r := stream(i, 1).Request
			r.PromptTokens, r.OutputTokens, r.Copy = 8000, 800, true
			events = append(events, Event{Kind: Placed, ID: 100 + i, Request: r, Upstream: list[i].ID, CopyHolder: list[1-i].ID, GrowingCopy: grows, HasBegun: true})
		}
		q.Apply(start, "g", events)
		waiting := stream(1, 0)
		waiting.Request.PromptTokens, waiting.Request.OutputTokens = 8000, 800
		q.Apply(start, "g", []Event{waiting})
		d := q.Decide(start)
		if grows {
			assert.Equal(t, len(d), 0)
			continue
		}
		assert.Equal(t, len(only(d, DropCopy)), 1)
		assert.Equal(t, len(only(d, Place)), 1)
		assert.Assert(t, !only(d, Place)[0].GrowingCopy)
	}
}

// Guards against a request with a short aim that misses it behind an earlier one of its organisation
// that has time to spare, and against removal from the wrong place in that order.
func TestShortAimGoesBeforeALongOne(t *testing.T) {
	q := newQueue(fleet(1)...)
	q.Apply(start, "g", []Event{stream(1, 0)})
	q.Decide(start)
	for id, aim := range []time.Duration{30 * time.Second, 9 * time.Second, 0, 12 * time.Second, 9 * time.Second} {
		e := stream(uint64(10+id), 0)
		e.Request.Aim, e.Request.Deadline = aim, time.Minute
		q.Apply(start.Add(time.Duration(id)*time.Millisecond), "g", []Event{e})
	}
	q.Apply(start, "g", []Event{{Kind: Withdrawn, ID: 13}})
	var order []uint64
	running := uint64(1)
	now := start
	for range 4 {
		now = now.Add(100 * time.Millisecond)
		q.Apply(now, "g", []Event{begun(running), completed(running)})
		d := only(q.Decide(now), Place)
		assert.Equal(t, len(d), 1)
		running = d[0].ID
		order = append(order, running)
	}
	assert.DeepEqual(t, order, []uint64{11, 14, 10, 12})
}

// Guards against large requests without room that keep all smaller ones from idle upstreams.
func TestLargeRequestsWithoutRoomBlockNoSmallOnes(t *testing.T) {
	for n := range uint64(100) {
		q := newQueue(fleet(10)...)
		for i := range uint64(10) {
			e := stream(1000+i, 0)
			e.Request.PromptTokens, e.Request.OutputTokens, e.Request.Copy = 40_000, 0, false
			q.Apply(start, "g", []Event{{Kind: Placed, ID: 1000 + i, Request: e.Request, Upstream: fmt.Sprintf("u%03d", i), HasBegun: true}})
		}
		for i := range n {
			e := stream(100+i, 2)
			e.Request.PromptTokens, e.Request.Aim, e.Request.Deadline = 60_000, time.Hour, 2*time.Hour
			q.Apply(start, "g", []Event{e})
		}
		q.Decide(start)
		now := start.Add(floorWait + time.Second)
		for i := range uint64(5) {
			e := stream(1+i, 0)
			e.Request.PromptTokens, e.Request.Copy = 2000, false
			q.Apply(now, "g", []Event{e})
		}
		assert.Equal(t, len(only(q.Decide(now), Place)), 5, "%d large requests", n)
		checkAccounts(t, q)
	}
}

// Guards against prompts that are read twice because the model is slower than the prior, at the start
// and after a change of owner.
func TestNoMoveBeforeTheSpeedIsMeasured(t *testing.T) {
	for _, slower := range []time.Duration{1, 4, 8} {
		q := newQueue(fleet(20)...)
		for i := range uint64(8) {
			e := stream(i+1, 0)
			e.Request.PromptTokens, e.Request.Aim, e.Request.Deadline = 8000, time.Minute, time.Minute
			q.Apply(start, "g", []Event{e})
		}
		placed := only(q.Decide(start), Place)
		assert.Equal(t, len(placed), 8)
		now, took := start, slower*time.Second
		for now.Sub(start) < took+500*time.Millisecond {
			now = now.Add(20 * time.Millisecond)
			for i, d := range placed { // the first events are spread over 140 ms
				if at := took + time.Duration(i)*20*time.Millisecond; now.Sub(start) == at {
					q.Apply(now, "g", []Event{{Kind: Begun, ID: d.ID, Took: at}})
				}
			}
			assert.Equal(t, len(only(q.Decide(now), Move)), 0, "%d times slower, after %v", slower, now.Sub(start))
		}
	}
}

// Guards against requests that outlive their deadline because they have no aim, or one after it.
func TestDeadlineWithoutAimIsKept(t *testing.T) {
	for _, aim := range []time.Duration{0, time.Minute} {
		list := fleet(1)
		list[0].Slots = 1
		q := newQueue(list...)
		busy := stream(1, 0)
		busy.Request.Deadline = time.Hour
		q.Apply(start, "g", []Event{busy})
		assert.Equal(t, len(only(q.Decide(start), Place)), 1)
		e := stream(2, 0)
		e.Request.Aim, e.Request.Deadline = aim, 3*time.Second
		q.Apply(start, "g", []Event{e})
		refusedAfter := time.Duration(0)
		for now := start; now.Sub(start) <= 5*time.Second; now = now.Add(50 * time.Millisecond) {
			if d := only(q.Decide(now), Refuse); len(d) == 1 && d[0].ID == 2 {
				refusedAfter = now.Sub(start)
				break
			}
		}
		assert.Assert(t, refusedAfter >= 2*time.Second && refusedAfter <= 3*time.Second, "aim %v: refused after %v", aim, refusedAfter)
		checkAccounts(t, q)
	}
}

// Guards against organisations and classes that pay for placements which their gateway could not
// carry out.
func TestRejectedPlacementsAreNotCharged(t *testing.T) {
	q := newQueue(fleet(10)...)
	q.Apply(start, "g", []Event{stream(1, 1)})
	c := q.classes[stream(1, 1).Request.Priority*priorityLevels]
	for range 5 {
		assert.Equal(t, len(only(q.Decide(start), Place)), 1)
		e := stream(1, 1)
		e.Kind = Rejected
		q.Apply(start, "g", []Event{e})
	}
	assert.Equal(t, c.flows["o"].startTag, 0.0)
	assert.Assert(t, c.share < 1e-9, "%v", c.share)
	assert.Assert(t, q.rates.started.value(start, startWindow) < 1e-9)
	assert.Equal(t, len(only(q.Decide(start), Place)), 1)
	q.Apply(start, "g", []Event{begun(1), completed(1)})
	assert.Equal(t, c.flows["o"].startTag, 8800.0)
}

// Guards against upstreams that count as empty after one incomplete list, as a new or partitioned
// leader gives it.
func TestIncompleteListKeepsAccounts(t *testing.T) {
	list := fleet(2)
	q := newQueue(list...)
	for i := range uint64(10) {
		q.Apply(start, "g", []Event{{Kind: Placed, ID: i, Request: stream(i, 0).Request, Upstream: "u001", HasBegun: true}})
	}
	q.Apply(start, "g", []Event{{Kind: CopyChanged, ID: 1, CopyHolder: "u000"}})
	q.SetUpstreams(start, list[:1])
	q.Apply(start, "g", []Event{stream(50, 0), stream(51, 0)})
	for _, d := range only(q.Decide(start), Place) {
		assert.Equal(t, d.Upstream, "u000")
	}
	checkAccounts(t, q)
	q.SetUpstreams(start, list)
	assert.Equal(t, q.upstreams["u001"].usedTokens, 88_000)
	assert.Equal(t, q.requests[Key{"g", 1}].copyAt, q.upstreams["u000"])
	checkAccounts(t, q)

	q.SetUpstreams(start, list[:1])
	list[1].StartedMS = 1 // restarted while it was not listed
	q.SetUpstreams(start, list)
	assert.Equal(t, q.upstreams["u001"].usedTokens, 0)
	checkAccounts(t, q)

	q.SetUpstreams(start, list[1:])
	assert.Assert(t, q.upstreams["u000"] != nil)
	for i := range uint64(100) {
		q.Apply(start, "g", []Event{completed(i)})
	}
	assert.Assert(t, q.upstreams["u000"] == nil, "an upstream that is gone stays for ever")
	checkAccounts(t, q)
}

// Guards against copies that are dropped at a slow upstream for a request that then waits for a faster
// one.
func TestNoCopyIsDroppedForARequestThatWaits(t *testing.T) {
	list := fleet(3)
	for i := range list {
		list[i].MemoryTokens = 30_000
	}
	q := newQueue(list...)
	for i := range uint64(3) { // the slow upstream is full of copies
		q.Apply(start, "g", []Event{{Kind: Placed, ID: 100 + i, Request: stream(0, 3).Request, Upstream: "u001", CopyHolder: "u000", HasBegun: true}})
	}
	q.Apply(start, "g", []Event{completed(100), {Kind: Placed, ID: 100, Request: stream(0, 3).Request, Upstream: "u002", CopyHolder: "u000", HasBegun: true}})
	q.Decide(start)
	now := start.Add(20 * time.Millisecond)
	for _, id := range []string{"u001", "u002"} { // both are about to have read a prompt
		r := stream(0, 0).Request
		r.PromptTokens, r.OutputTokens = 2000, 100
		q.Apply(now, "g", []Event{{Kind: Placed, ID: 200 + uint64(id[3]), Request: r, Upstream: id}})
	}
	q.upstreams["u000"].msPerToken *= 4
	e := stream(1, 0)
	e.Request.PromptTokens = 8000
	q.Apply(now, "g", []Event{e})
	d := q.Decide(now)
	assert.Equal(t, len(only(d, Place)), 0)
	assert.Equal(t, len(only(d, DropCopy)), 0)
}

// Guards against room that stays taken because the end of a request was never reported.
func TestRequestsWhoseEndIsLostAreDropped(t *testing.T) {
	q := newQueue(fleet(1)...)
	at := func(id uint64, deadline time.Duration) {
		e := stream(id, 0)
		e.Request.Deadline = deadline
		q.Apply(start, "g", []Event{{Kind: Placed, ID: id, Request: e.Request, Upstream: "u000", HasBegun: id%2 == 0}})
	}
	for i := range uint64(8) {
		at(i, time.Second)
	}
	at(100, 0)
	at(101, time.Hour)
	q.Decide(start)
	assert.Equal(t, q.usedTokens, 88_000)
	now := start.Add(time.Second + lostAfter - time.Millisecond)
	q.Decide(now)
	assert.Equal(t, q.usedTokens, 88_000)
	now = now.Add(lostInterval + sweepInterval)
	q.Decide(now)
	assert.Equal(t, q.usedTokens, 17_600)
	assert.Equal(t, q.Status(now).Lost, 8)
	checkAccounts(t, q)
	q.Apply(start.Add(time.Hour), "g", []Event{{Kind: CopyChanged, ID: 100}})
	q.Decide(start.Add(silentLimit + time.Minute))
	assert.Equal(t, q.usedTokens, 8_800, "a request without a deadline is dropped although its gateway tells of it")
	q.Decide(start.Add(time.Hour + silentLimit + time.Minute))
	assert.Equal(t, q.usedTokens, 0)
	checkAccounts(t, q)
}

// Guards against a faulty gateway that fills the memory of the owner with waiting requests.
func TestWaitingRequestsOfAGatewayAreBounded(t *testing.T) {
	q := newQueue(fleet(1)...)
	q.Apply(start, "g", []Event{stream(0, 0)})
	assert.Equal(t, len(only(q.Decide(start), Place)), 1)
	for i := range uint64(maxGatewayWaiting + 100) {
		e := stream(i+1, 0)
		e.Request.Aim, e.Request.Deadline = 0, 0
		q.Apply(start, "g", []Event{e})
	}
	q.Apply(start, "h", []Event{stream(1, 0)})
	assert.Equal(t, q.waiting(), maxGatewayWaiting+1)
	refused := only(q.Decide(start), Refuse)
	assert.Equal(t, len(refused), 100)
	for _, d := range refused {
		assert.Assert(t, d.Gateway == "g" && d.ID > maxGatewayWaiting && d.RetryAfter > 0)
	}
	assert.Equal(t, len(only(q.Decide(start), Refuse)), 0)
	resume := stream(1<<32, 0)
	resume.Request.Continues = true
	q.Apply(start, "g", []Event{resume, {Kind: Withdrawn, ID: 1}, stream(1<<33, 0), stream(1<<34, 0)})
	assert.Equal(t, len(q.resumes), 1)
	assert.Equal(t, len(only(q.Decide(start), Refuse)), 2, "the resumed stream counts too")
	q.RemoveGateway(start, "g")
	q.RemoveGateway(start, "h")
	assert.Equal(t, len(q.waitingOf), 0)
}

// Guards against a request that stays at a frozen upstream because the decision to move it was lost.
func TestLostMoveIsRepeated(t *testing.T) {
	q := newQueue(fleet(4)...)
	measure(t, q)
	q.Apply(start, "g", []Event{stream(1, 0)})
	assert.Equal(t, len(only(q.Decide(start), Place)), 1)
	var moves []time.Time
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(20 * time.Millisecond) {
		for range only(q.Decide(now), Move) {
			moves = append(moves, now)
		}
	}
	assert.Assert(t, len(moves) >= 3)
	for i := range moves[1:] {
		assert.Assert(t, moves[i+1].Sub(moves[i]) >= moveTimeout)
	}
	assert.Equal(t, q.requests[Key{"g", 1}].moves, 1, "repeated decisions use up the moves")
}

// Guards against callers that count as new because the table of refused callers is full, and against
// one organisation that fills it.
func TestFullTableOfRefusedCallers(t *testing.T) {
	q := newQueue(fleet(1)...)
	refuse := func(now time.Time, organisation string, key int) {
		in := stream(1, 0).Request
		in.Organisation, in.PromptKey = organisation, fmt.Sprint(key)
		r := q.newRequest(now, Key{"g", 1}, in)
		q.recognise(now, r)
		q.remember(now, r, time.Second)
	}
	for i := range maxOrganisationReturns + 10 {
		refuse(start, "large", i)
	}
	assert.Equal(t, len(q.refusals), maxOrganisationReturns)
	for i := 0; len(q.refusals) < maxReturns; i++ {
		refuse(start, fmt.Sprint("o", i%100), i)
	}
	now := start.Add(2 * time.Second)
	key := returnKey{"large", "0"}
	r := &request{Request: Request{Organisation: "large", PromptKey: "0"}, arrivedAt: start}
	q.remember(now, r, time.Second)
	assert.Equal(t, q.refusals[key].from, now.Add(time.Second), "the refusal is not renewed")
	forgetAll(q, start.Add(time.Second+returnPeriod+time.Millisecond))
	assert.Equal(t, len(q.refusals), 1)
	forgetAll(q, now.Add(time.Second+returnPeriod+time.Millisecond))
	assert.Equal(t, len(q.refusalsOf), 0)
	assert.Equal(t, len(q.refusalOrder), 0)
}

// forgetAll walks all refused callers at a time.
func forgetAll(q *Queue, now time.Time) {
	for range 200 {
		q.forgetRefusals(now)
	}
}

// Guards against sweeps that delay all decisions because they walk all refused callers, and against
// entries that pile up for callers that are refused again and again.
func TestSweepWalksPartOfTheRefusedCallers(t *testing.T) {
	q := newQueue(fleet(1)...)
	for i := range maxReturns {
		r := &request{Request: Request{Organisation: fmt.Sprint(i % 8), PromptKey: fmt.Sprint(i)}, arrivedAt: start}
		q.remember(start, r, time.Second)
	}
	before := len(q.refusals)
	assert.Equal(t, before, maxReturns)
	q.forgetRefusals(start.Add(time.Minute))
	assert.Equal(t, before-len(q.refusals), maxReturns/refusalWalks)
	forgetAll(q, start.Add(time.Minute))
	for i := range 1000 {
		now := start.Add(time.Hour + time.Duration(i)*time.Second)
		r := &request{Request: Request{Organisation: "o", PromptKey: "k"}, arrivedAt: now}
		q.remember(now, r, time.Second)
		q.forgetRefusals(now)
		q.recognise(now.Add(time.Second), r)
	}
	assert.Assert(t, len(q.refusalOrder) <= 2, "%d", len(q.refusalOrder))
}
