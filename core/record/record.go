// Package record is the replicated state machine of idempotency records: it
// grants at most one attempt for each key. Time is part of each command, so
// that every replica decides alike.
package record

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// Times in milliseconds.
const (
	// KeepMS is how long a record stays after its last change.
	KeepMS = 24 * 3600 * 1000
	// SkewMS is the most by which an entry's clock may differ from the
	// proposer's.
	SkewMS = 5 * 60 * 1000
	// MaxAgeMS is the age from which an attempt is refused. Records and
	// tombstones outlive every attempt that they must refuse.
	MaxAgeMS = KeepMS - SkewMS
)

// Bounds of one group.
const (
	// MaxRecords bounds the number of keys.
	MaxRecords = 1 << 20
	// MaxBytes bounds the stored keys and answers.
	MaxBytes = 1 << 30
	// MaxAnswerBytes bounds one stored answer. A longer one is stored as
	// finished without its body.
	MaxAnswerBytes = 1 << 20
	// recordBytes estimates the memory of a record without key and answer.
	recordBytes = 512
)

// Command is one entry of the log; exactly one of the pointers is set.
type Command struct {
	// AtMS is the proposer's clock in Unix milliseconds. The state's time never
	// goes back.
	AtMS   int64            `json:"at"`
	Start  *wire.StartArgs  `json:"start,omitempty"`
	Finish *wire.FinishArgs `json:"finish,omitempty"`
	Abort  *wire.AbortArgs  `json:"abort,omitempty"`
	// Gone tells, for a takeover, that the incarnation of the record's agent is
	// known to be gone.
	Gone wire.Incarnation `json:"gone,omitempty"`
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

// entry is the stored state of a key.
type entry struct {
	Record wire.Record `json:"record"`
	// Fenced lists aborted attempts, which are never granted.
	Fenced []wire.ID `json:"fenced,omitempty"`
	// ExpiresMS is pushed back by each change.
	ExpiresMS int64 `json:"expires"`
}

// State is the records of one group. It is not safe for concurrent use.
type State struct {
	now     int64
	entries map[string]*entry
	bytes   int64
	queue   []due
}

// due is a place in the order of expiry; it is stale when the entry's own time
// is later.
type due struct {
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
	s.now = max(s.now, c.AtMS)
	s.expire()
	switch {
	case c.Start != nil:
		return s.start(c.Start, c.Gone)
	case c.Finish != nil:
		return s.finish(c.Finish)
	case c.Abort != nil:
		return s.abort(c.Abort)
	default:
		return refuse(result.InvalidField, "empty record command")
	}
}

func refuse(code result.Code, message string) Reply { return Reply{Code: code, Message: message} }

func (s *State) tooOld(issuedMS int64) bool { return s.now-issuedMS > MaxAgeMS }

func (s *State) start(a *wire.StartArgs, gone wire.Incarnation) Reply {
	if s.tooOld(a.IssuedMS) {
		return refuse(result.DeadlineUnreachable, "the attempt was issued too long ago")
	}
	if a.IssuedMS-s.now > SkewMS {
		return refuse(result.InvalidField, "the attempt was issued in the future")
	}
	e, ok := s.entries[a.Key]
	if !ok {
		return s.claim(a)
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
	if e.Record.Attempt == a.Attempt {
		return Reply{Granted: e.Record.State == wire.RecordStarted, Record: e.Record}
	}
	if e.mayTakeOver(a, gone) {
		return s.grant(e, a)
	}
	return Reply{Record: e.Record}
}

func (e *entry) fenced(id wire.ID) bool {
	for _, f := range e.Fenced {
		if f == id {
			return true
		}
	}
	return false
}

// mayTakeOver tells whether a generation may replace the running attempt: only
// if that is a generation too and its agent is gone.
func (e *entry) mayTakeOver(a *wire.StartArgs, gone wire.Incarnation) bool {
	r := &e.Record
	return a.Takeover && a.Generation != "" && r.Generation != "" &&
		r.State == wire.RecordStarted && gone != 0 && gone == r.Incarnation
}

func (s *State) claim(a *wire.StartArgs) Reply {
	if len(s.entries) >= MaxRecords || s.bytes >= MaxBytes {
		return refuse(result.RecordsUnavailable, "the records of this group are full")
	}
	return s.grant(s.insert(a.Key), a)
}

func (s *State) insert(key string) *entry {
	e := &entry{}
	s.entries[key] = e
	s.bytes += recordBytes + int64(len(key))
	return e
}

func (s *State) grant(e *entry, a *wire.StartArgs) Reply {
	e.Record = wire.Record{
		State: wire.RecordStarted, Attempt: a.Attempt, BodyHash: a.BodyHash,
		Agent: a.Agent, Incarnation: a.Incarnation, Generation: a.Generation,
	}
	s.touch(a.Key, e)
	return Reply{Granted: true, Record: e.Record}
}

func (s *State) touch(key string, e *entry) {
	e.ExpiresMS = s.now + KeepMS
	s.queue = append(s.queue, due{e.ExpiresMS, key})
}

func (s *State) finish(a *wire.FinishArgs) Reply {
	e, ok := s.entries[a.Key]
	if !ok || e.Record.Attempt != a.Attempt || e.Record.State == wire.RecordAborted {
		return refuse(result.Superseded, "the attempt does not hold the key")
	}
	if e.Record.State == wire.RecordFinished {
		return Reply{Record: e.Record}
	}
	e.Record.State, e.Record.Status = wire.RecordFinished, a.Status
	if answerBytes(a.Headers, a.Body) <= MaxAnswerBytes {
		e.Record.Headers, e.Record.Body = a.Headers, a.Body
		s.bytes += answerBytes(a.Headers, a.Body)
	}
	s.touch(a.Key, e)
	return Reply{Record: e.Record}
}

func answerBytes(headers []wire.Header, body []byte) int64 {
	n := len(body)
	for _, h := range headers {
		n += len(h.Key) + len(h.Value)
	}
	return int64(n)
}

func (s *State) abort(a *wire.AbortArgs) Reply {
	if s.tooOld(a.IssuedMS) {
		return s.abortOld(a)
	}
	e, ok := s.entries[a.Key]
	if !ok {
		if len(s.entries) >= MaxRecords {
			return refuse(result.RecordsUnavailable, "the records of this group are full")
		}
		e = s.insert(a.Key)
		e.Record = wire.Record{State: wire.RecordAborted, Attempt: a.Attempt}
	}
	if e.fenced(a.Attempt) {
		return Reply{Aborted: true, Record: e.Record}
	}
	if e.Record.State != wire.RecordAborted && e.Record.Attempt == a.Attempt {
		return Reply{Record: e.Record}
	}
	e.Fenced = append(e.Fenced, a.Attempt)
	s.touch(a.Key, e)
	return Reply{Aborted: true, Record: e.Record}
}

// abortOld answers for an attempt that could no longer start. Its record may
// have expired, so only a record that is still there proves anything.
func (s *State) abortOld(a *wire.AbortArgs) Reply {
	if e, ok := s.entries[a.Key]; ok && e.fenced(a.Attempt) {
		return Reply{Aborted: true, Record: e.Record}
	}
	return refuse(result.OutcomeUnknown, "the attempt is too old to tell")
}

func (s *State) expire() {
	for len(s.queue) > 0 && s.queue[0].At <= s.now {
		d := s.queue[0]
		s.queue = s.queue[1:]
		if e, ok := s.entries[d.Key]; ok && e.ExpiresMS <= s.now {
			s.bytes -= recordBytes + int64(len(d.Key)) + answerBytes(e.Record.Headers, e.Record.Body)
			delete(s.entries, d.Key)
		}
	}
}

type snapshot struct {
	Now     int64             `json:"now"`
	Bytes   int64             `json:"bytes"`
	Entries map[string]*entry `json:"entries"`
	Queue   []due             `json:"queue"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{s.now, s.bytes, s.entries, s.queue})
}

// Restore replaces the state by an encoded one.
func (s *State) Restore(b []byte) error {
	sn := snapshot{Entries: map[string]*entry{}}
	if err := json.Unmarshal(b, &sn); err != nil {
		return errors.Wrap(err, "record snapshot")
	}
	*s = State{now: sn.Now, entries: sn.Entries, bytes: sn.Bytes, queue: sn.Queue}
	return nil
}
