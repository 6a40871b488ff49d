package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/internal/httpconn"
	"heatherway.dev/heatherway/platform"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/stats"
)

// upstream is a scripted server that records the requests it receives.
type upstream struct {
	report func() string // nil reports an idle upstream
	// onReport may set headers of the report's response.
	onReport func(http.ResponseWriter)
	registration.Upstream
	server   *httptest.Server
	mu       sync.Mutex
	received []receivedRequest
}

type receivedRequest struct {
	method, target string
	header         http.Header
	body           string
}

func (u *upstream) requests() []receivedRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]receivedRequest(nil), u.received...)
}

// startUpstream starts an upstream. The handler gets the ordinal of the request.
func startUpstream(t *testing.T, id, service, zone string, handle func(w http.ResponseWriter, r *http.Request, n int)) *upstream {
	t.Helper()
	u := &upstream{}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" {
			if u.onReport != nil {
				u.onReport(w)
			}
			if u.report != nil {
				_, _ = io.WriteString(w, u.report())
				return
			}
			_, _ = io.WriteString(w, `{"Queued":0,"KvUsed":0,"Runs":[]}`)
			return
		}
		body, _ := io.ReadAll(r.Body)
		u.mu.Lock()
		u.received = append(u.received, receivedRequest{r.Method, r.RequestURI, r.Header.Clone(), string(body)})
		n := len(u.received)
		u.mu.Unlock()
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "seal-"+id)
		handle(w, r, n)
	}))
	t.Cleanup(func() { u.server.CloseClientConnections(); u.server.Close() })
	u.Upstream = registration.Upstream{
		ID: id, Service: service, Zone: zone, Addr: u.server.Listener.Addr().String(), Slots: 8, StartedMS: 1000, Seq: 1,
	}
	return u
}

// writeEvent writes one event of a stream with the given ID.
func writeEvent(w http.ResponseWriter, id int) {
	w.Header().Set("Content-Type", "text/event-stream") // no effect after the first event
	fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
	w.(http.Flusher).Flush()
}

// abort closes the connection without completing the response.
func abort() { panic(http.ErrAbortHandler) }

// configuration returns a configuration with one stream route, one at-most-once route
// and one idempotent route.
func configuration() *routing.Configuration {
	return &routing.Configuration{
		Version: 1,
		Limits:  routing.Limits{BodyBytes: 1 << 16, IdleTimeout: time.Minute},
		Services: []routing.Service{
			{Name: "model", Engine: &routing.Engine{Slots: 64, MemoryTokens: 88_000, SupportsBackups: true, BackupTTL: 4 * time.Second}},
			{Name: "desk"},
		},
		Routes: []routing.Route{
			{Name: "letters", Host: "h", Prefix: "/letters/", Kind: routing.Stream, Timeout: 5 * time.Second, Objective: 4 * time.Second,
				MaxEventGap: 700 * time.Millisecond, MaxAttempts: 5, Resumable: true, Targets: []routing.Target{{Service: "model", Weight: 1}}},
			{Name: "book", Host: "h", Prefix: "/book/", Kind: routing.AtMostOnce, Timeout: time.Second, Objective: 100 * time.Millisecond,
				MaxAttempts: 1, Targets: []routing.Target{{Service: "desk", Weight: 1}}},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: routing.Idempotent, Timeout: time.Second, Objective: 100 * time.Millisecond,
				MaxAttempts: 2, Targets: []routing.Target{{Service: "desk", Weight: 1}}},
		},
		Organisations: []routing.Organisation{{Name: "mill", Keys: []string{"secret"}}},
	}
}

// fixture is a running gateway and the address for its callers.
type fixture struct {
	*Gateway
	t    *testing.T
	addr string
	// control is the directory of the control instance that the gateway follows.
	control *registration.Directory
}

func newFixture(t *testing.T, c *routing.Configuration, ups ...*upstream) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*Gateway) {}, c, ups...)
}

// newFixtureWith changes settings before the gateway starts.
func newFixtureWith(t *testing.T, change func(*Gateway), c *routing.Configuration, ups ...*upstream) *fixture {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, log)
	assert.NilError(t, err)
	g := newGateway()
	g.log, g.security, g.zone, g.metrics = log, security, "z0", newMetrics(stats.New())
	g.dialect = &platform.Platform{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	change(g)
	g.initState()
	callerListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g.callerListener = httpconn.NewListener(callerListener, httpconn.Limits{Idle: g.idleLimit, Header: readHeaderTimeout, HeaderLines: httpconn.MaxHeaderLines})
	g.readyListener, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, g.Start(t.Context()))
	f := &fixture{Gateway: g, t: t, addr: g.callerListener.Addr().String(), control: registration.New(func(string) bool { return true })}
	if c != nil {
		f.setConfiguration(c)
	}
	for _, u := range ups {
		f.announce(u.Upstream)
	}
	t.Cleanup(func() {
		_ = g.Cleanup()
		_ = g.server.Close()
		_ = g.readyServer.Close()
	})
	return f
}

func (f *fixture) setConfiguration(c *routing.Configuration) {
	f.follower.setUnconfirmed(c)
	f.follower.activateNewest()
}

func (f *fixture) announce(u registration.Upstream) {
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	before := f.control.LastChange()
	f.control.Observe(time.Now(), u)
	for _, c := range f.control.ChangedSince(before) {
		f.follower.observe(time.Now(), c)
	}
	f.follower.upstreamCount.Add(1)
}

// affinityUpstreams returns the IDs of the upstreams that may have a prompt cached.
func (f *fixture) affinityUpstreams(promptKey string) (ids []string) {
	f.owner.call(func(s *state) {
		sameZone, otherZones := s.fleet.AffinityUpstreams(time.Now(), &dispatch.Request{Service: "model", Affinity: promptKey})
		for _, u := range append(sameZone, otherZones...) {
			ids = append(ids, u.ID)
		}
	})
	return ids
}

var attemptCount atomic.Int64

// request builds a caller's request.
func (f *fixture) request(method, target, body string, header ...string) *http.Request {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+f.addr+target, strings.NewReader(body))
	assert.NilError(f.t, err)
	r.Host = "h"
	r.Header.Set("Attempt-Id", fmt.Sprint("attempt-", attemptCount.Add(1)))
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Deadline-Ms", "20000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // of the body
	took   time.Duration
}

func (f *fixture) do(r *http.Request) callerResponse {
	f.t.Helper()
	begin := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	res, err := client.Do(r)
	if err != nil {
		return callerResponse{err: err, took: time.Since(begin)}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return callerResponse{res.StatusCode, res.Header, string(b), err, time.Since(begin)}
}

// doStream sends a stream request and reads the whole response.
func (f *fixture) doStream(header ...string) callerResponse {
	return f.do(f.request("POST", "/letters/x", "prompt", append([]string{"Token-Count", "8000,800", "Prompt-Prefix", "aa:200,bb:7800"}, header...)...))
}

// receivedIDs returns the IDs of the events in a body.
func receivedIDs(body string) []string {
	var ids []string
	for s := bufio.NewScanner(strings.NewReader(body)); s.Scan(); {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}
