package registry

import (
	"context"
	"sync"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/rollout"
	"heatherway.dev/heatherway/modules/control/replica"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// ServiceName is the net/rpc name of the service for gateways and other control
// instances.
const ServiceName = "Registry"

const (
	// MaxWatch is the longest time that Watch waits for a change. Gateways detect an
	// unresponsive instance shortly after it, well within the 2 s in which a change
	// must be in force.
	MaxWatch = 700 * time.Millisecond
	// minReplyInterval is the shortest time between two replies to one gateway if only
	// upstreams have changed. The upstreams of an availability zone often change together,
	// and each reply costs a call.
	minReplyInterval = 50 * time.Millisecond
	// confirmTimeout bounds one confirmation by the leader, which takes a few
	// milliseconds. After it another leader may have been elected.
	confirmTimeout = 300 * time.Millisecond
)

// WatchArgs asks for the changes that a gateway does not have yet.
type WatchArgs struct {
	// Version is the version of the configuration that the gateway has.
	Version uint64
	// Epoch and Change identify the changes of the directory that it has.
	Epoch, Change uint64
	// Crash is the last change of the broken runs that it has, within Epoch.
	Crash uint64
	// Subset selects the records that the gateway receives. Choose asks the registry to
	// choose the size of the subset, since the gateway knows no upstream yet.
	Subset registration.Subset
	Choose bool
	// FollowRollouts asks for the roll-outs. Rollouts is the revision of those that the gateway has.
	FollowRollouts bool
	Rollouts       uint64
	// Confirm asks for a configuration that a majority has confirmed after the
	// call started. A starting gateway cannot detect a stale one otherwise.
	Confirm bool
}

// WatchReply carries the changes.
type WatchReply struct {
	Version uint64
	// Body is the configuration. It is empty if the gateway has this version.
	Body []byte
	// Epoch and Change are to be passed in the next call.
	Epoch, Change uint64
	// Upstreams are the changed records of the subset. Halvings is its chosen size by
	// availability zone.
	Upstreams []registration.Upstream
	Halvings  map[string]int
	// Runs are the changed broken runs of suspect requests. Crash is to be passed in the
	// next call.
	Runs  []crash.Entry
	Crash uint64
	// Rollouts are the roll-outs, nil if the gateway has this revision.
	Rollouts *rollout.View
	// Members are the peer addresses of all control instances.
	Members []string
	// Confirmed is set if a majority has confirmed the configuration.
	Confirmed bool
	// Relay is set if this instance holds no log. The gateway must watch one of Members.
	Relay bool
	// Led is set if this instance knows a leader, and so receives changes.
	Led bool
}

// ReplaceArgs proposes a configuration.
type ReplaceArgs struct {
	Version uint64
	Body    []byte
	// Forward asks an instance that is not the leader to forward the call to it.
	Forward bool
}

// ReplaceReply contains the version in force afterwards.
type ReplaceReply struct{ Version uint64 }

// ConfirmArgs asks the leader for the version in force.
type ConfirmArgs struct{}

// ConfirmReply contains the confirmed version.
type ConfirmReply struct{ Version uint64 }

// ReadArgs asks a member for the configuration in force.
type ReadArgs struct{}

// ReadReply carries the configuration, confirmed by a majority after the call started.
type ReadReply struct {
	Version uint64
	Body    []byte
}

// ShareArgs carries what another instance has learned: changed records, upstreams
// that announced themselves unchanged, and broken runs.
type ShareArgs struct {
	Upstreams []registration.Upstream
	Alive     []Alive
	Runs      []crash.Entry
	// From is the peer address of the sender and Epoch its epoch, which changes when it restarts.
	From  string
	Epoch uint64
}

// Alive identifies an incarnation that has announced itself without a change.
type Alive struct {
	ID             string
	StartedMS, Seq int64
}

// ShareReply lists the upstreams in Alive of which the receiver has no record.
type ShareReply struct {
	Unknown []string
	// Epoch changes when the receiver restarts.
	Epoch uint64
}

// OwnerAddr is part of the replies of calls that only a leader answers.
type OwnerAddr struct {
	// Owner is the peer address of the instance that has answered. The next call may go there
	// directly.
	Owner string
}

// Addr returns the address.
func (o *OwnerAddr) Addr() string { return o.Owner }

// Service is the net/rpc service of the registry.
type Service struct{ registry *Registry }

// Watch returns the changes that the caller does not have. It waits up to MaxWatch
// for one.
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
		_, err := r.readLocal(ctx)
		cancel()
		confirmed = err == nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, MaxWatch)
	defer cancel()
	sinceChange, sinceCrash := args.Change, args.Crash
	if args.Epoch != r.directory.epoch {
		sinceChange, sinceCrash = 0, 0
	}
	subset, start := args.Subset, time.Now()
	for {
		changed := r.changes.next()
		current := r.configuration.current()
		q := query{sinceChange: sinceChange, sinceCrash: sinceCrash}
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
		sinceChange = v.lastChange // changes that the subset filters out need not be sent later
		*reply = WatchReply{
			Version: current.version, Epoch: r.directory.epoch, Change: v.lastChange, Upstreams: subset.Filter(v.upstreams), Halvings: v.halvings,
			Runs: v.runs, Crash: v.lastCrash,
			Members: append(r.otherMembers(), r.PeerListen), Led: r.knowsLeader(), Confirmed: confirmed,
		}
		if current.version > args.Version {
			reply.Body = current.body
		}
		if args.FollowRollouts && r.rollouts != nil {
			reply.Rollouts = r.rollouts.viewSince(args.Rollouts)
		}
		if reply.Body != nil || reply.Rollouts != nil || len(v.runs) > 0 || !reply.Led || args.Confirm {
			return nil
		}
		if len(reply.Upstreams) > 0 {
			remaining := minReplyInterval - time.Since(start)
			if remaining <= 0 || args.Epoch != r.directory.epoch {
				return nil
			}
			sinceChange = args.Change
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

// Replace proposes a configuration to the log of this instance, the leader, or
// forwards it.
func (s *Service) Replace(args *ReplaceArgs, reply *ReplaceReply) (err error) {
	defer recovery.Into(s.registry.log, "call Replace", &err)
	ctx, cancel := context.WithTimeout(s.registry.ctx, operatorTimeout)
	defer cancel()
	call := s.registry.propose
	if args.Forward {
		call = s.registry.replaceAtLeader
	}
	reply.Version, err = call(ctx, args.Version, args.Body)
	return peer.EncodeError(err)
}

// Read returns the configuration in force to an instance without a log.
func (s *Service) Read(_ *ReadArgs, reply *ReadReply) (err error) {
	defer recovery.Into(s.registry.log, "call Read", &err)
	ctx, cancel := context.WithTimeout(s.registry.ctx, operatorTimeout)
	defer cancel()
	current, err := s.registry.readLocal(ctx)
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

// Share merges what another instance has learned.
func (s *Service) Share(args *ShareArgs, reply *ShareReply) (err error) {
	defer recovery.Into(s.registry.log, "call Share", &err)
	reply.Epoch = s.registry.directory.epoch
	m, err := s.registry.directory.observe(observation{upstreams: args.Upstreams, alive: args.Alive, runs: args.Runs, from: args.From, epoch: args.Epoch})
	reply.Unknown = m.unknown
	return peer.EncodeError(err)
}

// CrashArgs carries broken runs that a gateway has observed or received.
type CrashArgs struct{ Runs []crash.Entry }

// CrashReply is empty.
type CrashReply struct{}

// Crash records broken runs and forwards those of suspect requests to all gateways.
func (s *Service) Crash(args *CrashArgs, _ *CrashReply) (err error) {
	defer recovery.Into(s.registry.log, "call Crash", &err)
	_, err = s.registry.directory.observe(observation{runs: args.Runs, direct: true})
	return peer.EncodeError(err)
}

// TrialArgs asks whether a request may run once although it is held.
type TrialArgs struct {
	// Fingerprint is the first of Keys, for instances of the previous release.
	Fingerprint string
	// Keys are what the request is held for: its fingerprint or parts of its prompt.
	Keys []string
	// Forward asks an instance that is not the leader to forward the call to it.
	Forward bool
}

// keys returns the keys; gateways of the previous release send only a fingerprint.
func (a *TrialArgs) keys() []string {
	if len(a.Keys) == 0 {
		return []string{a.Fingerprint}
	}
	return a.Keys
}

// TrialReply is the decision. No second trial of the request is granted in the fleet for
// some time after a granted one.
type TrialReply struct {
	Granted bool
	// KnowsParts is not set by leaders of the previous release, which grant no trial of a
	// part that is undecided.
	KnowsParts bool
}

// Trial decides whether a request may run once although it is held. The leader decides for the
// whole fleet. A newly elected leader knows from the shared runs when the request ran last.
func (s *Service) Trial(args *TrialArgs, reply *TrialReply) (err error) {
	defer recovery.Into(s.registry.log, "call Trial", &err)
	ctx, cancel := context.WithTimeout(s.registry.ctx, confirmTimeout)
	defer cancel()
	_, err = s.registry.tryLeader(ctx, func(context.Context) (uint64, error) {
		reply.Granted, reply.KnowsParts = s.registry.directory.trial(args.keys()), true
		return 0, nil
	}, func(ctx context.Context, addr string) (uint64, error) {
		if !args.Forward {
			return 0, result.New(result.ControlUnavailable, "this instance does not lead")
		}
		return 0, s.registry.clients.To(addr).Call(ctx, ServiceName+".Trial", &TrialArgs{Fingerprint: args.Fingerprint, Keys: args.Keys}, reply)
	})
	return peer.EncodeError(err)
}

// LeavingArgs identifies an incarnation that has reported in a response that it is leaving.
type LeavingArgs struct {
	ID        string
	StartedMS int64
}

// LeavingReply is empty.
type LeavingReply struct{}

// Leaving records that an upstream is leaving, tells all gateways and returns once enough disks
// hold that. The gateway repeats a call that fails.
func (s *Service) Leaving(args *LeavingArgs, _ *LeavingReply) (err error) {
	defer recovery.Into(s.registry.log, "call Leaving", &err)
	ctx, cancel := context.WithTimeout(s.registry.ctx, departureCallTimeout)
	defer cancel()
	m, err := s.registry.directory.observe(observation{leaving: []LeavingArgs{*args}})
	if err == nil {
		err = s.registry.directory.awaitCopies(ctx, copyWait{change: m.withdrawal})
	}
	return peer.EncodeError(err)
}

// raftService forwards the calls of the replicated log to the log that is currently
// open.
type raftService struct{ registry *Registry }

// Step forwards a batch of raft messages.
func (s *raftService) Step(args *replica.StepArgs, reply *replica.StepReply) (err error) {
	defer recovery.Into(s.registry.log, "call Step", &err)
	rep := s.registry.currentReplica()
	if rep == nil {
		return peer.EncodeError(result.New(result.ControlUnavailable, "the log of this instance is closed"))
	}
	return rep.Service().Step(args, reply)
}

// Identity forwards a query for the identity of this instance.
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

// knowsLeader reports whether this instance knows a leader.
func (r *Registry) knowsLeader() bool {
	rep := r.currentReplica()
	return rep != nil && rep.Leader(group).ID != ""
}

// answersThroughMembers reports whether this instance passes operators' calls on to members of
// the log, since it has none or its own has failed. After a failure the log may be open for
// moments only, until the next write fails, and it knows no leader in them.
func (r *Registry) answersThroughMembers() bool {
	if r.introducer != nil {
		return true
	}
	rep := r.currentReplica()
	if rep != nil && rep.Leader(group).ID != "" {
		r.logFailed.Store(false)
	}
	return (rep == nil || r.logFailed.Load()) && len(r.otherMembers()) > 0
}

// otherMembers returns the peer addresses of the other control instances. While the log is
// closed they are the last known ones.
func (r *Registry) otherMembers() []string {
	var list []replica.Peer
	if r.introducer != nil {
		list = r.introducer.Members()
	} else if rep := r.currentReplica(); rep != nil {
		list = rep.Members()
	}
	if len(list) > 0 {
		r.lastMembers.Store(&list)
	} else if last := r.lastMembers.Load(); last != nil {
		list = *last
	}
	var out []string
	for _, p := range list {
		if p.Addr != r.PeerListen {
			out = append(out, p.Addr)
		}
	}
	return out
}

// changeNotifier wakes the calls of Watch that wait for a change.
type changeNotifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func newChangeNotifier() *changeNotifier { return &changeNotifier{ch: make(chan struct{})} }

// next returns a channel that is closed on the next change.
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
