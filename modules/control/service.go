package control

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/record"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// Roles in certificates.
const (
	roleEntry    = "entry"
	roleAgent    = "agent"
	roleControl  = "control"
	roleOperator = "operator"
)

var servedRoles = []string{roleEntry, roleAgent, roleControl, roleOperator}

func (c *Control) services(role string) map[string]any {
	out := map[string]any{wire.ControlService: &service{c: c, forward: true}}
	if role == roleControl || c.security.Off() {
		out[membersService] = &memberService{c}
	}
	return out
}

// service is the net/rpc service of a control instance.
type service struct {
	c *Control
	// forward lets a command be passed on to the leader.
	forward bool
}

func (s *service) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.c.ctx, commandTimeout)
}

// Announce takes an agent's periodic message.
func (s *service) Announce(a wire.AnnounceArgs, r *wire.AnnounceReply) error {
	if a.Upstream.ID == "" || a.Upstream.Addr == "" || a.Upstream.Incarnation == 0 {
		return peer.EncodeError(result.New(result.InvalidField, "an announcement needs id, address and incarnation"))
	}
	refused, err := ask(s.c.ctx, s.c.members, func(ch chan<- bool) memberEvent { return announced{a, ch} })
	if err != nil {
		return peer.EncodeError(err)
	}
	r.Refused, r.Revision = refused, s.c.fleet.view().Doc.Revision
	// The announcement counts here in any case, but an instance that is cut off
	// cannot pass it on, so the agent has to try another one.
	return peer.EncodeError(s.c.touch.check(time.Now()))
}

// Locate finds the agent of a generation that is not in an entry's subset.
func (s *service) Locate(a wire.LocateArgs, r *wire.LocateReply) error {
	for _, u := range s.c.members.view().Index.Members() {
		if u.ID == a.Instance {
			r.Upstream = u
			return nil
		}
	}
	return peer.EncodeError(result.New(result.ObjectUnknown, "no agent %q", a.Instance))
}

// Crash takes a report of an upstream's crash.
func (s *service) Crash(a wire.CrashArgs, r *wire.CrashReply) error {
	reply, err := s.proposeFleet(fleetCommand{Crash: &a})
	r.Suspect = withTimeLeft(reply.Suspect, nowMS())
	return peer.EncodeError(err)
}

// Permit grants or takes back the permit to run a suspect.
func (s *service) Permit(a wire.PermitArgs, r *wire.PermitReply) error {
	reply, err := s.proposeFleet(fleetCommand{Permit: &a, NewPermit: wire.NewID()})
	r.Permit = reply.Permit
	return peer.EncodeError(err)
}

func (s *service) proposeFleet(cmd fleetCommand) (fleetReply, error) {
	ctx, cancel := s.context()
	defer cancel()
	return s.c.proposeFleet(ctx, cmd)
}

func (c *Control) proposeFleet(ctx context.Context, cmd fleetCommand) (fleetReply, error) {
	var r fleetReply
	cmd.AtMS = nowMS()
	if err := c.propose(ctx, fleetGroup, cmd, &r); err != nil {
		return r, err
	}
	return r, r.err()
}

func (c *Control) propose(ctx context.Context, group uint32, cmd, reply any) error {
	data, err := json.Marshal(cmd)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	b, _, err := c.log.Propose(ctx, group, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// Start claims a key for one attempt.
func (s *service) Start(a wire.StartArgs, r *wire.StartReply) error {
	cmd := record.Command{Start: &a}
	if a.Takeover {
		cmd.Gone = s.goneIncarnation(a.Key)
	}
	reply, err := s.proposeRecord(a.Key, cmd)
	r.Granted, r.Record = reply.Granted, reply.Record
	return peer.EncodeError(err)
}

// goneIncarnation returns the incarnation that holds the key if it is known to
// have ended.
func (s *service) goneIncarnation(key string) wire.Incarnation {
	rec := s.c.records[s.c.recordGroup(key)-1].lookup(key)
	if rec.State != wire.RecordStarted {
		return 0
	}
	gone, err := ask(s.c.ctx, s.c.members, func(ch chan<- bool) memberEvent {
		return goneAsked{rec.Agent, rec.Incarnation, ch}
	})
	if err != nil || !gone {
		return 0
	}
	return rec.Incarnation
}

// Finish stores the answer of an attempt.
func (s *service) Finish(a wire.FinishArgs, _ *wire.FinishReply) error {
	_, err := s.proposeRecord(a.Key, record.Command{Finish: &a})
	return peer.EncodeError(err)
}

// Abort makes sure that an attempt never starts.
func (s *service) Abort(a wire.AbortArgs, r *wire.AbortReply) error {
	reply, err := s.proposeRecord(a.Key, record.Command{Abort: &a})
	r.Aborted, r.Record = reply.Aborted, reply.Record
	return peer.EncodeError(err)
}

// Lookup reads a record through a quorum.
func (s *service) Lookup(a wire.LookupArgs, r *wire.LookupReply) error {
	ctx, cancel := s.context()
	defer cancel()
	group := s.c.recordGroup(a.Key)
	if err := s.c.log.ReadIndex(ctx, group); err != nil {
		return peer.EncodeError(err)
	}
	r.Record = s.c.records[group-1].lookup(a.Key)
	return nil
}

func (s *service) proposeRecord(key string, cmd record.Command) (record.Reply, error) {
	ctx, cancel := s.context()
	defer cancel()
	var r record.Reply
	cmd.AtMS = nowMS()
	if err := s.c.propose(ctx, s.c.recordGroup(key), cmd, &r); err != nil {
		return r, err
	}
	return r, refusal{Code: r.Code, Message: r.Message}.err()
}

func withTimeLeft(list []wire.Suspect, now int64) []wire.Suspect {
	out := append([]wire.Suspect(nil), list...)
	for i := range out {
		out[i].LeftMS = max(0, out[i].UntilMS-now)
	}
	return out
}

func problemText(problems []string) string { return strings.Join(problems, "; ") }
