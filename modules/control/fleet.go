package control

import (
	"encoding/json"
	"sync/atomic"

	"github.com/go-faster/errors"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// fleetCommand is one entry of group 0; exactly one pointer is set.
type fleetCommand struct {
	AtMS   int64            `json:"at"`
	Change *config.Change   `json:"change,omitempty"`
	Crash  *wire.CrashArgs  `json:"crash,omitempty"`
	Permit *wire.PermitArgs `json:"permit,omitempty"`
	// NewPermit is the id of the permit that may be granted.
	NewPermit wire.ID `json:"new_permit,omitempty"`
	// Lift is the fingerprint whose quarantine ends.
	Lift string `json:"lift,omitempty"`
}

// fleetReply is the answer of group 0.
type fleetReply struct {
	Answer  *config.Answer `json:"answer,omitempty"`
	Suspect []wire.Suspect `json:"suspect,omitempty"`
	Permit  wire.ID        `json:"permit,omitempty"`
	Done    bool           `json:"done,omitempty"`
	refusal
}

// refusal is a result code that a state machine answers with.
type refusal struct {
	Code    result.Code `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
	RetryMS int64       `json:"retry_ms,omitempty"`
}

func (r refusal) err() error {
	if r.Code == 0 {
		return nil
	}
	return result.New(r.Code, "%s", r.Message).After(milliseconds(r.RetryMS))
}

// fleetView is an immutable snapshot of group 0 for readers.
type fleetView struct {
	Doc *config.Document
	// JSON is the encoded document, Sum its check sum, and Steps the latest
	// changes that led to it.
	JSON  []byte
	Sum   uint64
	Steps []config.Step
	// Suspects is the position of the last change of the list.
	Suspects uint64
	List     []wire.Suspect
}

// fleet is the machine of group 0. The log owns it; others read its view.
type fleet struct {
	config   *config.State
	suspects suspectList
	version  uint64
	current  atomic.Pointer[fleetView]
	changed  broadcast
}

func newFleet() *fleet {
	f := &fleet{config: config.NewState(), suspects: newSuspects()}
	f.publish()
	return f
}

func (f *fleet) view() *fleetView { return f.current.Load() }

// Apply implements Machine.
func (f *fleet) Apply(index uint64, command []byte) []byte {
	var c fleetCommand
	var r fleetReply
	if err := json.Unmarshal(command, &c); err != nil {
		r.refusal = refusal{Code: result.MalformedBody, Message: err.Error()}
	} else {
		r = f.apply(index, c)
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode a reply of group 0")) // the types always encode
	}
	return b
}

func (f *fleet) apply(index uint64, c fleetCommand) fleetReply {
	before := f.config.Document()
	r, listed := f.step(index, c)
	if listed {
		f.version = index
	}
	if listed || f.config.Document() != before {
		f.publish()
	}
	return r
}

// step returns the answer, and whether the suspect list changed.
func (f *fleet) step(index uint64, c fleetCommand) (r fleetReply, listed bool) {
	switch {
	case c.Change != nil:
		a := f.config.Apply(index, *c.Change)
		r.Answer = &a
	case c.Crash != nil:
		r.Suspect, listed = f.suspects.crash(c.AtMS, c.Crash, f.limits(c.AtMS))
	case c.Permit != nil:
		r.Permit, r.refusal, listed = f.suspects.permit(c.AtMS, c.Permit, c.NewPermit)
	case c.Lift != "":
		r.Done = f.suspects.lift(c.Lift)
		listed = r.Done
	default:
		r.refusal = refusal{Code: result.InvalidField, Message: "empty command"}
	}
	return r, listed
}

func (f *fleet) publish() {
	doc := f.config.Document()
	v := &fleetView{Doc: doc, Steps: f.config.Steps(), Suspects: f.version, List: f.suspects.list()}
	if old := f.current.Load(); old != nil && old.Doc == doc {
		v.JSON, v.Sum = old.JSON, old.Sum
	} else {
		v.JSON, _ = json.Marshal(doc) // a document always encodes
		v.Sum = config.Sum(v.JSON)
	}
	f.current.Store(v)
	f.changed.notify()
}

type fleetSnapshot struct {
	Config   json.RawMessage `json:"config"`
	Suspects json.RawMessage `json:"suspects"`
	Version  uint64          `json:"version"`
}

// Snapshot implements Machine.
func (f *fleet) Snapshot() ([]byte, error) {
	cfg, err := f.config.Snapshot()
	if err != nil {
		return nil, err
	}
	sus, err := f.suspects.snapshot()
	if err != nil {
		return nil, err
	}
	return json.Marshal(fleetSnapshot{cfg, sus, f.version})
}

// Restore implements Machine.
func (f *fleet) Restore(b []byte) error {
	var s fleetSnapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "snapshot of group 0")
	}
	if err := f.config.Restore(s.Config); err != nil {
		return err
	}
	if err := f.suspects.restore(s.Suspects); err != nil {
		return err
	}
	f.version = s.Version
	f.publish()
	return nil
}
