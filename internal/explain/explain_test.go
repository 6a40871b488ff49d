package explain

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// line returns a log line that is ms milliseconds after a fixed start.
func line(ms int, instance, message, fields string) string {
	at := time.UnixMilli(1_800_000_000_000 + int64(ms)).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"time":%q,"level":"INFO","msg":%q,"instance":%q%s}`, at, message, instance, fields) + "\n"
}

func source(lines ...string) Source {
	return Source{Name: "log", Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(strings.Join(lines, ""))), nil }}
}

// Guards against a report with state that had no part in the decisions: that of other
// processes and upstreams, replaced states and later ones.
func TestStateBehindDecisions(t *testing.T) {
	gateway := source(
		line(0, "g1", "upstream changed", `,"upstream":"u1","state":"ready"`),
		line(50, "g1", "upstream changed", `,"upstream":"u1","state":"draining"`),
		line(60, "g1", "upstream changed", `,"upstream":"u2","state":"ready"`),
		line(70, "g1", "configuration in force", `,"version":7`),
		line(99, "g1", "attempt failed", `,"request":"other","upstream":"u1"`),
		line(150, "g1", "attempt failed", `,"request":"r","upstream":"u1","error":"reset","took_ms":40`),
		line(150, "g1", "run broke off", `,"request":"r","upstream":"u1","fingerprint":"f"`),
		line(160, "g1", "request failed", `,"request":"r","status":503,"ran":"not_run","took_ms":60,"retry_after_ms":100,"error":"full"`),
		line(170, "g1", "upstream changed", `,"upstream":"u1","state":"ready"`),
	)
	others := source(
		line(90, "g2", "upstream changed", `,"upstream":"u1","state":"ready"`),
		line(110, "c1", "upstream lost", `,"upstream":"u1"`),
		line(120, "c1", "request may crash upstreams", `,"fingerprint":"f","verdict":"undecided"`),
		line(130, "c1", "request may crash upstreams", `,"fingerprint":"another"`),
	)
	r, err := Request("r", []Source{gateway, others})
	assert.NilError(t, err)
	var got []string
	for _, l := range r.Lines {
		got = append(got, fmt.Sprint(l.Kind, " ", l.Age, " ", l.Message, " ", l.textField("state")))
	}
	assert.DeepEqual(t, got, []string{
		"belief 110ms upstream changed draining", "belief 90ms configuration in force ", "belief 50ms upstream lost ",
		"crash 40ms request may crash upstreams ", "request 10ms attempt failed ", "request 10ms run broke off ", "request 0s request failed ",
	})
	assert.Equal(t, r.Why, "answered 503 after 60ms, it has not run, to come back after 100ms: full; 1 attempts failed: u1 (reset)")
}

// Guards against a report that fails because a log has truncated lines, other text or
// overlong lines.
func TestDamagedLogs(t *testing.T) {
	damaged := source(
		"panic: something\n", line(0, "g1", "attempt failed", `,"request":"r","upstream":"u1","error":"reset"`)[:60]+"\n", "[1,2]\n",
		`{"request":"r","msg":"`+strings.Repeat("x", 3*maxLine)+"\"}\n", "\n",
		line(10, "g1", "caller gone", `,"request":"r","took_ms":10`), `{"time":"2026`,
	)
	r, err := Request("r", []Source{damaged})
	assert.NilError(t, err)
	assert.Equal(t, r.Counts, Counts{Lines: 7, Damaged: 4})
	assert.Equal(t, r.Why, "the caller left after 10ms")
}

// Guards against a summary that does not match how a request ended.
func TestWhy(t *testing.T) {
	cases := map[string][]string{
		"answered after 2s by u2; it went on elsewhere 1 times; 1 attempts failed: u1 (EOF)": {
			line(0, "g", "attempt failed", `,"request":"r","upstream":"u1","error":"EOF"`), line(10, "g", "stream resumed", `,"request":"r","upstream":"u2"`),
			line(2000, "g", "request answered", `,"request":"r","upstream":"u2","took_ms":2000`),
		},
		"failed with code 5020 after 30 ms in 2 attempts, 7 tokens, last upstream \"u1\"": {
			line(0, "e", "request", `,"request_id":"r","code":5020,"duration_ms":30,"attempts":2,"tokens":7,"upstream":"u1"`),
		},
		"broken off behind event 79 after 5s: no upstream": {line(0, "g", "stream broken off", `,"request":"r","last_event":79,"took_ms":5000,"error":"no upstream"`)},
		"no line tells its end: its gateway was stopped, and cut it off at the end of the grace period": {
			line(0, "g", "stream resumed", `,"request":"r"`), line(0, "g", "requests cut off at the end of the grace period", ""), line(0, "g", "copy not made", `,"request":"r"`),
		},
		"no line tells its end: it is under way, its process was killed, or its line was dropped; it went on elsewhere 1 times":           {line(0, "g", "stream resumed", `,"request":"r"`)},
		"no line names the request: it is under way, it was answered by its first upstream, or the log of its gateway is not among these": {line(0, "g", "request failed", `,"request":"other"`)},
	}
	for want, lines := range cases {
		r, err := Request("r", []Source{source(lines...)})
		assert.NilError(t, err)
		assert.Equal(t, r.Why, want)
	}
}
