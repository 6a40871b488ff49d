package control

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/config"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// fleetCommand is one entry of group 0; exactly one pointer is set.
type fleetCommand struct {
	AtMS       int64               `json:"at"`
	Change     *config.Change      `json:"change,omitempty"`
	Quarantine *quarantine.Command `json:"quarantine,omitempty"`
}

// fleetReply is the answer of group 0.
type fleetReply struct {
	Answer  *config.Answer `json:"answer,omitempty"`
	Suspect []wire.Suspect `json:"suspect,omitempty"`
	refusal
}

// refusal is a result code that a state machine answers with.
type refusal struct {
	Code    result.Code `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
	RetryMS int64       `json:"retry_ms,omitempty"`
}

func refusalOf(err error) refusal {
	if err == nil {
		return refusal{}
	}
	e := result.From(err)
	return refusal{e.Code, e.Message, e.RetryAfter.Milliseconds()}
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
	// Suspects is the version of the list.
	Suspects uint64
	List     []wire.Suspect
}

// fleet is the machine of group 0. The log owns it; others read its view.
type fleet struct {
	config     *config.State
	quarantine *quarantine.State
	current    atomic.Pointer[fleetView]
	changed    broadcast
}

func newFleet() *fleet {
	f := &fleet{config: config.NewState(), quarantine: quarantine.New()}
	f.publish(0)
	return f
}

func (f *fleet) view() *fleetView { return f.current.Load() }

// Apply implements replica.StateMachine.
func (f *fleet) Apply(index uint64, command []byte) []byte {
	var c fleetCommand
	var r fleetReply
	if err := json.Unmarshal(command, &c); err != nil {
		r.refusal = refusal{Code: result.MalformedBody, Message: err.Error()}
	} else {
		r = f.step(index, c)
		f.publish(c.AtMS)
	}
	return mustEncode(r)
}

// mustEncode encodes a value whose type always encodes.
func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrapf(err, "encode %T", v))
	}
	return b
}

func (f *fleet) step(index uint64, c fleetCommand) (r fleetReply) {
	switch {
	case c.Change != nil:
		a := f.config.Apply(index, *c.Change)
		r.Answer = &a
	case c.Quarantine != nil:
		q := *c.Quarantine
		q.AtMS, q.Rule = c.AtMS, f.rule(c.AtMS)
		a := f.quarantine.Apply(q)
		r.Suspect, r.refusal = a.Suspects, refusalOf(a.Err)
	default:
		r.refusal = refusal{Code: result.InvalidField, Message: "empty command"}
	}
	return r
}

// rule returns the configuration of the quarantine. It is the same on every
// replica, since the configuration is part of the same group.
func (f *fleet) rule(atMS int64) quarantine.Rule {
	doc, now := f.config.Document(), time.UnixMilli(atMS)
	return quarantine.Rule{
		Crashes:  uint32(doc.Int("quarantine.crashes", config.Scope{}, now)),
		PeriodMS: doc.Duration("quarantine.period", config.Scope{}, now).Milliseconds(),
	}
}

// publish replaces the view if something in it has changed.
func (f *fleet) publish(atMS int64) {
	doc, old := f.config.Document(), f.current.Load()
	if old != nil && old.Doc == doc && old.Suspects == f.quarantine.Version() {
		return
	}
	v := &fleetView{Doc: doc, Steps: f.config.Steps(), Suspects: f.quarantine.Version()}
	v.List = f.quarantine.List(time.UnixMilli(atMS))
	if old != nil && old.Doc == doc {
		v.JSON, v.Sum = old.JSON, old.Sum
	} else {
		v.JSON = mustEncode(doc)
		v.Sum = config.Sum(v.JSON)
	}
	f.current.Store(v)
	f.changed.notify()
}

type fleetSnapshot struct {
	Config     json.RawMessage `json:"config"`
	Quarantine json.RawMessage `json:"quarantine"`
}

// Freeze implements replica.Freezer. The state is a few megabytes at most, so
// it is encoded at once.
func (f *fleet) Freeze() func() []byte {
	b := f.Snapshot()
	return func() []byte { return b }
}

// Snapshot implements replica.StateMachine.
func (f *fleet) Snapshot() []byte {
	cfg, err := f.config.Snapshot()
	if err != nil {
		panic(err) // the types always encode
	}
	sus, err := f.quarantine.Snapshot()
	if err != nil {
		panic(err) // the types always encode
	}
	return mustEncode(fleetSnapshot{cfg, sus})
}

// Restore implements replica.StateMachine.
func (f *fleet) Restore(b []byte) error {
	var s fleetSnapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "snapshot of group 0")
	}
	if err := f.config.Restore(s.Config); err != nil {
		return err
	}
	q, err := quarantine.Restore(s.Quarantine)
	if err != nil {
		return err
	}
	f.quarantine = q
	f.publish(0)
	return nil
}
