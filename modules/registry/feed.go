package registry

import (
	"context"
	"sync"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/control/replica"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// ServiceName is the net/rpc name of the calls of gateways and of other control
// instances.
const ServiceName = "Registry"

const (
	// MaxWatch is the longest time that Watch waits for a change. Gateways notice
	// a silent instance a little later, well within the 2 s in which a change must
	// be in force.
	MaxWatch = 700 * time.Millisecond
	// answerInterval is the least time between two answers to one gateway, if only upstreams
	// have changed: those of a zone change together, and each answer costs a call.
	minReplyInterval = 50 * time.Millisecond
	// confirmLimit bounds one confirmation by the leader, which takes a few
	// milliseconds; beyond it another leader may have been elected.
	confirmTimeout = 300 * time.Millisecond
)

// WatchArgs asks for everything newer than what a gateway has.
type WatchArgs struct {
	// Version is the version of the configuration that the gateway has.
	Version uint64
	// Epoch and Change say which changes of the directory it has.
	Epoch, Change uint64
	// Crash says which changes of the broken runs it has, within Epoch.
	Crash uint64
	// Subset says which records the gateway takes. Choose asks for a subset of the right
	// size, as the gateway knows no upstream yet.
	Subset registration.Subset
	Choose bool
	// Confirm asks for a configuration that a majority has confirmed after the
	// call; a gateway that starts has no other way to tell an old one.
	Confirm bool
}

// WatchReply carries what is newer.
type WatchReply struct {
	Version uint64
	// Body is the configuration, empty when the gateway has it.
	Body []byte
	// Epoch and Change go into the next call.
	Epoch, Change uint64
	// Upstreams are the records of the subset that changed. Halvings is the size that was
	// chosen for it.
	Upstreams []registration.Upstream
	Halvings  map[string]int
	// Runs are the broken runs of suspects that changed; Crash goes into the next
	// call.
	Runs  []crash.Entry
	Crash uint64
	// Members are the peer addresses of all control instances.
	Members []string
	// Confirmed tells that a majority has confirmed the configuration.
	Confirmed bool
	// Relay tells that this instance holds no log; the members have the feed.
	Relay bool
	// Led tells that this instance knows a leader, and so hears of changes.
	Led bool
}

// ReplaceArgs carries a configuration to the leader.
type ReplaceArgs struct {
	Version uint64
	Body    []byte
	// Forward asks an instance that does not lead to pass the call on.
	Forward bool
}

// ReplaceReply names the version in force afterwards.
type ReplaceReply struct{ Version uint64 }

// ConfirmArgs asks the leader for the version in force.
type ConfirmArgs struct{}

// ConfirmReply names it.
type ConfirmReply struct{ Version uint64 }

// ReadArgs asks a member for the configuration in force.
type ReadArgs struct{}

// ReadReply carries it, confirmed by a majority after the call.
type ReadReply struct {
	Version uint64
	Body    []byte
}

// ShareArgs carries what another instance heard: announcements that changed
// something, and the upstreams that are alive.
type ShareArgs struct {
	Upstreams []registration.Upstream
	Alive     []Alive
	Runs      []crash.Entry
}

// Alive names an incarnation that has been heard of.
type Alive struct {
	ID             string
	StartedMS, Seq int64
}

// ShareReply names the upstreams of Alive that the receiver does not know.
type ShareReply struct {
	Unknown []string
	// Epoch changes when the receiver starts anew.
	Epoch uint64
}

// Service receives the calls.
type Service struct{ registry *Registry }

// Watch waits until something is newer than what the caller has, MaxWatch at
// most.
func (s *Service) Watch(args *WatchArgs, reply *WatchReply) (err error) {
	defer recovery.Into(s.registry.log, "call Watch", &err)
	r := s.registry
	if r.introducer != nil {
		reply.Relay, reply.Members = true, r.otherMembers()
		return nil
	}
	confirmed := false
	if args.Confirm {
		ctx, cancel := context.WithTimeout(r.ctx, confirmTimeout)
		_, err := r.readCurrent(ctx)
		cancel()
		confirmed = err == nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, MaxWatch)
	defer cancel()
	since, crashes := args.Change, args.Crash
	if args.Epoch != r.directory.epoch {
		since, crashes = 0, 0
	}
	subset, start := args.Subset, time.Now()
	for {
		changed := r.changes.next()
		current := r.configuration.current()
		q := query{sinceChange: since, sinceCrash: crashes}
		if args.Choose {
			q.subsetZone = subset.Zone
		}
		v, ok := r.directory.changesSince(ctx, q)
		if !ok {
			return peer.EncodeError(result.New(result.ControlUnavailable, "this instance stops"))
		}
		if args.Choose {
			subset.Halvings = v.halvings
		}
		since = v.lastChange // what is left out below is not due later
		*reply = WatchReply{
			Version: current.version, Epoch: r.directory.epoch, Change: v.lastChange, Upstreams: subset.Filter(v.upstreams), Halvings: v.halvings,
			Runs: v.runs, Crash: v.lastCrash,
			Members: append(r.otherMembers(), r.PeerListen), Led: r.knowsLeader(), Confirmed: confirmed,
		}
		if current.version > args.Version {
			reply.Body = current.body
		}
		if reply.Body != nil || len(v.runs) > 0 || !reply.Led || args.Confirm {
			return nil
		}
		if len(reply.Upstreams) > 0 {
			remaining := minReplyInterval - time.Since(start)
			if remaining <= 0 || args.Epoch != r.directory.epoch {
				return nil
			}
			since = args.Change
			select {
			case <-time.After(remaining):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Replace puts a configuration into the log of this instance, the leader.
func (s *Service) Replace(args *ReplaceArgs, reply *ReplaceReply) (err error) {
	defer recovery.Into(s.registry.log, "call Replace", &err)
	ctx, cancel := context.WithTimeout(s.registry.ctx, operatorTimeout)
	defer cancel()
	call := s.registry.propose
	if args.Forward {
		call = s.registry.replace
	}
	reply.Version, err = call(ctx, args.Version, args.Body)
	return peer.EncodeError(err)
}

// Read returns the configuration in force to an instance that holds no log.
func (s *Service) Read(_ *ReadArgs, reply *ReadReply) (err error) {
	defer recovery.Into(s.registry.log, "call Read", &err)
	ctx, cancel := context.WithTimeout(s.registry.ctx, operatorTimeout)
	defer cancel()
	current, err := s.registry.readCurrent(ctx)
	if err == nil {
		reply.Version, reply.Body = current.version, current.body
	}
	return peer.EncodeError(err)
}

// Confirm returns the version in force, confirmed by a majority.
func (s *Service) Confirm(_ *ConfirmArgs, reply *ConfirmReply) (err error) {
	defer recovery.Into(s.registry.log, "call Confirm", &err)
	ctx, cancel := context.WithTimeout(s.registry.ctx, operatorTimeout)
	defer cancel()
	reply.Version, err = s.registry.confirmLocally(ctx)
	return peer.EncodeError(err)
}

// Share takes in announcements that another instance heard.
func (s *Service) Share(args *ShareArgs, reply *ShareReply) (err error) {
	defer recovery.Into(s.registry.log, "call Share", &err)
	reply.Epoch = s.registry.directory.epoch
	reply.Unknown = s.registry.directory.observe(observation{upstreams: args.Upstreams, alive: args.Alive, runs: args.Runs})
	return nil
}

// CrashArgs carries broken runs that a gateway has seen or learned of.
type CrashArgs struct{ Runs []crash.Entry }

// CrashReply is empty.
type CrashReply struct{}

// Crash takes in broken runs and passes those of suspects on to all gateways.
func (s *Service) Crash(args *CrashArgs, _ *CrashReply) (err error) {
	defer recovery.Into(s.registry.log, "call Crash", &err)
	s.registry.directory.observe(observation{runs: args.Runs, direct: true})
	return nil
}

// TrialArgs asks whether a blocked request may run once more.
type TrialArgs struct {
	Fingerprint string
	// Forward asks an instance that does not lead to pass the question on.
	Forward bool
}

// TrialReply answers it. A granted trial is the only one in the fleet for a time.
type TrialReply struct{ Granted bool }

// Trial decides whether a blocked request may run once more. The leader decides for the
// whole fleet; one that has just been elected knows when the request ran last.
func (s *Service) Trial(args *TrialArgs, reply *TrialReply) (err error) {
	defer recovery.Into(s.registry.log, "call Trial", &err)
	ctx, cancel := context.WithTimeout(s.registry.ctx, confirmTimeout)
	defer cancel()
	_, err = s.registry.tryLeader(ctx, func(context.Context) (uint64, error) {
		reply.Granted = s.registry.directory.trial(args.Fingerprint)
		return 0, nil
	}, func(ctx context.Context, addr string) (uint64, error) {
		if !args.Forward {
			return 0, result.New(result.ControlUnavailable, "this instance does not lead")
		}
		return 0, s.registry.clients.To(addr).Call(ctx, ServiceName+".Trial", &TrialArgs{Fingerprint: args.Fingerprint}, reply)
	})
	return peer.EncodeError(err)
}

// LeavingArgs names an incarnation that has said in an answer that it leaves.
type LeavingArgs struct {
	ID        string
	StartedMS int64
}

// LeavingReply is empty.
type LeavingReply struct{}

// Leaving takes in that an upstream leaves and passes it on to all gateways.
func (s *Service) Leaving(args *LeavingArgs, _ *LeavingReply) (err error) {
	defer recovery.Into(s.registry.log, "call Leaving", &err)
	s.registry.directory.observe(observation{leaving: []LeavingArgs{*args}})
	return nil
}

// raftService passes the calls of the replicated log on to the log that is open
// now.
type raftService struct{ registry *Registry }

// Step passes messages on.
func (s *raftService) Step(args *replica.StepArgs, reply *replica.StepReply) (err error) {
	defer recovery.Into(s.registry.log, "call Step", &err)
	rep := s.registry.currentReplica()
	if rep == nil {
		return peer.EncodeError(result.New(result.ControlUnavailable, "the log of this instance is closed"))
	}
	return rep.Service().Step(args, reply)
}

// Identity passes a question on.
func (s *raftService) Identity(args *replica.IdentityArgs, reply *replica.IdentityReply) (err error) {
	defer recovery.Into(s.registry.log, "call Identity", &err)
	if s.registry.introducer != nil {
		return s.registry.introducer.Identity(args, reply)
	}
	rep := s.registry.currentReplica()
	if rep == nil {
		return peer.EncodeError(result.New(result.ControlUnavailable, "the log of this instance is closed"))
	}
	return rep.Service().Identity(args, reply)
}

// led tells whether this instance knows a leader.
func (r *Registry) knowsLeader() bool {
	rep := r.currentReplica()
	return rep != nil && rep.Leader(group).ID != ""
}

// members returns the peer addresses of the other control instances.
func (r *Registry) otherMembers() []string {
	var list []replica.Peer
	if r.introducer != nil {
		list = r.introducer.Members()
	} else if rep := r.currentReplica(); rep != nil {
		list = rep.Members()
	}
	var out []string
	for _, p := range list {
		if p.Addr != r.PeerListen {
			out = append(out, p.Addr)
		}
	}
	return out
}

// feed wakes the watchers.
type changeNotifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func newChangeNotifier() *changeNotifier { return &changeNotifier{ch: make(chan struct{})} }

// next returns a channel that is closed at the next change.
func (f *changeNotifier) next() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ch
}

func (f *changeNotifier) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.ch)
	f.ch = make(chan struct{})
}
