package registry

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/origin"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/throttle"
	"heatherway.dev/heatherway/internal/disk/disktest"
	"heatherway.dev/heatherway/internal/freeport"
	"heatherway.dev/heatherway/platform"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/stats"
)

var fleetCount atomic.Uint32

// fleet is a set of control instances, each on its own loopback address.
type fleet struct {
	t         testing.TB
	seeds     []string
	bootstrap bool
	nodes     []*node
	// announceInterval is that of the instances that are started from now on.
	announceInterval time.Duration
	// rollouts are the settings of roll-outs, and bare the numbers of the instances without a disk.
	rollouts RolloutSettings
	bare     []int
	// log receives the log lines of all instances.
	log io.Writer
	// change changes the settings of an instance before it starts.
	change func(*Registry)
}

type node struct {
	*Registry
	folder string
	// disk holds the saved state.
	disk *disktest.Disk
	addr string
}

func newFleet(t testing.TB, size int) *fleet { return newLoggedFleet(t, size, io.Discard) }

// testAnnounceInterval is short, so that silent upstreams are lost soon.
const testAnnounceInterval = 200 * time.Millisecond

func newLoggedFleet(t testing.TB, size int, log io.Writer) *fleet {
	return startFleet(t, size, log, func(*Registry) {})
}

// newFleetWith changes settings of the instances before they start.
func newFleetWith(t testing.TB, size int, change func(*Registry)) *fleet {
	return startFleet(t, size, io.Discard, change)
}

func startFleet(t testing.TB, size int, log io.Writer, change func(*Registry)) *fleet {
	f := &fleet{t: t, log: log, change: change}
	f.init(size)
	return f
}

// init starts the instances.
func (f *fleet) init(size int) {
	t := f.t
	f.bootstrap, f.announceInterval = true, testAnnounceInterval
	if f.log == nil {
		f.log = io.Discard
	}
	if f.change == nil {
		f.change = func(*Registry) {}
	}
	n := fleetCount.Add(1)
	port := freePort(t)
	for i := range size {
		host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 100+n, 1+i)
		folder := t.TempDir()
		if slices.Contains(f.bare, i) {
			folder = ""
		}
		f.nodes = append(f.nodes, &node{folder: folder, disk: &disktest.Disk{}, addr: net.JoinHostPort(host, port)})
		if i < 3 {
			f.seeds = append(f.seeds, net.JoinHostPort(host, "1")) // the registry replaces the port by that of peer_listen
		}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.bootstrap = false
	t.Cleanup(func() {
		for _, n := range f.nodes {
			f.stop(n)
		}
	})
}

func freePort(t testing.TB) string {
	l, err := freeport.Listen()
	assert.NilError(t, err)
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	assert.NilError(t, err)
	return port
}

func (f *fleet) start(n *node) {
	f.t.Helper()
	log := slog.New(slog.NewTextHandler(f.log, nil))
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, log)
	assert.NilError(f.t, err)
	r := &Registry{Settings: Settings{
		PeerListen: n.addr, Seeds: f.seeds, Bootstrap: f.bootstrap, Losses: min(1, (len(f.nodes)-1)/2), AnnounceInterval: f.announceInterval, Rollouts: f.rollouts,
	}}
	r.log, r.stats, r.security, r.folder, r.files = log, stats.New(), security, n.folder, n.disk
	r.dialect = &platform.Platform{}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	f.change(r)
	r.initState()
	r.peers, err = net.Listen("tcp", n.addr)
	assert.NilError(f.t, err)
	host, _, _ := net.SplitHostPort(n.addr)
	r.operators, err = net.Listen("tcp", host+":0")
	assert.NilError(f.t, err)
	assert.NilError(f.t, r.Start(f.t.Context()))
	n.Registry = r
}

func (f *fleet) stop(n *node) {
	n.disk.SetStalled(false)
	if n.Registry != nil {
		_ = n.Registry.Stop(context.Background())
		n.Registry = nil
	}
}

func (f *fleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(15 * time.Second); !condition(); {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met within 15 s: %s", description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (n *node) call(t testing.TB, method, path, text string) (int, string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.operators.Addr().String()+path, strings.NewReader(text))
	assert.NilError(t, err)
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(b)
}

func body(version int, note string) string {
	return fmt.Sprintf(`{"Version":%d,"Note":%q,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"safe","TimeoutMs":800,"Service":"s","MaxAttempts":2}],"Services":[{"Name":"s"}],"Limits":{},"Tenants":[]}`, version, note)
}

func (f *fleet) replace(n *node, version int, note string) {
	f.t.Helper()
	f.eventually(fmt.Sprint("version ", version, " acknowledged"), func() bool {
		status, _ := n.call(f.t, "POST", "/v1/config/replace", body(version, note))
		return status == http.StatusOK
	})
}

// Guards against an instance that returns an older configuration than an acknowledged
// one, against a lower version replacing a higher one, and against a second body being
// accepted under the same version.
func TestHighestVersionWinsOnEveryInstance(t *testing.T) {
	f := newFleet(t, 4)
	f.replace(f.nodes[3], 7, "seven")
	f.replace(f.nodes[1], 5, "five, overtaken")
	f.replace(f.nodes[2], 7, "other content")
	for i, n := range f.nodes {
		status, got := n.call(t, "GET", "/v1/config/get", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, got, body(7, "seven"), "instance %d", i)
	}
	for _, invalid := range []string{`{"Version":9`, `{}`, strings.Replace(body(9, ""), `"s","MaxAttempts"`, `"gone","MaxAttempts"`, 1), strings.Replace(body(9, ""), "800", "0", 1)} {
		status, _ := f.nodes[0].call(t, "POST", "/v1/config/replace", invalid)
		assert.Equal(t, status, http.StatusBadRequest, invalid)
	}
}

// Guards against a lost or stale configuration after all control instances have
// stopped at once, and against reads being served without a majority.
func TestRestartOfAllInstances(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 3, "kept")
	for _, n := range f.nodes {
		f.stop(n)
	}
	f.start(f.nodes[2])
	status, _ := f.nodes[2].call(t, "GET", "/v1/config/get", "")
	assert.Equal(t, status, http.StatusServiceUnavailable, "one of three instances cannot confirm the newest version")
	f.start(f.nodes[0])
	f.eventually("read by a majority", func() bool {
		status, got := f.nodes[0].call(t, "GET", "/v1/config/get", "")
		return status == http.StatusOK && got == body(3, "kept")
	})
}

func heartbeat(state string, seq int) string {
	return fmt.Sprintf(`{"Service":"s","Addr":"10.0.0.9:80","Zone":"z","Slots":4,"State":%q,"ColdLeftMs":0,"Seq":%d,"born":1000}`, state, seq)
}

func (n *node) state(id string) registration.State {
	v, ok := n.directory.changesSince(context.Background(), query{})
	if ok {
		for _, u := range v.upstreams {
			if u.ID == id {
				return u.State
			}
		}
	}
	return registration.Left
}

// Guards against an upstream that is draining on one control instance and still receives
// requests through another, and against malformed announcements being accepted.
func TestAnnouncementsReachEveryInstance(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	for _, bad := range []string{`{`, `{"Service":"s"}`, heartbeat("lost", 1), strings.Replace(heartbeat("ready", 1), "4", `"4"`, 1), strings.Replace(heartbeat("ready", 1), "10.0.0.9:80", "nowhere", 1)} {
		status, _ := f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", bad)
		assert.Equal(t, status, http.StatusBadRequest, bad)
	}
	for step, state := range []string{"ready", "draining"} {
		status, _ := f.nodes[step].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat(state, step+1))
		assert.Equal(t, status, http.StatusOK)
		begin := time.Now()
		for _, n := range f.nodes {
			f.eventually(state, func() bool { return n.state("i-1").String() == state })
		}
		assert.Assert(t, time.Since(begin) < time.Second, "%s took %v", state, time.Since(begin))
	}
	status, _ := f.nodes[2].call(t, "POST", "/v1/instances/i-1/deregister", "")
	assert.Equal(t, status, http.StatusOK)
	f.eventually("left", func() bool { return f.nodes[0].state("i-1") == registration.Left })
}

// Guards against a call of Watch that misses a change or returns one twice.
func TestWatch(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 4, "watched")
	client := f.nodes[1].security.NewClient(f.nodes[1].addr)
	defer client.Close()
	args, reply := &WatchArgs{Confirm: true}, &WatchReply{}
	f.eventually("a confirmed reply", func() bool {
		*reply = WatchReply{}
		return client.Call(t.Context(), ServiceName+".Watch", args, reply) == nil && reply.Confirmed
	})
	assert.Equal(t, reply.Version, uint64(4))
	assert.Equal(t, string(reply.Body), body(4, "watched"))
	args = &WatchArgs{Version: 4, Epoch: reply.Epoch, Change: reply.Change}
	time.AfterFunc(100*time.Millisecond, func() {
		_ = f.nodes[2].directory.observeAnnouncement(t.Context(), registration.Upstream{ID: "i-2", Service: "s", Addr: "10.0.0.2:80", Zone: "z", Seq: 1})
	})
	*reply = WatchReply{}
	begin := time.Now()
	assert.NilError(t, client.Call(t.Context(), ServiceName+".Watch", args, reply))
	assert.Equal(t, len(reply.Upstreams), 1)
	assert.Equal(t, len(reply.Body), 0)
	assert.Assert(t, time.Since(begin) < MaxWatch)
}

// Guards against upstreams that stop announcing themselves and still receive requests.
func TestSilentUpstreamsAreLost(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
	f.eventually("known", func() bool { return f.nodes[1].state("i-1") == registration.Ready })
	f.eventually("lost", func() bool { return f.nodes[1].state("i-1") == registration.Lost })
}

// Guards against an upstream that announces itself as often as required, to one instance, and counts
// as lost at the others.
func TestUpstreamIsNotLostAtOtherInstances(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	for seq := range 30 {
		f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", seq+1))
		time.Sleep(f.nodes[0].AnnounceInterval)
		if seq > 2 {
			for i, n := range f.nodes {
				assert.Equal(t, n.state("i-1"), registration.Ready, "instance %d after %d announcements", i, seq+1)
			}
		}
	}
}

// Guards against gateways that know only a few upstreams after all control
// instances have stopped at once, and against restored records that never expire.
func TestDirectorySurvivesRestart(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
	f.eventually("saved everywhere", func() bool {
		for _, n := range f.nodes {
			if list, err := n.directory.saver.read(); err != nil || len(list) != 1 {
				return false
			}
		}
		return true
	})
	for _, n := range f.nodes {
		f.stop(n)
	}
	for _, n := range f.nodes {
		f.start(n)
		assert.Equal(t, n.state("i-1"), registration.Ready)
	}
	f.eventually("lost without an announcement", func() bool { return f.nodes[0].state("i-1") == registration.Lost })
	assert.NilError(t, os.WriteFile(f.nodes[1].directory.saver.path, []byte(`[{"ID":`), 0o600))
	f.stop(f.nodes[1])
	f.start(f.nodes[1]) // a truncated file must not prevent the instance from starting
}

// Guards against an instance without a disk that rejects calls of operators and
// upstreams, or serves reads without a confirmation by the members.
func TestInstanceWithoutDisk(t *testing.T) {
	f := newFleet(t, 4)
	f.replace(f.nodes[0], 2, "two")
	relay := f.nodes[3]
	f.stop(relay)
	relay.folder = ""
	f.start(relay)
	f.replace(relay, 3, "three")
	f.eventually("read through the relay", func() bool {
		status, got := relay.call(t, "GET", "/v1/config/get", "")
		return status == http.StatusOK && got == body(3, "three")
	})
	status, _ := relay.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
	assert.Equal(t, status, http.StatusOK)
	f.eventually("announced to the members", func() bool { return f.nodes[0].state("i-1") == registration.Ready })
	f.stop(f.nodes[0])
	f.stop(f.nodes[1])
	status, _ = relay.call(t, "GET", "/v1/config/get", "")
	assert.Equal(t, status, http.StatusServiceUnavailable, "no majority can confirm it")
}

// Guards against an instance that was paused and then reports every upstream as lost.
// In incident inc-4513 of kw-heatherway ten upstreams were marked as lost at the moment
// a frozen machine resumed.
func TestNoUpstreamLostAfterStall(t *testing.T) {
	const after = 6 * time.Second
	var a receptionMonitor
	now := time.Now()
	sweep := func(following bool) bool {
		now = now.Add(sweepInterval)
		return a.complete(now, following, after)
	}
	assert.Assert(t, !sweep(true), "the instance has just started")
	for range after / sweepInterval {
		sweep(true)
	}
	assert.Assert(t, sweep(true))
	now = now.Add(5 * time.Second)
	assert.Assert(t, !sweep(true), "the instance was paused")
	for range after / sweepInterval {
		sweep(true)
	}
	assert.Assert(t, sweep(true))
	assert.Assert(t, !sweep(false), "the instance knows no leader")
	assert.Assert(t, !sweep(true))
}

// Guards against a crash that is known only to the control instance to which a gateway
// reported it.
func TestCrashesReachEveryInstance(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	client := f.nodes[0].security.NewClient(f.nodes[0].addr)
	defer client.Close()
	for i := range 2 {
		c := crash.Entry{Run: crash.Run{Fingerprint: "poison", Upstream: fmt.Sprint("u", i), Addr: fmt.Sprint("10.0.0.1:", i), StartedMS: 1000}, Outcome: crash.UpstreamEnded}
		for range 2 {
			assert.NilError(t, client.Call(t.Context(), ServiceName+".Crash", &CrashArgs{[]crash.Entry{c}}, &CrashReply{}))
		}
	}
	known := func(n *node) func() bool {
		return func() bool {
			v, ok := n.directory.changesSince(t.Context(), query{})
			ended := 0
			for _, c := range v.runs {
				if c.Fingerprint == "poison" && c.Outcome == crash.UpstreamEnded {
					ended++
				}
			}
			return ok && ended == 2
		}
	}
	for _, n := range f.nodes {
		f.eventually("the crashes", known(n))
		v, _ := n.directory.changesSince(t.Context(), query{})
		v, _ = n.directory.changesSince(t.Context(), query{sinceCrash: v.lastCrash})
		assert.Equal(t, len(v.runs), 0, "a reader receives the runs only once")
	}
	old := crash.Entry{Run: crash.Run{Fingerprint: "popular", StartedMS: 1000}, Outcome: crash.UpstreamEnded, AgeMS: 15_000}
	for i := range 4 {
		old.Upstream, old.Addr = fmt.Sprint("v", i), fmt.Sprint("10.0.1.1:", i)
		assert.NilError(t, client.Call(t.Context(), ServiceName+".Crash", &CrashArgs{[]crash.Entry{old}}, &CrashReply{}))
	}
	granted := 0
	f.eventually("a trial", func() bool {
		for _, n := range f.nodes {
			client := n.security.NewClient(n.addr)
			var reply TrialReply
			if err := client.Call(t.Context(), ServiceName+".Trial", &TrialArgs{Fingerprint: "popular", Forward: true}, &reply); err == nil && reply.Granted {
				granted++
			}
			client.Close()
		}
		return granted > 0
	})
	assert.Equal(t, granted, 1, "one trial for the whole fleet")
	f.eventually("saved everywhere", func() bool {
		for _, n := range f.nodes {
			if saved, err := n.directory.crashesSaver.read(); err != nil || len(saved.Entries) != 6 {
				return false
			}
		}
		return true
	})
	for _, n := range f.nodes {
		f.stop(n)
	}
	for i, n := range f.nodes {
		if i == 2 {
			assert.NilError(t, os.RemoveAll(n.folder)) // the instance receives the runs from the others
		}
		f.start(n)
	}
	for i, n := range f.nodes {
		seq := 0
		f.eventually(fmt.Sprint("the crashes after a restart at ", i), func() bool {
			seq++ // instances call each other only when upstreams announce themselves
			f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", seq))
			return known(n)()
		})
	}
}

// Guards against gateways that keep sending requests to an upstream that has reported to
// one of them that it is leaving, and against control instances that drop the mark when
// the upstream announces itself again.
func TestLeavingReachesEveryInstance(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	everywhere := func(id string, want registration.State) func() bool {
		return func() bool {
			for _, n := range f.nodes {
				if n.state(id) != want {
					return false
				}
			}
			return true
		}
	}
	f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
	f.eventually("known", everywhere("i-1", registration.Ready))
	client := f.nodes[1].security.NewClient(f.nodes[1].addr)
	defer client.Close()
	assert.NilError(t, client.Call(t.Context(), ServiceName+".Leaving", &LeavingArgs{ID: "i-1", StartedMS: 1000}, &LeavingReply{}))
	f.eventually("leaving", everywhere("i-1", registration.Draining))
	f.nodes[2].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 2))
	f.nodes[2].call(t, "POST", "/v1/instances/i-2/heartbeat", strings.Replace(heartbeat("ready", 1), "10.0.0.9", "10.0.0.8", 1))
	f.eventually("the other upstream known", everywhere("i-2", registration.Ready))
	assert.Assert(t, everywhere("i-1", registration.Draining)())
}

// Guards against a process that crashes because of one message: an undefined state caused
// an index out of range when it was logged.
func TestMalformedRecordsFromAnotherInstance(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	client := f.nodes[1].security.NewClient(f.nodes[1].addr)
	defer client.Close()
	for _, u := range []registration.Upstream{
		{ID: "i-1", Service: "s", Addr: "10.0.0.1:80", State: 200, Seq: 1}, {}, {ID: "i-2", State: registration.Left}, {ID: "i-3", Slots: -1, StartedMS: -5},
	} {
		args := &ShareArgs{Upstreams: []registration.Upstream{u}, Alive: []Alive{{}, {ID: u.ID, Seq: -1}}}
		assert.NilError(t, client.Call(t.Context(), ServiceName+".Share", args, &ShareReply{}))
	}
	f.nodes[1].call(t, "POST", "/v1/instances/i-9/heartbeat", heartbeat("ready", 1))
	f.eventually("still served", func() bool { return f.nodes[1].state("i-9") == registration.Ready })
	assert.Equal(t, f.nodes[1].state("i-1"), registration.Left, "the malformed record must not be stored")
}

// Guards against a control instance that restarts with an empty disk and offers gateways an
// upstream that has reported to other instances that it is leaving.
func TestLeavingReachesRestartedInstance(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
	client := f.nodes[0].security.NewClient(f.nodes[0].addr)
	defer client.Close()
	assert.NilError(t, client.Call(t.Context(), ServiceName+".Leaving", &LeavingArgs{ID: "i-1", StartedMS: 1000}, &LeavingReply{}))
	f.eventually("saved", func() bool {
		list, err := f.nodes[0].directory.saver.read()
		return err == nil && len(list) == 1 && list[0].Leaving
	})
	for _, n := range f.nodes {
		f.stop(n)
	}
	restarted := f.nodes[2]
	assert.NilError(t, os.RemoveAll(restarted.folder))
	for _, n := range f.nodes {
		f.start(n)
	}
	seq := 1
	f.eventually("marked as leaving on the restarted instance", func() bool {
		seq++
		restarted.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", seq))
		f.nodes[0].call(t, "POST", "/v1/instances/i-2/heartbeat", strings.Replace(heartbeat("ready", seq), "10.0.0.9", "10.0.0.8", 1))
		return restarted.state("i-1") == registration.Draining
	})
}

// Guards against gateways that cannot decode a WatchReply during a rolling upgrade: the
// previous release sent crash records of a different type in it.
func TestWatchReplyReadableByPreviousRelease(t *testing.T) {
	type record struct {
		Fingerprint, Addr string
		StartedMS         int64
	}
	type previousReply struct {
		Version uint64
		Crashes []record
		Crash   uint64
	}
	var b bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&b).Encode(WatchReply{Version: 3, Crash: 2, Runs: []crash.Entry{{Run: crash.Run{Fingerprint: "f"}}}}))
	var previous previousReply
	assert.NilError(t, gob.NewDecoder(&b).Decode(&previous))
	assert.DeepEqual(t, previous, previousReply{Version: 3, Crash: 2})
	b.Reset()
	assert.NilError(t, gob.NewEncoder(&b).Encode(previousReply{Version: 3, Crashes: []record{{Fingerprint: "f"}}}))
	var now WatchReply
	assert.NilError(t, gob.NewDecoder(&b).Decode(&now))
	assert.Equal(t, now.Version, uint64(3))
}

// Guards against one reply for each upstream when an availability zone returns: a burst of
// changes must cost a gateway only a few replies, and no change may be missing.
func TestBurstOfChangesIsBatched(t *testing.T) {
	const changes = 40
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "burst")
	client := f.nodes[1].security.NewClient(f.nodes[1].addr)
	defer client.Close()
	args, seen, answers := &WatchArgs{}, map[string]bool{}, 0
	watch := func() {
		reply := &WatchReply{}
		assert.NilError(t, client.Call(t.Context(), ServiceName+".Watch", args, reply))
		args.Version, args.Epoch, args.Change = reply.Version, reply.Epoch, reply.Change
		for _, u := range reply.Upstreams {
			seen[u.ID] = true
		}
		answers++
	}
	f.eventually("the configuration", func() bool { watch(); return args.Version == 1 })
	go func() {
		for i := range changes {
			_ = f.nodes[1].directory.observeAnnouncement(t.Context(), registration.Upstream{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "z", Seq: 1})
			time.Sleep(5 * time.Millisecond)
		}
	}()
	begin := time.Now()
	answers = 0
	for len(seen) < changes {
		watch()
	}
	took := time.Since(begin)
	assert.Assert(t, answers <= 2+int(took/minReplyInterval), "%d replies in %v", answers, took)
}

// Guards against an instance that still writes its files after it has stopped and
// overwrites those of its successor in the same folder.
func TestStopEndsFileWrites(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	var large []registration.Upstream
	for i := range 200_000 {
		large = append(large, registration.Upstream{ID: fmt.Sprint("i-", i), Service: "s", Addr: "10.0.0.1:80", Zone: "z", Seq: 1})
	}
	n.directory.saver.offer(large)
	time.Sleep(20 * time.Millisecond) // the write is in progress
	f.stop(n)
	assert.NilError(t, os.RemoveAll(n.folder))
	time.Sleep(500 * time.Millisecond)
	_, err := os.Stat(n.folder)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// BenchmarkRecordStream measures durable records of streams through a follower of three instances,
// by 64 gateways at once.
func BenchmarkRecordStream(b *testing.B) {
	benchmarkLeaderCall(b, func(client *peer.Client, i int64) error {
		args := &RecordStreamArgs{Forward: true, Record: origin.Record{Service: "s", Version: "v2", Key: origin.KeyOf("s", fmt.Sprint(i))}}
		return client.Call(b.Context(), ServiceName+".RecordStream", args, &RecordStreamReply{})
	})
}

// BenchmarkGrant measures questions for a grant in the same way.
func BenchmarkGrant(b *testing.B) {
	benchmarkLeaderCall(b, func(client *peer.Client, i int64) error {
		want := throttle.Want{Key: throttle.Key{ID: fmt.Sprint("i-", i%100)}, Statement: throttle.WireStatement{Rate: 100}, Count: 1}
		args := &GrantArgs{Forward: true, Ask: throttle.Ask{Gateway: fmt.Sprint(i % 64), Wants: []throttle.Want{want}}}
		return client.Call(b.Context(), ServiceName+".Grant", args, &GrantReply{})
	})
}

func benchmarkLeaderCall(b *testing.B, call func(client *peer.Client, i int64) error) {
	f := newFleet(b, 3)
	f.replace(f.nodes[0], 1, "first")
	var clients []*peer.Client
	for i := range 64 {
		clients = append(clients, f.nodes[i%3].security.NewClient(f.nodes[i%3].addr))
	}
	f.eventually("an answer", func() bool { return call(clients[0], -1) == nil })
	var next atomic.Int64
	b.SetParallelism(64 / runtime.GOMAXPROCS(0))
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		client := clients[int(next.Add(1))%len(clients)]
		for pb.Next() {
			if err := call(client, next.Add(1)); err != nil {
				b.Error(err)
			}
		}
	})
}
