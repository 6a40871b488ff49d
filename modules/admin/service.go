package admin

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"heatherway.dev/api/admin/gen/administration"
	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// service implements the generated service.
type service struct{ m *Module }

// newOperator returns the author of a call, the reason and the certificate's name, for
// the audit log.
func newOperator(ctx context.Context, author, reason string) wire.Operator {
	return wire.Operator{Operator: author, Reason: reason, Certificate: stateOf(ctx).certificate}
}

// Status implements administration.Service.
func (s *service) Status(ctx context.Context) (*administration.Fleet, error) {
	r, err := call[wire.StatusReply](ctx, s.m, "Status", wire.StatusArgs{})
	if err != nil {
		return nil, err
	}
	return fleetOf(r), nil
}

// Drain implements administration.Service.
func (s *service) Drain(ctx context.Context, p *administration.DrainPayload) (*administration.DrainResult, error) {
	args := wire.AdminDrainArgs{
		Operator: newOperator(ctx, p.Author, p.Reason),
		Instance: p.Instance, Undo: p.Undo != nil && *p.Undo,
	}
	r, err := call[wire.DrainReply](ctx, s.m, "Drain", args)
	if err != nil {
		return nil, err
	}
	return &administration.DrainResult{Running: r.Running}, nil
}

// ReplaceMember implements administration.Service.
func (s *service) ReplaceMember(ctx context.Context, p *administration.ReplaceMemberPayload) (*administration.ReplaceMemberResult, error) {
	args := wire.ReplaceMemberArgs{Operator: newOperator(ctx, p.Author, p.Reason), Instance: p.Instance}
	r, err := call[wire.ReplaceMemberReply](ctx, s.m, "ReplaceMember", args)
	if err != nil {
		return nil, err
	}
	return &administration.ReplaceMemberResult{Groups: r.Groups}, nil
}

// Quarantine implements administration.Service.
func (s *service) Quarantine(ctx context.Context) ([]*administration.Suspect, error) {
	r, err := call[wire.SuspectsReply](ctx, s.m, "Suspects", wire.SuspectsArgs{})
	if err != nil {
		return nil, err
	}
	out := make([]*administration.Suspect, 0, len(r.Suspect))
	for _, x := range r.Suspect {
		out = append(out, &administration.Suspect{
			Fingerprint: x.Fingerprint, Crashes: x.Crashes, Quarantined: x.Quarantined, LeftMs: x.LeftMS,
		})
	}
	return out, nil
}

// Lift implements administration.Service.
func (s *service) Lift(ctx context.Context, p *administration.LiftPayload) error {
	args := wire.LiftArgs{Operator: newOperator(ctx, p.Author, p.Reason), Fingerprint: p.Fingerprint}
	_, err := call[wire.LiftReply](ctx, s.m, "Lift", args)
	return err
}

// Orders implements administration.Service.
func (s *service) Orders(ctx context.Context) ([]*administration.Order, error) {
	r, err := call[wire.OrdersReply](ctx, s.m, "Orders", wire.OrdersArgs{})
	if err != nil {
		return nil, err
	}
	out := make([]*administration.Order, 0, len(r.Orders))
	for _, o := range r.Orders {
		out = append(out, orderOf(o))
	}
	return out, nil
}

// IssueOrder implements administration.Service.
func (s *service) IssueOrder(ctx context.Context, p *administration.IssueOrderPayload) (*administration.IssueOrderResult, error) {
	args := wire.IssueOrderArgs{Operator: newOperator(ctx, p.Author, p.Reason), Order: wire.Order{
		ID: wire.ID(p.ID), Upstream: p.Upstream, Kind: wire.OrderKind(p.Kind),
		Model: stringValue(p.Model), Adapter: stringValue(p.Adapter), Version: stringValue(p.Version),
		Role: stringValue(p.Role), Replaces: stringValue(p.Replaces),
	}}
	r, err := call[wire.OrderReply](ctx, s.m, "IssueOrder", args)
	if err != nil {
		return nil, err
	}
	return &administration.IssueOrderResult{ID: p.ID, Status: r.Status, Message: r.Message}, nil
}

// document reads the configuration in force through a quorum.
func (s *service) document(ctx context.Context) (*config.Document, error) {
	r, err := call[wire.ConfigurationReply](ctx, s.m, "Configuration", wire.ConfigurationArgs{})
	if err != nil {
		return nil, err
	}
	var doc config.Document
	if err := json.Unmarshal(r.Document, &doc); err != nil {
		return nil, errors.Wrap(err, "decode the configuration from control")
	}
	return &doc, nil
}

// propose sends a change to control, which accepts or refuses it.
func (s *service) propose(ctx context.Context, h changeHeader, edits ...config.Edit) (*administration.Accepted, error) {
	b, err := json.Marshal(config.Change{
		ChangeID: h.id, BaseRevision: h.base, Author: h.author, Reason: h.reason, Edits: edits,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}
	args := wire.ChangeArgs{Change: b, Certificate: stateOf(ctx).certificate}
	r, err := call[wire.ChangeReply](ctx, s.m, "Change", args)
	if err != nil {
		return nil, err
	}
	if !r.Accepted {
		return nil, refusalError(r)
	}
	return &administration.Accepted{ChangeID: h.id, Revision: r.Revision}, nil
}

// refusalError returns the error for a change that control did not accept.
func refusalError(r wire.ChangeReply) error {
	if r.Code == result.RevisionConflict {
		winner := "another change"
		if r.Winner != "" {
			winner = fmt.Sprintf("change %q by %q", r.Winner, r.WinnerAuthor)
		}
		return result.New(r.Code, "%s was accepted on the same base; propose the change on revision %d, now in force, under a new change id", winner, r.Revision)
	}
	return result.New(r.Code, "%s", joinProblems(r.Problems))
}
