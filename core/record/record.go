// Package record is the replicated state machine of idempotency records. It
// grants at most one attempt at a time for each key. Commands carry the time, so
// that all replicas make the same decisions.
package record

import (
	"slices"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Times in milliseconds.
const (
	// RetentionMS is how long a record is kept after its last change.
	RetentionMS = 24 * 3600 * 1000
	// MaxClockSkewMS is the maximum difference between the clock of an entry and
	// those of the control instances.
	MaxClockSkewMS = 5 * 60 * 1000
	// MaxAttemptAgeMS is the age above which an attempt is refused. It is shorter
	// than RetentionMS by the clock skew: an attempt may be issued up to
	// MaxClockSkewMS after the time of the state, and its record or
	// fence must not expire while the attempt could still be granted.
	MaxAttemptAgeMS = RetentionMS - MaxClockSkewMS
)

// Bounds of one log group. They allow 6 new keys a second with a retention of a day;
// a fleet that needs more has more groups.
const (
	// MaxRecords bounds the number of keys.
	MaxRecords = 1 << 19
	// MaxBytes bounds the estimated memory of records and stored responses.
	MaxBytes = 256 << 20
	// MaxResponseBytes bounds one stored response. If a response is larger, or
	// would exceed MaxBytes, only its status is kept.
	MaxResponseBytes = 1 << 20
	// MaxFencedAttempts bounds the fenced attempts of one key.
	MaxFencedAttempts = 64
	// recordOverheadBytes estimates the memory of a record without its key and
	// response. BenchmarkRecordMemory measures it.
	recordOverheadBytes = 512
	// attemptIDBytes is the memory of an attempt id with its string header.
	attemptIDBytes = 48
)

// Command is one entry of the log; exactly one of the pointers is set.
type Command struct {
	// AtMS is the proposer's clock in Unix milliseconds. The time of the state is
	// the maximum so far, so it never decreases.
	AtMS   int64            `json:"at"`
	Start  *wire.StartArgs  `json:"start,omitempty"`
	Finish *wire.FinishArgs `json:"finish,omitempty"`
	Abort  *wire.AbortArgs  `json:"abort,omitempty"`
	// EndedIncarnation is the incarnation of the record's agent if it is known to
	// have ended, and zero otherwise. A takeover requires it.
	EndedIncarnation wire.Incarnation `json:"gone,omitempty"`
}

// Reply is the result of a command.
type Reply struct {
	Granted bool        `json:"granted,omitempty"`
	Aborted bool        `json:"aborted,omitempty"`
	Record  wire.Record `json:"record"`
	// Code is set if the command was refused.
	Code    result.Code `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
}

// storedRecord is the stored state of a key. It is immutable, so that a snapshot can be
// encoded while further commands are applied.
type storedRecord struct {
	Record wire.Record `json:"record"`
	// Fenced lists the aborted and replaced attempts, which are never granted.
	Fenced []wire.ID `json:"fenced,omitempty"`
	// ExpiresMS is RetentionMS after the last change.
	ExpiresMS int64 `json:"expires"`
}

func (e *storedRecord) fenced(id wire.ID) bool { return slices.Contains(e.Fenced, id) }

func (e *storedRecord) size(key string) int64 {
	return recordOverheadBytes + int64(len(key)) + int64(len(e.Fenced)*attemptIDBytes) + responseBytes(e.Record.Headers, e.Record.Body)
}

func responseBytes(headers []wire.Header, body []byte) int64 {
	n := len(body)
	for _, h := range headers {
		n += len(h.Key) + len(h.Value)
	}
	return int64(n)
}

// State is the state machine of the records in one log group. It is not safe for
// concurrent use.
type State struct {
	nowMS       int64
	entries     map[string]*storedRecord
	bytes       int64
	expiryQueue []expiryItem
}

// expiryItem is an item of the queue of expiries, which is ordered by time. It
// has no effect if the record has been changed since it was queued.
type expiryItem struct {
	At  int64  `json:"at"`
	Key string `json:"key"`
}

// New returns an empty state.
func New() *State { return &State{entries: map[string]*storedRecord{}} }

// Len returns the number of records.
func (s *State) Len() int { return len(s.entries) }

// Bytes returns the estimated memory of the records.
func (s *State) Bytes() int64 { return s.bytes }

// Lookup returns the record of a key, or the zero value if there is none.
func (s *State) Lookup(key string) wire.Record {
	if e, ok := s.entries[key]; ok {
		return e.Record
	}
	return wire.Record{}
}

// Apply applies one command of the log.
func (s *State) Apply(c Command) Reply {
	s.nowMS = max(s.nowMS, c.AtMS)
	s.expire()
	switch {
	case c.Start != nil:
		return s.start(c.Start, c.EndedIncarnation)
	case c.Finish != nil:
		return s.finish(c.Finish)
	case c.Abort != nil:
		return s.abort(c.Abort)
	default:
		return refuse(result.InvalidField, "empty record command")
	}
}

func refuse(code result.Code, message string) Reply { return Reply{Code: code, Message: message} }

// checkIssueTime returns a refusal and true if an attempt was issued longer ago
// than MaxAttemptAgeMS, or too far in the future.
func (s *State) checkIssueTime(issuedMS int64) (Reply, bool) {
	if s.nowMS-issuedMS > MaxAttemptAgeMS {
		return refuse(result.DeadlineUnreachable, "the attempt was issued too long ago"), true
	}
	if issuedMS-s.nowMS > MaxClockSkewMS {
		return refuse(result.InvalidField, "the attempt was issued in the future"), true
	}
	return Reply{}, false
}

func (s *State) start(a *wire.StartArgs, endedIncarnation wire.Incarnation) Reply {
	if r, bad := s.checkIssueTime(a.IssuedMS); bad {
		return r
	}
	e, ok := s.entries[a.Key]
	if !ok {
		if s.full() {
			return refuse(result.RecordsUnavailable, "the records of this group are full")
		}
		return s.grant(&storedRecord{}, a)
	}
	if e.fenced(a.Attempt) {
		return Reply{Record: wire.Record{State: wire.RecordAborted, Attempt: a.Attempt}}
	}
	if e.Record.State == wire.RecordAborted {
		return s.grant(e, a)
	}
	if e.Record.BodyHash != a.BodyHash {
		return refuse(result.KeyReused, "the key was used with another request")
	}
	if e.isGrantedTo(a) {
		return Reply{Granted: true, Record: e.Record}
	}
	if e.mayTakeOver(a, endedIncarnation) {
		return s.takeOver(e, a)
	}
	return Reply{Record: e.Record}
}

func (s *State) full() bool { return len(s.entries) >= MaxRecords || s.bytes >= MaxBytes }

// isGrantedTo reports whether a repeated command comes from the attempt that
// already holds the grant. A new incarnation of the agent does not get the grant
// again, because it does not know whether the attempt has run.
func (e *storedRecord) isGrantedTo(a *wire.StartArgs) bool {
	r := &e.Record
	return r.State == wire.RecordStarted && r.Attempt == a.Attempt &&
		r.Agent == a.Agent && r.Incarnation == a.Incarnation
}

// mayTakeOver reports whether an attempt may replace the running one. Both must
// be generations, and the incarnation of the agent that runs the old one must
// have ended.
func (e *storedRecord) mayTakeOver(a *wire.StartArgs, endedIncarnation wire.Incarnation) bool {
	r := &e.Record
	return a.Takeover && a.Generation != "" && r.Generation != "" && r.Attempt != a.Attempt &&
		r.State == wire.RecordStarted && endedIncarnation != 0 && endedIncarnation == r.Incarnation && len(e.Fenced) < MaxFencedAttempts
}

// takeOver fences the running attempt and grants the new one.
func (s *State) takeOver(e *storedRecord, a *wire.StartArgs) Reply {
	next := *e
	next.Fenced = append(slices.Clip(e.Fenced), e.Record.Attempt)
	return s.grant(&next, a)
}

func (s *State) grant(e *storedRecord, a *wire.StartArgs) Reply {
	next := &storedRecord{Fenced: e.Fenced, Record: wire.Record{
		State: wire.RecordStarted, Attempt: a.Attempt, BodyHash: a.BodyHash,
		Agent: a.Agent, Incarnation: a.Incarnation, Generation: a.Generation,
	}}
	s.put(a.Key, next)
	return Reply{Granted: true, Record: next.Record}
}

// put stores the next state of a key and restarts its retention period.
func (s *State) put(key string, next *storedRecord) {
	if old, ok := s.entries[key]; ok {
		s.bytes -= old.size(key)
	}
	next.ExpiresMS = s.nowMS + RetentionMS
	s.entries[key] = next
	s.bytes += next.size(key)
	s.expiryQueue = append(s.expiryQueue, expiryItem{next.ExpiresMS, key})
}

func (s *State) finish(a *wire.FinishArgs) Reply {
	e, ok := s.entries[a.Key]
	if !ok || e.Record.Attempt != a.Attempt || e.Record.State == wire.RecordAborted {
		return refuse(result.Superseded, "the attempt does not hold the key")
	}
	if e.Record.State == wire.RecordFinished {
		return Reply{Record: e.Record}
	}
	next := *e
	next.Record.State, next.Record.Status = wire.RecordFinished, a.Status
	n := responseBytes(a.Headers, a.Body)
	if n <= MaxResponseBytes && s.bytes+n <= MaxBytes {
		next.Record.Headers, next.Record.Body = a.Headers, a.Body
	} else {
		next.Record.Dropped = true
	}
	s.put(a.Key, &next)
	return Reply{Record: next.Record}
}

func (s *State) abort(a *wire.AbortArgs) Reply {
	e, ok := s.entries[a.Key]
	if ok && e.fenced(a.Attempt) {
		return Reply{Aborted: true, Record: e.Record}
	}
	if r, bad := s.checkIssueTime(a.IssuedMS); bad {
		// The attempt may have run, and its record may have expired since.
		return refuse(result.OutcomeUnknown, r.Message)
	}
	if !ok {
		e = &storedRecord{Record: wire.Record{State: wire.RecordAborted, Attempt: a.Attempt}}
	}
	if e.Record.State != wire.RecordAborted && e.Record.Attempt == a.Attempt {
		return Reply{Record: e.Record}
	}
	if len(e.Fenced) >= MaxFencedAttempts || !ok && s.full() {
		return refuse(result.RecordsUnavailable, "no room to note the aborted attempt").withUnknownOutcome()
	}
	next := *e
	next.Fenced = append(slices.Clip(e.Fenced), a.Attempt)
	s.put(a.Key, &next)
	return Reply{Aborted: true, Record: next.Record}
}

// withUnknownOutcome changes the code of a refusal to OutcomeUnknown: the attempt
// may or may not have run.
func (r Reply) withUnknownOutcome() Reply {
	r.Code = result.OutcomeUnknown
	return r
}

// expire removes the records whose retention period has ended.
func (s *State) expire() {
	for len(s.expiryQueue) > 0 && s.expiryQueue[0].At < s.nowMS {
		item := s.expiryQueue[0]
		s.expiryQueue = s.expiryQueue[1:]
		if e, ok := s.entries[item.Key]; ok && e.ExpiresMS < s.nowMS {
			s.bytes -= e.size(item.Key)
			delete(s.entries, item.Key)
		}
	}
}
