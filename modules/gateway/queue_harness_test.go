package gateway

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/queue"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/peer"
)

// scriptedOwner owns the queue of a test. It applies events once and resends decisions until they
// are acknowledged, and decides what the test tells it to.
type scriptedOwner struct {
	t    *testing.T
	addr string
	// decide returns the decisions that follow an event.
	decide func(e registry.QueueEvent) []queue.Decision

	mu        sync.Mutex
	server    *http.Server
	epoch     uint64
	session   uint64
	applied   uint64
	events    []registry.QueueEvent
	decisions []registry.QueueDecision // of the session
	calls     int
	// frozen lets calls wait for as long as the gateway does; lostAnswers is the number of calls
	// with decisions whose answers are lost.
	frozen      bool
	lostAnswers int
	// leader is the address that is named instead of an answer.
	leader string
}

func startOwner(t *testing.T, decide func(e registry.QueueEvent) []queue.Decision) *scriptedOwner {
	t.Helper()
	o := &scriptedOwner{t: t, decide: decide, epoch: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	o.addr = l.Addr().String()
	o.serve(l)
	t.Cleanup(o.stop)
	return o
}

func (o *scriptedOwner) serve(l net.Listener) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, log)
	assert.NilError(o.t, err)
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, &peer.Handler{Security: security, Services: func(peer.Roles) map[string]any {
		return map[string]any{registry.ServiceName: &ownerService{o}}
	}})
	o.server = &http.Server{Handler: mux}
	go func() { _ = o.server.Serve(l) }()
}

func (o *scriptedOwner) stop() {
	o.set(func() { o.frozen = true })
	_ = o.server.Close()
}

// set changes the script.
func (o *scriptedOwner) set(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

// add adds a decision that follows no event.
func (o *scriptedOwner) add(d queue.Decision) {
	o.set(func() { o.decisions = append(o.decisions, registry.QueueDecision{Service: "model", Decision: d}) })
}

// ofKind returns the events of a kind that have been applied.
func (o *scriptedOwner) ofKind(kind queue.EventKind) (out []registry.QueueEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.events {
		if e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}

// awaitEvent returns the first event of a kind.
func (o *scriptedOwner) awaitEvent(kind queue.EventKind) registry.QueueEvent {
	o.t.Helper()
	var found []registry.QueueEvent
	eventually(o.t, "an event of the kind arrives", func() bool { found = o.ofKind(kind); return len(found) > 0 })
	return found[0]
}

// ownerService is the net/rpc service of a scripted owner. Its other calls are those of an instance
// that does not lead.
type ownerService struct{ owner *scriptedOwner }

func (s *ownerService) Exchange(args *registry.ExchangeArgs, reply *registry.ExchangeReply) error {
	o := s.owner
	for begin := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		o.mu.Lock()
		done := o.answer(args, reply)
		o.mu.Unlock()
		if done || time.Since(begin) > registry.MaxExchangeWait && !o.isFrozen() {
			return nil
		}
		if time.Since(begin) > 3*time.Second {
			return io.ErrUnexpectedEOF
		}
	}
}

func (o *scriptedOwner) isFrozen() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frozen
}

// answer fills in the reply, and returns false while the call waits.
func (o *scriptedOwner) answer(args *registry.ExchangeArgs, reply *registry.ExchangeReply) bool {
	if o.frozen {
		return false
	}
	o.calls++
	reply.Owner = o.addr
	if o.leader != "" {
		reply.Owner = o.leader
		return true
	}
	reply.Epoch = o.epoch
	if args.Epoch == o.epoch && args.First && args.Session != o.session {
		o.session, o.applied, o.decisions = args.Session, 0, nil
	}
	if args.Epoch != o.epoch || args.Session != o.session || args.Seq > o.applied+1 {
		reply.Resync = true
		return true
	}
	for i, e := range args.Events {
		if args.Seq+uint64(i) == o.applied+1 {
			o.applied++
			o.events = append(o.events, e)
			for _, d := range o.decide(e) {
				d.Gateway, d.ID = args.Gateway, e.ID
				o.decisions = append(o.decisions, registry.QueueDecision{Service: e.Service, Decision: d})
			}
		}
	}
	reply.Applied = o.applied
	if !args.Wait {
		return true
	}
	if int(args.Ack) >= len(o.decisions) {
		return false
	}
	if o.lostAnswers > 0 {
		o.lostAnswers--
		reply.FirstDecision = args.Ack + 1 // the decisions are lost on the way
		return true
	}
	reply.FirstDecision, reply.Decisions = args.Ack+1, append([]registry.QueueDecision(nil), o.decisions[args.Ack:]...)
	return true
}

// newQueueFixture returns a gateway whose streams wait in the queue of an owner that it has reached.
func newQueueFixture(t *testing.T, owner *scriptedOwner, ups ...*upstream) *fixture {
	t.Helper()
	f := newFixtureWith(t, func(g *Gateway) { g.Queue.Enabled = true }, configuration(), ups...)
	f.followOnly(owner.addr)
	eventually(t, "the owner is reached", f.queue.available.Load)
	return f
}

// followOnly makes the instance at an address the only one that is followed.
func (f *fixture) followOnly(addr string) {
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	clear(f.follower.following)
	f.follower.following[addr] = true
}

// placeAt returns a script that places every submission and rejection at an upstream.
func placeAt(id string) func(registry.QueueEvent) []queue.Decision {
	return func(e registry.QueueEvent) []queue.Decision {
		if e.Kind == queue.Submitted || e.Kind == queue.Rejected {
			return []queue.Decision{{Action: queue.Place, Upstream: id}}
		}
		return nil
	}
}

// decideNothing is the script of an owner whose streams wait.
func decideNothing(registry.QueueEvent) []queue.Decision { return nil }
