package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/pick"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// oddControl is a control instance that answers each watch at once if the caller's revision
// differs, as a real one does.
type oddControl struct {
	mu       sync.Mutex
	revision uint64
	config   []byte
	calls    int
}

func (c *oddControl) Watch(a wire.WatchArgs, r *wire.WatchReply) error {
	c.mu.Lock()
	c.calls++
	r.Revision, r.Members, r.Suspects = max(a.Revision, c.revision), a.Members, a.Suspects
	changed := a.Revision < c.revision
	if changed {
		r.Config = c.config
	}
	c.mu.Unlock()
	if !changed && !a.Fresh {
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (c *oddControl) callsWithin(d time.Duration) int {
	c.mu.Lock()
	before := c.calls
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls - before
}

// Guards against an entry that requests a configuration that it cannot apply again and again
// without a pause, and against one that does not apply the next one.
func TestUnusableConfigurationIsNotRequestedWithoutPause(t *testing.T) {
	for name, odd := range map[string]string{"truncated": `{"revision":`, "number": `{"revision":18446744073709551616}`, "nested": `{"defaults":` + nested(20_000) + `}`} {
		t.Run(name, func(t *testing.T) {
			control := &oddControl{revision: 9, config: []byte(odd)}
			mux := http.NewServeMux()
			mux.Handle(peer.RPCPath, rpcHandler(t, wire.ControlService, control))
			server := httptest.NewServer(mux)
			t.Cleanup(server.Close)
			m := startEntryModule(t, server.Listener.Addr().String())
			t.Cleanup(func() { _ = m.Stop(t.Context()) })
			time.Sleep(100 * time.Millisecond)
			calls := control.callsWithin(500 * time.Millisecond)
			assert.Check(t, calls <= 10, "%d calls in 500 ms", calls)
			control.mu.Lock()
			control.revision = 10
			control.config, _ = json.Marshal(config.Document{Revision: 10})
			control.mu.Unlock()
			for end := time.Now().Add(5 * time.Second); m.owner.current().revision() != 10; time.Sleep(5 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "the next configuration is not applied")
			}
		})
	}
}

func nested(levels int) string {
	b := make([]byte, 2*levels)
	for i := range levels {
		b[i], b[levels+i] = '[', ']'
	}
	return string(b)
}

// Guards against an entry that refuses all requests for ever because one agent has reported
// a revision that does not exist.
func TestRevisionThatDoesNotExist(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", generateTokens(1)))
	f.module.owner.noteRevision(math.MaxUint64)
	f.waitUntil(func() bool { return f.module.owner.newestRevision.Load() == 3 })
	r := f.request(http.MethodPost, "/v1/completions", streamingBody)
	assert.Equal(t, r.status, http.StatusOK)
}

// Guards against an entry that drops a revision which only a quorum does not know yet
// because this control instance is cut off.
func TestRevisionIsNotDroppedWithoutQuorum(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", generateTokens(1)))
	f.control.update(func() { f.control.freshErr = peer.EncodeError(result.New(result.ControlUnavailable, "no quorum")) })
	f.module.owner.noteRevision(5)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, f.module.owner.newestRevision.Load(), uint64(5))
	f.control.update(func() { f.control.freshErr = nil; f.control.doc.Revision = 5 })
	f.waitUntil(func() bool { return f.module.owner.current().revision() == 5 })
	assert.Equal(t, f.module.owner.newestRevision.Load(), uint64(5))
}

// panicInput panics when the owner handles it.
type panicInput struct{}

func (panicInput) apply(*owner, time.Time) { panic("odd event") }

// runInput runs a function in the owner's goroutine.
type runInput func(*owner)

func (f runInput) apply(o *owner, _ time.Time) { f(o) }

// Guards against a process that ends because of a panic over one event, and against an entry
// that stops following its control instance because of a panic over one reply.
func TestPanicOverOneUpdate(t *testing.T) {
	f := newFixture(t, newFakeAgent(t, "agent-1", generateTokens(1)))
	f.module.owner.queue <- panicInput{}
	f.waitUntil(func() bool {
		return f.request(http.MethodPost, "/v1/completions", streamingBody).status == http.StatusOK
	})

	var table *pick.Table
	f.module.owner.queue <- runInput(func(o *owner) { table, o.table = o.table, nil }) // each update of the members panics
	f.control.update(func() { f.control.doc.Revision = 4 })
	f.waitUntil(func() bool { return f.module.owner.current().revision() == 4 })
	f.control.mu.Lock()
	before := f.control.watches
	f.control.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	f.control.mu.Lock()
	watches := f.control.watches - before
	f.control.mu.Unlock()
	assert.Check(t, watches > 0 && watches <= 8, "%d watches in 500 ms", watches)
	f.module.owner.queue <- runInput(func(o *owner) { o.table = table })
	second := newFakeAgent(t, "agent-2", generateTokens(1))
	f.control.update(func() { f.control.upstreams = append(f.control.upstreams, second.upstream()) })
	f.waitUntil(func() bool { return len(f.module.owner.current().upstreams) == 2 })
}
