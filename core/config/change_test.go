package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func genEdit(t *rapid.T) Edit {
	name := rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "name")
	key := rapid.SampledFrom([]string{"queue.limit", "request.deadline", "no.such.key"}).Draw(t, "key")
	value := rapid.SampledFrom([]string{"5", "7s", "-1"}).Draw(t, "value")
	switch k := rapid.SampledFrom([]EditKind{SetDefault, UnsetDefault, PutException, RemoveException, PutOrganisation, RemoveOrganisation}).Draw(t, "kind"); k {
	case SetDefault, UnsetDefault:
		return Edit{Kind: k, Name: key, Value: value}
	case PutException:
		return Edit{Kind: k, Exception: &Exception{
			ID: name, Key: key, Value: value, Reason: rapid.SampledFrom([]string{"because", ""}).Draw(t, "reason"),
			Selector: Selector{Model: rapid.SampledFrom([]string{"m", ""}).Draw(t, "model")},
			UntilMS:  rapid.SampledFrom([]int64{0, 50, 5000}).Draw(t, "until"),
		}}
	case PutOrganisation:
		hash := KeyHash(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"))
		return Edit{Kind: k, Name: name, Organisation: &Organisation{KeyHashes: []string{hash}}}
	default:
		return Edit{Kind: k, Name: name}
	}
}

// expectedDocument is the expected content of the document after the accepted
// edits.
type expectedDocument struct {
	defaults      map[string]string
	exceptions    map[string]Exception
	organisations map[string]Organisation
}

func (m *expectedDocument) apply(e Edit) {
	switch e.Kind {
	case SetDefault:
		m.defaults[e.Name] = e.Value
	case UnsetDefault:
		delete(m.defaults, e.Name)
	case PutException:
		m.exceptions[e.Exception.ID] = *e.Exception
	case RemoveException:
		delete(m.exceptions, e.Name)
	case PutOrganisation:
		m.organisations[e.Name] = *e.Organisation
	case RemoveOrganisation:
		delete(m.organisations, e.Name)
	}
}

func (m *expectedDocument) check(t *rapid.T, d *Document) {
	assert.DeepEqual(t, d.Defaults, m.defaults)
	assert.DeepEqual(t, d.Organisations, m.organisations)
	assert.Equal(t, len(d.Exceptions), len(m.exceptions))
	for _, e := range d.Exceptions {
		assert.DeepEqual(t, e, m.exceptions[e.ID])
	}
	for name, o := range d.Organisations {
		got, _ := d.OrganisationOf(o.KeyHashes[0])
		assert.Equal(t, got, name)
	}
}

func mustEncode(t *rapid.T, v any) string {
	b, err := json.Marshal(v)
	assert.NilError(t, err)
	return string(b)
}

// Guards against a revision that decreases, an accepted change that is lost or
// partly applied, a repeated change that gets a different result, an invalid
// current document, and a state or a document that differs after a snapshot or a
// delta.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		m := expectedDocument{map[string]string{}, map[string]Exception{}, map[string]Organisation{}}
		results, documents := map[string]string{}, []*Document{s.Document()}
		for index := uint64(1); index < 30; index++ {
			before := s.Document()
			c := Change{
				ChangeID:     fmt.Sprint("c", rapid.IntRange(0, 20).Draw(t, "id")),
				BaseRevision: before.Revision, Author: "a", Reason: "r", AtMS: 100,
				Edits: rapid.SliceOfN(rapid.Custom(genEdit), 0, 3).Draw(t, "edits"),
			}
			if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
				c.BaseRevision = uint64(rapid.IntRange(0, 20).Draw(t, "base"))
			}
			a := s.Apply(index, c)
			first, repeated := results[c.ChangeID]
			assert.Assert(t, !repeated || first == mustEncode(t, a))
			results[c.ChangeID] = mustEncode(t, a)
			if a.Outcome == Accepted && !repeated {
				assert.Assert(t, c.BaseRevision == before.Revision && s.Document().Revision == index)
				for _, e := range c.Edits {
					m.apply(e)
				}
				documents = append(documents, s.Document())
			} else {
				assert.Equal(t, s.Document(), before)
			}
			m.check(t, s.Document())
			assert.Equal(t, len(s.Document().Problems()), 0)
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				s = snapshotAndRestore(t, s)
			}
		}
		checkDeltas(t, s, documents)
	})
}

func snapshotAndRestore(t *rapid.T, s *State) *State {
	b, err := s.Snapshot()
	assert.NilError(t, err)
	next := NewState()
	assert.NilError(t, next.Restore(b))
	return next
}

func checkDeltas(t *rapid.T, s *State, documents []*Document) {
	want := mustEncode(t, s.Document())
	for _, d := range documents[:len(documents)-1] {
		delta, ok := CombineDeltas(s.Deltas(), d.Revision)
		assert.Assert(t, ok)
		delta.Checksum = Checksum([]byte(want))
		got, err := d.ApplyDelta(delta)
		assert.NilError(t, err)
		assert.Equal(t, mustEncode(t, got), want)
		delta.Checksum++
		_, err = d.ApplyDelta(delta)
		assert.ErrorContains(t, err, "checksum")
	}
}

func setQueueLimit(id string, base uint64, value string) Change {
	return Change{
		ChangeID: id, BaseRevision: base, Author: "author of " + id, Reason: "r",
		Edits: []Edit{{Kind: SetDefault, Name: "queue.limit", Value: value}},
	}
}

// Guards against two changes on the same revision that are both reported as
// accepted, and against a conflict that does not name the accepted change.
func TestConflictNamesAcceptedChange(t *testing.T) {
	s := NewState()
	assert.Equal(t, s.Apply(4, setQueueLimit("first", 0, "10")).Outcome, Accepted)
	a := s.Apply(5, setQueueLimit("second", 0, "20"))
	assert.Equal(t, a.Outcome, Conflict)
	assert.Equal(t, a.Winner, "first")
	assert.Equal(t, a.WinnerAuthor, "author of first")
	assert.Equal(t, a.Revision, uint64(4))
	assert.Equal(t, s.Document().Int("queue.limit", Scope{}, time.Time{}), int64(10))
}

// Guards against a refused change that reports only the first of its problems.
func TestRejectionListsEveryProblem(t *testing.T) {
	c := Change{ChangeID: "c", Author: "a", Reason: "r", Edits: []Edit{
		{Kind: SetDefault, Name: "queue.limit", Value: "many"},
		{Kind: SetDefault, Name: "no.such", Value: "1"},
		{Kind: RemoveException, Name: "missing"},
		{Kind: PutException, Exception: &Exception{ID: "e", Key: "retry.share", Value: "2", Selector: Selector{Zone: "z"}}},
		{Kind: PutOrganisation, Name: "o", Organisation: &Organisation{KeyHashes: []string{"plain key"}}},
	}}
	a := NewState().Apply(1, c)
	assert.Equal(t, a.Outcome, Refused)
	assert.Equal(t, len(a.Problems), 6, "%q", a.Problems)
}

// Guards against memory use that grows with the number of changes.
func TestHistoryAndDeltasAreBounded(t *testing.T) {
	s := NewState()
	for i := range uint64(MaxHistory + 100) {
		a := s.Apply(i+1, setQueueLimit(fmt.Sprint(i), i, fmt.Sprint(1+i%100)))
		assert.Equal(t, a.Outcome, Accepted)
	}
	assert.Equal(t, len(s.history), MaxHistory)
	assert.Equal(t, len(s.byID), MaxHistory)
	assert.Equal(t, len(s.Deltas()), maxDeltas)
	assert.Equal(t, s.Apply(9999, setQueueLimit("4000", 0, "1")).Outcome, Accepted, "a repeated change must get its first result while that is kept")
	assert.Equal(t, s.Document().Revision, uint64(MaxHistory+100))
}
