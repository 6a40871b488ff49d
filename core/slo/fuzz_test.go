package slo

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a malformed snapshot of an entry that makes the report panic.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1e9, 0)
	r := NewRecorder(now, func(SeriesKey) Objective { return Objective{Target: time.Second, Share: 0.9} })
	r.Record(now, Sample{Organisation: "a", FirstToken: time.Minute})
	b, err := r.Snapshot(now).Encode()
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			return
		}
		BuildReport(Merge(s, s), 3)
	})
}
