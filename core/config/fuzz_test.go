package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

const fuzzChange = `{"change_id":"a","author":"anna","reason":"flood","edits":[
{"kind":"set_default","name":"queue.limit","value":"9"},
{"kind":"put_exception","exception":{"id":"x","key":"organisation.rate","value":"5","reason":"r","selector":{"organisation":"o"}}},
{"kind":"put_organisation","name":"o","organisation":{"key_hashes":[]}}]}`

// Guards against a change from an operator that leads to an invalid document or
// crashes the process.
func FuzzApply(f *testing.F) {
	f.Add([]byte(fuzzChange))
	f.Fuzz(func(t *testing.T, b []byte) {
		var c Change
		if json.Unmarshal(b, &c) != nil {
			return
		}
		s := NewState()
		a := s.Apply(1, c)
		assert.Equal(t, len(s.Document().Problems()), 0)
		assert.Equal(t, a.Outcome == Accepted, s.Document().Revision == 1)
		snapshot, err := s.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, NewState().Restore(snapshot))
	})
}

// Guards against a document or delta from a control instance that crashes the
// process.
func FuzzApplyUpdate(f *testing.F) {
	f.Add([]byte(`{"revision":1,"defaults":{"queue.limit":"9"}}`), []byte(nil))
	f.Add([]byte(nil), []byte(`{"from":0,"to":2,"edits":`+`[{"kind":"remove_exception","name":"x"}]}`))
	f.Fuzz(func(t *testing.T, whole, delta []byte) {
		next, err := ApplyUpdate(emptyDocument(), whole, delta)
		assert.Assert(t, err != nil || next != nil)
	})
}
