package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/go-faster/errors"
)

// EditKind identifies the operation of an edit.
type EditKind string

// The kinds of edit.
const (
	SetDefault         EditKind = "set_default"
	UnsetDefault       EditKind = "unset_default"
	PutException       EditKind = "put_exception"
	RemoveException    EditKind = "remove_exception"
	PutOrganisation    EditKind = "put_organisation"
	RemoveOrganisation EditKind = "remove_organisation"
)

// Edit is one operation of a change.
type Edit struct {
	Kind EditKind `json:"kind"`
	// Name is the key of a default, the id of an exception to remove, or the
	// name of an organisation.
	Name         string        `json:"name,omitempty"`
	Value        string        `json:"value,omitempty"`
	Exception    *Exception    `json:"exception,omitempty"`
	Organisation *Organisation `json:"organisation,omitempty"`
}

// Change is a set of edits that are accepted or refused as a whole.
type Change struct {
	// ChangeID makes the change idempotent: a repeated one gets the first result
	// again.
	ChangeID string `json:"change_id"`
	// BaseRevision is the revision that the change was made for.
	BaseRevision uint64 `json:"base_revision"`
	Edits        []Edit `json:"edits"`
	Author       string `json:"author"`
	Reason       string `json:"reason"`
	// AtMS is the proposer's clock in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

// Outcome is the outcome of a change.
type Outcome string

// The outcomes of a change.
const (
	Accepted Outcome = "accepted"
	// Conflict means that another change has been accepted since the base
	// revision.
	Conflict Outcome = "conflict"
	// Refused means that the change or the resulting document is invalid.
	Refused Outcome = "refused"
)

// ChangeResult is the result of a change.
type ChangeResult struct {
	ChangeID string  `json:"change_id"`
	Outcome  Outcome `json:"verdict"`
	// Revision is the current revision after the change was handled.
	Revision uint64 `json:"revision"`
	// Winner and WinnerAuthor are the id and the author of the change that was
	// accepted on the base revision of a conflicting change. They are empty when
	// it is no longer in the history.
	Winner       string `json:"winner,omitempty"`
	WinnerAuthor string `json:"winner_author,omitempty"`
	// Problems lists all reasons why a change was refused.
	Problems []string `json:"problems,omitempty"`
}

// MaxHistory is the number of changes whose results are kept: more than a day's
// at 2,300 changes a day. Fewer are kept when they exceed maxHistoryBytes, which
// takes many results with long lists of problems.
const (
	MaxHistory      = 4096
	maxHistoryBytes = 16 << 20
)

// Limits of a document. They bound the size of the message that each process
// gets.
const (
	MaxExceptions    = 1000
	MaxOrganisations = 20000
	MaxKeyHashes     = 8
	MaxEdits         = 500
	maxTextBytes     = 1024
	// maxQuotedBytes bounds how much of an invalid value a problem quotes.
	maxQuotedBytes = 64
)

// ChangeRecord is a handled change in the history, accepted or not.
type ChangeRecord struct {
	Result ChangeResult `json:"answer"`
	// Base and Author identify the accepted change in the result of a conflicting
	// one.
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	AtMS   int64  `json:"at_ms"`
}

// State is the replicated state machine of the configuration. It is not safe
// for concurrent use; the documents that it returns are immutable.
type State struct {
	doc     *Document
	history []ChangeRecord
	byID    map[string]int
	// dropped is the number of records removed from the start of history. byID
	// maps change ids to positions that count the removed records too.
	dropped      int
	historyBytes int
	deltas       []Delta
}

// NewState returns the state before the first change.
func NewState() *State {
	return &State{doc: emptyDocument(), byID: map[string]int{}}
}

func emptyDocument() *Document {
	return &Document{Defaults: map[string]string{}, Exceptions: []Exception{}, Organisations: map[string]Organisation{}}
}

// History returns the changes whose results are kept, the oldest first. The
// slice does not change when further changes are applied.
func (s *State) History() []ChangeRecord { return s.history }

// Document returns the current configuration.
func (s *State) Document() *Document { return s.doc }

// Apply handles the change at an index of the log. The index becomes the
// revision of the document if the change is accepted.
func (s *State) Apply(index uint64, c Change) ChangeResult {
	if i, ok := s.byID[c.ChangeID]; ok && c.ChangeID != "" {
		return s.history[i-s.dropped].Result
	}
	res := s.evaluate(index, c)
	s.recordResult(ChangeRecord{Result: res, Base: c.BaseRevision, Author: c.Author, Reason: c.Reason, AtMS: c.AtMS})
	return res
}

func (s *State) evaluate(index uint64, c Change) ChangeResult {
	res := ChangeResult{ChangeID: c.ChangeID, Outcome: Refused, Revision: s.doc.Revision}
	if res.Problems = c.problems(); len(res.Problems) > 0 {
		return res
	}
	if c.BaseRevision != s.doc.Revision {
		res.Outcome = Conflict
		res.Winner, res.WinnerAuthor = s.winner(c.BaseRevision)
		return res
	}
	next, problems := s.doc.edit(c.Edits, c.AtMS)
	problems = append(problems, next.Problems()...)
	if index <= s.doc.Revision {
		problems = append(problems, fmt.Sprintf("position %d is not beyond revision %d", index, s.doc.Revision))
	}
	if len(problems) > 0 {
		res.Problems = problems
		return res
	}
	s.recordDelta(Delta{From: s.doc.Revision, To: index, Edits: c.Edits})
	next.Revision = index
	next.buildIndex()
	s.doc = next
	res.Outcome, res.Revision = Accepted, index
	return res
}

// winner returns the id and the author of the change that was accepted on the
// base revision.
func (s *State) winner(base uint64) (id, author string) {
	for _, r := range s.history {
		if r.Result.Outcome == Accepted && r.Base == base {
			return r.Result.ChangeID, r.Author
		}
	}
	return "", ""
}

// recordResult adds a record to the history and removes the oldest ones beyond
// the bounds.
func (s *State) recordResult(r ChangeRecord) {
	if r.Result.ChangeID == "" {
		return
	}
	s.history = append(s.history, r)
	s.byID[r.Result.ChangeID] = s.dropped + len(s.history) - 1
	s.historyBytes += r.size()
	for len(s.history) > MaxHistory || s.historyBytes > maxHistoryBytes && len(s.history) > 1 {
		s.historyBytes -= s.history[0].size()
		delete(s.byID, s.history[0].Result.ChangeID)
		s.history = s.history[1:]
		s.dropped++
	}
}

func (r ChangeRecord) size() int {
	n := len(r.Result.ChangeID) + len(r.Author) + len(r.Reason)
	for _, p := range r.Result.Problems {
		n += len(p)
	}
	return n
}

// problems validates the change without regard to the document.
func (c Change) problems() []string {
	var out []string
	if c.ChangeID == "" || len(c.ChangeID) > maxTextBytes {
		out = append(out, "change_id: must be set, and short")
	}
	if c.Author == "" || len(c.Author) > maxTextBytes {
		out = append(out, "author: must be set, and short")
	}
	if strings.TrimSpace(c.Reason) == "" || len(c.Reason) > maxTextBytes {
		out = append(out, "reason: must be set, and short")
	}
	if len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		out = append(out, fmt.Sprintf("edits: want 1 to %d, have %d", MaxEdits, len(c.Edits)))
	}
	return out
}

// edit returns an edited copy of the document, and a problem for each edit that
// failed. An exception that ends at or before atMS is a problem, unless atMS is
// zero: a delta contains accepted edits, whose exceptions may have ended since.
func (d *Document) edit(edits []Edit, atMS int64) (*Document, []string) {
	next := d.clone()
	var problems []string
	for i, e := range edits {
		err := next.apply(e)
		if err == nil && e.Exception != nil && e.Exception.UntilMS != 0 && e.Exception.UntilMS <= atMS {
			err = errors.Errorf("exception %q ends before it begins", e.Exception.ID)
		}
		if err != nil {
			problems = append(problems, fmt.Sprintf("edits[%d]: %v", i, err))
		}
	}
	return next, problems
}

func (d *Document) clone() *Document {
	c := emptyDocument()
	c.Revision = d.Revision
	c.Exceptions = append(c.Exceptions, d.Exceptions...)
	for k, v := range d.Defaults {
		c.Defaults[k] = v
	}
	for k, v := range d.Organisations {
		c.Organisations[k] = v
	}
	return c
}

func (d *Document) apply(e Edit) error {
	switch e.Kind {
	case SetDefault:
		d.Defaults[e.Name] = e.Value
		return nil
	case UnsetDefault:
		return removeFrom(d.Defaults, e.Name, "default")
	case PutException:
		return d.putException(e.Exception)
	case RemoveException:
		return d.removeException(e.Name)
	case PutOrganisation:
		if e.Organisation == nil || e.Name == "" {
			return errors.New("put_organisation needs a name and an organisation")
		}
		d.Organisations[e.Name] = *e.Organisation
		return nil
	case RemoveOrganisation:
		return removeFrom(d.Organisations, e.Name, "organisation")
	default:
		return errors.Errorf("unknown kind of edit %.*q", maxQuotedBytes, e.Kind)
	}
}

func removeFrom[V any](m map[string]V, name, what string) error {
	if _, ok := m[name]; !ok {
		return errors.Errorf("no %s %.*q", what, maxQuotedBytes, name)
	}
	delete(m, name)
	return nil
}

func (d *Document) putException(e *Exception) error {
	if e == nil {
		return errors.New("put_exception needs an exception")
	}
	for i := range d.Exceptions {
		if d.Exceptions[i].ID == e.ID {
			d.Exceptions[i] = *e
			return nil
		}
	}
	d.Exceptions = append(d.Exceptions, *e)
	return nil
}

func (d *Document) removeException(id string) error {
	for i := range d.Exceptions {
		if d.Exceptions[i].ID == id {
			d.Exceptions = append(d.Exceptions[:i:i], d.Exceptions[i+1:]...)
			return nil
		}
	}
	return errors.Errorf("no exception %.*q", maxQuotedBytes, id)
}

// Problems validates the document and returns all problems in a deterministic
// order.
func (d *Document) Problems() []string {
	var out []string
	for _, name := range sortedKeys(d.Defaults) {
		if err := checkValue(name, d.Defaults[name]); err != nil {
			out = append(out, "defaults: "+err.Error())
		}
	}
	if len(d.Exceptions) > MaxExceptions {
		out = append(out, fmt.Sprintf("exceptions: %d exceed %d", len(d.Exceptions), MaxExceptions))
	}
	for i := range d.Exceptions {
		for _, p := range d.Exceptions[i].problems() {
			out = append(out, fmt.Sprintf("exception %.*q: %s", maxQuotedBytes, d.Exceptions[i].ID, p))
		}
	}
	return append(out, d.organisationProblems()...)
}

func checkValue(name, value string) error {
	k, ok := LookupKey(name)
	if len(value) > maxTextBytes {
		return errors.Errorf("%.*q: value longer than %d bytes", maxQuotedBytes, name, maxTextBytes)
	}
	if !ok {
		return errors.Errorf("unknown key %.*q", maxQuotedBytes, name)
	}
	return k.Check(value)
}

func (e *Exception) problems() []string {
	var out []string
	if e.ID == "" || len(e.ID) > maxTextBytes {
		out = append(out, "id: must be set, and short")
	}
	if strings.TrimSpace(e.Reason) == "" || len(e.Reason) > maxTextBytes {
		out = append(out, "reason: must be set, and short")
	}
	if e.UntilMS < 0 {
		out = append(out, "until_ms: must not be negative")
	}
	if err := checkValue(e.Key, e.Value); err != nil {
		return append(out, err.Error())
	}
	return append(out, e.Selector.problems(e.Key)...)
}

func (s Selector) problems(key string) []string {
	k, _ := LookupKey(key)
	var out []string
	if s == (Selector{}) {
		out = append(out, "selector: must select something; set the default instead")
	}
	for _, f := range s.fields() {
		if f.value != "" && !contains(k.Scopes, f.scope) {
			out = append(out, fmt.Sprintf("selector: %s cannot be set by %s", key, f.scope))
		}
	}
	return out
}

type selectorField struct{ scope, value string }

func (s Selector) fields() []selectorField {
	return []selectorField{
		{ByOrganisation, s.Organisation}, {ByModel, s.Model}, {ByZone, s.Zone},
		{ByUpstream, s.Upstream}, {ByService, s.Service},
	}
}

func (d *Document) organisationProblems() []string {
	var out []string
	if len(d.Organisations) > MaxOrganisations {
		out = append(out, fmt.Sprintf("organisations: %d exceed %d", len(d.Organisations), MaxOrganisations))
	}
	organisationOf := map[string]string{}
	for _, name := range sortedKeys(d.Organisations) {
		hashes := d.Organisations[name].KeyHashes
		if len(name) > maxTextBytes || len(hashes) > MaxKeyHashes {
			out = append(out, fmt.Sprintf("organisation %.*q: name too long or more than %d keys", maxQuotedBytes, name, MaxKeyHashes))
		}
		for _, h := range hashes {
			if b, err := hex.DecodeString(h); err != nil || len(b) != sha256.Size {
				out = append(out, fmt.Sprintf("organisation %q: %.*q is not a SHA-256 hash in hexadecimal", name, maxQuotedBytes, h))
			}
			if other, dup := organisationOf[h]; dup {
				out = append(out, fmt.Sprintf("organisation %q: key %q also belongs to %q", name, h, other))
			}
			organisationOf[h] = name
		}
	}
	return out
}

// KeyHash returns the hash of a caller's API key as stored in a document.
func KeyHash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func contains(list []string, v string) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}

type snapshot struct {
	Document *Document      `json:"document"`
	Recent   []ChangeRecord `json:"recent"`
	Deltas   []Delta        `json:"steps"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{s.doc, s.history, s.deltas})
}

// Restore replaces the state with an encoded one.
func (s *State) Restore(b []byte) error {
	decoded := snapshot{Document: emptyDocument()}
	if err := json.Unmarshal(b, &decoded); err != nil {
		return errors.Wrap(err, "decode configuration snapshot")
	}
	next := NewState()
	next.doc, next.deltas = decoded.Document, decoded.Deltas
	for _, r := range decoded.Recent {
		next.recordResult(r)
	}
	*s = *next
	return nil
}
