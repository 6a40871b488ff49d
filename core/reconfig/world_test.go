package reconfig

import (
	"fmt"

	"heatherway.dev/core/raft"
)

// Times of a simulated world in ticks of 50 ms. Those that stand for times of
// modules/control/replica are rounded up to whole decisions.
const (
	// decisionTicks is the time between two decisions of a leader, and the step of a world.
	decisionTicks = 4
	// identityTicks is the time after which two instances that reach each other have
	// exchanged their identities.
	identityTicks = 12
	// identityTTLTicks is how long an identity makes an instance a candidate.
	identityTTLTicks = 40
	// settleTicks is the contact with a majority that settles a view.
	settleTicks = 20
	// connectTicks is the time after a cut in which an instance may not be heard yet. The
	// connections of one that was frozen still exist.
	connectTicks = 8
	// electionTicks is the longest election.
	electionTicks = 20
	// copyTicks is the contact with the leader after which a disk holds everything.
	copyTicks = 8
	// catchupTicks is the time after the start of a successor in which the instance that it
	// replaces counts as lost.
	catchupTicks = 80
	// returnTicks is the time after its return in which an instance counts as lost if it was
	// removed in place of another lost one: nobody can tell which of them returns.
	returnTicks = identityTicks + copyTicks + 2*decisionTicks
	// rejoinTicks is the time after which a voter that was frozen or cut off is a voter
	// again, if another loss changes the leader meanwhile.
	rejoinTicks = electionTicks + identityTicks + copyTicks + 3*decisionTicks
	// calmTicks is the time after the last event in which every change must have been made.
	calmTicks = 400
	// never is a tick that no world reaches.
	never = ^uint64(0)
)

// worldLimits are the limits that modules/control/replica uses for a CatchupS of 4 s.
func worldLimits(losses int) Limits {
	return Limits{Losses: losses, AnswerWithin: 10, PromoteWithin: 4, LostAfter: 30, AbsentAfter: 160}
}

// rules are the decision under test and the way in which a new leader learns of silence.
type rules struct {
	next func(Limits, View) (Step, bool)
	// silenceAnew is set if each leader counts silence from its own election.
	silenceAnew bool
	// onlyPromise is set if single changes are not checked, only what follows from them.
	onlyPromise bool
}

// condition tells whether an instance runs and reaches the others.
type condition uint8

const (
	up condition = iota
	// frozen instances don't run, so that their clocks stand still.
	frozen
	// cut instances run and reach no other.
	cut
	gone
)

// maxInstances bounds the instances and the disks of a world: six, one more for each event,
// and some to spare.
const maxInstances = 12

// noInstance is no instance's index.
const noInstance = -1

var instanceNames, diskNames = names("i"), names("d")

func names(prefix string) (out [maxInstances]string) {
	for i := range out {
		out[i] = fmt.Sprintf("%s%02d", prefix, i)
	}
	return out
}

// identity is the disk that an instance has reported, and when.
type identity struct {
	disk  int
	clock uint64
}

// instance is one process, what it has recorded, and its disk.
type instance struct {
	condition condition
	since     uint64
	disk      int
	// clock counts the ticks that the process has run.
	clock         uint64
	heard         [maxInstances]uint64 // by disk
	known         [maxInstances]identity
	majoritySince uint64
	// copied is the time for which the disk has received the log without a break.
	copied uint64
	holds  uint64
	// lostSince is the tick of the last loss, and lostUntil the tick until which the
	// instance counts as lost. catchingUp is set if it did so at its last loss already.
	lostSince, lostUntil uint64
	// returningUntil is the end of returnTicks.
	returningUntil uint64
	catchingUp     bool
	connectedFrom  uint64
	// successor is the instance that was started after the loss of this one.
	successor int
	// leaving is set once a successor has started in advance.
	leaving  bool
	rejoinBy uint64
}

func startInstance(tick uint64, disk int) instance {
	i := instance{since: tick, disk: disk, successor: noInstance, rejoinBy: never}
	for o := range i.known {
		i.known[o].disk = noInstance
	}
	return i
}

// member is a member of the newest membership.
type member struct {
	instance, disk int
	learner        bool
}

// scheduled is a later part of an event, such as the return of a frozen instance.
type scheduled struct {
	tick uint64
	do   func(*world)
}

// world is a group of instances and the environment that loses them.
type world struct {
	rules       rules
	limits      Limits
	electNewest bool
	tick        uint64

	instances []instance
	disks     int
	members   []member
	// acknowledged is the newest write that callers have been told of.
	acknowledged uint64

	// leader is the last leader, leading is set while it has a majority, and waited is the
	// time in which another voter could have been elected.
	leader       int
	leading      bool
	leadingSince uint64
	leaderClock  uint64
	waited       uint64

	pending    []scheduled
	lastEvent  uint64
	lastReturn uint64

	exposure exposure
	// justPromoted is the voter of the last decision, if any. The next one can remove another.
	justPromoted int
	// promisedSince is the tick from which on the promise holds.
	promisedSince uint64
	// beyondLimits is set once the disks of more than Losses members were lost at a time.
	beyondLimits bool
	violation    string

	// skipped is set if an event finds no instance to hit. checked counts the moments at
	// which all Losses were still to bear.
	skipped          bool
	changes, checked int
	keepLog          bool
	log              []string

	// viewMembers and viewCandidates are reused by the next view, as most of the time of a
	// play would go into them.
	viewMembers    []Member
	viewCandidates []Candidate
}

// newWorld returns a group of voters that have been in contact for catchupTicks.
func newWorld(r rules, size, losses int, electNewest bool) *world {
	w := &world{rules: r, limits: worldLimits(losses), tick: catchupTicks, disks: size, electNewest: electNewest,
		leading: true, acknowledged: catchupTicks, exposure: exposure{voter: noInstance}, justPromoted: noInstance}
	w.instances = make([]instance, 0, maxInstances)
	for i := range size {
		a := startInstance(0, i)
		a.clock, a.copied, a.holds = w.tick, w.tick, w.tick
		for o := range size {
			a.heard[o], a.known[o] = a.clock, identity{o, a.clock}
		}
		w.instances = append(w.instances, a)
		w.members = append(w.members, member{instance: i, disk: i})
	}
	return w
}

// step advances the world by one decision.
func (w *world) step() {
	w.tick += decisionTicks
	w.runScheduled()
	w.elect()
	w.exchange()
	w.replicate()
	w.decide()
	w.checkPromise()
	w.checkRejoined()
}

func (w *world) runScheduled() {
	for i := 0; i < len(w.pending); {
		if s := w.pending[i]; s.tick <= w.tick {
			w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
			w.lastEvent = w.tick
			s.do(w)
			continue
		}
		i++
	}
}

func (w *world) later(ticks uint64, do func(*world)) {
	w.pending = append(w.pending, scheduled{w.tick + ticks, do})
}

// exchange advances the clocks and records who hears from whom. Raft messages go between
// the leader and the members, identities between all instances.
func (w *world) exchange() {
	for i := range w.instances {
		if c := w.instances[i].condition; c == up || c == cut {
			w.instances[i].clock += decisionTicks
		}
	}
	for i := range w.instances {
		for o := range w.instances {
			w.hear(i, o)
		}
		w.trackMajority(i)
	}
}

func (w *world) hear(i, other int) {
	a, b := &w.instances[i], &w.instances[other]
	if !w.connected(i) || !w.connected(other) {
		return
	}
	identities := w.tick%identityTicks == 0
	if identities || i == other {
		a.known[other] = identity{b.disk, a.clock}
	}
	raftMessages := w.leading && (i == w.leader && w.isMember(other) || other == w.leader && w.isMember(i))
	if identities || raftMessages {
		a.heard[b.disk] = a.clock
	}
}

// connected reports whether an instance runs and has had the time to connect to the others.
func (w *world) connected(i int) bool {
	return w.instances[i].condition == up && w.tick >= w.instances[i].connectedFrom
}

func (w *world) trackMajority(i int) {
	a := &w.instances[i]
	voters, answering := 0, 0
	for _, m := range w.members {
		if !m.learner {
			voters++
			if w.silent(i, m.instance, m.disk) <= settleTicks {
				answering++
			}
		}
	}
	if answering <= voters/2 || !w.isMember(i) {
		a.majoritySince = a.clock
	}
}

// silent returns the silence of another instance's disk as an instance has recorded it.
func (w *world) silent(i, other, disk int) uint64 {
	a := &w.instances[i]
	if i == other && a.disk == disk {
		return 0
	}
	return a.clock - a.heard[disk]
}

func (w *world) isMember(i int) bool {
	for _, m := range w.members {
		if m.instance == i && m.disk == w.instances[i].disk {
			return true
		}
	}
	return false
}

// answers reports whether a member runs with the disk that the group knows.
func (w *world) answers(m member) bool {
	i := &w.instances[m.instance]
	return i.condition == up && i.disk == m.disk
}

// bearable is Bearable without the delay in which a leader notices a loss.
func (w *world) bearable() int {
	voters, answering := w.countVoters(w.answers)
	return bearable(voters, answering)
}

func (w *world) voters() int {
	n, _ := w.countVoters(w.answers)
	return n
}

func (w *world) countVoters(counts func(member) bool) (voters, counted int) {
	for _, m := range w.members {
		if !m.learner {
			voters++
			if counts(m) {
				counted++
			}
		}
	}
	return voters, counted
}

// elect lets another voter lead once the leader is lost and a majority has answered for an
// election. A leader that returns before that goes on.
func (w *world) elect() {
	w.leading = false
	if w.bearable() < 0 {
		w.waited = 0
		return
	}
	if w.canLead(w.leader) && w.waited < electionTicks {
		w.leading, w.waited = true, 0
		return
	}
	w.waited += decisionTicks
	if w.waited <= electionTicks {
		return
	}
	if next := w.nextLeader(); next != noInstance {
		w.lead(next)
	}
}

// nextLeader returns a voter that can win an election.
func (w *world) nextLeader() int {
	next := noInstance
	for _, m := range w.members {
		if !w.canLead(m.instance) {
			continue
		}
		next = m.instance
		if !w.electNewest {
			break
		}
	}
	return next
}

func (w *world) lead(i int) {
	w.leader, w.leading, w.waited, w.leadingSince, w.leaderClock = i, true, 0, w.tick, w.instances[i].clock
	w.exposure.voter = noInstance // the new leader may not know yet who is silent
	w.record("%s leads", instanceNames[i])
}

func (w *world) canLead(i int) bool {
	for _, m := range w.members {
		if m.instance == i && !m.learner {
			return w.answers(m) && w.instances[i].holds == w.acknowledged
		}
	}
	return false
}

// replicate copies the log to the members and acknowledges another write once a majority
// has copied it.
func (w *world) replicate() {
	for i := range w.instances {
		if a := &w.instances[i]; w.leading && a.condition == up && w.isMember(i) {
			a.copied += decisionTicks
		} else if a.condition != up {
			a.copied = 0
		}
	}
	copied := func(m member) bool { return w.answers(m) && w.instances[m.instance].copied >= copyTicks }
	voters, holding := w.countVoters(copied)
	if w.leading && bearable(voters, holding) >= 0 && copied(member{instance: w.leader, disk: w.instances[w.leader].disk}) {
		w.acknowledged = w.tick
	}
	for _, m := range w.members {
		if w.leading && (copied(m) || m.instance == w.leader) {
			w.instances[m.instance].holds = w.acknowledged
		}
	}
}

// decide makes the next change of the leader. A new leader must commit an entry first.
func (w *world) decide() {
	w.justPromoted = noInstance
	if !w.leading || w.leadingSince == w.tick {
		w.exposure.voter = noInstance
		return
	}
	s, ok := w.rules.next(w.limits, w.view())
	if !ok {
		w.checkNotExposed()
		return
	}
	votersBefore, bearableBefore := w.voters(), w.bearable()
	w.apply(s.Change)
	w.changes++
	if s.Change.Kind == raft.Promote {
		w.justPromoted = changedMember(s.Change).instance
	}
	w.record("%s: %s", describe(s), s.Reason)
	w.checkChange(s, votersBefore, bearableBefore)
}

// describe names a step.
func describe(s Step) string {
	return fmt.Sprintf("%s %s", [...]string{"add", "promote", "remove"}[s.Change.Kind], s.Change.Member.ID)
}

// view returns what the leader knows, as modules/control/replica does.
func (w *world) view() View {
	a := &w.instances[w.leader]
	v := View{Leader: raft.MemberID(instanceNames[w.leader]), Settled: a.clock-a.majoritySince >= settleTicks}
	v.Members, v.Candidates = w.viewMembers[:0], w.viewCandidates[:0]
	for _, m := range w.members {
		silent := w.leaderSilent(m.instance, m.disk)
		caughtUp := silent <= w.limits.AnswerWithin && w.instances[m.instance].disk == m.disk && w.instances[m.instance].holds == w.acknowledged
		v.Members = append(v.Members, Member{Member: m.toRaft(), Silent: silent, CaughtUp: caughtUp})
	}
	for o := range w.instances {
		if k := a.known[o]; k.disk != noInstance && a.clock-k.clock <= identityTTLTicks {
			c := member{instance: o, disk: k.disk}.toRaft()
			v.Candidates = append(v.Candidates, Candidate{ID: c.ID, Disk: c.Disk, Addr: c.Addr, Silent: w.leaderSilent(o, k.disk)})
		}
	}
	w.viewMembers, w.viewCandidates = v.Members, v.Candidates
	return v
}

func (m member) toRaft() raft.Member {
	name := instanceNames[m.instance]
	return raft.Member{ID: raft.MemberID(name), Disk: raft.DiskID(diskNames[m.disk]), Addr: name, Learner: m.learner}
}

// changedMember returns the member that a change names.
func changedMember(c raft.Change) member {
	return member{instance: index(instanceNames, string(c.Member.ID)), disk: index(diskNames, string(c.Member.Disk)), learner: c.Kind == raft.AddLearner}
}

func (w *world) leaderSilent(i, disk int) uint64 {
	silent := w.silent(w.leader, i, disk)
	if w.rules.silenceAnew {
		return min(silent, w.instances[w.leader].clock-w.leaderClock)
	}
	return silent
}

// apply makes a change as raft does.
func (w *world) apply(c raft.Change) {
	changed := changedMember(c)
	for n, m := range w.members {
		if m.instance != changed.instance {
			continue
		}
		if c.Kind == raft.Remove {
			w.members = append(w.members[:n:n], w.members[n+1:]...)
			return
		}
		w.members[n] = changed
		return
	}
	w.members = append(w.members, changed)
	w.instances[changed.instance].copied = 0
}

func index(names [maxInstances]string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	panic("unknown name " + name)
}

func (w *world) record(format string, args ...any) {
	if w.keepLog {
		w.log = append(w.log, fmt.Sprintf("%4d ", w.tick)+fmt.Sprintf(format, args...))
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("tick %d: ", w.tick) + fmt.Sprintf(format, args...)
		w.record("VIOLATION %s", w.violation)
	}
}

// settledDown reports whether nothing is left to change: the members are the running
// instances, all vote, and none counts as lost.
func (w *world) settledDown() bool {
	if len(w.pending) > 0 || !w.leading || w.lost() > 0 || w.tick < w.lastEvent+catchupTicks {
		return false
	}
	for _, m := range w.members {
		if m.learner || !w.answers(m) {
			return false
		}
	}
	return len(w.members) == w.running()
}

func (w *world) running() int {
	n := 0
	for i := range w.instances {
		if w.instances[i].condition != gone {
			n++
		}
	}
	return n
}

// finish plays the calm after the last event until nothing is left to change.
func (w *world) finish() {
	for len(w.pending) > 0 || w.tick < w.lastEvent+calmTicks {
		w.step()
		if w.violation != "" {
			return
		}
		if w.settledDown() {
			w.checkFixedPoint()
			return
		}
	}
	if !w.leading && !w.beyondLimits {
		w.fail("%s", noLeader)
	}
	if w.leading {
		w.fail("no fixed point: %d members, %d running instances", len(w.members), w.running())
	}
}
