package admin

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"heatherway.dev/api/admin/gen/administration"
	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// changeHeader holds the fields that all changes of the configuration have in common.
type changeHeader struct {
	id, author, reason string
	base               uint64
}

func joinProblems(problems []string) string { return strings.Join(problems, "; ") }

// Configuration implements administration.Service.
func (s *service) Configuration(ctx context.Context) (*administration.Document, error) {
	doc, err := s.document(ctx)
	if err != nil {
		return nil, err
	}
	return &administration.Document{
		Revision: doc.Revision, Defaults: doc.Defaults,
		Exceptions: exceptionsOf(doc), Organisations: organisationsOf(doc),
	}, nil
}

// Keys implements administration.Service.
func (s *service) Keys(context.Context) ([]*administration.KeyInfo, error) {
	var out []*administration.KeyInfo
	for _, k := range config.Keys() {
		out = append(out, &administration.KeyInfo{
			Name: k.Name, Kind: k.Kind.String(), Unit: k.Unit, Default: k.Default, Min: k.Min, Max: k.Max,
			OneOf: k.AllowedValues, Scopes: k.Scopes, Meaning: k.Description,
		})
	}
	return out, nil
}

// History implements administration.Service.
func (s *service) History(ctx context.Context, p *administration.HistoryPayload) ([]*administration.PastChange, error) {
	r, err := call[wire.HistoryReply](ctx, s.m, "History", wire.HistoryArgs{Limit: p.Limit})
	if err != nil {
		return nil, err
	}
	var past []config.ChangeRecord
	if err := json.Unmarshal(r.Past, &past); err != nil {
		return nil, errors.Wrap(err, "decode the history from control")
	}
	out := make([]*administration.PastChange, 0, len(past))
	for _, c := range past {
		out = append(out, &administration.PastChange{
			ChangeID: c.Result.ChangeID, Verdict: string(c.Result.Outcome), Revision: c.Result.Revision,
			BaseRevision: c.Base, Author: c.Author, Reason: c.Reason, AtMs: c.AtMS, Problems: c.Result.Problems,
		})
	}
	return out, nil
}

// Change implements administration.Service.
func (s *service) Change(ctx context.Context, p *administration.ChangePayload) (*administration.Accepted, error) {
	edits := make([]config.Edit, 0, len(p.Edits))
	for _, e := range p.Edits {
		edits = append(edits, editOf(e))
	}
	return s.propose(ctx, changeHeader{p.ChangeID, p.Author, p.Reason, p.BaseRevision}, edits...)
}

// Exceptions implements administration.Service.
func (s *service) Exceptions(ctx context.Context) ([]*administration.Exception, error) {
	doc, err := s.document(ctx)
	if err != nil {
		return nil, err
	}
	return exceptionsOf(doc), nil
}

// PutException implements administration.Service. The reason for the change is also
// the reason for the exception.
func (s *service) PutException(ctx context.Context, p *administration.PutExceptionPayload) (*administration.Accepted, error) {
	e := &config.Exception{
		ID: p.ID, Key: p.Key, Value: p.Value, Selector: selectorOf(p.Selector), Reason: p.Reason, UntilMS: int64Value(p.UntilMs),
	}
	edit := config.Edit{Kind: config.PutException, Exception: e}
	return s.propose(ctx, changeHeader{p.ChangeID, p.Author, p.Reason, p.BaseRevision}, edit)
}

// RemoveException implements administration.Service.
func (s *service) RemoveException(ctx context.Context, p *administration.RemoveExceptionPayload) (*administration.Accepted, error) {
	edit := config.Edit{Kind: config.RemoveException, Name: p.ID}
	return s.propose(ctx, changeHeader{p.ChangeID, p.Author, p.Reason, p.BaseRevision}, edit)
}

// Organisations implements administration.Service.
func (s *service) Organisations(ctx context.Context) (map[string]*administration.Organisation, error) {
	doc, err := s.document(ctx)
	if err != nil {
		return nil, err
	}
	return organisationsOf(doc), nil
}

// PutOrganisation implements administration.Service.
func (s *service) PutOrganisation(ctx context.Context, p *administration.PutOrganisationPayload) (*administration.Accepted, error) {
	edit := putOrganisation(p.Name, p.KeyHashes)
	return s.propose(ctx, changeHeader{p.ChangeID, p.Author, p.Reason, p.BaseRevision}, edit)
}

// putOrganisation returns the edit that sets the key hashes of an organisation.
func putOrganisation(name string, hashes []string) config.Edit {
	return config.Edit{Kind: config.PutOrganisation, Name: name, Organisation: &config.Organisation{KeyHashes: hashes}}
}

// RemoveOrganisation implements administration.Service.
func (s *service) RemoveOrganisation(ctx context.Context, p *administration.RemoveOrganisationPayload) (*administration.Accepted, error) {
	edit := config.Edit{Kind: config.RemoveOrganisation, Name: p.Name}
	return s.propose(ctx, changeHeader{p.ChangeID, p.Author, p.Reason, p.BaseRevision}, edit)
}

// AddKey implements administration.Service.
func (s *service) AddKey(ctx context.Context, p *administration.AddKeyPayload) (*administration.Accepted, error) {
	head := changeHeader{p.ChangeID, p.Author, p.Reason, p.BaseRevision}
	return s.changeKeys(ctx, head, p.Name, func(have []string) ([]string, error) {
		if slices.Contains(have, p.KeyHash) {
			return nil, result.New(result.ChangeRefused, "organisation %q has this key already", p.Name)
		}
		return append(have, p.KeyHash), nil
	})
}

// RemoveKey implements administration.Service.
func (s *service) RemoveKey(ctx context.Context, p *administration.RemoveKeyPayload) (*administration.Accepted, error) {
	head := changeHeader{p.ChangeID, p.Author, p.Reason, p.BaseRevision}
	return s.changeKeys(ctx, head, p.Name, func(have []string) ([]string, error) {
		i := slices.Index(have, p.KeyHash)
		if i < 0 {
			return nil, result.New(result.ObjectUnknown, "organisation %q has no such key", p.Name)
		}
		return slices.Delete(have, i, i+1), nil
	})
}

// changeKeys proposes a change of an organisation's key hashes, computed by edit from
// the hashes at the base revision. If the base is not the revision in force, control
// refuses the change or repeats its first answer whatever the edit is, so the
// organisation is not read and an edit without hashes is proposed.
func (s *service) changeKeys(ctx context.Context, h changeHeader, name string, edit func([]string) ([]string, error)) (*administration.Accepted, error) {
	doc, err := s.document(ctx)
	if err != nil {
		return nil, err
	}
	if doc.Revision != h.base {
		return s.propose(ctx, h, putOrganisation(name, nil))
	}
	o, ok := doc.Organisations[name]
	if !ok {
		return nil, result.New(result.ObjectUnknown, "no organisation %q", name)
	}
	hashes, err := edit(slices.Clone(o.KeyHashes))
	if err != nil {
		return nil, err
	}
	return s.propose(ctx, h, putOrganisation(name, hashes))
}
