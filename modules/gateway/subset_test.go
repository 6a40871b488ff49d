package gateway

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
)

// largeFleetControl is a control instance of a fleet of 1,800 upstreams.
type largeFleetControl struct {
	mu  sync.Mutex
	dir *registration.Directory
	// fullRequests counts the calls that asked for the whole subset.
	fullRequests int
}

func newLargeFleetControl() *largeFleetControl {
	c := &largeFleetControl{dir: registration.New(func(string) bool { return true })}
	for zone := range 3 {
		for i := range 600 {
			c.dir.Observe(time.Now(), registration.Upstream{ID: fmt.Sprintf("i-%d-%d", zone, i), Service: "model", Zone: fmt.Sprint("z", zone),
				Addr: fmt.Sprintf("127.0.%d.%d:%d", 100+zone, i%250, 9000+i/250), StartedMS: 1, Seq: 1})
		}
	}
	return c
}

func (c *largeFleetControl) Watch(args *registry.WatchArgs, reply *registry.WatchReply) error {
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	from, subset := args.Change, args.Subset
	if args.Epoch != 7 {
		from = 0
		c.fullRequests++
	}
	*reply = registry.WatchReply{Epoch: 7, Led: true}
	if args.Choose {
		subset.Halvings = c.dir.InitialHalvings(subset.Zone)
		reply.Halvings = subset.Halvings
	}
	reply.Change, reply.Upstreams = c.dir.LastChange(), subset.Filter(c.dir.ChangedSince(from))
	return nil
}

func (f *fixture) knownUpstreams() (sameZone, otherZones int) {
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	for _, u := range f.follower.directory.All() {
		switch {
		case u.State == registration.Left:
		case u.Zone == f.zone:
			sameZone++
		default:
			otherZones++
		}
	}
	return sameZone, otherZones
}

// Guards against a gateway that follows all upstreams of a large fleet, one that misses
// upstreams of its own availability zone, and one that keeps too few after most of the
// others have left.
func TestSubsetOfLargeFleetIsFollowed(t *testing.T) {
	f := newFixture(t, configuration())
	control := newLargeFleetControl()
	server := httptest.NewServer(&peer.Handler{Security: f.security, Services: func(peer.Roles) map[string]any {
		return map[string]any{registry.ServiceName: control}
	}})
	t.Cleanup(server.Close)
	go f.follower.watch(t.Context(), server.Listener.Addr().String())
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				sameZone, otherZones := f.knownUpstreams()
				t.Fatalf("timed out waiting for %s: %d upstreams in the own zone, %d in others", what, sameZone, otherZones)
			}
		}
	}
	waitFor("the upstreams of the own zone", func() bool { sameZone, _ := f.knownUpstreams(); return sameZone == 600 })
	_, initialRemote := f.knownUpstreams()
	assert.Assert(t, initialRemote > registration.MaxRemoteRecords/4 && initialRemote < registration.MaxRemoteRecords+90, "%d upstreams in other zones", initialRemote)

	control.mu.Lock()
	leftCount := 0
	for i, u := range control.dir.All() {
		if u.Zone != f.zone && i%8 != 0 {
			u.State = registration.Left
			control.dir.Observe(time.Now(), u)
			leftCount++
		}
	}
	control.mu.Unlock()
	waitFor("all remaining upstreams", func() bool { _, otherZones := f.knownUpstreams(); return otherZones == 1200-leftCount })
	control.mu.Lock()
	defer control.mu.Unlock()
	assert.Assert(t, control.fullRequests >= 2, "%d requests for the whole subset", control.fullRequests)
}

// Guards against a gateway whose memory grows with every upstream that has ever ended,
// and against one that forgets running upstreams whose records do not change.
func TestEndedUpstreamsAreForgotten(t *testing.T) {
	f := newFixture(t, configuration())
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	now := time.Now()
	for i := range 500 {
		before := f.control.LastChange()
		f.control.Observe(now, registration.Upstream{ID: fmt.Sprint("i-", i), Service: "model", Zone: "z0", Addr: "127.0.0.1:9", StartedMS: int64(i + 1), Seq: 1})
		for _, u := range f.control.ChangedSince(before) {
			f.follower.observe(now, u)
		}
	}
	lost := registration.Upstream{ID: "lost", Service: "model", Zone: "z0", Addr: "127.0.0.1:10", StartedMS: 1, Seq: 2, State: registration.Lost}
	f.follower.observe(now, lost)
	assert.Equal(t, f.follower.directory.Len(), 501)
	f.follower.adjustSubset(now.Add(endedRetention - time.Second))
	assert.Equal(t, f.follower.directory.Len(), 501, "late records of them are still recognised")
	f.follower.adjustSubset(now.Add(endedRetention + time.Second))
	assert.Equal(t, f.follower.directory.Len(), 1)
	placeable := 0
	f.owner.call(func(s *state) { placeable = s.fleet.Len() })
	assert.Equal(t, placeable, 1)
}
