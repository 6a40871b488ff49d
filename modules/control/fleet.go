package control

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/config"
	"heatherway.dev/core/lease"
	"heatherway.dev/core/order"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// fleetCommand is a command of group 0; exactly one pointer is set, or
// RecordGroups.
type fleetCommand struct {
	AtMS       int64               `json:"at"`
	Change     *config.Change      `json:"change,omitempty"`
	Quarantine *quarantine.Command `json:"quarantine,omitempty"`
	Lease      *lease.Command      `json:"lease,omitempty"`
	Order      *order.Command      `json:"order,omitempty"`
	// RecordGroups sets the number of record groups; only the first such
	// command has an effect.
	RecordGroups int `json:"record_groups,omitempty"`
}

// fleetReply is the reply to a command of group 0.
type fleetReply struct {
	ChangeResult *config.ChangeResult `json:"answer,omitempty"`
	Suspects     []wire.Suspect       `json:"suspect,omitempty"`
	Lease        *lease.Reply         `json:"lease,omitempty"`
	Order        *order.Record        `json:"order,omitempty"`
	refusal
}

// refusal is the result code with which a state machine refuses a command; zero
// means that the command was accepted.
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
	// Version is the log index of the last command that changed the view.
	Version uint64
	Doc     *config.Document
	// RecordGroups is the agreed number of record groups, or zero if there is
	// none yet.
	RecordGroups int
	// JSON is the encoded document, Checksum its checksum, and ConfigDeltas the
	// latest changes that led to it.
	JSON         []byte
	Checksum     uint64
	ConfigDeltas []config.Delta
	// SuspectsVersion is the version of SuspectList.
	SuspectsVersion uint64
	SuspectList     []wire.Suspect
	// SuspectDeltas are the latest changes of SuspectList.
	SuspectDeltas []quarantine.Delta
	Leases        []lease.Lease
	// Orders are all stored orders, and Released those in progress, by
	// upstream.
	Orders   []order.Record
	Released map[string][]wire.Order
}

// fleetMachine is the state machine of group 0. It is owned by the log's
// goroutine; others read its view.
type fleetMachine struct {
	config     *config.State
	quarantine *quarantine.State
	leases     *lease.State
	orders     *order.State
	// needsPublish is set when leases, orders or the number of record groups
	// may have changed since the last view.
	needsPublish bool
	version      uint64
	recordGroups int
	current      atomic.Pointer[fleetView]
	// changeHistory is separate from the view, since refused changes are part
	// of it but do not change the view.
	changeHistory atomic.Pointer[[]config.ChangeRecord]
	changed       broadcast
}

func newFleetMachine() *fleetMachine {
	f := &fleetMachine{config: config.NewState(), quarantine: quarantine.New(), leases: lease.New(), orders: order.New()}
	f.publishHistory()
	f.publish(0, 0)
	return f
}

func (f *fleetMachine) publishHistory() {
	history := f.config.History()
	f.changeHistory.Store(&history)
}

// history returns the configuration changes that were answered, the oldest
// first.
func (f *fleetMachine) history() []config.ChangeRecord { return *f.changeHistory.Load() }

func (f *fleetMachine) view() *fleetView { return f.current.Load() }

// Apply implements replica.StateMachine.
func (f *fleetMachine) Apply(index uint64, command []byte) []byte {
	var c fleetCommand
	var r fleetReply
	if err := json.Unmarshal(command, &c); err != nil {
		r.refusal = refusal{Code: result.MalformedBody, Message: err.Error()}
	} else {
		r = f.applyCommand(index, c)
		f.publish(index, c.AtMS)
	}
	return mustEncode(r)
}

// mustEncode encodes a value of a type whose encoding cannot fail.
func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrapf(err, "encode %T", v))
	}
	return b
}

func (f *fleetMachine) applyCommand(index uint64, c fleetCommand) (r fleetReply) {
	switch {
	case c.Change != nil:
		change := *c.Change
		change.AtMS = c.AtMS
		a := f.config.Apply(index, change)
		r.ChangeResult = &a
		f.publishHistory()
	case c.Quarantine != nil:
		q := *c.Quarantine
		q.AtMS, q.Rule = c.AtMS, f.quarantinePolicy(c.AtMS)
		a := f.quarantine.Apply(q)
		r.Suspects, r.refusal = a.Suspects, refusalOf(a.Err)
	case c.Lease != nil:
		a := f.leases.Apply(index, *c.Lease)
		r.Lease, r.refusal, f.needsPublish = &a, refusal{Code: a.Code, Message: a.Message}, true
	case c.Order != nil:
		a := f.orders.Apply(f.orderContext(c.AtMS), *c.Order)
		r.Order, r.refusal, f.needsPublish = &a.Record, refusal{Code: a.Code, Message: a.Message}, true
	case c.RecordGroups > 0:
		if f.recordGroups == 0 {
			f.recordGroups, f.needsPublish = c.RecordGroups, true
		}
	default:
		r.refusal = refusal{Code: result.InvalidField, Message: "empty command"}
	}
	return r
}

func (f *fleetMachine) orderContext(atMS int64) order.ApplyContext {
	ctx := order.ApplyContext{AtMS: atMS, MaxLoads: f.maxLoads(atMS)}
	if l := f.leases.Get(order.LeaseName); l.Holder != "" {
		ctx.Fence = l.Fence
	}
	return ctx
}

func (f *fleetMachine) maxLoads(atMS int64) int {
	return int(f.config.Document().Int("weights.loads", config.Scope{}, time.UnixMilli(atMS)))
}

// quarantinePolicy returns the configured quarantine policy. It is the same on
// every replica, since the configuration belongs to the same group.
func (f *fleetMachine) quarantinePolicy(atMS int64) quarantine.Policy {
	doc, now := f.config.Document(), time.UnixMilli(atMS)
	return quarantine.Policy{
		Crashes:  uint32(doc.Int("quarantine.crashes", config.Scope{}, now)),
		PeriodMS: doc.Duration("quarantine.period", config.Scope{}, now).Milliseconds(),
	}
}

// publish replaces the view if something in it has changed.
func (f *fleetMachine) publish(index uint64, atMS int64) {
	doc, old := f.config.Document(), f.current.Load()
	if old != nil && old.Doc == doc && old.SuspectsVersion == f.quarantine.Version() && !f.needsPublish {
		return
	}
	f.version = index
	v := &fleetView{Version: index, Doc: doc, RecordGroups: f.recordGroups, ConfigDeltas: f.config.Deltas(), SuspectsVersion: f.quarantine.Version()}
	f.publishSuspects(v, old, atMS)
	if old != nil && old.Doc == doc {
		v.JSON, v.Checksum = old.JSON, old.Checksum
	} else {
		v.JSON = mustEncode(doc)
		v.Checksum = config.Checksum(v.JSON)
	}
	f.publishOrders(v, old)
	f.current.Store(v)
	f.changed.notify()
}

// maxSuspectDeltas bounds the deltas that are kept for processes that are
// slightly behind.
const maxSuspectDeltas = 512

func (f *fleetMachine) publishSuspects(v, old *fleetView, atMS int64) {
	if old != nil && old.SuspectsVersion == v.SuspectsVersion {
		v.SuspectList, v.SuspectDeltas = old.SuspectList, old.SuspectDeltas
		return
	}
	v.SuspectList = f.quarantine.Suspects(time.UnixMilli(atMS))
	if old == nil || atMS == 0 {
		return // restored from a snapshot: the changes since the old view are not known
	}
	updated, removed := quarantine.Diff(old.SuspectList, v.SuspectList)
	deltas := append(old.SuspectDeltas, quarantine.Delta{From: old.SuspectsVersion, To: v.SuspectsVersion, Updated: updated, Removed: removed})
	v.SuspectDeltas = deltas[max(0, len(deltas)-maxSuspectDeltas):]
}

func (f *fleetMachine) publishOrders(v, old *fleetView) {
	if old != nil && !f.needsPublish {
		v.Leases, v.Orders, v.Released = old.Leases, old.Orders, old.Released
		return
	}
	f.needsPublish = false
	v.Leases, v.Orders, v.Released = f.leases.List(), f.orders.List(), map[string][]wire.Order{}
	for _, e := range v.Orders {
		if e.Status == order.Released {
			v.Released[e.Order.Upstream] = append(v.Released[e.Order.Upstream], e.Order)
		}
	}
}

type fleetSnapshot struct {
	Version      uint64          `json:"version"`
	RecordGroups int             `json:"record_groups"`
	Config       json.RawMessage `json:"config"`
	Quarantine   json.RawMessage `json:"quarantine"`
	Leases       json.RawMessage `json:"leases"`
	Orders       json.RawMessage `json:"orders"`
}

// Freeze implements replica.Freezer. The state is a few megabytes at most, so
// it is encoded immediately.
func (f *fleetMachine) Freeze() func() []byte {
	b := f.Snapshot()
	return func() []byte { return b }
}

// Snapshot implements replica.StateMachine.
func (f *fleetMachine) Snapshot() []byte {
	return mustEncode(fleetSnapshot{
		Version:      f.version,
		RecordGroups: f.recordGroups,
		Config:       mustSnapshot(f.config.Snapshot()),
		Quarantine:   mustSnapshot(f.quarantine.Snapshot()),
		Leases:       mustSnapshot(f.leases.Snapshot()),
		Orders:       mustSnapshot(f.orders.Snapshot()),
	})
}

func mustSnapshot(b []byte, err error) json.RawMessage {
	if err != nil {
		panic(err) // the encoding of these types cannot fail
	}
	return b
}

// Restore implements replica.StateMachine.
func (f *fleetMachine) Restore(b []byte) error {
	var s fleetSnapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "decode snapshot of group 0")
	}
	q, err := quarantine.Restore(s.Quarantine)
	if err != nil {
		return err
	}
	f.quarantine = q
	if err := f.config.Restore(s.Config); err != nil {
		return err
	}
	if err := f.leases.Restore(s.Leases); err != nil {
		return err
	}
	if err := f.orders.Restore(s.Orders); err != nil {
		return err
	}
	f.recordGroups, f.needsPublish = s.RecordGroups, true
	f.publishHistory()
	f.publish(s.Version, 0)
	return nil
}
