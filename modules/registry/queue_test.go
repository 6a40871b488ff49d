package registry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/queue"
)

// queueFleet is a fleet of three instances with the queues of streams, the service "model" with one
// upstream, and the client of a gateway.
type queueFleet struct {
	*fleet
	args ExchangeArgs
}

func newQueueFleet(t *testing.T) *queueFleet {
	t.Helper()
	f := &queueFleet{fleet: newFleetWith(t, 3, func(r *Registry) { r.Queue.Enabled = true }), args: ExchangeArgs{Gateway: "g-1/1"}}
	f.eventually("configuration acknowledged", func() bool {
		status, _ := f.nodes[0].call(t, "POST", "/v1/config/replace", `{"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Kind":"stream","TimeoutMs":9000,"SloMs":4000,"Service":"model","MaxAttempts":2}],`+
			`"Services":[{"Name":"model","Engine":{"Slots":8,"KvCapacity":88000}}],"Limits":{},"Tenants":[]}`)
		return status == http.StatusOK
	})
	f.announceModel(1)
	return f
}

func (f *queueFleet) announceModel(seq int) {
	f.t.Helper()
	f.eventually("announced", func() bool {
		for _, n := range f.nodes {
			if n.Registry == nil {
				continue
			}
			status, _ := n.call(f.t, "POST", "/v1/instances/i-1/heartbeat",
				fmt.Sprintf(`{"Service":"model","Addr":"10.0.0.9:80","Zone":"z","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":%d,"born":1000}`, seq))
			return status == http.StatusOK
		}
		return false
	})
}

// leader returns the instance that leads, once one does.
func (f *queueFleet) leader() (leader *node) {
	f.t.Helper()
	f.eventually("one instance leads", func() bool {
		for _, n := range f.nodes {
			if n.Registry == nil {
				continue
			}
			if rep := n.currentReplica(); rep != nil && rep.Leader(group).Self {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// exchange calls an instance with the fields of args that identify the session.
func (f *queueFleet) exchange(n *node, change func(*ExchangeArgs)) (ExchangeReply, error) {
	args := f.args
	change(&args)
	client := n.security.NewClient(n.addr)
	defer client.Close()
	var reply ExchangeReply
	err := client.Call(f.t.Context(), ServiceName+".Exchange", &args, &reply)
	return reply, err
}

// begin begins a session with the given events.
func (f *queueFleet) begin(n *node, events ...QueueEvent) {
	f.t.Helper()
	reply, err := f.exchange(n, func(*ExchangeArgs) {})
	assert.NilError(f.t, err)
	assert.Assert(f.t, reply.Resync && reply.Epoch != 0)
	f.args.Epoch = reply.Epoch
	f.args.Session++
	reply, err = f.exchange(n, func(a *ExchangeArgs) { a.First, a.Seq, a.Events = true, 1, events })
	assert.NilError(f.t, err)
	assert.Assert(f.t, !reply.Resync)
	assert.Equal(f.t, reply.Applied, uint64(len(events)))
}

func submission(id uint64) QueueEvent {
	return QueueEvent{Service: "model", Event: queue.Event{Kind: queue.Submitted, ID: id,
		Request: &queue.Request{Service: "model", PromptTokens: 8000, OutputTokens: 800, Aim: 4 * time.Second, Deadline: 9 * time.Second}}}
}

// awaitDecisions waits for decisions after the given one.
func (f *queueFleet) awaitDecisions(n *node, ack uint64) (reply ExchangeReply) {
	f.t.Helper()
	f.eventually("decisions arrive", func() bool {
		var err error
		reply, err = f.exchange(n, func(a *ExchangeArgs) { a.Ack, a.Wait = ack, true })
		return err == nil && len(reply.Decisions) > 0
	})
	return reply
}

// Guards against a gateway that does not find the owner, against an owner without the upstreams of
// the directory, and against a decision that is lost with an answer.
func TestQueueOwnerPlacesStreams(t *testing.T) {
	f := newQueueFleet(t)
	leader := f.leader()
	for _, n := range f.nodes {
		if n != leader {
			f.eventually("the leader is named", func() bool {
				reply, err := f.exchange(n, func(*ExchangeArgs) {})
				return err == nil && reply.Epoch == 0 && reply.Owner == leader.addr
			})
		}
	}
	f.begin(leader, submission(7))
	first := f.awaitDecisions(leader, 0)
	assert.Equal(t, first.FirstDecision, uint64(1))
	assert.Equal(t, len(first.Decisions), 1)
	d := first.Decisions[0]
	assert.Equal(t, d.Action, queue.Place)
	assert.Equal(t, d.Upstream, "i-1")
	assert.Equal(t, d.Key, queue.Key{Gateway: "g-1/1", ID: 7})
	again := f.awaitDecisions(leader, 0)
	assert.DeepEqual(t, again.Decisions, first.Decisions)
	begin := time.Now()
	reply, err := f.exchange(leader, func(a *ExchangeArgs) { a.Ack, a.Wait = 1, true })
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Decisions), 0)
	assert.Assert(t, time.Since(begin) >= MaxExchangeWait/2, "a call without decisions returned after %v", time.Since(begin))
}

// Guards against events that are applied twice when their acknowledgement is lost, and against
// events that are lost unnoticed.
func TestQueueEventsAreAppliedOnce(t *testing.T) {
	f := newQueueFleet(t)
	leader := f.leader()
	f.begin(leader, submission(1))
	f.awaitDecisions(leader, 0)
	ended := QueueEvent{Service: "model", Event: queue.Event{Kind: queue.Ended, ID: 1, Outcome: queue.Completed}}
	for range 2 { // the first answer is lost
		reply, err := f.exchange(leader, func(a *ExchangeArgs) {
			a.Ack, a.Seq, a.Events = 1, 2, []QueueEvent{ended, submission(1)}
		})
		assert.NilError(t, err)
		assert.Equal(t, reply.Applied, uint64(3))
	}
	reply := f.awaitDecisions(leader, 1)
	assert.Equal(t, len(reply.Decisions), 1, "the stream was placed once more")
	reply, err := f.exchange(leader, func(a *ExchangeArgs) { a.Ack, a.Seq, a.Events = 2, 9, []QueueEvent{submission(9)} })
	assert.NilError(t, err)
	assert.Assert(t, reply.Resync, "events are missing")
}

// Guards against a new leader that decides without the state of the gateways, and against the
// state of an earlier term at an instance that leads again.
func TestNewLeaderAsksForTheState(t *testing.T) {
	f := newQueueFleet(t)
	leader := f.leader()
	f.begin(leader, submission(1))
	f.awaitDecisions(leader, 0)
	f.stop(leader)
	next := f.leader()
	assert.Assert(t, next != leader)
	epoch := f.args.Epoch
	f.announceModel(2)
	placed := QueueEvent{Service: "model", Event: queue.Event{Kind: queue.Placed, ID: 1, Upstream: "i-1", HasBegun: true, Request: submission(1).Request}}
	f.begin(next, placed, submission(2))
	assert.Assert(t, f.args.Epoch != epoch)
	reply := f.awaitDecisions(next, 0)
	assert.Equal(t, reply.Decisions[0].ID, uint64(2))
}

// Guards against places that a gateway which has ended keeps forever.
func TestSilentGatewayIsRemovedFromTheQueue(t *testing.T) {
	f := newQueueFleet(t)
	leader := f.leader()
	f.begin(leader, submission(1))
	f.awaitDecisions(leader, 0)
	other := f.args
	f.args = ExchangeArgs{Gateway: "g-2/1"}
	f.begin(leader) // the owner goes on while another gateway calls
	begin := time.Now()
	f.eventually("the silent gateway is removed", func() bool {
		_, err := f.exchange(leader, func(a *ExchangeArgs) { a.Wait = true })
		assert.NilError(t, err)
		reply, ok := f.report(leader)
		return ok && len(reply.Gateways) == 1 && reply.Gateways[0].Gateway == "g-2/1" && reply.Services["model"].Upstreams[0].Running+reply.Services["model"].Upstreams[0].Unread == 0
	})
	assert.Assert(t, time.Since(begin) >= queueGatewayTimeout-MaxExchangeWait, "removed after %v", time.Since(begin))
	f.args = other
	reply, err := f.exchange(leader, func(a *ExchangeArgs) { a.Wait = true })
	assert.NilError(t, err)
	assert.Assert(t, reply.Resync)
}

// report returns the report of an instance for operators.
func (f *queueFleet) report(n *node) (QueueReport, bool) {
	reply := make(chan QueueReport, 1)
	select {
	case n.queues.reports <- reply:
		return <-reply, true
	case <-time.After(time.Second):
		return QueueReport{}, false
	}
}

// Guards against queues on sites that do not switch them on.
func TestNoQueuesUnlessSwitchedOn(t *testing.T) {
	f := newFleet(t, 1)
	client := f.nodes[0].security.NewClient(f.nodes[0].addr)
	defer client.Close()
	err := client.Call(t.Context(), ServiceName+".Exchange", &ExchangeArgs{Gateway: "g-1/1"}, &ExchangeReply{})
	assert.ErrorContains(t, err, "owns no queues")
	assert.Assert(t, f.nodes[0].queues == nil)
}
