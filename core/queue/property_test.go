package queue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type failer interface {
	Helper()
	Fatalf(string, ...any)
}

// checkAccounts compares all accounts with what the requests say.
func checkAccounts(t failer, q *Queue) {
	t.Helper()
	type account struct{ requests, used, unread, copies, copied int }
	sums := map[*upstream]*account{}
	for _, u := range q.upstreams {
		sums[u] = &account{}
	}
	used, waitingNow := 0, 0
	for key, r := range q.requests {
		if key != r.key {
			t.Fatalf("key %v of %v", key, r.key)
		}
		if r.state == waiting {
			waitingNow++
			if r.at != nil || r.copyAt != nil {
				t.Fatalf("waiting request %v has a placement", key)
			}
			continue
		}
		if a := sums[r.at]; a != nil {
			a.requests++
			a.used += r.tokens
			used += r.tokens
			if r.state == placed {
				a.unread += r.toRead
			}
		}
		if a := sums[r.copyAt]; a != nil {
			a.copies++
			a.copied += r.tokens
		}
	}
	for u, a := range sums {
		if got := (account{u.requests, u.usedTokens, u.unreadTokens, len(u.copies), u.copyTokens}); got != *a {
			t.Fatalf("upstream %s: %+v, the requests say %+v", u.ID, got, *a)
		}
	}
	byGateway, prompts := 0, 0
	for _, n := range q.waitingOf {
		byGateway += n
	}
	for _, n := range q.waitingPrompts {
		prompts += n
	}
	if byGateway != waitingNow || prompts != q.waiting()-len(q.unsuited) {
		t.Fatalf("%d waiting by gateway, %d prompts, of %d", byGateway, prompts, waitingNow)
	}
	if used != q.usedTokens || waitingNow != q.waiting()+len(q.resumes) {
		t.Fatalf("used %d of %d, waiting %d of %d", q.usedTokens, used, q.waiting()+len(q.resumes), waitingNow)
	}
}

func drawRequest(t *rapid.T, odd bool) *Request {
	tokens := rapid.IntRange(0, 30_000)
	duration := rapid.Int64Range(0, int64(30*time.Second))
	if odd {
		tokens, duration = rapid.IntRange(math.MinInt, math.MaxInt), rapid.Int64()
	}
	versions := rapid.SampledFrom([]string{"", "", "", "1"})
	upstreams := rapid.SampledFrom([]string{"", "", "", "u000", "u001", "u002", "gone"})
	return &Request{Zone: "z0", Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), Priority: rapid.IntRange(-1, 9).Draw(t, "priority"),
		PromptTokens: tokens.Draw(t, "prompt"), OutputTokens: tokens.Draw(t, "output"), PromptKey: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "key"),
		Waited: time.Duration(duration.Draw(t, "waited")), Aim: time.Duration(duration.Draw(t, "aim")), Deadline: time.Duration(duration.Draw(t, "deadline")),
		Continues: rapid.IntRange(0, 9).Draw(t, "continues") == 0, Copy: rapid.Bool().Draw(t, "copy"), Preferred: upstreams.Draw(t, "preferred"),
		Version:  versions.Draw(t, "version"),
		Excluded: []string{upstreams.Draw(t, "excluded")}}
}

// Guards against accounts that drift, and decisions that contradict each other, whatever gateways
// report.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		odd := rapid.Bool().Draw(t, "odd")
		q := New(start, DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
		list := fleet(rapid.IntRange(0, 5).Draw(t, "upstreams"))
		for i := range list {
			if rapid.IntRange(0, 3).Draw(t, "plain") == 0 {
				list[i].MemoryTokens, list[i].Slots = 0, 3
			}
		}
		q.SetUpstreams(start, list)
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			gateway := rapid.SampledFrom([]string{"g", "h"}).Draw(t, "gateway")
			switch rapid.IntRange(0, 30).Draw(t, "step") {
			case 0:
				q.RemoveGateway(now, gateway)
			case 1:
				for i := range list {
					list[i].Accepts = rapid.IntRange(0, 3).Draw(t, "accepts") > 0
					list[i].StartedMS = int64(rapid.IntRange(0, 1).Draw(t, "started"))
				}
				q.SetUpstreams(now, list[:rapid.IntRange(0, len(list)).Draw(t, "listed")])
			default:
				e := Event{Kind: EventKind(rapid.IntRange(0, 9).Draw(t, "kind")), ID: uint64(rapid.IntRange(0, 25).Draw(t, "id")), Outcome: Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")),
					Took: time.Duration(rapid.Int64Range(-1, int64(3*time.Second)).Draw(t, "took")), HasBegun: rapid.Bool().Draw(t, "begun"),
					Upstream: rapid.SampledFrom([]string{"", "u000", "u001", "gone"}).Draw(t, "upstream"), CopyHolder: rapid.SampledFrom([]string{"", "u001", "u002", "gone"}).Draw(t, "holder")}
				if rapid.IntRange(0, 9).Draw(t, "described") > 0 {
					e.Request = drawRequest(t, odd)
				}
				q.Apply(now, gateway, []Event{e})
			}
			checkDecisions(t, q, now)
		}
	})
}

// bounded returns the number and the prompt tokens of the unread requests that the bound covers:
// those that resume at their preferred upstream go there whatever waits.
func bounded(u *upstream) (n, tokens int) {
	for _, r := range u.unread {
		if r.Preferred != u.ID {
			n++
			tokens += r.toRead
		}
	}
	return n, tokens
}

// preferredAt returns the number of requests that resume at their preferred upstream.
func preferredAt(u *upstream) (n int) {
	for _, r := range u.unread {
		if r.Preferred == u.ID {
			n++
		}
	}
	return n
}

// checkDecisions decides and checks the decisions.
func checkDecisions(t *rapid.T, q *Queue, now time.Time) {
	before := map[Key]request{}
	for key, r := range q.requests {
		before[key] = *r
	}
	decided := map[Key]bool{}
	for _, d := range q.Decide(now) {
		r, known := before[d.Key]
		if !known || (d.Action == Place || d.Action == Refuse) && (r.state != waiting || decided[d.Key]) {
			t.Fatalf("%+v of a request in state %d", d, r.state)
		}
		switch d.Action {
		case Place:
			decided[d.Key] = true
			u := q.upstreams[d.Upstream]
			if u == nil || !u.Accepts || !u.suits(&r) || d.CopyHolder == d.Upstream {
				t.Fatalf("%+v", d)
			}
			if r.Preferred != u.ID && u.Slots > 0 && u.requests > u.Slots+preferredAt(u) {
				t.Fatalf("%d requests at %s", u.requests, u.ID)
			}
			if n, tokens := bounded(u); n > 1 && !u.parallel() && r.Preferred != u.ID && tokens > q.settings.MaxUnreadTokens {
				t.Fatalf("%d unread tokens at %s", tokens, u.ID)
			}
		case Refuse:
			decided[d.Key] = true
			inVain := !r.deadline.IsZero() && now.Add(q.fastest(&r)).After(r.deadline)
			if d.RetryAfter < 0 || r.Continues && now.Before(r.deadline) || !inVain && q.couldStart(&r) {
				t.Fatalf("refused while an upstream is free: %+v", d)
			}
		}
	}
	checkAccounts(t, q)
	if next := q.NextDecision(now); next < 0 {
		t.Fatalf("next decision in %v", next)
	}
	q.Status(now)
}

// The bound is 20 microseconds for an event and its decisions.
func BenchmarkDecide(b *testing.B) {
	q := New(start, DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	q.SetUpstreams(start, fleet(300))
	now, id := start, uint64(0)
	submit := func() {
		id++
		e := stream(id, int(id%3))
		e.Request.Organisation = fmt.Sprint("o", id%24)
		e.Request.Deadline, e.Request.Aim = time.Hour, time.Duration(10+id%3)*time.Minute
		q.Apply(now, "g", []Event{e})
	}
	var unread, runs []uint64
	decide := func() {
		for _, d := range q.Decide(now) {
			if d.Action == Place {
				unread = append(unread, d.ID)
			}
		}
	}
	for q.waiting() < 1000 {
		submit()
		decide()
	}
	events := 0
	for b.Loop() {
		// Each stream causes three events: submitted, begun, ended.
		now = now.Add(time.Second / 300 / 3)
		switch events++; events % 3 {
		case 0:
			for q.waiting() < 1000 {
				submit()
			}
		case 1:
			if len(unread) > 0 {
				q.Apply(now, "g", []Event{begun(unread[0])})
				runs, unread = append(runs, unread[0]), unread[1:]
			}
		case 2:
			if len(runs) > 1500 {
				q.Apply(now, "g", []Event{completed(runs[0])})
				runs = runs[1:]
			}
		}
		decide()
	}
	b.ReportMetric(float64(q.waiting()), "waiting")
}
