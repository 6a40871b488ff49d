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

func (rec *Record) unfinished() bool { return rec.Status == Staged || rec.Status == Released }

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
func (s *State) Apply(ctx ApplyContext, c Command) Reply {
	s.expire(ctx.AtMS)
	switch {
	case c.Stage != nil:
		return s.stage(ctx, *c.Stage)
	case c.Done != nil:
		return s.done(ctx, c.Done)
	case c.Cancel != "":
		return s.cancel(ctx, c.Cancel)
	default:
		s.release(ctx, c.Release)
		return Reply{}
	}
}

func (s *State) find(id wire.ID) *Record {
	i := slices.IndexFunc(s.records, func(rec Record) bool { return rec.Order.ID == id })
	if i < 0 {
		return nil
	}
	return &s.records[i]
}

func (s *State) stage(ctx ApplyContext, o wire.Order) Reply {
	if rec := s.find(o.ID); rec != nil {
		return Reply{Record: *rec}
	}
	if err := validate(o); err != nil {
		return refuse(result.InvalidField, err.Error())
	}
	if ctx.Fence == 0 || o.Fence != ctx.Fence {
		return refuse(result.FenceStale, "the issuer does not hold the lease of orders")
	}
	s.cancelStale(ctx)
	if s.count(func(rec *Record) bool { return rec.unfinished() }) >= MaxOpen {
		return refuse(result.QueueFull, "too many orders are open")
	}
	s.records = append(s.records, Record{Order: o, Status: Staged, AtMS: ctx.AtMS})
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
func (s *State) cancelStale(ctx ApplyContext) {
	for i := range s.records {
		rec := &s.records[i]
		if rec.Status == Staged && rec.Order.Fence < ctx.Fence {
			rec.finish(ctx, Cancelled, "another issuer has taken over")
		}
	}
}

func (rec *Record) finish(ctx ApplyContext, status Status, message string) {
	rec.Status, rec.Message, rec.AtMS = status, message, ctx.AtMS
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
	return s.count(func(rec *Record) bool { return rec.Status == Released && rec.Order.Kind.Loads() })
}

// release hands out orders, as far as the budget still allows.
func (s *State) release(ctx ApplyContext, ids []wire.ID) {
	for _, id := range ids {
		rec := s.find(id)
		if rec == nil || rec.Status != Staged || rec.Order.Kind.Loads() && s.releasedLoads() >= ctx.MaxLoads {
			continue
		}
		rec.Status, rec.AtMS = Released, ctx.AtMS
	}
}

func (s *State) done(ctx ApplyContext, a *wire.OrderDoneArgs) Reply {
	rec := s.find(a.ID)
	if rec == nil || rec.Order.Upstream != a.Upstream {
		return refuse(result.ObjectUnknown, "no such order of this upstream")
	}
	if rec.Status != Released {
		return Reply{Record: *rec}
	}
	status := Done
	if !a.OK {
		status = Failed
	}
	rec.finish(ctx, status, a.Message)
	reply := Reply{Record: *rec}
	s.trimFinished()
	return reply
}

func (s *State) cancel(ctx ApplyContext, id wire.ID) Reply {
	rec := s.find(id)
	if rec == nil {
		return refuse(result.ObjectUnknown, "no such order")
	}
	if rec.Status == Staged {
		rec.finish(ctx, Cancelled, "cancelled by an operator")
	}
	return Reply{Record: *rec}
}

func (s *State) expire(nowMS int64) {
	for i := range s.records {
		rec := &s.records[i]
		if rec.Status == Released && nowMS-rec.AtMS > MaxRunMS {
			rec.finish(ApplyContext{AtMS: nowMS}, Failed, "not finished in time")
		}
	}
	s.trimFinished()
}

func (s *State) trimFinished() {
	excess := s.count(func(rec *Record) bool { return !rec.unfinished() }) - MaxFinished
	s.records = slices.DeleteFunc(s.records, func(rec Record) bool {
		excess--
		if rec.unfinished() {
			excess++
		}
		return !rec.unfinished() && excess >= 0
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
