package control

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/member"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/record"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/control/replica"
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

// services returns the net/rpc services for a connection from a peer with these
// roles and this name in its certificate.
func (c *Control) services(roles peer.Roles, name string) map[string]any {
	out := map[string]any{wire.ControlService: &service{c: c, forward: true, roles: roles, name: name}}
	if roles.HasAny(roleOperator) || c.security.Off() {
		out[wire.AdminService] = &adminService{c: c, certificate: name}
	}
	if roles.HasAny(roleControl) || c.security.Off() {
		out[leaderService] = &service{c: c, roles: peer.Roles{roleControl}}
		out[membersService] = &memberService{c}
		out[wire.AdminProxyService] = &adminService{c: c, certificate: name, proxy: true}
		if c.replica != nil {
			out[replica.ServiceName] = c.replica.Service()
		}
	}
	return out
}

// service is the net/rpc service of a control instance.
type service struct {
	c *Control
	// forward allows calls to be forwarded to the leader.
	forward bool
	// roles and name are those in the caller's certificate.
	roles peer.Roles
	name  string
}

// checkRole refuses callers without an allowed role. It accepts calls that
// another control instance forwards, since they were checked there.
func (s *service) checkRole(method string, allowed ...string) error {
	if !s.forward {
		return nil
	}
	return peer.EncodeError(s.c.security.Allow(s.roles, s.name, wire.ControlService+"."+method, allowed...))
}

func (s *service) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.c.ctx, commandTimeout)
}

// Announce handles the periodic announcement of an agent.
func (s *service) Announce(a wire.AnnounceArgs, r *wire.AnnounceReply) error {
	if err := s.checkRole("Announce", roleAgent); err != nil {
		return err
	}
	if err := member.Validate(&a.Upstream); err != nil {
		return peer.EncodeError(result.New(result.InvalidField, "announcement: %v", err))
	}
	refused, err := query(s.c.ctx, s.c.membership, func(ch chan<- bool) memberEvent { return announceEvent{a, ch} })
	if err != nil {
		return peer.EncodeError(err)
	}
	r.Refused, r.Revision = refused, s.c.fleet.view().Doc.Revision
	// The announcement is recorded in any case, but an instance that is cut off
	// from the others cannot share it, so the agent must announce itself to
	// another one.
	return peer.EncodeError(s.c.quorum.check(time.Now()))
}

// Locate returns the agent of a generation whose upstream is not in the entry's
// subset.
func (s *service) Locate(a wire.LocateArgs, r *wire.LocateReply) error {
	if err := s.checkRole("Locate", roleEntry, roleAgent); err != nil {
		return err
	}
	u, ok := s.c.findUpstream(a.Instance)
	if !ok {
		return peer.EncodeError(result.New(result.ObjectUnknown, "no agent %q", a.Instance))
	}
	r.Upstream = u
	return nil
}

// Crash handles a report of an upstream's crash.
func (s *service) Crash(a wire.CrashArgs, r *wire.CrashReply) error {
	if err := s.checkRole("Crash", roleEntry, roleAgent); err != nil {
		return err
	}
	if err := quarantine.CheckReport(&a); err != nil {
		return peer.EncodeError(result.New(result.InvalidField, "crash report: %v", err))
	}
	cmd := fleetCommand{Quarantine: &quarantine.Command{Crash: &a}}
	return s.fleetCall("Crash", a, r, cmd, func(reply fleetReply) {
		r.Suspect = withTimeLeft(reply.Suspects, nowMS())
	})
}

// Permit grants a permit to run a suspect, or takes a permit back.
func (s *service) Permit(a wire.PermitArgs, r *wire.PermitReply) error {
	if err := s.checkRole("Permit", roleEntry); err != nil {
		return err
	}
	if a.Done {
		ret := &quarantine.PermitReturn{Fingerprint: a.Fingerprint, ID: a.Permit, Finished: a.Finished, NotRun: a.NotRun, Passed: a.Passed}
		cmd := fleetCommand{Quarantine: &quarantine.Command{Return: ret}}
		return s.fleetCall("Permit", a, r, cmd, func(fleetReply) {})
	}
	if a.Permit == "" {
		a.Permit = wire.NewID()
	}
	request := &quarantine.PermitRequest{Fingerprint: a.Fingerprint, ID: a.Permit, Holder: a.Holder, Upstream: a.Upstream}
	cmd := fleetCommand{Quarantine: &quarantine.Command{Permit: request}}
	return s.fleetCall("Permit", a, r, cmd, func(fleetReply) { r.Permit = a.Permit })
}

// fleetCall has the leader of group 0 apply a command and sets the reply.
func (s *service) fleetCall(method string, args, reply any, cmd fleetCommand, set func(fleetReply)) error {
	return peer.EncodeError(s.applyAtLeader(method, args, reply, cmd, set))
}

func (s *service) applyAtLeader(method string, args, reply any, cmd fleetCommand, set func(fleetReply)) error {
	ctx, cancel := s.context()
	defer cancel()
	return s.callLeader(ctx, fleetGroup, method, args, reply, func(ctx context.Context) error {
		r, err := s.c.applyFleet(ctx, cmd)
		if err == nil {
			set(r)
		}
		return err
	})
}

// applyFleet applies a command to group 0 on this instance, which must be the
// leader.
func (c *Control) applyFleet(ctx context.Context, cmd fleetCommand) (fleetReply, error) {
	var r fleetReply
	cmd.AtMS = nowMS()
	if err := c.apply(ctx, fleetGroup, cmd, &r); err != nil {
		return r, err
	}
	return r, r.err()
}

func (c *Control) apply(ctx context.Context, group uint32, cmd, reply any) error {
	data, err := json.Marshal(cmd)
	if err != nil {
		return errors.Wrap(err, "encode command")
	}
	b, _, err := c.log.Propose(ctx, group, data)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, reply); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	return nil
}

// Start claims a key for one attempt. A failure is answered with 5033. Its
// field Ran is "not run" only if the claim is certainly not stored, so that the
// agent need not ask again.
func (s *service) Start(a wire.StartArgs, r *wire.StartReply) error {
	if err := s.checkRole("Start", roleAgent); err != nil {
		return err
	}
	err := s.recordCall("Start", a.Key, a, r, func() record.Command {
		cmd := record.Command{Start: &a}
		if a.Takeover {
			cmd.EndedIncarnation = s.endedIncarnation(a.Key)
		}
		return cmd
	}, func(reply record.Reply) { r.Granted, r.Record = reply.Granted, reply.Record })
	s.c.metrics.recordClaim(r.Granted, err)
	if result.Is(err, result.ControlUnavailable) {
		err = result.Wrap(result.RecordsUnavailable, err, "no claim").WithRan(result.From(err).Ran)
	}
	return peer.EncodeError(err)
}

// endedIncarnation returns the incarnation that holds a key if it is known to
// have ended, or else zero.
func (s *service) endedIncarnation(key string) wire.Incarnation {
	rec := s.c.records[s.c.recordGroup(key)-1].lookup(key)
	if rec.State != wire.RecordStarted {
		return 0
	}
	gone, err := query(s.c.ctx, s.c.membership, func(ch chan<- bool) memberEvent {
		return goneQuery{rec.Agent, rec.Incarnation, ch}
	})
	if err != nil || !gone {
		return 0
	}
	return rec.Incarnation
}

// Finish stores the response of an attempt.
func (s *service) Finish(a wire.FinishArgs, r *wire.FinishReply) error {
	if err := s.checkRole("Finish", roleAgent); err != nil {
		return err
	}
	return peer.EncodeError(s.recordCall("Finish", a.Key, a, r, func() record.Command {
		return record.Command{Finish: &a}
	}, func(record.Reply) {}))
}

// Abort makes sure that an attempt never starts.
func (s *service) Abort(a wire.AbortArgs, r *wire.AbortReply) error {
	if err := s.checkRole("Abort", roleEntry); err != nil {
		return err
	}
	return peer.EncodeError(s.recordCall("Abort", a.Key, a, r, func() record.Command {
		return record.Command{Abort: &a}
	}, func(reply record.Reply) { r.Aborted, r.Record = reply.Aborted, reply.Record }))
}

// Lookup reads a record through a quorum.
func (s *service) Lookup(a wire.LookupArgs, r *wire.LookupReply) error {
	ctx, cancel := s.context()
	defer cancel()
	group := s.c.recordGroup(a.Key)
	return peer.EncodeError(s.callLeader(ctx, group, "Lookup", a, r, func(ctx context.Context) error {
		if err := s.c.checkRecordGroups(); err != nil {
			return err
		}
		if err := s.c.log.ReadIndex(ctx, group); err != nil {
			return err
		}
		r.Record = s.c.records[group-1].lookup(a.Key)
		return nil
	}))
}

// recordCall has the leader of a key's group apply a command and sets the
// reply.
func (s *service) recordCall(method, key string, args, reply any, command func() record.Command, set func(record.Reply)) error {
	ctx, cancel := s.context()
	defer cancel()
	group := s.c.recordGroup(key)
	return s.callLeader(ctx, group, method, args, reply, func(ctx context.Context) error {
		if err := s.c.checkRecordGroups(); err != nil {
			return err
		}
		var r record.Reply
		cmd := command()
		cmd.AtMS = nowMS()
		if err := s.c.apply(ctx, group, cmd, &r); err != nil {
			return err
		}
		set(r)
		return refusal{Code: r.Code, Message: r.Message}.err()
	})
}

// checkRecordGroups refuses calls about records if this instance's number of
// record groups differs from the one that the control instances agreed on at
// first start. Otherwise a key would be looked up in another group, and its
// request could run twice.
func (c *Control) checkRecordGroups() error {
	switch n := c.fleet.view().RecordGroups; n {
	case c.RecordGroups:
		return nil
	case 0:
		return result.New(result.ControlUnavailable, "the record groups are being formed").WithRan(result.NotRun)
	default:
		return result.New(result.RecordsUnavailable, "record_groups is %d here and %d in the log", c.RecordGroups, n)
	}
}

func withTimeLeft(list []wire.Suspect, now int64) []wire.Suspect {
	out := append([]wire.Suspect(nil), list...)
	for i := range out {
		out[i].LeftMS = max(0, out[i].UntilMS-now)
	}
	return out
}

func joinProblems(problems []string) string { return strings.Join(problems, "; ") }
