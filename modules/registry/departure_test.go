package registry

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// upstreamWait is how long an upstream waits for an acknowledgement before it calls another
// instance.
const upstreamWait = time.Second

// withdrawals are the ways in which an instance learns that an upstream accepts no new requests.
// Each returns whether the instance has acknowledged it.
var withdrawals = map[string]func(f *fleet, n *node) bool{
	"deregistration": func(f *fleet, n *node) bool {
		status, _ := n.call(f.t, "POST", "/v1/instances/i-1/deregister", "")
		return status == http.StatusOK
	},
	"deregistration with start time": func(f *fleet, n *node) bool {
		status, _ := n.call(f.t, "POST", "/v1/instances/i-1/deregister", `{"born":1000}`)
		return status == http.StatusOK
	},
	"draining": func(f *fleet, n *node) bool {
		status, _ := n.call(f.t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("draining", 9))
		return status == http.StatusOK
	},
	"leaving, reported by a gateway": func(f *fleet, n *node) bool {
		client := n.security.NewClient(n.addr)
		defer client.Close()
		return client.Call(f.t.Context(), ServiceName+".Leaving", &LeavingArgs{ID: "i-1", StartedMS: 1000}, &LeavingReply{}) == nil
	},
}

// newFleetWithUpstream returns a fleet whose instances have saved that i-1 is ready. The last one
// has no disk if relay is set.
func newFleetWithUpstream(t *testing.T, size int, relay bool) *fleet {
	f := newFleet(t, size)
	f.replace(f.nodes[0], 1, "first")
	if relay {
		last := f.nodes[size-1]
		f.stop(last)
		last.folder = ""
		f.start(last)
	}
	for _, n := range f.nodes {
		f.eventually("members", func() bool { return len(n.otherMembers()) >= 2 })
		status, _ := n.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
		assert.Equal(t, status, http.StatusOK)
		f.eventually("saved", func() bool {
			if n.folder == "" {
				return true
			}
			list, err := n.directory.saver.read()
			return err == nil && len(list) == 1
		})
	}
	return f
}

// kill ends an instance without anything that it would still write: its disk keeps what it has
// now.
func (f *fleet) kill(nodes ...*node) {
	for _, n := range nodes {
		n.disk.SetFull(true)
	}
	for _, n := range nodes {
		f.stop(n)
		n.disk.SetFull(false)
	}
}

// Guards against a departure that was acknowledged before it was on enough disks: all control
// instances are killed at that moment, one of them may come back with an empty disk, and they
// list the upstream as ready, which announces nothing any more.
func TestAcknowledgedDepartureSurvivesLossOfAllInstances(t *testing.T) {
	const none = -1
	for name, withdraw := range withdrawals {
		for _, c := range []struct{ at, wiped int }{{0, none}, {0, 0}, {0, 1}, {3, none}, {3, 2}} {
			t.Run(fmt.Sprint(name, ", told to ", c.at, ", wiped ", c.wiped), func(t *testing.T) {
				t.Parallel()
				f := newFleetWithUpstream(t, 4, true)
				f.eventually("acknowledged", func() bool { return withdraw(f, f.nodes[c.at]) })
				f.kill(f.nodes...)
				if c.wiped != none {
					assert.NilError(t, os.RemoveAll(f.nodes[c.wiped].folder))
				}
				copies := 0
				for _, n := range f.nodes {
					f.start(n)
					if u, known := n.record("i-1"); known && u.Withdrawn() {
						copies++
					}
				}
				assert.Assert(t, copies > 0, "no instance knows of the departure")
				f.eventually("every instance that knows the upstream knows of its departure", func() bool {
					for _, n := range f.nodes {
						if u, known := n.record("i-1"); known && !u.Withdrawn() {
							return false
						}
					}
					return true
				})
			})
		}
	}
}

// record returns an upstream's record and whether there is one.
func (n *node) record(id string) (registration.Upstream, bool) {
	v, _ := n.directory.changesSince(n.ctx, query{})
	for _, u := range v.upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return registration.Upstream{}, false
}

// Guards against a departure that is acknowledged although no disk, or too few disks, can hold
// it, and against one that stays unacknowledged once they can.
func TestDepartureIsNotAcknowledgedWithoutDisks(t *testing.T) {
	for name, withdraw := range withdrawals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWithUpstream(t, 3, false)
			for _, n := range f.nodes[1:] {
				n.disk.SetStalled(true)
			}
			assert.Assert(t, !withdraw(f, f.nodes[0]), "acknowledged with one of three disks")
			f.nodes[0].disk.SetFull(true)
			assert.Assert(t, !withdraw(f, f.nodes[0]), "acknowledged with no disk")
			f.nodes[1].disk.SetStalled(false)
			f.nodes[2].disk.SetStalled(false)
			f.eventually("acknowledged with two of three disks", func() bool { return withdraw(f, f.nodes[0]) })
			f.nodes[0].disk.SetFull(false)
		})
	}
}

// Guards against an instance that comes back with an old disk and lists an upstream as ready that
// has left meanwhile, as the others know.
func TestOldDiskLearnsOfDeparture(t *testing.T) {
	for name, withdraw := range withdrawals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWithUpstream(t, 3, false)
			late := f.nodes[2]
			f.kill(late)
			f.eventually("acknowledged", func() bool { return withdraw(f, f.nodes[0]) })
			f.start(late)
			f.eventually("the departure is known", func() bool { u, _ := late.record("i-1"); return u.Withdrawn() })
			f.eventually("the departure is saved", func() bool {
				saved, err := late.directory.departuresSaver.read()
				return err == nil && len(saved.Upstreams) == 1
			})
			f.kill(late)
			f.start(late)
			u, _ := late.record("i-1")
			assert.Assert(t, u.Withdrawn(), "not saved by the instance that came back: %v", u)
		})
	}
}

// Guards against a departure that counts as copied to an instance that had no room for it.
func TestFullDirectoryHoldsNoCopy(t *testing.T) {
	f := newFleetWithUpstream(t, 3, false)
	var flood []registration.Upstream
	for i := range registration.MaxRecords {
		flood = append(flood, registration.Upstream{ID: fmt.Sprint("f-", i), Service: "s", Addr: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Zone: "z", Seq: 1})
	}
	_, err := f.nodes[1].directory.observe(observation{upstreams: flood})
	assert.NilError(t, err)
	client := f.nodes[1].security.NewClient(f.nodes[1].addr)
	defer client.Close()
	left := registration.Upstream{ID: "unknown", State: registration.Left, StartedMS: 1000}
	assert.Assert(t, client.Call(t.Context(), ServiceName+".SaveDepartures", &SaveDeparturesArgs{Upstreams: []registration.Upstream{left}}, &SaveDeparturesReply{}) != nil)
	_, known := f.nodes[1].record("unknown")
	assert.Assert(t, !known)
}

// Guards against departures that are not acknowledged within the time that an upstream waits,
// since many leave at once or since a disk hangs, and against a write for each of them.
func TestManyDeparturesAtOnce(t *testing.T) {
	const leaving = 200
	for _, hangs := range []bool{false, true} {
		t.Run(fmt.Sprint("a disk hangs: ", hangs), func(t *testing.T) {
			f := newFleetWithUpstream(t, 3, false)
			announcement := func(i int) string {
				return strings.Replace(heartbeat("ready", 1), "10.0.0.9", fmt.Sprintf("10.0.1.%d", i), 1)
			}
			for i := range leaving {
				f.nodes[i%3].call(t, "POST", fmt.Sprintf("/v1/instances/many-%d/heartbeat", i), announcement(i))
			}
			f.nodes[0].disk.SetStalled(hangs)
			before := f.nodes[1].disk.Count()
			var wg sync.WaitGroup
			for i := range leaving {
				wg.Go(func() {
					begin := time.Now()
					status, text := f.nodes[i%3].call(t, "POST", fmt.Sprintf("/v1/instances/many-%d/deregister", i), "")
					assert.Check(t, status == http.StatusOK, "departure %d: %d %s", i, status, text)
					assert.Check(t, time.Since(begin) < upstreamWait, "departure %d acknowledged after %v", i, time.Since(begin))
				})
			}
			wg.Wait()
			f.nodes[0].disk.SetStalled(false)
			operations := f.nodes[1].disk.Count() - before
			assert.Check(t, operations < leaving, "%d operations of a disk for %d departures", operations, leaving)
			t.Logf("%d operations of a disk for %d departures", operations, leaving)
		})
	}
}

// Guards against a departure that one instance never hears of, since the instance that was told of
// it ended for good before it had told all others. The upstream announces nothing any more, and
// gateways that follow the instance go on sending to it.
func TestDepartureSpreadsWithoutTheInstanceThatWasTold(t *testing.T) {
	for name, state := range map[string]registration.State{"deregistered": registration.Left, "draining": registration.Draining} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWithUpstream(t, 3, false)
			copied, unaware := f.nodes[1], f.nodes[2]
			withdrawn, _ := copied.record("i-1")
			withdrawn.State, withdrawn.Seq = state, withdrawn.Seq+1
			// The instance that was told has asked one other for a copy, acknowledges, and is lost.
			f.kill(f.nodes[0])
			client := copied.security.NewClient(copied.addr)
			defer client.Close()
			begin := time.Now()
			assert.NilError(t, client.Call(t.Context(), ServiceName+".SaveDepartures", &SaveDeparturesArgs{Upstreams: []registration.Upstream{withdrawn}}, &SaveDeparturesReply{}))
			f.eventually("the third instance knows of the departure", func() bool {
				u, _ := unaware.record("i-1")
				return u.Withdrawn()
			})
			t.Logf("known at the third instance after %v", time.Since(begin))
		})
	}
}
