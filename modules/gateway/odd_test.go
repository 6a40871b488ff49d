package gateway

import (
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/heatherway/platform"
	"heatherway.dev/kernel/peer"
)

// feedControl is a control instance that sends each list of records as one change.
type feedControl struct {
	mu    sync.Mutex
	lists [][]registration.Upstream
	calls int
}

func (c *feedControl) send(list ...registration.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists = append(c.lists, list)
}

func (c *feedControl) Watch(args *registry.WatchArgs, reply *registry.WatchReply) error {
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	*reply = registry.WatchReply{Epoch: 7, Led: true, Change: uint64(len(c.lists))}
	from := args.Change
	if args.Epoch != 7 {
		from = 0
	}
	for _, list := range c.lists[from:] {
		reply.Upstreams = append(reply.Upstreams, list...)
	}
	return nil
}

// followFeed makes the gateway follow a control instance.
func (f *fixture) followFeed(control any) {
	server := httptest.NewServer(&peer.Handler{Security: f.security, Services: func(peer.Roles) map[string]any {
		return map[string]any{registry.ServiceName: control}
	}})
	f.t.Cleanup(server.Close)
	f.follower.addMembers([]string{server.Listener.Addr().String()})
	f.follower.start()
}

// known returns the IDs of the upstreams that have not ended, in order.
func (f *fixture) known() string {
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	var ids []string
	for _, u := range f.follower.directory.All() {
		if u.State < registration.Lost {
			ids = append(ids, u.ID)
		}
	}
	return strings.Join(ids, " ")
}

func modelAt(id, addr string) registration.Upstream {
	return registration.Upstream{ID: id, Service: "model", Zone: "z0", Addr: addr, Slots: 8, StartedMS: 1000, Seq: 1}
}

// Guards against a gateway that drops a list, or stops following it, because of one odd
// record, and against one that places requests on the upstream of an odd record.
func TestOddRecordsInTheFeed(t *testing.T) {
	f := newFixture(t, configuration())
	control := &feedControl{}
	f.followFeed(control)
	odd := func(change func(*registration.Upstream)) registration.Upstream {
		u := modelAt("m-odd", "127.0.0.1:66")
		change(&u)
		return u
	}
	for _, u := range []registration.Upstream{
		odd(func(u *registration.Upstream) { u.ID = "" }), odd(func(u *registration.Upstream) { u.ID = "m\r\nTenant: x" }),
		odd(func(u *registration.Upstream) { u.ID = strings.Repeat("m", 1<<20) }), odd(func(u *registration.Upstream) { u.Addr = "" }),
		odd(func(u *registration.Upstream) { u.Addr = "upstream.example:80" }), odd(func(u *registration.Upstream) { u.Addr = "[fe80::1%\r\n]:80" }),
		odd(func(u *registration.Upstream) { u.Addr = "127.0.0.1:0" }), odd(func(u *registration.Upstream) { u.Addr = "127.0.0.1:65536" }),
		odd(func(u *registration.Upstream) { u.State = 200 }), odd(func(u *registration.Upstream) { u.Slots = 1 << 60 }),
		odd(func(u *registration.Upstream) { u.Slots = -1 }), odd(func(u *registration.Upstream) { u.StartedMS = 1 << 62 }),
		odd(func(u *registration.Upstream) { u.Seq = -1 }), odd(func(u *registration.Upstream) { u.ColdMS = 1 << 62 }),
		odd(func(u *registration.Upstream) { u.Service = "\xff" }), odd(func(u *registration.Upstream) { u.Zone = "\x00" }),
	} {
		control.send(modelAt("a", "127.0.0.1:10"), u, modelAt("z", "127.0.0.1:11"))
	}
	eventually(t, "the good records", func() bool { return f.known() == "a z" })
	control.send(registration.Upstream{ID: "a", State: registration.Left, StartedMS: 1000, Seq: 2}, odd(func(u *registration.Upstream) { u.State = 9 }), modelAt("y", "127.0.0.1:12"))
	eventually(t, "later changes", func() bool { return f.known() == "y z" })
	placeable := 0
	f.owner.call(func(s *state) { placeable = s.fleet.Len() })
	assert.Equal(t, placeable, 2, "y and z")
}

// Guards against a gateway that never uses an upstream again. Another writer announced its
// ID with a start time in the future, or the clock of its machine was set back; the control
// instances have forgotten that incarnation, but send the record of the real one only once,
// when the gateway still considers it older.
func TestUpstreamHiddenByAnEndedRecordReturns(t *testing.T) {
	f := newFixture(t, configuration())
	control := &largeFleetControl{dir: registration.New(func(string) bool { return true })}
	f.followFeed(control)
	observe := func(u registration.Upstream) {
		control.mu.Lock()
		defer control.mu.Unlock()
		control.dir.Observe(time.Now(), u)
	}
	future := modelAt("a", "127.0.0.1:10")
	future.StartedMS = registration.MaxStartedMS
	observe(future)
	observe(modelAt("b", "127.0.0.1:11"))
	eventually(t, "the future start", func() bool { return f.known() == "a b" })
	future.State, future.Seq = registration.Left, 2
	observe(future)
	eventually(t, "its end", func() bool { return f.known() == "b" })
	control.mu.Lock()
	control.dir.Expire(time.Now().Add(time.Hour), time.Minute)
	control.mu.Unlock()
	observe(modelAt("a", "127.0.0.1:10"))
	observe(modelAt("b", "127.0.0.1:11"))
	observe(modelAt("c", "127.0.0.1:12"))
	eventually(t, "later changes", func() bool { return f.known() == "b c" })
	f.follower.mu.Lock()
	f.follower.adjustSubset(time.Now().Add(endedRetention + time.Second))
	f.follower.mu.Unlock()
	eventually(t, "the upstream that was hidden", func() bool { return f.known() == "a b c" })
}

// configurationControl is a control instance that serves one configuration at a time. Like
// the registry, it answers at once if the caller has an older version.
type configurationControl struct {
	mu      sync.Mutex
	version uint64
	body    string
	calls   int
	// bodies counts the replies with a configuration.
	bodies int
	// upstreams are sent with the configuration.
	upstreams []registration.Upstream
}

func (c *configurationControl) set(version uint64, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.body = version, body
}

func (c *configurationControl) Watch(args *registry.WatchArgs, reply *registry.WatchReply) error {
	for range 100 {
		c.mu.Lock()
		version, body := c.version, c.body
		c.mu.Unlock()
		if version > args.Version {
			*reply = registry.WatchReply{Epoch: 7, Led: true, Version: version, Body: []byte(body), Confirmed: true, Upstreams: c.upstreams, Change: 1}
			break
		}
		*reply = registry.WatchReply{Epoch: 7, Led: true, Version: version, Confirmed: args.Confirm}
		if args.Confirm {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if len(reply.Body) > 0 {
		c.bodies++
	}
	return nil
}

// oddConfigurationDialect panics over a configuration that contains "panic".
type oddConfigurationDialect struct{ platform.Platform }

func (p *oddConfigurationDialect) Configuration(body []byte) (*routing.Configuration, error) {
	if strings.Contains(string(body), "panic") {
		panic("odd configuration")
	}
	return p.Platform.Configuration(body)
}

// Guards against a gateway that asks for a configuration that it cannot use again and again
// without a pause, and against one that does not take the next one.
func TestUnusableConfigurationIsNotRequestedAgain(t *testing.T) {
	for name, body := range map[string]string{"invalid": `{"Version":7,"Routes":[{"Name":"r","Kind":"later"}]}`, "nested": strings.Repeat("[", 1_000_000), "panic": `{"Version":7,"x":"panic"}`} {
		for start, previous := range map[string]uint64{"at the start": 0, "later": 5} {
			t.Run(name+" "+start, func(t *testing.T) {
				var c *routing.Configuration
				if previous > 0 {
					c = &routing.Configuration{Version: previous}
				}
				f := newFixture(t, c)
				f.dialect = &oddConfigurationDialect{}
				control := &configurationControl{version: 7, body: body}
				f.followFeed(control)
				eventually(t, "the first calls", func() bool { control.mu.Lock(); defer control.mu.Unlock(); return control.calls >= 3 })
				control.mu.Lock()
				before := control.calls
				control.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				control.mu.Lock()
				calls := control.calls - before
				control.mu.Unlock()
				assert.Assert(t, calls <= 10, "%d calls in 500 ms", calls)
				control.set(8, `{"Version":8,"Routes":[]}`)
				eventually(t, "the next configuration", func() bool { return f.follower.version() == 8 })
			})
		}
	}
}

// Guards against a panic over one record that keeps the rest of the reply, such as the
// configuration, from being applied, so that the gateway has to request it again.
func TestPanicOverOneRecordAffectsNoOther(t *testing.T) {
	f := newFixture(t, nil)
	f.follower.notifier = nil // any live record makes observe panic
	control := &configurationControl{version: 8, body: `{"Version":8,"Routes":[]}`, upstreams: []registration.Upstream{
		modelAt("a", "127.0.0.1:10"), {ID: "b", State: registration.Left}, modelAt("c", "127.0.0.1:11"),
	}}
	f.followFeed(control)
	eventually(t, "the configuration", func() bool { return f.follower.version() == 8 })
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	assert.Equal(t, f.follower.directory.Len(), 3)
	assert.Equal(t, len(f.follower.positions), 1, "the reply counts as applied")
	control.mu.Lock()
	defer control.mu.Unlock()
	assert.Equal(t, control.bodies, 1)
}

// Guards against a number of attempts in the configuration that takes memory for each
// request, or makes each request panic.
func TestLargeNumberOfAttempts(t *testing.T) {
	for _, attempts := range []int{1 << 16, 1 << 40, math.MaxInt} {
		u := startUpstream(t, "u", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "found") })
		c := configuration()
		for i := range c.Routes {
			c.Routes[i].MaxAttempts = attempts
		}
		f := newFixture(t, c, u)
		f.do(f.request("GET", "/look/x", "")) // connects
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		res := f.do(f.request("GET", "/look/x", ""))
		runtime.ReadMemStats(&after)
		assert.Check(t, res.status == http.StatusOK, "%d attempts: status %d", attempts, res.status)
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.Check(t, allocated < 400<<10, "%d attempts: %d bytes for one request", attempts, allocated)
	}
}

// Guards against copies that are refreshed without a pause because the configuration keeps
// them for a very short time.
func TestCopyIsNotRefreshedWithoutPause(t *testing.T) {
	for _, ttl := range []time.Duration{1, time.Millisecond, time.Second, math.MaxInt64} {
		service := &routing.Service{Engine: &routing.Engine{BackupTTL: ttl}}
		c := &cacheBackup{stream: &streamRequest{callerRequest: &callerRequest{service: service}}}
		assert.Check(t, c.interval() >= copyRetryDelay, "%v: refreshed after %v", ttl, c.interval())
	}
}

// deadMembersControl is a control instance whose list of members contains none that can be
// reached, and which fails after the first call until it is revived.
type deadMembersControl struct {
	mu      sync.Mutex
	failing bool
	calls   int
}

func (c *deadMembersControl) Watch(_ *registry.WatchArgs, reply *registry.WatchReply) error {
	time.Sleep(5 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing {
		return errors.New("not ready")
	}
	c.failing = c.calls == 0
	c.calls++
	*reply = registry.WatchReply{Epoch: 7, Led: true, Members: []string{"127.0.0.1:1", "[::1\r\n"}}
	return nil
}

// Guards against a gateway that follows nobody for ever because the last list of members
// that it received contains only instances that are gone, or that cannot exist.
func TestSeedsAreTriedAgain(t *testing.T) {
	f := newFixture(t, configuration())
	control := &deadMembersControl{}
	server := httptest.NewServer(&peer.Handler{Security: f.security, Services: func(peer.Roles) map[string]any {
		return map[string]any{registry.ServiceName: control}
	}})
	t.Cleanup(server.Close)
	f.follower.addSeeds([]string{server.Listener.Addr().String()})
	eventually(t, "the first call", func() bool { control.mu.Lock(); defer control.mu.Unlock(); return control.calls == 1 })
	f.sleep(500 * time.Millisecond)
	control.mu.Lock()
	control.failing = false
	control.calls = 2
	control.mu.Unlock()
	eventually(t, "the seed to be followed again", func() bool { control.mu.Lock(); defer control.mu.Unlock(); return control.calls > 5 })
}

// Guards against a timeout of an upstream that overflows, so that its connections are never
// reused or are kept beyond the upper limit.
func TestReuseTimeoutIsBounded(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                            defaultIdleTimeout,
		"timeout=x":                   defaultIdleTimeout,
		"timeout=5, max=100":          5*time.Second - idleTimeoutMargin,
		"timeout=9223372036854775807": maxIdleTimeout,
		"timeout=13835058056":         maxIdleTimeout,
	} {
		assert.Equal(t, reuseTimeout(http.Header{"Keep-Alive": {value}}), want, "%q", value)
	}
}
