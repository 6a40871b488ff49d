package registry

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/quick"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// lineLog collects log lines.
type lineLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *lineLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(line))
	return len(line), nil
}

// take returns the lines that contain a text, and forgets all lines.
func (l *lineLog) take(text string) (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	l.lines = nil
	return out
}

func oddHeartbeat(field, value string) string {
	fields := map[string]string{"Service": `"s"`, "Addr": `"10.0.0.66:80"`, "Zone": `"z"`, "Slots": "4", "State": `"ready"`, "Seq": "1", "born": "1000"}
	fields[field] = value
	var parts []string
	for name, v := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", name, v))
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// maxRefusalLine bounds the log line of a refused call.
const maxRefusalLine = 1 << 10

// Guards against an announcement of another writer that is stored or shared, that ends an
// instance, or that fills the log; and against other upstreams that are affected by it.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	log := &lineLog{}
	f := newLoggedFleet(t, 3, log)
	f.replace(f.nodes[0], 1, "first")
	f.nodes[0].call(t, "POST", "/v1/instances/good/heartbeat", heartbeat("ready", 1))
	f.eventually("known everywhere", func() bool {
		return f.nodes[0].state("good") == registration.Ready && f.nodes[1].state("good") == registration.Ready && f.nodes[2].state("good") == registration.Ready
	})
	long := strings.Repeat("9", 60_000)
	for name, text := range map[string]string{
		"nested":       oddHeartbeat("Models", strings.Repeat("[", 30_000)+strings.Repeat("]", 30_000)),
		"port 0":       oddHeartbeat("Addr", `"10.0.0.66:0"`),
		"port 65536":   oddHeartbeat("Addr", `"10.0.0.66:65536"`),
		"unspecified":  oddHeartbeat("Addr", `"0.0.0.0:80"`),
		"address zone": oddHeartbeat("Addr", `"[fe80::1%x\r\nTenant: y]:80"`),
		"host name":    oddHeartbeat("Addr", `"upstream.example:80"`),
		"slots":        oddHeartbeat("Slots", "1000000000000000000"),
		"long number":  oddHeartbeat("Slots", long),
		"exponent":     oddHeartbeat("Seq", "1e999"),
		"start":        oddHeartbeat("born", "9223372036854775807"),
		"sequence":     oddHeartbeat("Seq", "9223372036854775807"),
		"long state":   oddHeartbeat("State", `"`+long+`"`),
		"long service": oddHeartbeat("Service", `"`+long+`"`),
		"array":        "[" + oddHeartbeat("Seq", "1") + "]",
		"not JSON":     "\xff\xfe\x00",
	} {
		log.take("")
		status, answer := f.nodes[1].call(t, "POST", "/v1/instances/odd/heartbeat", text)
		assert.Check(t, status == http.StatusBadRequest, "%s: status %d", name, status)
		assert.Check(t, len(answer) <= maxRefusalLine, "%s: the answer has %d bytes", name, len(answer))
		lines := log.take("call refused")
		assert.Check(t, len(lines) == 1 && len(lines[0]) <= maxRefusalLine, "%s: %d lines, the first of %d bytes", name, len(lines), len(strings.Join(lines, "")))
	}
	for _, id := range []string{"a\nb", "a\x00b", "\xff\xfe", " ", strings.Repeat("i", 60_000)} {
		for _, call := range []string{"heartbeat", "deregister"} {
			log.take("")
			status, _ := f.nodes[1].call(t, "POST", "/v1/instances/"+url.PathEscape(id)+"/"+call, oddHeartbeat("Seq", "1"))
			assert.Check(t, status == http.StatusBadRequest, "%s of %.20q: status %d", call, id, status)
			lines := log.take("call refused")
			assert.Check(t, len(lines) == 1 && len(lines[0]) <= maxRefusalLine, "%s of %.20q: %d lines", call, id, len(lines))
		}
	}
	status, _ := f.nodes[1].call(t, "POST", "/v1/instances/odd/heartbeat", strings.Repeat(" ", 1<<20))
	assert.Check(t, status == http.StatusRequestEntityTooLarge, "a body without end: status %d", status)
	status, _ = f.nodes[1].call(t, "POST", "/v1/config/replace", strings.Repeat(" ", 5<<20))
	assert.Check(t, status == http.StatusRequestEntityTooLarge, "a configuration without end: status %d", status)

	f.nodes[1].call(t, "POST", "/v1/instances/good/heartbeat", heartbeat("draining", 2))
	for i, n := range f.nodes {
		f.eventually("the other upstream changes as before", func() bool { return n.state("good") == registration.Draining })
		v, ok := n.directory.changesSince(t.Context(), query{})
		assert.Check(t, ok && len(v.upstreams) == 1, "instance %d has stored %+v", i, v.upstreams)
	}
}

// Guards against a connection that sends its body slowly and holds up others.
func TestSlowAnnouncementDelaysNoOther(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	for range 50 {
		conn, err := net.Dial("tcp", n.operators.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "POST /v1/instances/slow/heartbeat HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n")
		assert.NilError(t, err)
	}
	begin := time.Now()
	status, _ := n.call(t, "POST", "/v1/instances/good/heartbeat", heartbeat("ready", 1))
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, time.Since(begin) < time.Second)
	assert.Equal(t, n.state("good"), registration.Ready)
}

// Guards against an instance that ends because of a panic over the reply of another one.
func TestPanicOverAReplyEndsNoInstance(t *testing.T) {
	log := &lineLog{}
	f := newLoggedFleet(t, 3, log)
	f.replace(f.nodes[0], 1, "first")
	n := f.nodes[0]
	f.eventually("members", func() bool { return len(n.otherMembers()) == 2 })
	n.directory.shareResults <- shareResult{addr: n.otherMembers()[0], args: &ShareArgs{}} // no reply
	status, _ := n.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
	assert.Equal(t, status, http.StatusOK)
	f.eventually("still shared", func() bool {
		return f.nodes[1].state("i-1") == registration.Ready && f.nodes[2].state("i-1") == registration.Ready
	})
	assert.Equal(t, len(log.take("unexpected failure")), 1)
}

// Guards against an instance whose memory grows while another writer announces new IDs, and
// against a sender that believes that its upstream is known.
func TestNewUpstreamIsRefusedWhileDirectoryIsFull(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	var flood []registration.Upstream
	for i := range registration.MaxRecords {
		flood = append(flood, registration.Upstream{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Zone: "z", Seq: 1})
	}
	n.directory.observe(observation{upstreams: flood})
	status, _ := n.call(t, "POST", "/v1/instances/new/heartbeat", oddHeartbeat("Addr", `"10.255.0.1:80"`))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _ = n.call(t, "POST", "/v1/instances/i-7/heartbeat", oddHeartbeat("Addr", `"10.0.7.1:80"`))
	assert.Equal(t, status, http.StatusOK)
	status, _ = n.call(t, "POST", "/v1/instances/i-7/deregister", "")
	assert.Equal(t, status, http.StatusOK)
	status, _ = n.call(t, "POST", "/v1/instances/new/heartbeat", oddHeartbeat("Addr", `"10.255.0.1:80"`))
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a call of a gateway or of another instance with odd arguments that panics,
// and against odd records that are stored.
func TestOddCallsDoNotPanic(t *testing.T) {
	log := &lineLog{}
	f := newLoggedFleet(t, 1, log)
	r := f.nodes[0].Registry
	rng := rand.New(rand.NewSource(1))
	service := &Service{r}
	methods := reflect.TypeOf(service)
	for i := range methods.NumMethod() {
		m := methods.Method(i)
		if m.Name == "Replace" || m.Name == "Read" || m.Name == "Confirm" || m.Name == "Trial" { // without a leader each call waits for its timeout
			continue
		}
		for range 60 {
			args, ok := quick.Value(m.Type.In(1), rng)
			assert.Assert(t, ok, m.Name)
			if w, isWatch := args.Interface().(*WatchArgs); isWatch && w != nil {
				w.Confirm, w.Version = false, 0 // an instance without a leader answers at once
			}
			if args.IsNil() {
				continue
			}
			m.Func.Call([]reflect.Value{reflect.ValueOf(service), args, reflect.New(m.Type.In(2).Elem())})
		}
	}
	v, ok := r.directory.changesSince(t.Context(), query{subsetZone: "z"})
	assert.Assert(t, ok)
	for _, u := range v.upstreams {
		assert.Check(t, u.Validate())
	}
	for _, line := range log.take("unexpected failure") {
		t.Errorf("panic: %.400s", line)
	}
}
