package control

import (
	"encoding/json"
	"io"
	"log/slog"
	"slices"
	"strings"

	"heatherway.dev/core/config"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// newAuditLogger returns the logger for changes made by operators. It writes
// every line, whatever the level of the instance's other log.
func newAuditLogger(w io.Writer, instance string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, nil)).With("instance", instance)
}

// adminService is the net/rpc service for operators.
type adminService struct {
	c *Control
	// certificate is the name in the peer's certificate.
	certificate string
	// proxy is set when the caller is an instance with the role admin, which
	// forwards operators' calls and names the operator's certificate in each.
	proxy bool
}

func (s *adminService) service() *service {
	return &service{c: s.c, forward: true, roles: peer.Roles{roleOperator}}
}

// logAudit writes the audit line of an operator's change. The code is zero if
// the change was carried out.
func (s *adminService) logAudit(action string, operator wire.Operator, revision uint64, code result.Code, more ...any) {
	certificate := s.certificate
	if s.proxy {
		certificate = operator.Certificate
		more = append(more, "via", s.certificate)
	}
	args := append([]any{
		"action", action, "operator", operator.Operator, "certificate", certificate,
		"reason", operator.Reason, "revision", revision, "code", int(code),
	}, more...)
	s.c.auditLog.Info("audit", args...)
}

func checkOperator(operator wire.Operator) error {
	if operator.Operator == "" || strings.TrimSpace(operator.Reason) == "" {
		return result.New(result.InvalidField, "operator and reason must be set")
	}
	return nil
}

func codeOf(err error) result.Code {
	if err == nil {
		return 0
	}
	return result.From(err).Code
}

// Configuration returns the configuration in force, read through a quorum.
func (s *adminService) Configuration(_ wire.ConfigurationArgs, r *wire.ConfigurationReply) error {
	ctx, cancel := s.service().context()
	defer cancel()
	if err := s.c.reachQuorum(ctx); err != nil {
		return peer.EncodeError(err)
	}
	v := s.c.fleet.view()
	r.Revision, r.Document = v.Doc.Revision, v.JSON
	return nil
}

// Change proposes a change of the configuration.
func (s *adminService) Change(a wire.ChangeArgs, r *wire.ChangeReply) error {
	var change config.Change
	if err := json.Unmarshal(a.Change, &change); err != nil {
		return peer.EncodeError(result.New(result.MalformedBody, "change: %v", err))
	}
	err := s.service().applyChange(a, change, r)
	code := codeOf(err)
	if err == nil {
		code = r.Code
	}
	operator := wire.Operator{Operator: change.Author, Reason: change.Reason, Certificate: a.Certificate}
	s.logAudit("change", operator, r.Revision, code, "change_id", change.ChangeID, "base_revision", change.BaseRevision)
	return peer.EncodeError(err)
}

// Change handles a configuration change that another control instance forwards.
func (s *service) Change(a wire.ChangeArgs, r *wire.ChangeReply) error {
	if err := s.checkOperatorRole(); err != nil {
		return peer.EncodeError(err)
	}
	var change config.Change
	if err := json.Unmarshal(a.Change, &change); err != nil {
		return peer.EncodeError(result.New(result.MalformedBody, "change: %v", err))
	}
	return peer.EncodeError(s.applyChange(a, change, r))
}

func (s *service) applyChange(a wire.ChangeArgs, change config.Change, r *wire.ChangeReply) error {
	return s.applyAtLeader("Change", a, r, fleetCommand{Change: &change}, func(reply fleetReply) {
		*r = changeReply(reply.ChangeResult)
	})
}

func changeReply(a *config.ChangeResult) wire.ChangeReply {
	r := wire.ChangeReply{Revision: a.Revision, Winner: a.Winner, WinnerAuthor: a.WinnerAuthor, Problems: a.Problems}
	switch a.Outcome {
	case config.Accepted:
		r.Accepted = true
	case config.Conflict:
		r.Code = result.RevisionConflict
	default:
		r.Code = result.ChangeRefused
	}
	return r
}

// History returns the latest configuration changes, refused ones included, the
// newest first.
func (s *adminService) History(a wire.HistoryArgs, r *wire.HistoryReply) error {
	history := slices.Clone(s.c.fleet.history())
	slices.Reverse(history)
	history = history[:min(len(history), max(a.Limit, 0))]
	var err error
	r.Past, err = json.Marshal(history)
	return peer.EncodeError(err)
}

// Suspects returns the quarantine list.
func (s *adminService) Suspects(_ wire.SuspectsArgs, r *wire.SuspectsReply) error {
	r.Suspect = withTimeLeft(s.c.fleet.view().SuspectList, nowMS())
	return nil
}

// Lift ends the quarantine of a fingerprint.
func (s *adminService) Lift(a wire.LiftArgs, r *wire.LiftReply) error {
	err := checkOperator(a.Operator)
	if err == nil {
		err = s.service().applyLift(a, r)
	}
	s.logAudit("lift", a.Operator, s.c.fleet.view().Doc.Revision, codeOf(err), "fingerprint", a.Fingerprint)
	return peer.EncodeError(err)
}

// Lift handles the end of a quarantine that another control instance forwards.
func (s *service) Lift(a wire.LiftArgs, r *wire.LiftReply) error {
	if err := s.checkOperatorRole(); err != nil {
		return peer.EncodeError(err)
	}
	return peer.EncodeError(s.applyLift(a, r))
}

func (s *service) applyLift(a wire.LiftArgs, r *wire.LiftReply) error {
	lift := &quarantine.Lift{Fingerprint: a.Fingerprint, Operator: a.Operator.Operator}
	cmd := fleetCommand{Quarantine: &quarantine.Command{Lift: lift}}
	return s.applyAtLeader("Lift", a, r, cmd, func(fleetReply) {})
}

// Drain forwards an operator's drain to the agent.
func (s *adminService) Drain(a wire.AdminDrainArgs, r *wire.DrainReply) error {
	err := checkOperator(a.Operator)
	if err == nil {
		err = s.drain(a, r)
	}
	s.logAudit("drain", a.Operator, s.c.fleet.view().Doc.Revision, codeOf(err), "upstream", a.Instance, "undo", a.Undo)
	return peer.EncodeError(err)
}

func (s *adminService) drain(a wire.AdminDrainArgs, r *wire.DrainReply) error {
	u, ok := s.c.findUpstream(a.Instance)
	if !ok {
		return result.New(result.ObjectUnknown, "no agent %q", a.Instance)
	}
	ctx, cancel := s.service().context()
	defer cancel()
	client := s.c.security.NewClient(u.Addr)
	defer client.Close()
	return client.Call(ctx, wire.AgentService+".Drain", wire.DrainArgs{Reason: a.Reason, Undo: a.Undo}, r)
}

// Orders returns the stored orders.
func (s *adminService) Orders(_ wire.OrdersArgs, r *wire.OrdersReply) error {
	for _, e := range s.c.fleet.view().Orders {
		r.Orders = append(r.Orders, wire.OrderState{Order: e.Order, Status: string(e.Status), Message: e.Message, AtMS: e.AtMS})
	}
	return nil
}
