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
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/platform"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/stats"
)

var fleetCount atomic.Uint32

// fleet is a set of control instances on loopback addresses of their own.
type fleet struct {
	t         *testing.T
	seeds     []string
	bootstrap bool
	nodes     []*node
}

type node struct {
	*Registry
	folder string
	addr   string
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, bootstrap: true}
	n := fleetCount.Add(1)
	port := freePort(t)
	for i := range size {
		host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 100+n, 1+i)
		f.nodes = append(f.nodes, &node{folder: t.TempDir(), addr: net.JoinHostPort(host, port)})
		if i < 3 {
			f.seeds = append(f.seeds, net.JoinHostPort(host, "1")) // the port of the peers is that of peer_listen
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
	return f
}

func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	assert.NilError(t, err)
	return port
}

func (f *fleet) start(n *node) {
	f.t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, log)
	assert.NilError(f.t, err)
	r := &Registry{Settings: Settings{
		PeerListen: n.addr, Seeds: f.seeds, Bootstrap: f.bootstrap, Losses: 1, AnnounceInterval: 200 * time.Millisecond,
	}}
	r.log, r.stats, r.security, r.folder = log, stats.New(), security, n.folder
	r.dialect = &platform.Platform{}
	r.ctx, r.cancel = context.WithCancel(context.Background())
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
	if n.Registry != nil {
		_ = n.Registry.Stop(context.Background())
		n.Registry = nil
	}
}

func (f *fleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(15 * time.Second); !condition(); {
		if time.Now().After(end) {
			f.t.Fatalf("not within 15 s: %s", description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (n *node) call(t *testing.T, method, path, text string) (int, string) {
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

// Guards against a read that is older than an acknowledgement, at any instance,
// against a lower version in force, and against other content under a version.
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

// Guards against a configuration that is lost or old after every control
// instance has ended at once, and against an instance without a majority that
// answers reads.
func TestRestartOfAllInstances(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 3, "kept")
	for _, n := range f.nodes {
		f.stop(n)
	}
	f.start(f.nodes[2])
	status, _ := f.nodes[2].call(t, "GET", "/v1/config/get", "")
	assert.Equal(t, status, http.StatusServiceUnavailable, "one of three cannot know the newest version")
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

// Guards against an upstream that drains at one control instance and gets work
// by way of another, and against announcements that name no upstream.
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

// Guards against a watcher that misses a change, or takes one twice.
func TestWatch(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 4, "watched")
	client := f.nodes[1].security.NewClient(f.nodes[1].addr)
	defer client.Close()
	args, reply := &WatchArgs{Confirm: true}, &WatchReply{}
	f.eventually("a confirmed answer", func() bool {
		*reply = WatchReply{}
		return client.Call(t.Context(), ServiceName+".Watch", args, reply) == nil && reply.Confirmed
	})
	assert.Equal(t, reply.Version, uint64(4))
	assert.Equal(t, string(reply.Body), body(4, "watched"))
	args = &WatchArgs{Version: 4, Epoch: reply.Epoch, Change: reply.Change}
	time.AfterFunc(100*time.Millisecond, func() {
		f.nodes[2].directory.observeAnnouncement(registration.Upstream{ID: "i-2", Service: "s", Addr: "10.0.0.2:80", Zone: "z", Seq: 1})
	})
	*reply = WatchReply{}
	begin := time.Now()
	assert.NilError(t, client.Call(t.Context(), ServiceName+".Watch", args, reply))
	assert.Equal(t, len(reply.Upstreams), 1)
	assert.Equal(t, len(reply.Body), 0)
	assert.Assert(t, time.Since(begin) < MaxWatch)
}

// Guards against upstreams that fall silent and go on getting work.
func TestSilentUpstreamsAreLost(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
	f.eventually("known", func() bool { return f.nodes[1].state("i-1") == registration.Ready })
	f.eventually("lost", func() bool { return f.nodes[1].state("i-1") == registration.Lost })
}

// Guards against gateways that know only a few upstreams after all control
// instances have ended at once, and against a restored record that counts for
// good.
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
	f.start(f.nodes[1]) // a torn file must not keep the instance from starting
}

// Guards against an instance without a disk that refuses what operators and
// upstreams send it, or answers reads on its own.
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

// Guards against an instance that stood still and then tells its watchers that
// every upstream is lost (found by incident inc-4513 of kw-heatherway: ten
// upstreams lost at the moment at which a frozen machine went on).
func TestNoUpstreamLostAfterStall(t *testing.T) {
	const after = 6 * time.Second
	var a receptionMonitor
	now := time.Now()
	sweep := func(following bool) bool {
		now = now.Add(sweepInterval)
		return a.complete(now, following, after)
	}
	assert.Assert(t, !sweep(true), "it has just started")
	for range after / sweepInterval {
		sweep(true)
	}
	assert.Assert(t, sweep(true))
	now = now.Add(5 * time.Second)
	assert.Assert(t, !sweep(true), "it stood still")
	for range after / sweepInterval {
		sweep(true)
	}
	assert.Assert(t, sweep(true))
	assert.Assert(t, !sweep(false), "it knows no leader")
	assert.Assert(t, !sweep(true))
}

// Guards against a crash that only the control instance knows to which a gateway
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
		assert.Equal(t, len(v.runs), 0, "a reader gets them once")
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
	assert.Equal(t, granted, 1, "one for the whole fleet")
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
			assert.NilError(t, os.RemoveAll(n.folder)) // it gets them from the others
		}
		f.start(n)
	}
	for i, n := range f.nodes {
		seq := 0
		f.eventually(fmt.Sprint("the crashes after a restart at ", i), func() bool {
			seq++ // instances talk to each other when upstreams announce themselves
			f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", seq))
			return known(n)()
		})
	}
}

// Guards against gateways that go on sending work to an upstream which has said to
// one of them that it leaves, and against control instances that forget it when the
// upstream announces itself once more.
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
	f.eventually("the other known", everywhere("i-2", registration.Ready))
	assert.Assert(t, everywhere("i-1", registration.Draining)())
}

// Guards against a process that ends because of one message: a state that does not
// exist was an index out of range where it was logged.
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
	assert.Equal(t, f.nodes[1].state("i-1"), registration.Left, "no such record")
}

// Guards against control instances that start with an empty disk and send gateways to an
// upstream which has said to others that it leaves.
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
	f.eventually("known there that it leaves", func() bool {
		seq++
		restarted.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", seq))
		f.nodes[0].call(t, "POST", "/v1/instances/i-2/heartbeat", strings.Replace(heartbeat("ready", seq), "10.0.0.9", "10.0.0.8", 1))
		return restarted.state("i-1") == registration.Draining
	})
}

// Guards against gateways that cannot read the feed while one process after the other is
// upgraded: the release before had crash records of another form in it.
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

// Guards against a call for each upstream of a zone that comes back: a burst of changes
// costs a gateway few answers, and none of the changes is left out.
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
			f.nodes[1].directory.observeAnnouncement(registration.Upstream{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "z", Seq: 1})
			time.Sleep(5 * time.Millisecond)
		}
	}()
	begin := time.Now()
	answers = 0
	for len(seen) < changes {
		watch()
	}
	took := time.Since(begin)
	assert.Assert(t, answers <= 2+int(took/minReplyInterval), "%d answers in %v", answers, took)
}

// Guards against an instance that still writes its files after it has stopped, over those
// of its successor in the same folder.
func TestStopEndsFileWrites(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	var large []registration.Upstream
	for i := range 200_000 {
		large = append(large, registration.Upstream{ID: fmt.Sprint("i-", i), Service: "s", Addr: "10.0.0.1:80", Zone: "z", Seq: 1})
	}
	n.directory.saver.offer(large)
	time.Sleep(20 * time.Millisecond) // it is being written
	f.stop(n)
	assert.NilError(t, os.RemoveAll(n.folder))
	time.Sleep(500 * time.Millisecond)
	_, err := os.Stat(n.folder)
	assert.ErrorIs(t, err, os.ErrNotExist)
}
