package registry

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/internal/disk/disktest"
)

const (
	// fullFor is how long each disk is full: several openings of a log that fails again.
	fullFor = 2 * time.Second
	// acknowledgedWithin is the time in which the platform's operators expect an answer.
	acknowledgedWithin = 4 * time.Second
)

// storm sends changes to every instance until ctx ends and counts the acknowledged ones. It returns
// the highest acknowledged version.
func (f *fleet) storm(ctx context.Context, acknowledged *atomic.Int64, serving func(i int) *node) (highest int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	version := 1
	for i := range f.nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				version++
				v := version
				mu.Unlock()
				status, _ := serving(i).call(f.t, "POST", "/v1/config/replace", body(v, strings.Repeat("x", 2000)))
				if status == http.StatusOK {
					mu.Lock()
					highest = max(highest, v)
					acknowledged.Add(1)
					mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return highest
}

// Guards against changes that are refused or stay unanswered after several disks have been
// full in turn, never two at once, and against an acknowledged change that is lost.
func TestDisksFullInTurn(t *testing.T) {
	for name, c := range map[string]struct {
		size    int
		fault   disktest.Fault
		restart bool
	}{
		"three":                       {3, disktest.Full, false},
		"five":                        {5, disktest.Full, false},
		"three, short writes":         {3, disktest.Short, false},
		"three, started on full disk": {3, disktest.Full, true},
		"five, started on full disk":  {5, disktest.Short, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &lineLog{}
			f := newLoggedFleet(t, c.size, log)
			f.replace(f.nodes[0], 1, "first")
			var mu sync.Mutex // held while an instance is replaced
			ctx, cancel := context.WithCancel(t.Context())
			var highest int
			var acknowledged atomic.Int64
			var storm sync.WaitGroup
			storm.Go(func() {
				highest = f.storm(ctx, &acknowledged, func(i int) *node {
					mu.Lock()
					defer mu.Unlock()
					return &node{Registry: f.nodes[i].Registry}
				})
			})
			for i, n := range f.nodes {
				n.disk.FailAt(1+3*i, c.fault)
				time.Sleep(fullFor / 2)
				if c.restart {
					mu.Lock()
					f.stop(n)
					f.start(n)
					mu.Unlock()
				}
				time.Sleep(fullFor / 2)
				f.eventually("changes go on while a disk is full", func() bool {
					return acknowledged.Load() > int64(3*compactEntries*(i+1)/c.size)
				})
				n.disk.SetFull(false)
			}
			cancel()
			storm.Wait()
			assert.Assert(t, acknowledged.Load() > 3*compactEntries, "%d changes acknowledged", acknowledged.Load())
			failures := len(log.take("replicated log stopped after a failure"))
			assert.Assert(t, failures >= c.size, "%d failures of logs", failures)
			t.Logf("%d changes acknowledged, %d failures of logs", acknowledged.Load(), failures)
			f.acceptsChanges(highest + 1000)
		})
	}
}

// acceptsChanges checks that a change is acknowledged in time and reaches every instance, now
// and after a restart of all.
func (f *fleet) acceptsChanges(version int) {
	f.t.Helper()
	start := time.Now()
	f.replace(f.nodes[0], version, "last")
	took := time.Since(start)
	assert.Check(f.t, took < acknowledgedWithin, "acknowledged after %v", took)
	everywhere := func() bool {
		for _, n := range f.nodes {
			if n.configuration.current().version != uint64(version) {
				return false
			}
		}
		return true
	}
	f.eventually("the newest version is everywhere", everywhere)
	f.t.Logf("acknowledged after %v, everywhere after %v", took, time.Since(start))
	for _, n := range f.nodes {
		f.stop(n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.eventually("the newest version is everywhere after a restart", everywhere)
}

// Guards against a directory or broken runs that stay unsaved after the disk has room again,
// since nothing has changed in them meanwhile.
func TestStateIsSavedOnceTheDiskHasRoom(t *testing.T) {
	for _, fault := range []disktest.Fault{disktest.Full, disktest.Short} {
		f := newFleet(t, 1)
		n := f.nodes[0]
		n.disk.FailAt(1, fault)
		status, _ := n.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
		assert.Equal(t, status, http.StatusOK)
		n.directory.crashesSaver.offer(savedCrashes{AtMS: 1, Entries: savedList[crash.Entry]{{Run: crash.Run{Fingerprint: "poison"}}}})
		time.Sleep(3 * saveInterval)
		n.disk.SetFull(false)
		for file, text := range map[string]string{directoryFile: "i-1", crashesFile: "poison"} {
			f.eventually(fmt.Sprint(file, " is saved"), func() bool {
				b, err := os.ReadFile(filepath.Join(n.folder, file))
				return err == nil && strings.Contains(string(b), text)
			})
		}
		assert.Equal(t, n.state("i-1"), registration.Ready)
	}
}

// fullDisk returns a fleet of three instances and the first of them, whose log has failed.
func fullDisk(t *testing.T) (*fleet, *node) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	n := f.nodes[0]
	f.eventually("members", func() bool { return len(n.otherMembers()) == 2 })
	n.disk.SetFull(true)
	f.eventually("the log is closed", func() bool {
		f.replace(f.nodes[1], int(f.nodes[1].configuration.current().version)+1, "more")
		return n.currentReplica() == nil
	})
	return f, n
}

// Guards against an upstream that leaves, or a request that crashes upstreams, of which only an
// instance on a full disk has heard.
func TestAnnouncementsOnFullDiskReachEveryInstance(t *testing.T) {
	f, n := fullDisk(t)
	for i, step := range []struct {
		text  string
		state registration.State
	}{{"ready", registration.Ready}, {"draining", registration.Draining}} {
		status, _ := n.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat(step.text, 1+i))
		assert.Equal(t, status, http.StatusOK)
		start := time.Now()
		f.eventually(step.text, func() bool { return f.nodes[2].state("i-1") == step.state })
		t.Logf("%s after %v", step.text, time.Since(start))
	}
	assert.Equal(t, len(n.otherMembers()), 2)
}

// Guards against operators whose changes and reads fail at an instance on a full disk although
// the others can answer them.
func TestOperatorsAtInstanceOnFullDisk(t *testing.T) {
	f, n := fullDisk(t)
	version := int(f.nodes[1].configuration.current().version)
	for range 20 {
		version++
		status, text := n.call(t, "POST", "/v1/config/replace", body(version, "x"))
		assert.Check(t, status == http.StatusOK, "%d %s", status, text)
		status, text = n.call(t, "GET", "/v1/config/get", "")
		assert.Check(t, status == http.StatusOK && text == body(version, "x"), "%d %.200s", status, text)
		time.Sleep(100 * time.Millisecond)
	}
}

// leaveWithin is the time in which a gateway must learn that it has to leave an instance that takes
// no changes in. With the call that it then makes to another one, it is within the shortest known
// time to put a configuration into force (2 s).
const leaveWithin = 1700 * time.Millisecond

// Guards against gateways that keep an old configuration since all the instances that they follow
// have a hung disk: such an instance takes no change in, but went on to say that it has a leader.
func TestInstanceWithHungDiskSaysThatItHasNoLeader(t *testing.T) {
	f := newFleet(t, 3)
	f.replace(f.nodes[0], 1, "first")
	var hung *node
	for _, n := range f.nodes {
		f.eventually("leader known", n.knowsLeader)
		if !n.currentReplica().Leader(group).Self {
			hung = n
		}
	}
	client := hung.security.NewClient(hung.addr)
	defer client.Close()
	watch := func() *WatchReply {
		reply := &WatchReply{}
		assert.NilError(t, client.Call(t.Context(), ServiceName+".Watch", &WatchArgs{Version: 9, Epoch: hung.directory.epoch, Change: 1000}, reply))
		return reply
	}
	assert.Assert(t, watch().Led)
	hung.disk.SetStalled(true)
	for _, n := range f.nodes {
		if n != hung {
			f.replace(n, 2, "second")
		}
	}
	begin := time.Now()
	for watch().Led {
		assert.Assert(t, time.Since(begin) < 4*time.Second, "an instance whose disk hangs has version %d after %v and keeps its gateways", watch().Version, time.Since(begin))
	}
	took := time.Since(begin)
	assert.Assert(t, took < leaveWithin, "told after %v", took)
	t.Logf("told after %v", took)
	hung.disk.SetStalled(false)
	f.eventually("the instance has a leader again", func() bool { return watch().Led })
	f.eventually("the instance has the change", func() bool { return watch().Version == 2 })
}
