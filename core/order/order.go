// Package order stages the orders to engines: load and unload models, adapters
// and versions, and change roles. It keeps within the budget of the weight
// store, never takes the last serving upstream of a model, and carries fencing
// tokens to engines that may ignore them.
package order

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// LeaseName is the name of the lease that an issuer of orders holds.
const LeaseName = "orders"

// Bounds.
const (
	// MaxOpen bounds the orders that are not finished.
	MaxOpen = 1024
	// MaxFinished is the number of finished orders kept to answer repeated
	// calls.
	MaxFinished = 1024
	// MaxRunMS is how long an order may run; an upstream that has not finished
	// by then no longer counts against the budget.
	MaxRunMS = 30 * 60 * 1000
	// MembershipLagMS is how long after an order's end the membership may still show
	// the upstream as it was before: an announcement, a digest and a margin.
	MembershipLagMS = 10 * 1000
)

// Status is how far an order has come.
type Status string

// The states of an order.
const (
	// Staged orders wait for the budget or for another upstream.
	Staged Status = "staged"
	// Released orders are given to the agent.
	Released Status = "released"
	Done     Status = "done"
	Failed   Status = "failed"
	// Cancelled orders were never released.
	Cancelled Status = "cancelled"
)

// Record is an order with its state.
type Record struct {
	Order   wire.Order `json:"order"`
	Status  Status     `json:"status"`
	Message string     `json:"message,omitempty"`
	// AtMS is the time of the last change.
	AtMS int64 `json:"at_ms"`
}

func (e *Record) unfinished() bool { return e.Status == Staged || e.Status == Released }

// Command is one entry of the log; exactly one part is set.
type Command struct {
	Stage   *wire.Order         `json:"stage,omitempty"`
	Release []wire.ID           `json:"release,omitempty"`
	Done    *wire.OrderDoneArgs `json:"done,omitempty"`
	Cancel  wire.ID             `json:"cancel,omitempty"`
}

// ApplyContext is what a command is judged by, from the same log group.
type ApplyContext struct {
	AtMS int64
	// Fence is the fencing token of the lease if it is held, zero if not.
	Fence uint64
	// MaxLoads is the budget of the weight store.
	MaxLoads int
}

// Reply is the answer to a command.
type Reply struct {
	Record Record `json:"entry"`
	// Code is set when the command was refused.
	Code    result.Code `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
}

func refuse(code result.Code, message string) Reply { return Reply{Code: code, Message: message} }

// State is the orders of log group 0, in the order of staging. It is not safe
// for concurrent use.
type State struct{ records []Record }

// New returns a state without orders.
func New() *State { return &State{} }

// List returns a copy of all orders that are kept.
func (s *State) List() []Record { return slices.Clone(s.records) }

// Apply handles one command.
func (s *State) Apply(x ApplyContext, c Command) Reply {
	s.expire(x.AtMS)
	switch {
	case c.Stage != nil:
		return s.stage(x, *c.Stage)
	case c.Done != nil:
		return s.done(x, c.Done)
	case c.Cancel != "":
		return s.cancel(x, c.Cancel)
	default:
		s.release(x, c.Release)
		return Reply{}
	}
}

func (s *State) find(id wire.ID) *Record {
	i := slices.IndexFunc(s.records, func(e Record) bool { return e.Order.ID == id })
	if i < 0 {
		return nil
	}
	return &s.records[i]
}

func (s *State) stage(x ApplyContext, o wire.Order) Reply {
	if e := s.find(o.ID); e != nil {
		return Reply{Record: *e}
	}
	if err := validate(o); err != nil {
		return refuse(result.InvalidField, err.Error())
	}
	if x.Fence == 0 || o.Fence != x.Fence {
		return refuse(result.FenceStale, "the issuer does not hold the lease of orders")
	}
	s.cancelStale(x)
	if s.count(func(e *Record) bool { return e.unfinished() }) >= MaxOpen {
		return refuse(result.QueueFull, "too many orders are open")
	}
	s.records = append(s.records, Record{Order: o, Status: Staged, AtMS: x.AtMS})
	return Reply{Record: s.records[len(s.records)-1]}
}

func validate(o wire.Order) error {
	if o.ID == "" || o.Upstream == "" {
		return errors.New("an order needs an id and an upstream")
	}
	switch o.Kind {
	case wire.LoadModel, wire.UnloadModel, wire.SetVersion:
		if o.Model == "" {
			return errors.Errorf("order %s needs a model", o.Kind)
		}
	case wire.LoadAdapter, wire.UnloadAdapter:
		if o.Adapter == "" {
			return errors.Errorf("order %s needs an adapter", o.Kind)
		}
	case wire.SetRole:
		if o.Role == "" {
			return errors.Errorf("order %s needs a role", o.Kind)
		}
	default:
		return errors.Errorf("unknown kind of order %q", o.Kind)
	}
	return nil
}

// dropOlder cancels what an earlier holder of the lease left staged: the new
// holder decides from what it sees now.
func (s *State) cancelStale(x ApplyContext) {
	for i := range s.records {
		e := &s.records[i]
		if e.Status == Staged && e.Order.Fence < x.Fence {
			e.finish(x, Cancelled, "another issuer has taken over")
		}
	}
}

func (e *Record) finish(x ApplyContext, status Status, message string) {
	e.Status, e.Message, e.AtMS = status, message, x.AtMS
}

func (s *State) count(match func(*Record) bool) (n int) {
	for i := range s.records {
		if match(&s.records[i]) {
			n++
		}
	}
	return n
}

func (s *State) releasedLoads() int {
	return s.count(func(e *Record) bool { return e.Status == Released && e.Order.Kind.Loads() })
}

// release hands out orders, as far as the budget still allows.
func (s *State) release(x ApplyContext, ids []wire.ID) {
	for _, id := range ids {
		e := s.find(id)
		if e == nil || e.Status != Staged || e.Order.Kind.Loads() && s.releasedLoads() >= x.MaxLoads {
			continue
		}
		e.Status, e.AtMS = Released, x.AtMS
	}
}

func (s *State) done(x ApplyContext, a *wire.OrderDoneArgs) Reply {
	e := s.find(a.ID)
	if e == nil || e.Order.Upstream != a.Upstream {
		return refuse(result.ObjectUnknown, "no such order of this upstream")
	}
	if e.Status != Released {
		return Reply{Record: *e}
	}
	status := Done
	if !a.OK {
		status = Failed
	}
	e.finish(x, status, a.Message)
	r := Reply{Record: *e}
	s.trimFinished()
	return r
}

func (s *State) cancel(x ApplyContext, id wire.ID) Reply {
	e := s.find(id)
	if e == nil {
		return refuse(result.ObjectUnknown, "no such order")
	}
	if e.Status == Staged {
		e.finish(x, Cancelled, "cancelled by an operator")
	}
	return Reply{Record: *e}
}

func (s *State) expire(nowMS int64) {
	for i := range s.records {
		e := &s.records[i]
		if e.Status == Released && nowMS-e.AtMS > MaxRunMS {
			e.finish(ApplyContext{AtMS: nowMS}, Failed, "not finished in time")
		}
	}
	s.trimFinished()
}

func (s *State) trimFinished() {
	excess := s.count(func(e *Record) bool { return !e.unfinished() }) - MaxFinished
	s.records = slices.DeleteFunc(s.records, func(e Record) bool {
		excess--
		if e.unfinished() {
			excess++
		}
		return !e.unfinished() && excess >= 0
	})
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s.records) }

// Restore replaces the state by an encoded one.
func (s *State) Restore(b []byte) error {
	var records []Record
	if err := json.Unmarshal(b, &records); err != nil {
		return errors.Wrap(err, "order snapshot")
	}
	s.records = records
	return nil
}
