package quarantine

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// State is the state machine.
type State struct {
	clock   int64
	version uint64
	records map[string]*record
	placed  map[string]place // by upstream
	// sweepMS is when the records are next searched for expired ones.
	sweepMS int64
}

// sweepEvery is how often expired records are searched for.
const sweepEvery = time.Minute

// New returns an empty state.
func New() *State {
	return &State{records: map[string]*record{}, placed: map[string]place{}}
}

// Version changes whenever the list does, other than by time passing.
func (s *State) Version() uint64 { return s.version }

// Apply applies one command of the log.
func (s *State) Apply(c Command) Answer {
	s.clock = max(s.clock, c.AtMS)
	s.sweep()
	switch {
	case c.Crash != nil:
		return s.crash(c.Rule, *c.Crash)
	case c.Permit != nil:
		return s.permit(*c.Permit)
	case c.Return != nil:
		return s.giveBack(*c.Return)
	case c.Lift != nil:
		return s.lift(c.Rule, *c.Lift)
	}
	return Answer{}
}

func (s *State) crash(rule Rule, a wire.CrashArgs) Answer {
	if len(a.Fingerprints) > MaxReported {
		return Answer{Err: result.New(result.InvalidField, "%d fingerprints in one report, at most %d", len(a.Fingerprints), MaxReported)}
	}
	c := crashReport{
		key: crashKey{a.Upstream, a.Incarnation, a.CrashNumber}, blamed: s.blamed(a), probation: a.Probation,
		weight: crash.Weight(a.CrashNumber == wire.AgentCrashNumber || a.Unconfirmed),
	}
	for _, f := range a.Fingerprints {
		s.count(rule, c, f)
	}
	s.bound()
	var out []wire.Suspect
	for _, f := range a.Fingerprints {
		if r := s.records[f]; r != nil && !r.Cleared {
			out = append(out, r.view(s.clock))
		}
	}
	return Answer{Suspects: out}
}

// crashReport is one report of a crash while it is being counted.
type crashReport struct {
	key crashKey
	// blamed is the request found to be at fault, and probation the one that
	// was in probation; empty without one.
	blamed    string
	probation string
	// weight is what the crash counts.
	weight int
}

// blamed finds the request that caused a crash among the suspects that were
// running: the one in probation, or the only one that was in most crashes of
// unknown cause. A report by an entry, whose agent is gone, names one request
// only, so it says nothing about those beside it.
func (s *State) blamed(a wire.CrashArgs) string {
	if a.Probation != "" {
		return a.Probation
	}
	if a.CrashNumber == wire.AgentCrashNumber {
		return ""
	}
	best, most, alone := "", uint32(0), false
	for _, f := range a.Fingerprints {
		r := s.records[f]
		if r == nil || r.Cleared || r.Weight == 0 {
			continue
		}
		rank := r.Shared + 1
		switch {
		case rank > most:
			best, most, alone = f, rank, true
		case rank == most:
			alone = false
		}
	}
	if !alone {
		return ""
	}
	return best
}

// count counts a crash once for each request that was running.
func (s *State) count(rule Rule, c crashReport, fingerprint string) {
	r := s.records[fingerprint]
	if r == nil {
		r = &record{Fingerprint: fingerprint}
		s.records[fingerprint] = r
	}
	if r.has(c.key) {
		return
	}
	s.version++
	if r.Run != nil && fingerprint == c.probation {
		s.end(r, s.clock)
	}
	r.Counted = append(r.Counted, c.key)
	if extra := len(r.Counted) - maxCounted; extra > 0 {
		r.Counted = slices.Delete(r.Counted, 0, extra)
	}
	switch {
	case r.Cleared || r.Weight == 0 || fingerprint == c.blamed:
		s.strike(rule, r, c.weight)
	case c.blamed == "":
		r.Shared++
	}
}

// strike counts a crash towards quarantine.
func (s *State) strike(rule Rule, r *record, weight int) {
	r.Cleared = false
	r.Crashes++
	r.Weight += uint32(weight)
	r.ChangedMS = s.clock
	if r.Weight >= rule.limit() && !r.quarantined(s.clock) {
		r.UntilMS = s.clock + rule.period(r.Returns)
		r.Returns++
	}
	if r.UntilMS != 0 {
		// One more crash after the quarantine brings it back.
		r.Weight = rule.limit() - crash.FullWeight
	}
}

func (s *State) permit(p Permit) Answer {
	if p.Fingerprint == "" || p.ID == "" {
		return Answer{Err: result.New(result.InvalidField, "a permit needs a fingerprint and an id")}
	}
	r := s.records[p.Fingerprint]
	if r == nil || r.Cleared {
		return Answer{} // no suspect any more: it needs no permit
	}
	if r.running(s.clock) && r.Run.ID == p.ID && r.Run.Holder == p.Holder {
		return Answer{PermitUntilMS: r.Run.UntilMS}
	}
	if r.Spent == p.ID {
		return Answer{Err: result.New(result.SuspectBusy, "permit %s has been given back", p.ID)}
	}
	if err := s.refusal(r, p); err != nil {
		return Answer{Err: err}
	}
	until := s.clock + PermitTime.Milliseconds()
	r.Run = &run{p.ID, p.Holder, p.Upstream, until}
	r.BlockedMS = until + ReportGrace.Milliseconds()
	if p.Upstream != "" {
		s.placed[p.Upstream] = place{p.Fingerprint, r.BlockedMS}
	}
	return Answer{PermitUntilMS: until}
}

func (s *State) refusal(r *record, p Permit) error {
	if r.quarantined(s.clock) {
		return result.New(result.Quarantined, "the request is in quarantine").After(millis(r.UntilMS - s.clock))
	}
	if s.clock < r.BlockedMS {
		return result.New(result.SuspectBusy, "the request runs elsewhere").After(millis(r.BlockedMS - s.clock))
	}
	if other := s.placed[p.Upstream]; s.clock < other.UntilMS {
		return result.New(result.SuspectBusy, "another suspect runs on upstream %s", p.Upstream).
			After(millis(other.UntilMS - s.clock))
	}
	return nil
}

func (s *State) giveBack(b Return) Answer {
	r := s.records[b.Fingerprint]
	if r == nil {
		return Answer{}
	}
	if r.Run == nil || r.Run.ID != b.ID {
		// Repeated, ended by a crash report, or finished after its probation.
		if b.Finished && r.Spent == b.ID && r.Run == nil && !r.quarantined(s.clock) && !r.Cleared {
			s.clear(r)
		}
		return Answer{}
	}
	switch {
	case b.Finished && !r.quarantined(s.clock):
		s.clear(r)
	case b.Finished || b.NotRun || b.Passed:
		s.end(r, s.clock)
	default:
		s.end(r, s.clock+ReportGrace.Milliseconds())
	}
	return Answer{}
}

// clear keeps the crashes that were counted, so that a late report of one does
// not count again.
func (s *State) clear(r *record) {
	s.version++
	s.end(r, s.clock)
	*r = record{Fingerprint: r.Fingerprint, Counted: r.Counted, Spent: r.Spent, Cleared: true, ChangedMS: s.clock}
}

// end ends the permit of a request. Neither the request nor its upstream gets
// another before the given time.
func (s *State) end(r *record, blocked int64) {
	if r.Run == nil {
		return
	}
	if s.placed[r.Run.Upstream].Fingerprint == r.Fingerprint {
		s.placed[r.Run.Upstream] = place{r.Fingerprint, blocked}
	}
	r.Spent, r.BlockedMS = r.Run.ID, blocked
	r.Run = nil
}

func (s *State) lift(rule Rule, l Lift) Answer {
	r := s.records[l.Fingerprint]
	if r == nil || !r.quarantined(s.clock) {
		return Answer{Err: result.New(result.ObjectUnknown, "%q is not in quarantine", l.Fingerprint)}
	}
	s.version++
	r.UntilMS = s.clock
	r.ChangedMS = s.clock
	r.Weight = rule.limit() - crash.FullWeight
	return Answer{}
}

// List returns the suspects and the quarantined at a time, by fingerprint.
func (s *State) List(now time.Time) []wire.Suspect {
	at := max(s.clock, now.UnixMilli())
	out := make([]wire.Suspect, 0, len(s.records))
	for _, r := range s.records {
		if !r.Cleared && at < r.expires() {
			out = append(out, r.view(at))
		}
	}
	slices.SortFunc(out, func(a, b wire.Suspect) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (s *State) sweep() {
	if s.clock < s.sweepMS {
		return
	}
	s.sweepMS = s.clock + sweepEvery.Milliseconds()
	for _, r := range s.records {
		if s.clock >= r.expires() && !r.running(s.clock) {
			s.drop(r)
		}
	}
	for upstream, p := range s.placed {
		if s.clock >= p.UntilMS {
			delete(s.placed, upstream)
		}
	}
}

func (s *State) drop(r *record) {
	if !r.Cleared {
		s.version++
	}
	s.end(r, s.clock)
	delete(s.records, r.Fingerprint)
}

// bound drops records beyond MaxTracked: the cleared first, then suspects
// without a permit, then those with one, and quarantined requests last; among
// equals the one with the oldest change.
func (s *State) bound() {
	if len(s.records) <= MaxTracked {
		return
	}
	all := make([]*record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(s.rank(a), s.rank(b)),
			cmp.Compare(a.ChangedMS, b.ChangedMS),
			strings.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	for _, r := range all[:len(all)-keepTracked] {
		s.drop(r)
	}
}

func (s *State) rank(r *record) int {
	switch {
	case r.Cleared:
		return 0
	case r.quarantined(s.clock):
		return 3
	case r.running(s.clock):
		return 2
	}
	return 1
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// snapshot is the JSON form of a State.
type snapshot struct {
	ClockMS int64            `json:"clock_ms"`
	SweepMS int64            `json:"sweep_ms"`
	Version uint64           `json:"version"`
	Records []*record        `json:"records"`
	Placed  map[string]place `json:"placed"`
}

// Snapshot returns the state as JSON. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{ClockMS: s.clock, SweepMS: s.sweepMS, Version: s.version, Records: []*record{}, Placed: s.placed}
	for _, r := range s.records {
		snap.Records = append(snap.Records, r)
	}
	slices.SortFunc(snap.Records, func(a, b *record) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	b, err := json.Marshal(snap)
	if err != nil {
		return nil, errors.Wrap(err, "encode quarantine snapshot")
	}
	return b, nil
}

// Restore returns the state of a snapshot.
func Restore(b []byte) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(b, &snap); err != nil {
		return nil, errors.Wrap(err, "decode quarantine snapshot")
	}
	s := New()
	s.clock, s.sweepMS, s.version = snap.ClockMS, snap.SweepMS, snap.Version
	for _, r := range snap.Records {
		if r == nil || r.Fingerprint == "" {
			return nil, errors.New("quarantine snapshot has a record without fingerprint")
		}
		if r.Strikes > 0 {
			r.Weight, r.Strikes = r.Strikes*crash.FullWeight, 0
		}
		s.records[r.Fingerprint] = r
	}
	maps.Copy(s.placed, snap.Placed)
	return s, nil
}
