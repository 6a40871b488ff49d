// Package record is the replicated state machine of idempotency records: it
// grants at most one attempt for each key. Time is part of each command, so
// that every replica decides alike.
package record

import (
	"slices"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Times in milliseconds.
const (
	// RetentionMS is how long a record stays after its last change.
	RetentionMS = 24 * 3600 * 1000
	// MaxClockSkewMS is the most by which an entry's clock may differ from the clocks of
	// the control instances.
	MaxClockSkewMS = 5 * 60 * 1000
	// MaxAttemptAgeMS is the age from which an attempt is refused. An attempt is issued
	// at most SkewMS after the record's own time, so that a record or a fence
	// outlives every attempt that it must refuse.
	MaxAttemptAgeMS = RetentionMS - MaxClockSkewMS
)

// Bounds of one group. They allow 6 claims a second all day; a fleet that needs
// more has more groups.
const (
	// MaxRecords bounds the number of keys.
	MaxRecords = 1 << 19
	// MaxBytes bounds the estimated memory of records and answers.
	MaxBytes = 256 << 20
	// MaxResponseBytes bounds one stored answer. Of a longer one, or one that no
	// longer fits MaxBytes, only the status is kept.
	MaxResponseBytes = 1 << 20
	// MaxFencedAttempts bounds the aborted attempts of one key.
	MaxFencedAttempts = 64
	// recordBytes estimates the memory of a record without its key and answer.
	// BenchmarkRecordMemory measures it.
	recordOverheadBytes = 512
	// idBytes is the memory of one attempt id with its string header.
	attemptIDBytes = 48
)

// Command is one entry of the log; exactly one of the pointers is set.
type Command struct {
	// AtMS is the proposer's clock in Unix milliseconds. The state's time never
	// goes back.
	AtMS   int64            `json:"at"`
	Start  *wire.StartArgs  `json:"start,omitempty"`
	Finish *wire.FinishArgs `json:"finish,omitempty"`
	Abort  *wire.AbortArgs  `json:"abort,omitempty"`
	// EndedIncarnation is the incarnation of the record's agent if that is known to have
	// ended; a takeover needs it.
	EndedIncarnation wire.Incarnation `json:"gone,omitempty"`
}

// Reply is the answer to a command.
type Reply struct {
	Granted bool        `json:"granted,omitempty"`
	Aborted bool        `json:"aborted,omitempty"`
	Record  wire.Record `json:"record"`
	// Code is set when the command was refused.
	Code    result.Code `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
}

// entry is the stored state of a key. It is replaced, never changed, so that a
// snapshot can be encoded while commands go on.
type entry struct {
	Record wire.Record `json:"record"`
	// Fenced lists aborted and replaced attempts, which are never granted.
	Fenced []wire.ID `json:"fenced,omitempty"`
	// ExpiresMS is pushed back by each change.
	ExpiresMS int64 `json:"expires"`
}

func (e *entry) fenced(id wire.ID) bool { return slices.Contains(e.Fenced, id) }

func (e *entry) size(key string) int64 {
	return recordOverheadBytes + int64(len(key)) + int64(len(e.Fenced)*attemptIDBytes) + responseBytes(e.Record.Headers, e.Record.Body)
}

func responseBytes(headers []wire.Header, body []byte) int64 {
	n := len(body)
	for _, h := range headers {
		n += len(h.Key) + len(h.Value)
	}
	return int64(n)
}

// State is the records of one group. It is not safe for concurrent use.
type State struct {
	nowMS       int64
	entries     map[string]*entry
	bytes       int64
	expiryQueue []expiryItem
}

// due is a place in the order of expiry. It is void when the record has been
// changed since.
type expiryItem struct {
	At  int64  `json:"at"`
	Key string `json:"key"`
}

// New returns an empty state.
func New() *State { return &State{entries: map[string]*entry{}} }

// Len returns the number of records.
func (s *State) Len() int { return len(s.entries) }

// Bytes returns the estimated memory of the records.
func (s *State) Bytes() int64 { return s.bytes }

// Lookup returns the record of a key.
func (s *State) Lookup(key string) wire.Record {
	if e, ok := s.entries[key]; ok {
		return e.Record
	}
	return wire.Record{}
}

// Apply handles one command.
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

// untimely returns a refusal for an attempt whose age a record could not cover.
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
		return s.grant(&entry{}, a)
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

// holds tells whether the running attempt asks again. A new life of its agent
// knows nothing of the run and gets no grant.
func (e *entry) isGrantedTo(a *wire.StartArgs) bool {
	r := &e.Record
	return r.State == wire.RecordStarted && r.Attempt == a.Attempt &&
		r.Agent == a.Agent && r.Incarnation == a.Incarnation
}

// mayTakeOver tells whether a generation may replace the running attempt: only
// if that is a generation too and its agent is gone.
func (e *entry) mayTakeOver(a *wire.StartArgs, endedIncarnation wire.Incarnation) bool {
	r := &e.Record
	return a.Takeover && a.Generation != "" && r.Generation != "" && r.Attempt != a.Attempt &&
		r.State == wire.RecordStarted && endedIncarnation != 0 && endedIncarnation == r.Incarnation && len(e.Fenced) < MaxFencedAttempts
}

func (s *State) takeOver(e *entry, a *wire.StartArgs) Reply {
	next := *e
	next.Fenced = append(slices.Clip(e.Fenced), e.Record.Attempt)
	return s.grant(&next, a)
}

func (s *State) grant(e *entry, a *wire.StartArgs) Reply {
	next := &entry{Fenced: e.Fenced, Record: wire.Record{
		State: wire.RecordStarted, Attempt: a.Attempt, BodyHash: a.BodyHash,
		Agent: a.Agent, Incarnation: a.Incarnation, Generation: a.Generation,
	}}
	s.put(a.Key, next)
	return Reply{Granted: true, Record: next.Record}
}

// put stores the next state of a key for another KeepMS.
func (s *State) put(key string, next *entry) {
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
		// The attempt may have run under a record that has expired.
		return refuse(result.OutcomeUnknown, r.Message)
	}
	if !ok {
		e = &entry{Record: wire.Record{State: wire.RecordAborted, Attempt: a.Attempt}}
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

// unknown turns a refusal into one that says nothing about whether the attempt
// ran.
func (r Reply) withUnknownOutcome() Reply {
	r.Code = result.OutcomeUnknown
	return r
}

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
