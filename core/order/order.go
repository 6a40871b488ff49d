// Package order schedules the orders to engines: load and unload models, adapters
// and versions, and change roles. It limits concurrent loads to the budget of the
// weight store, never removes a model from the last upstream that serves it, and
// passes fencing tokens on to engines, which may ignore them.
package order

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// LeaseName is the name of the lease that an issuer, the process that stages
// orders, must hold.
const LeaseName = "orders"

// Bounds and time limits.
const (
	// MaxOpen bounds the number of unfinished orders.
	MaxOpen = 1024
	// MaxFinished is the number of finished orders that are kept to answer
	// repeated calls.
	MaxFinished = 1024
	// MaxRunMS is how long a released order may run. It fails after that, so that
	// it no longer counts against the load budget.
	MaxRunMS = 30 * 60 * 1000
	// MembershipLagMS is how long after the end of an order the member list may
	// still show the upstream's earlier state: the time for an announcement and a
	// digest, and a margin.
	MembershipLagMS = 10 * 1000
)

// Status is the state of an order.
type Status string

// The states of an order.
const (
	// Staged orders wait until the load budget and the other upstreams allow
	// them.
	Staged Status = "staged"
	// Released orders are passed to the agent of the upstream.
	Released Status = "released"
	// Done and Failed orders were reported as such by the agent. An order that runs
	// longer than MaxRunMS fails too.
	Done   Status = "done"
	Failed Status = "failed"
	// Cancelled orders ended before they were released.
	Cancelled Status = "cancelled"
)

// Record is an order and its state.
type Record struct {
	Order   wire.Order `json:"order"`
	Status  Status     `json:"status"`
	Message string     `json:"message,omitempty"`
	// AtMS is the time of the last change of Status.
	AtMS int64 `json:"at_ms"`
}

func (rec *Record) unfinished() bool { return rec.Status == Staged || rec.Status == Released }

// Command is one entry of the log; exactly one field is set.
type Command struct {
	Stage   *wire.Order         `json:"stage,omitempty"`
	Release []wire.ID           `json:"release,omitempty"`
	Done    *wire.OrderDoneArgs `json:"done,omitempty"`
	Cancel  wire.ID             `json:"cancel,omitempty"`
}

// ApplyContext is the other state of the log group that the result of a command
// depends on.
type ApplyContext struct {
	AtMS int64
	// Fence is the fencing token of the lease LeaseName, or zero if nobody holds
	// it.
	Fence uint64
	// MaxLoads is the load budget of the weight store: how many engines may load
	// at once.
	MaxLoads int
}

// Reply is the result of a command.
type Reply struct {
	Record Record `json:"entry"`
	// Code is set if the command was refused.
	Code    result.Code `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
}

func refuse(code result.Code, message string) Reply { return Reply{Code: code, Message: message} }

// State is the replicated state machine of the orders, in log group 0. It keeps
// them in the order in which they were staged. It is not safe for concurrent use.
type State struct{ records []Record }

// New returns a state without orders.
func New() *State { return &State{} }

// List returns a copy of all records, the oldest first.
func (s *State) List() []Record { return slices.Clone(s.records) }

// Apply applies one command of the log.
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

// cancelStale cancels staged orders of earlier holders of the lease, because the
// current holder decides by the current state of the fleet.
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

// releasedLoads returns the number of released orders that load from the weight
// store.
func (s *State) releasedLoads() int {
	return s.count(func(rec *Record) bool { return rec.Status == Released && rec.Order.Kind.Loads() })
}

// release releases staged orders as far as the load budget allows.
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

// expire fails released orders that have run longer than MaxRunMS.
func (s *State) expire(nowMS int64) {
	for i := range s.records {
		rec := &s.records[i]
		if rec.Status == Released && nowMS-rec.AtMS > MaxRunMS {
			rec.finish(ApplyContext{AtMS: nowMS}, Failed, "not finished in time")
		}
	}
	s.trimFinished()
}

// trimFinished removes the oldest finished orders beyond MaxFinished. The records
// are visited oldest first, and excess counts down with each finished one.
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

// Restore replaces the state with an encoded one.
func (s *State) Restore(b []byte) error {
	var records []Record
	if err := json.Unmarshal(b, &records); err != nil {
		return errors.Wrap(err, "decode order snapshot")
	}
	s.records = records
	return nil
}
