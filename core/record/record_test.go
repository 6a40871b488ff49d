package record

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

const hour = 3600 * 1000

// attempt is an attempt of a call and the replies that it got.
type attempt struct {
	start    wire.StartArgs
	grants   []int64
	aborted  bool
	finished bool
}

// simulation sends commands for a few attempts of one key in any order, some of
// them repeatedly or late.
type simulation struct {
	state *State
	nowMS int64
	// latestMS is the latest time of a command so far.
	latestMS int64
	attempts []*attempt
	// retainedSince is when the retention period of the granted attempt's record
	// started.
	retainedSince int64
	granted       *attempt
}

func (sim *simulation) issue(t *rapid.T) *attempt {
	skew := rapid.SampledFrom([]int64{-MaxClockSkewMS, 0, MaxClockSkewMS, 3 * MaxClockSkewMS}).Draw(t, "skew")
	a := &attempt{start: wire.StartArgs{
		Key: "k", Attempt: wire.ID(fmt.Sprint("attempt-", len(sim.attempts))), IssuedMS: sim.latestMS + skew, BodyHash: "h",
		Agent: "a", Incarnation: wire.Incarnation(1 + len(sim.attempts)%2),
	}}
	sim.attempts = append(sim.attempts, a)
	return a
}

func (sim *simulation) step(t *rapid.T) {
	sim.nowMS += rapid.SampledFrom([]int64{0, 0, 0, 1, hour, 12 * hour, MaxAttemptAgeMS, MaxAttemptAgeMS + 1, RetentionMS}).Draw(t, "pause")
	at := sim.nowMS - rapid.SampledFrom([]int64{0, 0, MaxClockSkewMS}).Draw(t, "slow clock")
	if len(sim.attempts) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
		sim.issue(t)
	}
	a := sim.attempts[rapid.IntRange(0, len(sim.attempts)-1).Draw(t, "attempt")]
	switch rapid.IntRange(0, 4).Draw(t, "command") {
	case 0, 1:
		sim.checkGrant(t, a, sim.apply(Command{AtMS: at, Start: &a.start}))
	case 2:
		r := sim.apply(Command{AtMS: at, Abort: &wire.AbortArgs{Key: "k", Attempt: a.start.Attempt, IssuedMS: a.start.IssuedMS}})
		assert.Assert(t, !r.Aborted || len(a.grants) == 0, "aborted after it was granted")
		a.aborted = a.aborted || r.Aborted
	case 3:
		r := sim.apply(Command{AtMS: at, Finish: &wire.FinishArgs{Key: "k", Attempt: a.start.Attempt, Status: 200}})
		assert.Assert(t, r.Code != 0 || len(a.grants) > 0, "finished without a grant")
		if r.Code == 0 && !a.finished {
			sim.retainedSince, a.finished = sim.latestMS, true
		}
	default:
		b, err := sim.state.Snapshot().Encode()
		assert.NilError(t, err)
		sim.state = New()
		assert.NilError(t, sim.state.Restore(b))
	}
}

func (sim *simulation) apply(c Command) Reply {
	sim.latestMS = max(sim.latestMS, c.AtMS)
	return sim.state.Apply(c)
}

func (sim *simulation) checkGrant(t *rapid.T, a *attempt, r Reply) {
	if !r.Granted {
		return
	}
	assert.Assert(t, !a.aborted, "granted after it was aborted")
	if sim.granted != nil && sim.granted != a {
		assert.Assert(t, sim.latestMS > sim.retainedSince+RetentionMS, "granted while the record of another attempt is kept")
	}
	if len(a.grants) > 0 {
		assert.Equal(t, sim.granted, a, "granted again after another attempt")
		assert.Assert(t, sim.latestMS-a.grants[0] <= RetentionMS, "granted again after the record expired")
	} else {
		sim.retainedSince = sim.latestMS
	}
	a.grants, sim.granted = append(a.grants, sim.latestMS), a
}

// Guards against two attempts of one key that both run, and against an attempt
// that is reported as not run although it runs before or after, while commands
// are lost, repeated, reordered and late.
func TestAtMostOneAttemptRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{state: New(), nowMS: 1000 * hour}
		sim.apply(Command{AtMS: sim.nowMS})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			sim.step(t)
		}
	})
}

func startArgs(attempt, hash string) *wire.StartArgs {
	return &wire.StartArgs{Key: "k", Attempt: wire.ID(attempt), IssuedMS: 1000, BodyHash: hash, Agent: "a", Incarnation: 7}
}

// Guards against a caller that reuses a key and gets the response to another
// request, and against a stored response that is lost or replaced.
func TestKeyReuseIsRejected(t *testing.T) {
	s := New()
	assert.Assert(t, s.Apply(Command{AtMS: 1000, Start: startArgs("1", "h")}).Granted)
	assert.Equal(t, s.Apply(Command{AtMS: 1000, Start: startArgs("2", "other")}).Code, result.KeyReused)
	s.Apply(Command{AtMS: 1000, Finish: &wire.FinishArgs{Key: "k", Attempt: "1", Status: 201, Body: []byte("booked")}})
	s.Apply(Command{AtMS: 1000, Finish: &wire.FinishArgs{Key: "k", Attempt: "1", Status: 500}})
	r := s.Apply(Command{AtMS: 1000, Start: startArgs("2", "h")})
	assert.Assert(t, !r.Granted && r.Record.Status == 201 && string(r.Record.Body) == "booked")
	assert.Assert(t, !s.Apply(Command{AtMS: 1000, Start: startArgs("1", "h")}).Granted, "a finished attempt must not run again")
}

// Guards against a takeover of an attempt that may still run, of a call that is
// not a generation, and of an attempt by itself, and against late commands of the
// replaced attempt.
func TestTakeover(t *testing.T) {
	generation := func(attempt string, takeover bool) *wire.StartArgs {
		a := startArgs(attempt, "h")
		a.Generation, a.Takeover = "g", takeover
		return a
	}
	s := New()
	assert.Assert(t, s.Apply(Command{AtMS: 1000, Start: generation("1", false)}).Granted)
	assert.Assert(t, !s.Apply(Command{AtMS: 1000, Start: generation("2", true)}).Granted, "the agent may still run")
	assert.Assert(t, !s.Apply(Command{AtMS: 1000, Start: generation("2", true), EndedIncarnation: 6}).Granted, "another incarnation has ended")
	assert.Assert(t, !s.Apply(Command{AtMS: 1000, Start: generation("2", false), EndedIncarnation: 7}).Granted)
	assert.Assert(t, s.Apply(Command{AtMS: 1000, Start: generation("2", true), EndedIncarnation: 7}).Granted)
	assert.Assert(t, !s.Apply(Command{AtMS: 1000, Start: generation("1", true), EndedIncarnation: 7}).Granted, "a replaced attempt must not be granted again")
	assert.Equal(t, s.Apply(Command{AtMS: 1000, Finish: &wire.FinishArgs{Key: "k", Attempt: "1"}}).Code, result.Superseded)

	s = New()
	s.Apply(Command{AtMS: 1000, Start: startArgs("1", "h")})
	assert.Assert(t, !s.Apply(Command{AtMS: 1000, Start: generation("2", true), EndedIncarnation: 7}).Granted, "a call that is not a generation must not be replaced")
}

// Guards against a restarted agent that runs an attempt again for which it got
// the grant before the restart.
func TestNewIncarnationGetsNoGrant(t *testing.T) {
	s := New()
	repeated := startArgs("1", "h")
	assert.Assert(t, s.Apply(Command{AtMS: 1000, Start: startArgs("1", "h")}).Granted)
	assert.Assert(t, s.Apply(Command{AtMS: 1000, Start: repeated}).Granted, "a repeated command must get the grant again")
	repeated.Incarnation++
	assert.Assert(t, !s.Apply(Command{AtMS: 1000, Start: repeated}).Granted)
}

// Guards against an aborted attempt whose record expires shortly before the
// attempt is too old to be granted.
func TestFenceOutlivesAttempt(t *testing.T) {
	s := New()
	a := startArgs("1", "h")
	a.IssuedMS = 1000 + MaxClockSkewMS
	assert.Assert(t, s.Apply(Command{AtMS: 1000, Abort: &wire.AbortArgs{Key: "k", Attempt: "1", IssuedMS: a.IssuedMS}}).Aborted)
	for at := int64(1000 + RetentionMS - 2); at < 1000+RetentionMS+3; at++ {
		assert.Assert(t, !s.Apply(Command{AtMS: at, Start: a}).Granted)
	}
}

// Guards against memory use beyond the bounds, and against an estimate that does
// not return to zero when all records have expired.
func TestMemoryIsBounded(t *testing.T) {
	s := New()
	body := make([]byte, MaxResponseBytes)
	key := func(i int) string { return fmt.Sprint("k", i) }
	for i := range 300 {
		a := startArgs("1", "h")
		a.Key = key(i)
		r := s.Apply(Command{AtMS: 1000, Start: a})
		assert.Assert(t, r.Granted)
		r = s.Apply(Command{AtMS: 1000, Finish: &wire.FinishArgs{Key: key(i), Attempt: "1", Body: body}})
		assert.Equal(t, r.Record.Dropped, i >= 255)
	}
	assert.Assert(t, s.Bytes() <= MaxBytes)
	for i := range MaxFencedAttempts + 1 {
		r := s.Apply(Command{AtMS: 1000, Abort: &wire.AbortArgs{Key: "f", Attempt: wire.ID(key(i)), IssuedMS: 1000}})
		assert.Equal(t, r.Aborted, i < MaxFencedAttempts)
		assert.Equal(t, r.Code == result.OutcomeUnknown, i == MaxFencedAttempts)
	}
	assert.Equal(t, s.expireAll(), 0)
}

// expireAll advances the time until all records of time 1000 have expired. It
// returns the sum of the records and bytes that are left.
func (s *State) expireAll() int {
	s.Apply(Command{AtMS: 1000 + RetentionMS})
	s.Apply(Command{AtMS: 1001 + RetentionMS})
	return s.Len() + int(s.Bytes())
}

// Guards against records that never expire after a restart.
func TestExpiryAfterRestore(t *testing.T) {
	s := New()
	assert.Assert(t, s.Apply(Command{AtMS: 1000, Start: startArgs("1", "h")}).Granted)
	b, err := s.Snapshot().Encode()
	assert.NilError(t, err)
	assert.NilError(t, s.Restore(b))
	assert.Equal(t, s.Lookup("k").Attempt, wire.ID("1"))
	assert.Equal(t, s.expireAll(), 0)
}

// BenchmarkRecordMemory measures the memory of a record without a response.
func BenchmarkRecordMemory(b *testing.B) {
	const n = 100000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := New()
		for i := range n {
			id := wire.NewID()
			s.Apply(Command{AtMS: 1000, Start: &wire.StartArgs{
				Key: fmt.Sprint("organisation/key-", i), Attempt: id, IssuedMS: 1000,
				BodyHash: string(id) + string(id), Agent: "agent-z03-0417", Incarnation: 1,
			}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/record")
		runtime.KeepAlive(s)
	}
}
