package registry

import (
	"context"
	"io"
	"net/http"

	"heatherway.dev/core/rollout"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// This file serves the operators' calls about roll-outs.

// maxOrderBytes bounds the order of a roll-out.
const maxOrderBytes = 16 << 10

// handleRollouts adds the operators' calls, if roll-outs are enabled.
func (r *Registry) handleRollouts(mux *http.ServeMux) {
	if !r.Rollouts.Enabled() {
		return
	}
	calls := r.dialect.Endpoints()
	mux.HandleFunc(calls.StartRollout, r.startRollout)
	mux.HandleFunc(calls.ReadRollout, r.readRollout)
}

func (r *Registry) startRollout(w http.ResponseWriter, q *http.Request) {
	body, err := readBody(w, q, maxOrderBytes)
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	order, err := r.dialect.RolloutOrder(body)
	if err == nil {
		err = order.Validate()
	}
	if err != nil {
		r.writeError(w, q, result.Wrap(result.InvalidField, err, "invalid order of a roll-out"))
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), operatorTimeout)
	defer cancel()
	reply, err := r.callRollout(ctx, &RolloutArgs{Order: order})
	if err == nil {
		err = reply.Refusal(order)
	}
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	r.log.Info("roll-out acknowledged", "service", order.Service, "target", order.Target, "duration_ms", order.Duration.Milliseconds(),
		"repeated", reply.Outcome == rollout.Repeated, "from", q.RemoteAddr)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

func (r *Registry) readRollout(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithTimeout(q.Context(), operatorTimeout)
	defer cancel()
	service := q.PathValue("service")
	reply, err := r.callRollout(ctx, &RolloutArgs{Order: rollout.Order{Service: service}, Read: true})
	if err == nil && reply.Rollout == nil {
		err = result.New(result.ObjectUnknown, "no roll-out of service %.64q was ordered", service)
	}
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	body, err := r.dialect.RolloutState(*reply.Rollout)
	if err != nil {
		r.writeError(w, q, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// RolloutArgs orders a roll-out, or asks for the last one of a service.
type RolloutArgs struct {
	rollout.Order
	// Read asks for the last roll-out of the service, or of all services if none is named. Revert ends it if it runs.
	Read, Revert bool
	// Forward asks an instance that is not the leader to forward the call to it.
	Forward bool
}

// RolloutReply is the outcome.
type RolloutReply struct {
	Outcome rollout.Outcome
	// ServiceUnknown is set if the configuration in force does not name the service.
	ServiceUnknown bool
	// Rollout is the last roll-out of the service, nil if there was none. Status describes it while it runs.
	Rollout *rollout.Rollout
	Status  string
	// Services are the states of all services, if none was named.
	Services map[string]rollout.Service
}

// Refusal returns the error for an order that was refused.
func (p *RolloutReply) Refusal(o rollout.Order) error {
	switch {
	case p.ServiceUnknown:
		return result.New(result.ServiceUnknown, "the configuration names no service %.64q", o.Service)
	case p.Outcome == rollout.OtherRuns:
		return result.New(result.RolloutRuns, "a roll-out of %.64q to %.64q runs", o.Service, p.target())
	}
	return nil
}

func (p *RolloutReply) target() string {
	if p.Rollout == nil {
		return ""
	}
	return p.Rollout.Target
}

// callRollout makes a call at the leader, through a member if this instance has no log.
func (r *Registry) callRollout(ctx context.Context, args *RolloutArgs) (*RolloutReply, error) {
	if r.answersThroughMembers() {
		forwarded := *args
		forwarded.Forward = true
		return callMember[RolloutReply](ctx, r, "Rollout", &forwarded)
	}
	return r.rolloutAtLeader(ctx, args)
}

// rolloutAtLeader makes a call at this instance or at the leader that it knows, and repeats it until it succeeds or ctx
// ends. A repeated order has no further effect.
func (r *Registry) rolloutAtLeader(ctx context.Context, args *RolloutArgs) (*RolloutReply, error) {
	var reply *RolloutReply
	_, err := r.callLeaderOf(ctx, rolloutGroup, func(ctx context.Context) (uint64, error) {
		p, err := r.rolloutLocally(ctx, args)
		reply = p
		return 0, err
	}, func(ctx context.Context, addr string) (uint64, error) {
		p := &RolloutReply{} // of its own, since a late answer may still be written to it
		forwarded := *args
		forwarded.Forward = false
		err := r.clients.To(addr).Call(ctx, ServiceName+".Rollout", &forwarded, p)
		if err == nil {
			reply = p
		}
		return 0, err
	})
	return reply, err
}

// rolloutLocally makes a call at this instance, the leader.
func (r *Registry) rolloutLocally(ctx context.Context, args *RolloutArgs) (*RolloutReply, error) {
	o, reply := r.rollouts, &RolloutReply{}
	if !args.Read && !args.Revert {
		known, err := r.namesService(ctx, args.Service)
		if err != nil || !known {
			reply.ServiceUnknown = !known
			return reply, err
		}
		if reply.Outcome, err = o.propose(ctx, rollout.Command{Start: &rollout.Start{Order: args.Order, Present: o.present(args.Service)}}); err != nil {
			return reply, err
		}
	} else if err := o.confirmLeading(ctx); err != nil {
		return reply, err
	}
	if args.Service == "" {
		reply.Services = o.view.Load().Services
		return reply, nil
	}
	last := o.last(args.Service)
	if running := last != nil && last.Phase.Running(); args.Revert && running {
		c := rollout.Command{Move: &rollout.Move{Service: last.Service, ID: last.ID, From: last.Phase, To: rollout.Reverted, Reason: "reverted by an operator"}}
		outcome, err := o.propose(ctx, c)
		if err != nil {
			return reply, err
		}
		reply.Outcome, last = outcome, o.last(args.Service)
	}
	reply.Rollout, reply.Status = last, o.status(last)
	return reply, nil
}

// namesService reports whether the configuration in force names a service.
func (r *Registry) namesService(ctx context.Context, service string) (bool, error) {
	current, err := r.readLocal(ctx)
	if err != nil {
		return false, err
	}
	if current.version == 0 {
		return false, result.New(result.ControlUnavailable, "there is no configuration yet")
	}
	c, err := r.dialect.Configuration(current.body)
	if err != nil {
		return false, err
	}
	for i := range c.Services {
		if c.Services[i].Name == service {
			return true, nil
		}
	}
	return false, nil
}

// confirmLeading returns once a majority has confirmed that this instance leads and holds all that was acknowledged before.
func (o *rollouts) confirmLeading(ctx context.Context) error {
	rep := o.registry.currentReplica()
	if rep == nil {
		return result.New(result.ControlUnavailable, "the log of this instance is closed").WithRan(result.NotRun)
	}
	_, err := rep.ReadIndex(ctx, rolloutGroup)
	return err
}

// last returns the last roll-out of a service, nil if there was none.
func (o *rollouts) last(service string) *rollout.Rollout {
	return o.view.Load().Services[service].Rollout
}

// status describes a roll-out that runs, if this instance leads.
func (o *rollouts) status(r *rollout.Rollout) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner == nil || r == nil {
		return ""
	}
	return o.owner.Status(r.ID)
}

// Rollout orders a roll-out, reverts it or returns it. The leader decides.
func (s *Service) Rollout(args *RolloutArgs, reply *RolloutReply) (err error) {
	defer recovery.Into(s.registry.log, "call Rollout", &err)
	r := s.registry
	if r.rollouts == nil {
		return peer.EncodeError(errNoRollouts())
	}
	ctx, cancel := context.WithTimeout(r.ctx, operatorTimeout)
	defer cancel()
	call := r.rolloutLocally
	if args.Forward {
		call = r.rolloutAtLeader
	}
	p, err := call(ctx, args)
	if err == nil {
		*reply = *p
	}
	return peer.EncodeError(err)
}
