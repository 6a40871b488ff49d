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
	"heatherway.dev/core/internal/namecheck"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// State is the state machine.
type State struct {
	clock    int64
	version  uint64
	records  map[string]*record
	occupied map[string]occupancy // by upstream
	// nextExpiryMS is when expired records are next removed, in Unix milliseconds like clock.
	nextExpiryMS int64
}

// expiryInterval is the interval between removals of expired records.
const expiryInterval = time.Minute

// New returns an empty state.
func New() *State {
	return &State{records: map[string]*record{}, occupied: map[string]occupancy{}}
}

// Version returns a number that increases with each change of the list of suspects, except
// those caused by the passing of time.
func (s *State) Version() uint64 { return s.version }

// Apply applies one command.
func (s *State) Apply(c Command) Result {
	s.clock = max(s.clock, c.AtMS)
	s.expireRecords()
	switch {
	case c.Crash != nil:
		return s.reportCrash(c.Rule, *c.Crash)
	case c.Permit != nil:
		return s.grantPermit(*c.Permit)
	case c.Return != nil:
		return s.returnPermit(*c.Return)
	case c.Lift != nil:
		return s.liftQuarantine(c.Rule, *c.Lift)
	}
	return Result{}
}

// CheckReport removes fingerprints that identify no request from a crash report. It returns
// an error if the rest of the report cannot be used. It is called before a report is proposed
// to the log.
func CheckReport(a *wire.CrashArgs) error {
	if len(a.Fingerprints) > MaxReported {
		return errors.Errorf("%d fingerprints in one report, at most %d", len(a.Fingerprints), MaxReported)
	}
	var invalid error
	valid := make([]string, 0, len(a.Fingerprints))
	for _, f := range a.Fingerprints {
		if err := namecheck.Validate("fingerprint", f, true); err != nil {
			invalid = cmp.Or(invalid, err)
			continue
		}
		valid = append(valid, f)
	}
	if len(valid) == 0 && invalid != nil {
		return invalid
	}
	a.Fingerprints = valid
	return cmp.Or(namecheck.Validate("probation", a.Probation, false), namecheck.Validate("upstream", a.Upstream, false))
}

func (s *State) reportCrash(policy Policy, a wire.CrashArgs) Result {
	if len(a.Fingerprints) > MaxReported {
		return Result{Err: result.New(result.InvalidField, "%d fingerprints in one report, at most %d", len(a.Fingerprints), MaxReported)}
	}
	c := crashReport{
		key: crashKey{a.Upstream, a.Incarnation, a.CrashNumber}, cause: s.findCause(a), probation: a.Probation,
		weight: crash.Weight(a.CrashNumber == wire.AgentCrashNumber || a.Unconfirmed),
	}
	for _, f := range a.Fingerprints {
		s.countCrash(policy, c, f)
	}
	s.trim()
	var out []wire.Suspect
	for _, f := range a.Fingerprints {
		if r := s.records[f]; r != nil && !r.Cleared {
			out = append(out, r.toSuspect(s.clock))
		}
	}
	return Result{Suspects: out}
}

// crashReport is a crash report that is being counted.
type crashReport struct {
	key crashKey
	// cause is the request found to be the cause, and probation the one that was in
	// probation; each may be empty.
	cause     string
	probation string
	// weight is the weight of the crash.
	weight int
}

// findCause determines which of the running suspects caused a crash: the one in probation,
// or otherwise the one that was running in the most unattributed crashes, if it is the
// only one with that number. A report with AgentCrashNumber comes from an entry, after the
// agent itself has failed. It names a single request, so it gives no information about the
// others on the upstream.
func (s *State) findCause(a wire.CrashArgs) string {
	if a.Probation != "" {
		return a.Probation
	}
	if a.CrashNumber == wire.AgentCrashNumber {
		return ""
	}
	candidate, highest, unique := "", uint32(0), false
	for _, f := range a.Fingerprints {
		r := s.records[f]
		if r == nil || r.Cleared || r.Weight == 0 {
			continue
		}
		rank := r.Unattributed + 1
		switch {
		case rank > highest:
			candidate, highest, unique = f, rank, true
		case rank == highest:
			unique = false
		}
	}
	if !unique {
		return ""
	}
	return candidate
}

// countCrash counts a crash at most once for a request that was running.
func (s *State) countCrash(policy Policy, c crashReport, fingerprint string) {
	r := s.records[fingerprint]
	if r == nil {
		r = &record{Fingerprint: fingerprint}
		s.records[fingerprint] = r
	}
	if r.hasCounted(c.key) {
		return
	}
	s.version++
	if r.Permit != nil && fingerprint == c.probation {
		s.endPermit(r, s.clock)
	}
	r.Counted = append(r.Counted, c.key)
	if extra := len(r.Counted) - maxCounted; extra > 0 {
		r.Counted = slices.Delete(r.Counted, 0, extra)
	}
	switch {
	case r.Cleared || r.Weight == 0 || fingerprint == c.cause:
		s.addCrash(policy, r, c.weight)
	case c.cause == "":
		r.Unattributed++
	}
}

// addCrash adds the weight of a crash and quarantines the request if that reaches the
// limit.
func (s *State) addCrash(policy Policy, r *record, weight int) {
	r.Cleared = false
	r.Crashes++
	r.Weight += uint32(weight)
	r.ChangedMS = s.clock
	if r.Weight >= policy.quarantineWeight() && !r.quarantined(s.clock) {
		r.UntilMS = s.clock + policy.period(r.Quarantines)
		r.Quarantines++
	}
	if r.UntilMS != 0 {
		// After the quarantine, one more crash of full weight quarantines it again.
		r.Weight = policy.quarantineWeight() - crash.FullWeight
	}
}

func (s *State) grantPermit(p PermitRequest) Result {
	if p.Fingerprint == "" || p.ID == "" {
		return Result{Err: result.New(result.InvalidField, "a permit needs a fingerprint and an id")}
	}
	r := s.records[p.Fingerprint]
	if r == nil || r.Cleared {
		return Result{} // no longer a suspect, so no permit is needed
	}
	if r.hasActivePermit(s.clock) && r.Permit.ID == p.ID && r.Permit.Holder == p.Holder {
		return Result{PermitUntilMS: r.Permit.UntilMS}
	}
	if r.ReturnedPermit == p.ID {
		return Result{Err: result.New(result.SuspectBusy, "permit %s has been given back", p.ID)}
	}
	if err := s.permitRefusal(r, p); err != nil {
		return Result{Err: err}
	}
	until := s.clock + PermitDuration.Milliseconds()
	r.Permit = &grantedPermit{p.ID, p.Holder, p.Upstream, until}
	r.NoPermitBeforeMS = until + ReportGrace.Milliseconds()
	if p.Upstream != "" {
		s.occupied[p.Upstream] = occupancy{p.Fingerprint, r.NoPermitBeforeMS}
	}
	return Result{PermitUntilMS: until}
}

func (s *State) permitRefusal(r *record, p PermitRequest) error {
	if r.quarantined(s.clock) {
		return result.New(result.Quarantined, "the request is in quarantine").After(millis(r.UntilMS - s.clock))
	}
	if s.clock < r.NoPermitBeforeMS {
		return result.New(result.SuspectBusy, "the request runs elsewhere").After(millis(r.NoPermitBeforeMS - s.clock))
	}
	if other := s.occupied[p.Upstream]; s.clock < other.UntilMS {
		return result.New(result.SuspectBusy, "another suspect runs on upstream %s", p.Upstream).
			After(millis(other.UntilMS - s.clock))
	}
	return nil
}

func (s *State) returnPermit(p PermitReturn) Result {
	r := s.records[p.Fingerprint]
	if r == nil {
		return Result{}
	}
	if r.Permit == nil || r.Permit.ID != p.ID {
		// A repeated return, a permit ended by a crash report, or a run that finished after
		// passing its probation.
		if p.Finished && r.ReturnedPermit == p.ID && r.Permit == nil && !r.quarantined(s.clock) && !r.Cleared {
			s.clearRecord(r)
		}
		return Result{}
	}
	switch {
	case p.Finished && !r.quarantined(s.clock):
		s.clearRecord(r)
	case p.Finished || p.NotRun || p.Passed:
		s.endPermit(r, s.clock)
	default:
		s.endPermit(r, s.clock+ReportGrace.Milliseconds())
	}
	return Result{}
}

// clearRecord marks a request as no longer a suspect. It keeps the counted crashes, so that
// a late report of one of them does not count again.
func (s *State) clearRecord(r *record) {
	s.version++
	s.endPermit(r, s.clock)
	*r = record{Fingerprint: r.Fingerprint, Counted: r.Counted, ReturnedPermit: r.ReturnedPermit, Cleared: true, ChangedMS: s.clock}
}

// endPermit ends the permit of a request. Neither the request nor its upstream gets
// another one before the given time.
func (s *State) endPermit(r *record, notBefore int64) {
	if r.Permit == nil {
		return
	}
	if s.occupied[r.Permit.Upstream].Fingerprint == r.Fingerprint {
		s.occupied[r.Permit.Upstream] = occupancy{r.Fingerprint, notBefore}
	}
	r.ReturnedPermit, r.NoPermitBeforeMS = r.Permit.ID, notBefore
	r.Permit = nil
}

func (s *State) liftQuarantine(policy Policy, l Lift) Result {
	r := s.records[l.Fingerprint]
	if r == nil || !r.quarantined(s.clock) {
		return Result{Err: result.New(result.ObjectUnknown, "%q is not in quarantine", l.Fingerprint)}
	}
	s.version++
	r.UntilMS = s.clock
	r.ChangedMS = s.clock
	r.Weight = policy.quarantineWeight() - crash.FullWeight
	return Result{}
}

// Suspects returns the suspects at a time, quarantined or not, ordered by fingerprint.
func (s *State) Suspects(now time.Time) []wire.Suspect {
	at := max(s.clock, now.UnixMilli())
	out := make([]wire.Suspect, 0, len(s.records))
	for _, r := range s.records {
		if !r.Cleared && at < r.expiresMS() {
			out = append(out, r.toSuspect(at))
		}
	}
	slices.SortFunc(out, func(a, b wire.Suspect) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (s *State) expireRecords() {
	if s.clock < s.nextExpiryMS {
		return
	}
	s.nextExpiryMS = s.clock + expiryInterval.Milliseconds()
	for _, r := range s.records {
		if s.clock >= r.expiresMS() && !r.hasActivePermit(s.clock) {
			s.dropRecord(r)
		}
	}
	for upstream, p := range s.occupied {
		if s.clock >= p.UntilMS {
			delete(s.occupied, upstream)
		}
	}
}

func (s *State) dropRecord(r *record) {
	if !r.Cleared {
		s.version++
	}
	s.endPermit(r, s.clock)
	delete(s.records, r.Fingerprint)
}

// trim removes records beyond MaxTracked: cleared requests first, then suspects without a
// permit, then suspects with one, and quarantined requests last; within each group, those
// with the oldest change first.
func (s *State) trim() {
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
	for _, r := range all[:len(all)-trackedAfterTrim] {
		s.dropRecord(r)
	}
}

func (s *State) rank(r *record) int {
	switch {
	case r.Cleared:
		return 0
	case r.quarantined(s.clock):
		return 3
	case r.hasActivePermit(s.clock):
		return 2
	}
	return 1
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// snapshot is the JSON form of a State.
type snapshot struct {
	ClockMS      int64                `json:"clock_ms"`
	NextExpiryMS int64                `json:"sweep_ms"`
	Version      uint64               `json:"version"`
	Records      []*record            `json:"records"`
	Occupied     map[string]occupancy `json:"placed"`
}

// Snapshot returns the state as JSON. Equal states encode to equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{ClockMS: s.clock, NextExpiryMS: s.nextExpiryMS, Version: s.version, Records: []*record{}, Occupied: s.occupied}
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

// Restore decodes the state from a snapshot.
func Restore(b []byte) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(b, &snap); err != nil {
		return nil, errors.Wrap(err, "decode quarantine snapshot")
	}
	s := New()
	s.clock, s.nextExpiryMS, s.version = snap.ClockMS, snap.NextExpiryMS, snap.Version
	for _, r := range snap.Records {
		if r == nil || r.Fingerprint == "" {
			// Earlier releases accepted reports with an empty fingerprint, which identifies no
			// request. An error here would end the process at each start.
			continue
		}
		if r.Strikes > 0 {
			r.Weight, r.Strikes = r.Strikes*crash.FullWeight, 0
		}
		s.records[r.Fingerprint] = r
	}
	maps.Copy(s.occupied, snap.Occupied)
	return s, nil
}
