package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

const startMS = 1_000_000_000_000

// fleet simulates upstreams that run requests. A suspect runs only with a permit, one
// suspect at a time per upstream, and only until its permit ends.
type fleet struct {
	s            *State
	now          int64
	running      map[int]map[string]*wire.ID // by upstream, with the permit, if any
	crashNumbers map[int]uint64              // crashes per upstream
	delayed      []report                    // duplicates that arrive late
	permits      int
	crashes      map[string]int
}

type report struct {
	args wire.CrashArgs
	at   int64
}

func newFleet() *fleet {
	return &fleet{s: New(), now: startMS, running: map[int]map[string]*wire.ID{}, crashNumbers: map[int]uint64{}, crashes: map[string]int{}}
}

func (f *fleet) apply(c Command) Result {
	c.AtMS = f.now
	return f.s.Apply(c)
}

func (f *fleet) suspect(name string) bool {
	listed, _ := NewWatchlist(at(f.now), f.s.Suspects(at(f.now))).Check(at(f.now), name)
	return listed
}

func at(ms int64) time.Time { return time.UnixMilli(ms) }

// start sends a request to an upstream, unless it is already running there.
func (f *fleet) start(name string, upstream int) {
	if _, runs := f.running[upstream][name]; runs {
		return
	}
	var permit *wire.ID
	if f.suspect(name) {
		for other := range f.running[upstream] {
			if f.suspect(other) {
				return // the agent runs one suspect at a time
			}
		}
		f.permits++
		id := wire.ID(fmt.Sprint(f.permits))
		p := PermitRequest{Fingerprint: name, ID: id, Holder: "entry", Upstream: fmt.Sprint(upstream)}
		if f.apply(Command{Permit: &p}).PermitUntilMS == 0 {
			return
		}
		permit = &id
	}
	if f.running[upstream] == nil {
		f.running[upstream] = map[string]*wire.ID{}
	}
	f.running[upstream][name] = permit
}

func (f *fleet) isRunning(name string) bool {
	for _, on := range f.running {
		if _, ok := on[name]; ok {
			return true
		}
	}
	return false
}

// crash ends all runs of an upstream. The agent reports all of them; an entry reports
// some, immediately or late.
func (f *fleet) crash(t *rapid.T, upstream int, crasher string) {
	f.crashNumbers[upstream]++
	f.crashes[crasher]++
	agent := wire.CrashArgs{Upstream: fmt.Sprint(upstream), Incarnation: 1, CrashNumber: f.crashNumbers[upstream]}
	entry := agent
	for _, name := range names {
		if _, ok := f.running[upstream][name]; ok {
			agent.Fingerprints = append(agent.Fingerprints, name)
			if rapid.Bool().Draw(t, "entry reports") {
				entry.Fingerprints = append(entry.Fingerprints, name)
			}
		}
	}
	delete(f.running, upstream)
	f.apply(Command{Crash: &agent})
	f.delayed = append(f.delayed, report{entry, f.now}, report{agent, f.now})
}

func (f *fleet) finish(name string, upstream int) {
	permit, runs := f.running[upstream][name]
	if !runs {
		return
	}
	delete(f.running[upstream], name)
	if permit != nil {
		f.apply(Command{Return: &PermitReturn{Fingerprint: name, ID: *permit, Finished: true}})
	}
}

// advance moves the time forward. Runs with a permit stop when the permit ends.
func (f *fleet) advance(ms int64) {
	if ms >= PermitDuration.Milliseconds() {
		for upstream, on := range f.running {
			for name, permit := range on {
				if permit != nil {
					delete(f.running[upstream], name)
				}
			}
		}
	}
	f.now += ms
}

func (f *fleet) quarantined(name string) bool {
	for _, s := range f.s.Suspects(at(f.now)) {
		if s.Fingerprint == name && s.Quarantined {
			return true
		}
	}
	return false
}

const crasher = "crasher"

var names = []string{"a", "b", "c", "d", crasher}

// Guards against a request that keeps crashing upstreams when it is sent through other
// entries, and against quarantining requests that were only running beside it, for any
// order of runs, late and repeated reports, and passing time.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		since := 0 // crashes since the crasher's last quarantine ended
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "request")
			upstream := rapid.IntRange(0, 3).Draw(t, "upstream")
			was := f.quarantined(crasher)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				// Before the crasher is a suspect, it has one attempt at a time.
				if name != crasher || f.suspect(crasher) || !f.isRunning(crasher) {
					f.start(name, upstream)
				}
			case 3:
				for u, on := range f.running {
					if _, ok := on[crasher]; ok && u == upstream {
						f.crash(t, u, crasher)
						since++
					}
				}
			case 4:
				if name != crasher {
					f.finish(name, upstream)
				}
			case 5:
				if len(f.delayed) > 0 {
					again := f.delayed[rapid.IntRange(0, len(f.delayed)-1).Draw(t, "report")]
					if f.now-again.at < ClearedRetention.Milliseconds() {
						f.apply(Command{Crash: &again.args})
					}
				}
			case 6:
				f.advance(rapid.SampledFrom([]int64{100, 20_000, PermitDuration.Milliseconds(), MaxPeriod.Milliseconds()}).Draw(t, "ms"))
			}
			assert.Assert(t, since <= DefaultCrashes, "%d upstreams crashed", since)
			if was && !f.quarantined(crasher) {
				since = DefaultCrashes - 1 // quarantined again after one more crash
			}
			if !f.suspect(crasher) {
				since = 0 // forgotten after SuspectRetention
			}
			for _, name := range names[:len(names)-1] {
				assert.Assert(t, !f.quarantined(name), "%s is quarantined", name)
			}
		}
	})
}

// Guards against a quarantine that never ends, that does not get longer each time, or
// whose remaining time depends on the clock of the reader.
func TestQuarantineEndsAndGrows(t *testing.T) {
	f, number := newFleet(), uint64(0)
	crash := func() wire.Suspect {
		number++
		return f.apply(Command{Crash: &wire.CrashArgs{Upstream: "u", CrashNumber: number, Fingerprints: []string{"x"}}}).Suspects[0]
	}
	assert.Assert(t, !crash().Quarantined)
	for _, want := range []time.Duration{10, 20, 40, 60, 60} {
		s := crash()
		assert.Equal(t, time.Duration(s.LeftMS)*time.Millisecond, want*time.Minute)
		w := NewWatchlist(start, f.s.Suspects(at(f.now)))
		suspect, left := w.Check(start.Add(time.Minute), "x")
		assert.Assert(t, suspect && left == (want-1)*time.Minute)
		p := PermitRequest{Fingerprint: "x", ID: wire.ID(fmt.Sprint(number)), Holder: "e"}
		assert.Assert(t, result.Is(f.apply(Command{Permit: &p}).Err, result.Quarantined))
		f.now += s.LeftMS
		assert.Assert(t, !f.quarantined("x"))
		assert.Assert(t, f.apply(Command{Permit: &p}).PermitUntilMS > f.now)
	}
	f.now += (MaxPeriod + SuspectRetention).Milliseconds()
	assert.Equal(t, len(f.s.Suspects(at(f.now))), 0)
}

var start = time.Unix(5, 0)

// Guards against two simultaneous runs of one suspect, two suspects on one upstream, and a
// repeated message that gets a second permit or renews an old one.
func TestPermits(t *testing.T) {
	f := newFleet()
	f.apply(Command{Crash: &wire.CrashArgs{Upstream: "u", Fingerprints: []string{"x", "y"}}})
	requestPermit := func(name, id, holder, upstream string) Result {
		return f.apply(Command{Permit: &PermitRequest{Fingerprint: name, ID: wire.ID(id), Holder: holder, Upstream: upstream}})
	}
	assertBusy := func(a Result) {
		t.Helper()
		assert.Assert(t, result.Is(a.Err, result.SuspectBusy))
	}
	first := requestPermit("x", "1", "e1", "v")
	assert.NilError(t, first.Err)
	assert.DeepEqual(t, requestPermit("x", "1", "e1", "v"), first)
	assertBusy(requestPermit("x", "2", "e2", "w"))
	assertBusy(requestPermit("y", "3", "e2", "v"))
	assert.NilError(t, requestPermit("y", "4", "e2", "w").Err)
	f.apply(Command{Return: &PermitReturn{Fingerprint: "x", ID: "1"}})
	assertBusy(requestPermit("x", "5", "e2", "z")) // a crash report may still arrive
	f.now += ReportGrace.Milliseconds()
	assertBusy(requestPermit("x", "1", "e1", "v")) // a late duplicate of the first request
	assert.NilError(t, requestPermit("x", "6", "e2", "v").Err)
	f.now += (PermitDuration + ReportGrace).Milliseconds()
	assert.NilError(t, requestPermit("x", "7", "e2", "v").Err)
	f.apply(Command{Return: &PermitReturn{Fingerprint: "x", ID: "7", Finished: true}})
	assert.Assert(t, !f.suspect("x"))
}

// Guards against a lift that has no effect, or that also removes the suspect.
func TestLift(t *testing.T) {
	f := newFleet()
	lift := Command{Lift: &Lift{Fingerprint: "x", Operator: "o"}}
	assert.Assert(t, result.Is(f.apply(lift).Err, result.ObjectUnknown))
	for n := range uint64(2) {
		f.apply(Command{Crash: &wire.CrashArgs{Upstream: "u", CrashNumber: n, Fingerprints: []string{"x"}}})
	}
	assert.Assert(t, f.quarantined("x"))
	assert.NilError(t, f.apply(lift).Err)
	assert.Assert(t, !f.quarantined("x") && f.suspect("x"))
}

// Guards against diverging replicas: a state restored from a snapshot at any point must
// continue like the original, even if the clock of the leader moves backwards.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			name, id := rapid.SampledFrom(names).Draw(t, "name"), wire.ID(rapid.SampledFrom(names).Draw(t, "id"))
			c := Command{AtMS: startMS + rapid.Int64Range(0, 8*time.Hour.Milliseconds()).Draw(t, "at")}
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				c.Crash = &wire.CrashArgs{Upstream: "u", CrashNumber: rapid.Uint64Range(0, 9).Draw(t, "crash"), Fingerprints: []string{name}}
			case 2:
				c.Permit = &PermitRequest{Fingerprint: name, ID: id, Holder: "e", Upstream: "u"}
			case 3:
				c.Return = &PermitReturn{Fingerprint: name, ID: id, Finished: rapid.Bool().Draw(t, "finished")}
			case 4:
				c.Lift = &Lift{Fingerprint: name}
			}
			encoded, err := json.Marshal(c)
			assert.NilError(t, err)
			var decoded Command
			assert.NilError(t, json.Unmarshal(encoded, &decoded))
			clock := a.clock
			x, y := a.Apply(c), b.Apply(decoded)
			assert.Assert(t, a.clock >= clock)
			assert.DeepEqual(t, x.Suspects, y.Suspects)
			assert.Equal(t, fmt.Sprint(x.PermitUntilMS, x.Err), fmt.Sprint(y.PermitUntilMS, y.Err))
			one, err := a.Snapshot()
			assert.NilError(t, err)
			two, err := b.Snapshot()
			assert.NilError(t, err)
			assert.Equal(t, string(one), string(two))
			if rapid.Bool().Draw(t, "restore") {
				b, err = Restore(two)
				assert.NilError(t, err)
			}
		}
	})
}

// Guards against unbounded memory, and against a flood of harmless suspects that evicts
// quarantined requests.
func TestTrimKeepsQuarantinedRequests(t *testing.T) {
	f := newFleet()
	for n := range uint64(2) {
		f.apply(Command{Crash: &wire.CrashArgs{Upstream: "u", CrashNumber: n, Fingerprints: []string{"x"}}})
	}
	for n := range uint64(10) {
		c := wire.CrashArgs{Upstream: "v", CrashNumber: n}
		for i := range MaxReported {
			c.Fingerprints = append(c.Fingerprints, fmt.Sprint(n, "/", i))
		}
		f.apply(Command{Crash: &c})
		f.now++
		assert.Assert(t, len(f.s.records) <= MaxTracked)
	}
	assert.Assert(t, f.quarantined("x"))
	assert.Assert(t, f.suspect("9/0") && !f.suspect("0/0"), "the oldest suspects must be evicted first")
	long := wire.CrashArgs{Fingerprints: make([]string, MaxReported+1)}
	assert.Assert(t, result.Is(f.apply(Command{Crash: &long}).Err, result.InvalidField))
}
