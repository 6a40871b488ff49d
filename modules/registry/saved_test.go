package registry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
)

const savedUpstream = `{"ID":"i-1","Service":"s","Addr":"10.0.0.9:80","Zone":"z","Slots":4,"State":0,"StartedMS":1000,"Seq":1}`

// oddSavedRecords are elements of a saved list that are not records of upstreams.
var oddSavedRecords = []string{
	`{"ID":"odd","Service":"s","Addr":"10.0.0.8:80","Slots":9223372036854775808}`, `{"ID":"odd","Service":"s","Addr":"10.0.0.8:80","Seq":1e999}`,
	`{"ID":"odd","Service":"s","Addr":"10.0.0.8:80","Slots":"4"}`, `{"ID":"odd","Service":"s","Addr":"10.0.0.8:80","State":300}`,
	`{"ID":"odd","Service":"s","Addr":"10.0.0.8:80","State":200}`, `{"ID":"odd","Service":"s","Addr":"10.0.0.8:0"}`, `{"ID":"odd","Service":"s","Addr":"[::1"}`,
	`{"ID":"odd","Service":"s","Addr":"10.0.0.8:80","StartedMS":9223372036854775807}`, `{"ID":["odd"]}`, `null`, `[]`, `5`, `"odd"`, `{}`,
	`{"ID":"odd","Service":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `}`, `{"ID":"` + strings.Repeat("o", 1<<20) + `"}`,
}

// Guards against an instance that does not start, or starts without any upstream, because
// of one odd record in its saved directory, and against one that keeps that record.
func TestRestartWithOddSavedRecord(t *testing.T) {
	log := &lineLog{}
	f := newLoggedFleet(t, 1, log)
	n := f.nodes[0]
	for _, odd := range oddSavedRecords {
		path := n.directory.saver.path
		f.stop(n)
		other := strings.Replace(strings.Replace(savedUpstream, "i-1", "i-2", 1), "10.0.0.9", "10.0.0.7", 1)
		assert.NilError(t, os.WriteFile(path, []byte("["+savedUpstream+","+odd+","+other+"]"), 0o600))
		log.take("")
		f.start(n)
		assert.Check(t, n.state("i-1") == registration.Ready && n.state("i-2") == registration.Ready, "the other records are lost: %.100s", odd)
		assert.Check(t, n.directory.state.Len() == 2, "%d records: %.100s", n.directory.state.Len(), odd)
		lines := log.take("saved upstream")
		assert.Check(t, len(lines) == 1 && len(lines[0]) < maxRefusalLine, "%d lines: %.100s", len(lines), odd)
	}
	for _, file := range []string{"", "{}", "null", `{"a":1}`, "\x00\xff", strings.Repeat("[", 1_000_000), `[` + savedUpstream} {
		path := n.directory.saver.path
		f.stop(n)
		assert.NilError(t, os.WriteFile(path, []byte(file), 0o600))
		f.start(n)
		status, _ := n.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
		assert.Check(t, status == http.StatusOK && n.state("i-1") == registration.Ready, "file %.20q", file)
	}
}

// Guards against an instance that does not start, or forgets all broken runs, because of one
// odd record among the saved ones.
func TestRestartWithOddSavedRun(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	for _, odd := range []string{
		`{"Fingerprint":"odd","AgeMS":9223372036854775808}`, `{"Fingerprint":"odd","Outcome":300}`, `{"Fingerprint":"odd","Outcome":-1}`, `{"Fingerprint":{"x":1}}`,
		`{"Fingerprint":"odd","Outcome":"ended"}`, `{"Fingerprint":"odd","Outcome":200}`, `null`, `7`, `[]`,
	} {
		path := n.directory.crashesSaver.path
		f.stop(n)
		run := func(upstream int) string {
			return fmt.Sprintf(`{"Fingerprint":"poison","Upstream":"u-%d","Addr":"10.0.0.%d:80","StartedMS":1000,"Outcome":2,"AgeMS":10}`, upstream, upstream)
		}
		file := fmt.Sprintf(`{"AtMS":%d,"Entries":[%s,%s,%s,%s]}`, time.Now().UnixMilli(), run(1), odd, run(2), run(3))
		assert.NilError(t, os.WriteFile(path, []byte(file), 0o600))
		f.start(n)
		v, ok := n.directory.changesSince(t.Context(), query{})
		assert.Check(t, ok && len(v.runs) == 3, "%d runs are left: %.100s", len(v.runs), odd)
	}
}

// Guards against a file that ends the instance at each start, whatever it contains.
func TestAnySavedFileIsRead(t *testing.T) {
	f := newFleet(t, 1)
	r := f.nodes[0].Registry
	number := rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{0, -1, math.MaxInt64, math.MinInt64}))
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory(r)
		var records, runs []any
		for range rapid.IntRange(0, 5).Draw(t, "records") {
			records = append(records, registration.Upstream{
				ID: rapid.StringN(0, 3, -1).Draw(t, "id"), Service: rapid.StringN(0, 2, -1).Draw(t, "service"), State: registration.State(rapid.Uint8Range(0, 6).Draw(t, "state")),
				Addr: rapid.SampledFrom([]string{"", "10.0.0.1:80", "x"}).Draw(t, "address"), StartedMS: number.Draw(t, "start"), Seq: number.Draw(t, "sequence number"),
			})
			runs = append(runs, crash.Entry{Run: crash.Run{Fingerprint: rapid.StringN(0, 2, -1).Draw(t, "fingerprint"), Upstream: "u", Addr: "a"},
				Outcome: crash.Outcome(rapid.Uint8Range(0, 6).Draw(t, "outcome")), AgeMS: number.Draw(t, "age")})
		}
		write := func(path string, value any) {
			b, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			if cut := rapid.IntRange(0, 200).Draw(t, "cut"); cut < len(b) && rapid.Bool().Draw(t, "truncated") {
				b = b[:cut]
			}
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		write(d.saver.path, records)
		write(d.crashesSaver.path, map[string]any{"AtMS": number.Draw(t, "saved at"), "Entries": runs})
		d = newDirectory(r)
		now := time.Now()
		d.crashes.Expire(now)
		d.state.MarkLost(now, time.Hour)
		d.collectChanges(query{subsetZone: "z"})
	})
}
