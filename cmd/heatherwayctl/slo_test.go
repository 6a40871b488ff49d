package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/slo"
)

// Guards against a report that omits an entry, or accepts a snapshot with another
// layout version.
func TestSLOMergesSnapshots(t *testing.T) {
	now := time.Now()
	r := slo.NewRecorder(now, func(slo.SeriesKey) slo.Objective { return slo.Objective{Target: time.Second, Share: 0.9} })
	r.Record(now, slo.Sample{Organisation: "a", FirstToken: time.Minute})
	s := r.Snapshot(now)
	write := func() string {
		path := filepath.Join(t.TempDir(), "snapshot.json")
		b, err := s.Encode()
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(path, b, 0o600))
		return path
	}
	var out bytes.Buffer
	assert.Equal(t, runCommand(t, &out, "slo", "--output", "json", write(), write()), exitOK)
	var report slo.Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
	assert.Equal(t, report.Classes[0].Bad, uint64(2))
	s.Layout++
	assert.Equal(t, runCommand(t, &out, "slo", write()), exitFailed)
	assert.Equal(t, runCommand(t, &out, "slo", "--output", "pdf", write()), exitUsage)
}
