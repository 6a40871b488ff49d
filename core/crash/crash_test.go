package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// after returns the time that many seconds after the start.
func after(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// runAt returns a run on the first incarnation of an upstream in a zone.
func runAt(fingerprint, upstream, zone string) Run {
	return Run{Fingerprint: fingerprint, Upstream: upstream, Addr: "addr of " + upstream, StartedMS: 1000, Zone: zone}
}

// recordCrash records an interrupted run, and the next incarnation of its upstream two
// seconds later.
func recordCrash(tracker *Tracker, s float64, fingerprint, upstream, zone string) {
	tracker.RunInterrupted(after(s), runAt(fingerprint, upstream, zone), Interrupted)
	tracker.UpstreamStarted(after(s+2), upstream+"-next", "addr of "+upstream, 2000)
}

// Guards against a request that crashes one upstream after another, whichever way the end
// of each upstream is detected.
func TestThirdCrashBlocks(t *testing.T) {
	ends := map[string]func(tracker *Tracker, u string){
		"successor at the address": func(tracker *Tracker, u string) { tracker.UpstreamStarted(after(12), "next", "addr of "+u, 2000) },
		"successor of the same id": func(tracker *Tracker, u string) { tracker.UpstreamStarted(after(12), u, "elsewhere", 2000) },
		"silence":                  func(tracker *Tracker, u string) { tracker.UpstreamLost(after(12), u, 1000) },
		"news from another process": func(tracker *Tracker, u string) {
			tracker.Merge(after(12), []Entry{{Run: runAt("poison", u, "z"), Outcome: UpstreamEnded, AgeMS: 9000}})
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			for i := range 3 {
				assert.Equal(t, tracker.Verdict(after(3), "poison"), Allowed)
				tracker.RunInterrupted(after(float64(i)), runAt("poison", fmt.Sprint("u", i), "z"), Interrupted)
			}
			assert.Equal(t, tracker.Verdict(after(3), "poison"), Undecided)
			for i := range 3 {
				end(tracker, fmt.Sprint("u", i))
			}
			assert.Equal(t, tracker.Verdict(after(13), "poison"), Blocked)
			assert.Equal(t, tracker.Verdict(after(13), "honest"), Allowed)
			assert.Equal(t, tracker.Verdict(after(700), "poison"), Allowed, "the request may be tried again later")
		})
	}
}

// Guards against a crash that is not counted because the caller disconnected from a silent
// upstream before the gateway gave up on it.
func TestAbandonedRunsCountOnceTheirUpstreamHasEnded(t *testing.T) {
	tracker := New()
	for i := range 3 {
		tracker.RunInterrupted(start, runAt("poison", fmt.Sprint("u", i), "z"), Abandoned)
	}
	assert.Equal(t, tracker.Verdict(start, "poison"), Allowed, "callers also disconnect for other reasons")
	for i := range 3 {
		assert.Equal(t, len(tracker.UpstreamLost(after(7), fmt.Sprint("u", i), 1000)), 1)
	}
	assert.Equal(t, tracker.Verdict(after(7), "poison"), Blocked)
}

// Guards against blocking harmless requests because their answers were lost while the
// upstreams continued or stopped as planned, or because one crash was counted twice.
func TestHarmlessRequestsAreNotBlocked(t *testing.T) {
	tracker := New()
	for i := range 5 {
		tracker.RunInterrupted(start, runAt("lost answers", fmt.Sprint("u", i), "z"), Interrupted)
		tracker.UpstreamAnnounced(after(5.1), fmt.Sprint("u", i), 1000, 7)
		tracker.UpstreamAnnounced(after(5.2), fmt.Sprint("u", i), 1000, 7) // duplicate through another control instance
	}
	assert.Equal(t, tracker.Verdict(after(6), "lost answers"), Undecided, "the announcement may have been sent before the interruption")
	for i := range 5 {
		tracker.UpstreamAnnounced(after(6.3), fmt.Sprint("u", i), 1000, 8)
	}
	assert.Equal(t, tracker.Verdict(after(6.3), "lost answers"), Allowed)
	for i := range 5 {
		tracker.RunInterrupted(start, runAt("planned", fmt.Sprint("v", i), "z"), Interrupted)
		tracker.UpstreamLeaving(after(1), fmt.Sprint("v", i), 1000)
		tracker.UpstreamStarted(after(2), "next", fmt.Sprint("addr of v", i), 2000)
	}
	assert.Equal(t, tracker.Verdict(after(3), "planned"), Allowed)
	for range 5 {
		recordCrash(tracker, 0, "equal bodies", "w", "z")
	}
	assert.Equal(t, tracker.Verdict(after(3), "equal bodies"), Allowed, "one crash must be counted once")
	recordCrash(tracker, 0, "answered", "x0", "z")
	recordCrash(tracker, 1, "answered", "x1", "z")
	assert.Assert(t, tracker.RequestCompleted(after(2), "answered"))
	recordCrash(tracker, 3, "answered", "x2", "z")
	tracker.Merge(after(4), []Entry{{Run: runAt("answered", "x1", "z"), Outcome: UpstreamEnded, AgeMS: 3000}}) // late entry of another process
	assert.Equal(t, tracker.Verdict(after(6), "answered"), Allowed)
}

// Guards against discarding crashes because announcements of the upstreams that have ended
// arrive late.
func TestLateAnnouncementsDoNotClearRuns(t *testing.T) {
	announced := func(tracker *Tracker, s float64) {
		for i := range 3 {
			for seq := range 3 {
				tracker.UpstreamAnnounced(after(s+float64(seq)), fmt.Sprint("u", i), 1000, int64(s)*10+int64(seq))
			}
		}
	}
	tracker := New()
	for i := range 3 {
		tracker.RunInterrupted(start, runAt("poison", fmt.Sprint("u", i), "z"), Interrupted)
	}
	announced(tracker, 1)
	assert.Equal(t, tracker.Verdict(after(3), "poison"), Undecided)
	for i := range 3 {
		tracker.UpstreamStarted(after(3.5), "next", fmt.Sprint("addr of u", i), 2000)
	}
	announced(tracker, 4)
	announced(tracker, 8)
	assert.Equal(t, tracker.Verdict(after(10), "poison"), Blocked)
}

// Guards against a request that stays blocked because its upstreams were unreachable for a
// while.
func TestReturningUpstreamClearsRequest(t *testing.T) {
	tracker := New()
	for i := range 3 {
		u := fmt.Sprint("u", i)
		tracker.RunInterrupted(start, runAt("cut off", u, "z"), Interrupted)
		tracker.UpstreamLost(after(6), u, 1000)
		tracker.UpstreamAnnounced(after(7), u, 1000, 7)
		tracker.UpstreamAnnounced(after(8), u, 1000, 8)
	}
	assert.Equal(t, tracker.Verdict(after(8), "cut off"), Allowed)
}

// Guards against blocking harmless requests that were running in one failing zone after
// another, and against a crashing request that is never blocked because zones fail along
// with it.
func TestZoneFailuresCountLess(t *testing.T) {
	tracker := New()
	for i := range 6 {
		zone, s := fmt.Sprint("z", i%3), 7*float64(i)
		for u := range 4 {
			recordCrash(tracker, s+0.1*float64(u), fmt.Sprint("beside ", i, u), fmt.Sprint("u", i, "-", u), zone)
		}
		recordCrash(tracker, s+0.2, "met by chance", fmt.Sprint("u", i, "-0"), zone)
		assert.Equal(t, tracker.Verdict(after(s+3), "met by chance") == Allowed, i < 4, "loss %d", i)
	}
}

// Guards against reducing the weight of a crash because other requests on the same
// upstream failed with it, or because copies of the same request failed on other
// upstreams.
func TestCrashesOfOneRequestAreNotShared(t *testing.T) {
	tracker := New()
	for u := range 3 {
		recordCrash(tracker, 0, fmt.Sprint("beside ", u), fmt.Sprint("u", u), "z")
		recordCrash(tracker, 0.2, "poison", fmt.Sprint("u", u), "z")
	}
	assert.Equal(t, tracker.Verdict(after(3), "poison"), Blocked)
}

// Guards against a popular request that stays blocked for a long time after all upstreams
// of its service failed at once, and against frequent trials of a request that does crash
// upstreams.
func TestTrials(t *testing.T) {
	tracker := New()
	for u := range 7 {
		recordCrash(tracker, 0, "popular", fmt.Sprint("u", u), fmt.Sprint("z", u))
	}
	assert.Equal(t, tracker.Verdict(after(3), "popular"), Blocked)
	assert.Assert(t, !tracker.AllowTrial(after(9), "popular"))
	assert.Assert(t, tracker.AllowTrial(after(10.5), "popular"))
	assert.Assert(t, !tracker.AllowTrial(after(10.6), "popular"), "only one trial at a time")
	tracker.RequestCompleted(after(10.7), "popular")
	assert.Equal(t, tracker.Verdict(after(10.8), "popular"), Allowed)

	tracker, trials := New(), 0
	for i := range 3 {
		recordCrash(tracker, float64(i), "poison", fmt.Sprint("u", i), "z")
	}
	for s := 4.0; s < crashRetention.Seconds(); s += 0.4 {
		if tracker.AllowTrial(after(s), "poison") {
			trials++
			recordCrash(tracker, s, "poison", fmt.Sprint("t", trials), "z")
		}
	}
	assert.Equal(t, trials, 2, "limit of trials for a blocked request")

	tracker, trials = New(), 0
	for i := range 3 {
		recordCrash(tracker, 0, "poison", fmt.Sprint("u", i), "z")
	}
	for s := 4.0; s < crashRetention.Seconds(); s += 0.4 {
		if tracker.AllowTrial(after(s), "poison") {
			trials++ // the gateway stops before it reports the run
		}
	}
	assert.Equal(t, trials, 2)

	tracker = New()
	for i := range 3 {
		recordCrash(tracker, 5*float64(i), "poison", fmt.Sprint("u", i), "z")
	}
	for s := 15.0; s < crashRetention.Seconds(); s += 0.4 {
		assert.Assert(t, !tracker.AllowTrial(after(s), "poison"), "three separate failures cannot be chance")
	}

	tracker = New()
	for i, s := range []float64{0, 0, 0, 4, 4} { // other requests fail in each zone, so five crashes are needed
		recordCrash(tracker, s, fmt.Sprint("beside ", i), fmt.Sprint("v", i), fmt.Sprint("z", i))
		recordCrash(tracker, s, "poison", fmt.Sprint("u", i), fmt.Sprint("z", i))
	}
	assert.Equal(t, tracker.Verdict(after(7), "poison"), Blocked)
	for s := 7.0; s < crashRetention.Seconds(); s += 0.4 {
		assert.Assert(t, !tracker.AllowTrial(after(s), "poison"), "two runs already followed the crash that blocked the request")
	}
}

// Guards against a flood of interrupted requests that evicts a blocked request, and
// against unbounded memory.
func TestTrackerIsBounded(t *testing.T) {
	tracker := New()
	for i := range 3 {
		recordCrash(tracker, 0, "poison", fmt.Sprint("u", i), "z")
	}
	for i := range 3 * maxRuns {
		tracker.RunInterrupted(after(3), runAt(fmt.Sprint("flood ", i), fmt.Sprint("v", i%50), "y"), Interrupted)
		if i%2 == 0 {
			tracker.RunInterrupted(after(3), runAt(fmt.Sprint("twice ", i), fmt.Sprint("v", i%50), "y"), Interrupted)
			tracker.RunInterrupted(after(3), runAt(fmt.Sprint("twice ", i), fmt.Sprint("w", i%50), "y"), Interrupted)
		}
	}
	assert.Equal(t, tracker.Verdict(after(4), "poison"), Blocked)
	assert.Assert(t, len(tracker.Entries(after(4))) <= maxRuns)
	assert.Assert(t, len(tracker.recent) <= maxRecent && tracker.RequestCount() <= maxRuns)
}

// Guards against trackers that reach different verdicts because entries arrive in another
// order, late, twice or from a restored tracker.
func TestTrackersConverge(t *testing.T) {
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
				Outcome: Outcome(rapid.IntRange(int(Interrupted), int(UpstreamAlive)).Draw(t, "outcome")),
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
		three.Merge(now, append(one.Entries(now), two.Entries(now)...))
		one.Merge(now, two.Entries(now))
		two.Merge(now, one.Entries(now))
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

// Guards against readers that miss the first run of a request that becomes a suspect, and
// against control traffic for requests that were interrupted only once.
func TestEntriesSinceReturnsSuspects(t *testing.T) {
	tracker := New()
	tracker.RunInterrupted(start, runAt("once", "u0", "z"), Interrupted)
	tracker.RunInterrupted(start, runAt("poison", "u1", "y"), Interrupted)
	at := tracker.LastChange()
	assert.Equal(t, len(tracker.EntriesSince(start, 0)), 0)
	tracker.RunInterrupted(after(1), runAt("poison", "u2", "x"), Interrupted)
	assert.Equal(t, len(tracker.EntriesSince(after(1), at)), 2)
	at = tracker.LastChange()
	assert.Equal(t, len(tracker.EntriesSince(after(1), at)), 0)
	tracker.Merge(after(1), []Entry{{Run: runAt("poison", "u2", "x"), Outcome: Interrupted, Shared: true}})
	at = tracker.LastChange()
	for range 3 { // this tracker knows that the crash was shared, the sender does not
		assert.Equal(t, len(tracker.Merge(after(1), []Entry{{Run: runAt("poison", "u2", "x"), Outcome: Interrupted}})), 0)
	}
	assert.Equal(t, tracker.LastChange(), at)
	tracker.UpstreamLost(after(2), "u1", 1000)
	list := tracker.EntriesSince(after(2), at)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Outcome, UpstreamEnded)
	reader := New()
	reader.Merge(after(2), tracker.EntriesSince(after(2), 0))
	tracker.RequestCompleted(after(3), "poison")
	reader.Merge(after(3), tracker.EntriesSince(after(3), at))
	assert.Equal(t, len(reader.EntriesOf(after(3), []string{"poison"})), 1, "only the entry of the completion")
}
