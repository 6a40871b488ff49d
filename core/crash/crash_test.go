package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// after returns a time in seconds after the start.
func after(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// runAt is a run at the first incarnation of an upstream of a zone.
func runAt(fingerprint, upstream, zone string) Run {
	return Run{Fingerprint: fingerprint, Upstream: upstream, Addr: "addr of " + upstream, StartedMS: 1000, Zone: zone}
}

// crashAt notes a run that breaks off, and the next incarnation two seconds later.
func crashAt(l *Ledger, s float64, fingerprint, upstream, zone string) {
	l.Broke(after(s), runAt(fingerprint, upstream, zone), Broken)
	l.Succeeded(after(s+2), upstream+"-next", "addr of "+upstream, 2000)
}

// Guards against a request that crashes one upstream after the other, however their
// ends become known.
func TestThirdCrashBlocks(t *testing.T) {
	ends := map[string]func(l *Ledger, u string){
		"successor at the address": func(l *Ledger, u string) { l.Succeeded(after(12), "next", "addr of "+u, 2000) },
		"successor of the same id": func(l *Ledger, u string) { l.Succeeded(after(12), u, "elsewhere", 2000) },
		"silence":                  func(l *Ledger, u string) { l.Lost(after(12), u, 1000) },
		"news from another process": func(l *Ledger, u string) {
			l.Merge(after(12), []Entry{{Run: runAt("poison", u, "z"), Outcome: Ended, AgeMS: 9000}})
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			l := New()
			for i := range 3 {
				assert.Equal(t, l.Verdict(after(3), "poison"), Free)
				l.Broke(after(float64(i)), runAt("poison", fmt.Sprint("u", i), "z"), Broken)
			}
			assert.Equal(t, l.Verdict(after(3), "poison"), Undecided)
			for i := range 3 {
				end(l, fmt.Sprint("u", i))
			}
			assert.Equal(t, l.Verdict(after(13), "poison"), Blocked)
			assert.Equal(t, l.Verdict(after(13), "honest"), Free)
			assert.Equal(t, l.Verdict(after(700), "poison"), Free, "it may be tried again later")
		})
	}
}

// Guards against a crash that does not count since the caller left a silent upstream
// before the gateway gave it up.
func TestAbandonedRunsCountOnceTheirUpstreamHasEnded(t *testing.T) {
	l := New()
	for i := range 3 {
		l.Broke(start, runAt("poison", fmt.Sprint("u", i), "z"), Abandoned)
	}
	assert.Equal(t, l.Verdict(start, "poison"), Free, "callers leave for other reasons too")
	for i := range 3 {
		assert.Equal(t, len(l.Lost(after(7), fmt.Sprint("u", i), 1000)), 1)
	}
	assert.Equal(t, l.Verdict(after(7), "poison"), Blocked)
}

// Guards against honest requests that are blocked since their answers were lost while
// the upstreams went on or stopped as planned, or since one crash was counted twice.
func TestHonestRequestsAreNotBlocked(t *testing.T) {
	l := New()
	for i := range 5 {
		l.Broke(start, runAt("lost answers", fmt.Sprint("u", i), "z"), Broken)
		l.Announced(after(5.1), fmt.Sprint("u", i), 1000, 7)
		l.Announced(after(5.2), fmt.Sprint("u", i), 1000, 7) // the same through another control instance
	}
	assert.Equal(t, l.Verdict(after(6), "lost answers"), Undecided, "one announcement may have been on its way")
	for i := range 5 {
		l.Announced(after(6.3), fmt.Sprint("u", i), 1000, 8)
	}
	assert.Equal(t, l.Verdict(after(6.3), "lost answers"), Free)
	for i := range 5 {
		l.Broke(start, runAt("planned", fmt.Sprint("v", i), "z"), Broken)
		l.Departed(after(1), fmt.Sprint("v", i), 1000)
		l.Succeeded(after(2), "next", fmt.Sprint("addr of v", i), 2000)
	}
	assert.Equal(t, l.Verdict(after(3), "planned"), Free)
	for range 5 {
		crashAt(l, 0, "equal bodies", "w", "z")
	}
	assert.Equal(t, l.Verdict(after(3), "equal bodies"), Free, "one crash counts once")
	crashAt(l, 0, "answered", "x0", "z")
	crashAt(l, 1, "answered", "x1", "z")
	assert.Assert(t, l.Whole(after(2), "answered"))
	crashAt(l, 3, "answered", "x2", "z")
	l.Merge(after(4), []Entry{{Run: runAt("answered", "x1", "z"), Outcome: Ended, AgeMS: 3000}}) // late, from another process
	assert.Equal(t, l.Verdict(after(6), "answered"), Free)
}

// Guards against crashes that are forgotten since announcements of the upstreams that
// have ended arrive late.
func TestLateAnnouncementsAcquitNothing(t *testing.T) {
	announced := func(l *Ledger, s float64) {
		for i := range 3 {
			for seq := range 3 {
				l.Announced(after(s+float64(seq)), fmt.Sprint("u", i), 1000, int64(s)*10+int64(seq))
			}
		}
	}
	l := New()
	for i := range 3 {
		l.Broke(start, runAt("poison", fmt.Sprint("u", i), "z"), Broken)
	}
	announced(l, 1)
	assert.Equal(t, l.Verdict(after(3), "poison"), Undecided)
	for i := range 3 {
		l.Succeeded(after(3.5), "next", fmt.Sprint("addr of u", i), 2000)
	}
	announced(l, 4)
	announced(l, 8)
	assert.Equal(t, l.Verdict(after(10), "poison"), Blocked)
}

// Guards against a request that is held for good since its upstreams were out of reach
// for a time.
func TestReturnOfSilentUpstreamsAcquits(t *testing.T) {
	l := New()
	for i := range 3 {
		u := fmt.Sprint("u", i)
		l.Broke(start, runAt("cut off", u, "z"), Broken)
		l.Lost(after(6), u, 1000)
		l.Announced(after(7), u, 1000, 7)
		l.Announced(after(8), u, 1000, 8)
	}
	assert.Equal(t, l.Verdict(after(8), "cut off"), Free)
}

// Guards against honest requests that are blocked since zone after zone was lost under
// them, and against a request that hides its crashes behind such losses for good.
func TestLossOfZonesCountsLess(t *testing.T) {
	l := New()
	for i := range 6 {
		zone, s := fmt.Sprint("z", i%3), 7*float64(i)
		for u := range 4 {
			crashAt(l, s+0.1*float64(u), fmt.Sprint("beside ", i, u), fmt.Sprint("u", i, "-", u), zone)
		}
		crashAt(l, s+0.2, "met by chance", fmt.Sprint("u", i, "-0"), zone)
		assert.Equal(t, l.Verdict(after(s+3), "met by chance") == Free, i < 4, "loss %d", i)
	}
}

// Guards against a crash that counts less since requests beside the fatal one failed
// with it, or since copies of it failed at other upstreams.
func TestCrashesOfOneRequestAreNotShared(t *testing.T) {
	l := New()
	for u := range 3 {
		crashAt(l, 0, fmt.Sprint("beside ", u), fmt.Sprint("u", u), "z")
		crashAt(l, 0.2, "poison", fmt.Sprint("u", u), "z")
	}
	assert.Equal(t, l.Verdict(after(3), "poison"), Blocked)
}

// Guards against a popular request that is kept out for long since all upstreams of its
// service failed at once, and against a fatal one that is tried again often.
func TestTrials(t *testing.T) {
	l := New()
	for u := range 7 {
		crashAt(l, 0, "popular", fmt.Sprint("u", u), fmt.Sprint("z", u))
	}
	assert.Equal(t, l.Verdict(after(3), "popular"), Blocked)
	assert.Assert(t, !l.Trial(after(9), "popular"))
	assert.Assert(t, l.Trial(after(10.5), "popular"))
	assert.Assert(t, !l.Trial(after(10.6), "popular"), "one at a time")
	l.Whole(after(10.7), "popular")
	assert.Equal(t, l.Verdict(after(10.8), "popular"), Free)

	l, trials := New(), 0
	for i := range 3 {
		crashAt(l, float64(i), "poison", fmt.Sprint("u", i), "z")
	}
	for s := 4.0; s < blockTime.Seconds(); s += 0.4 {
		if l.Trial(after(s), "poison") {
			trials++
			crashAt(l, s, "poison", fmt.Sprint("t", trials), "z")
		}
	}
	assert.Equal(t, trials, 2, "with one run that is under way, all that a blocked request may have")

	l, trials = New(), 0
	for i := range 3 {
		crashAt(l, 0, "poison", fmt.Sprint("u", i), "z")
	}
	for s := 4.0; s < blockTime.Seconds(); s += 0.4 {
		if l.Trial(after(s), "poison") {
			trials++ // its gateway ends before it has reported the run
		}
	}
	assert.Equal(t, trials, 2)

	l = New()
	for i := range 3 {
		crashAt(l, 5*float64(i), "poison", fmt.Sprint("u", i), "z")
	}
	for s := 15.0; s < blockTime.Seconds(); s += 0.4 {
		assert.Assert(t, !l.Trial(after(s), "poison"), "upstreams ended at three different times: no chance")
	}

	l = New()
	for i, s := range []float64{0, 0, 0, 4, 4} { // zones fail with them, so that five are needed
		crashAt(l, s, fmt.Sprint("beside ", i), fmt.Sprint("v", i), fmt.Sprint("z", i))
		crashAt(l, s, "poison", fmt.Sprint("u", i), fmt.Sprint("z", i))
	}
	assert.Equal(t, l.Verdict(after(7), "poison"), Blocked)
	for s := 7.0; s < blockTime.Seconds(); s += 0.4 {
		assert.Assert(t, !l.Trial(after(s), "poison"), "two runs came later than the third end already")
	}
}

// Guards against a flood of requests that breaks off and pushes a blocked one off the
// record, and against a record without bound.
func TestRecordIsBounded(t *testing.T) {
	l := New()
	for i := range 3 {
		crashAt(l, 0, "poison", fmt.Sprint("u", i), "z")
	}
	for i := range 3 * maxRuns {
		l.Broke(after(3), runAt(fmt.Sprint("flood ", i), fmt.Sprint("v", i%50), "y"), Broken)
		if i%2 == 0 {
			l.Broke(after(3), runAt(fmt.Sprint("twice ", i), fmt.Sprint("v", i%50), "y"), Broken)
			l.Broke(after(3), runAt(fmt.Sprint("twice ", i), fmt.Sprint("w", i%50), "y"), Broken)
		}
	}
	assert.Equal(t, l.Verdict(after(4), "poison"), Blocked)
	assert.Assert(t, len(l.All(after(4))) <= maxRuns)
	assert.Assert(t, len(l.recent) <= maxRecent && l.Tracked() <= maxRuns)
}

// Guards against ledgers that come to different verdicts since news came in another
// order, late, twice or from a ledger that was restored.
func TestLedgersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Entry
		for range rapid.IntRange(1, 12).Draw(t, "entries") {
			request, u := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "request"), rapid.IntRange(0, 4).Draw(t, "upstream")
			if rapid.IntRange(0, 5).Draw(t, "whole") == 0 {
				all = append(all, Entry{Run: Run{Fingerprint: request}, Outcome: Cleared, AgeMS: int64(u)*10_000 + 5000})
				continue
			}
			all = append(all, Entry{
				Run: runAt(request, fmt.Sprint("u", u), "z"), AgeMS: int64(u) * 10_000,
				Outcome: Outcome(rapid.IntRange(int(Broken), int(Innocent)).Draw(t, "outcome")),
			})
		}
		now := after(100)
		one, two := New(), New()
		one.Merge(now, all)
		for _, i := range rapid.Permutation(indexes(len(all))).Draw(t, "order") {
			two.Merge(now, []Entry{all[i]})
			two.Merge(now, []Entry{all[i]})
		}
		three := New()
		three.Merge(now, append(one.All(now), two.All(now)...))
		one.Merge(now, two.All(now))
		two.Merge(now, one.All(now))
		for _, f := range []string{"a", "b"} {
			assert.Equal(t, one.Verdict(now, f), two.Verdict(now, f), f)
			assert.Equal(t, one.Verdict(now, f), three.Verdict(now, f), f)
		}
	})
}

func indexes(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// Guards against readers that miss the first run of a request that becomes a suspect,
// and against control traffic for requests that broke off once.
func TestReadersGetSuspects(t *testing.T) {
	l := New()
	l.Broke(start, runAt("once", "u0", "z"), Broken)
	l.Broke(start, runAt("poison", "u1", "y"), Broken)
	at := l.Changes()
	assert.Equal(t, len(l.Since(start, 0)), 0)
	l.Broke(after(1), runAt("poison", "u2", "x"), Broken)
	assert.Equal(t, len(l.Since(after(1), at)), 2)
	at = l.Changes()
	assert.Equal(t, len(l.Since(after(1), at)), 0)
	l.Merge(after(1), []Entry{{Run: runAt("poison", "u2", "x"), Outcome: Broken, Shared: true}})
	at = l.Changes()
	for range 3 { // one ledger knows that the crash was shared, the other does not
		assert.Equal(t, len(l.Merge(after(1), []Entry{{Run: runAt("poison", "u2", "x"), Outcome: Broken}})), 0)
	}
	assert.Equal(t, l.Changes(), at)
	l.Lost(after(2), "u1", 1000)
	list := l.Since(after(2), at)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Outcome, Ended)
	reader := New()
	reader.Merge(after(2), l.Since(after(2), 0))
	l.Whole(after(3), "poison")
	reader.Merge(after(3), l.Since(after(3), at))
	assert.Equal(t, len(reader.Of(after(3), []string{"poison"})), 1, "only that it was answered")
}
