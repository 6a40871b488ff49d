package raft

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// disk is the part of a member's state that survives a crash.
type disk struct {
	id     DiskID
	stored PersistentState
	data   []byte
}

func (d *disk) save(r Ready) {
	if r.Install != nil {
		d.stored.Snapshot, d.data, d.stored.Entries = r.Install.Meta, r.Install.Data, nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - d.stored.Snapshot.Index - 1
		d.stored.Entries = append(d.stored.Entries[:keep:keep], r.Entries...)
	}
	if r.Hard != nil {
		d.stored.Hard = *r.Hard
	}
}

func (d *disk) holds(e Entry) bool {
	if e.Index <= d.stored.Snapshot.Index {
		return true
	}
	i := e.Index - d.stored.Snapshot.Index - 1
	return i < uint64(len(d.stored.Entries)) && d.stored.Entries[i].Term == e.Term
}

// machine is a state machine whose state is a hash chain over the applied entries.
type machine struct{ Index, Sum uint64 }

func (m *machine) apply(e Entry) {
	h := fnv.New64a()
	fmt.Fprint(h, m.Sum, e.Index, e.Term, e.Kind, string(e.Data))
	m.Index, m.Sum = e.Index, h.Sum64()
}

// process is a simulated member. Its node is nil while it is down.
type process struct {
	id   MemberID
	disk *disk
	node *Node
	machine
	// tickRate is the speed of its clock relative to other members.
	tickRate int
	reads    map[uint64]uint64
	// unsynced holds writes that the skipSync variant has not performed yet.
	unsynced []Ready
}

// simulationOptions configures a simulation. Variants without a safety check set faults or
// skipSync.
type simulationOptions struct {
	voters, learners int
	faults           faults
	// skipSync sends and acknowledges before the write is performed.
	skipSync bool
	// Probabilities of faults and operations, in the units of their names.
	dropPercent, duplicatePercent     int
	crashPermille, partitionPermille  int
	diskLossPermille, repairPermille  int
	compactPermille, transferPermille int
}

func faultyOptions() simulationOptions {
	return simulationOptions{voters: 3, dropPercent: 5, duplicatePercent: 5, crashPermille: 8, partitionPermille: 8,
		diskLossPermille: 10, repairPermille: 40, compactPermille: 10, transferPermille: 5}
}

// simulation is a deterministic simulation of a group: its members, their disks and the
// network between them, driven by a seed. It checks all properties at every step.
type simulation struct {
	simulationOptions
	rng       *rand.Rand
	processes []*process
	network   []Message
	// partition assigns each member to a side of the network; messages pass only within a
	// side.
	partition map[MemberID]int
	// entries holds the content of each entry by index and term, committed the applied
	// entries by index, and checksums the state machine's checksum by index.
	entries       map[[2]uint64]string
	committed     map[uint64]Entry
	checksums     map[uint64]uint64
	lastCommitted uint64
	// leaderDisks holds the disk of the leader of each term.
	leaderDisks map[uint64]DiskID
	// members is the last committed membership.
	members    Membership
	diskCount  int
	reads      uint64
	answered   int
	diskLosses int
	installs   int
	faultFree  bool
	violation  string
}

func newSimulation(seed uint64, o simulationOptions) *simulation {
	sim := &simulation{simulationOptions: o, rng: rand.New(rand.NewPCG(seed, 1)), partition: map[MemberID]int{},
		entries: map[[2]uint64]string{}, committed: map[uint64]Entry{}, checksums: map[uint64]uint64{},
		leaderDisks: map[uint64]DiskID{}}
	for i := range o.voters + o.learners {
		p := &process{id: MemberID(rune('A' + i)), tickRate: 1 + sim.rng.IntN(4), disk: sim.newDisk()}
		sim.processes = append(sim.processes, p)
		sim.members = sim.members.with(Member{ID: p.id, Disk: p.disk.id, Learner: i >= o.voters})
	}
	first := Entry{Index: 1, Term: 1, Kind: ChangeEntry, Data: sim.members.encode()}
	for _, p := range sim.processes {
		p.disk.stored = PersistentState{Hard: HardState{Term: 1, Commit: 1}, Entries: []Entry{first}}
		sim.start(p)
	}
	return sim
}

func (sim *simulation) newDisk() *disk {
	sim.diskCount++
	return &disk{id: DiskID(fmt.Sprint("disk-", sim.diskCount))}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) percent(n int) bool { return !sim.faultFree && sim.rng.IntN(100) < n }

func (sim *simulation) start(p *process) {
	s := p.disk.stored
	s.Entries = slices.Clone(s.Entries)
	cfg := Config{Self: p.id, Disk: p.disk.id, Rand: rand.New(rand.NewPCG(sim.rng.Uint64(), 2)),
		MaxMessageBytes: 100, MaxInFlight: 3, faults: sim.faults}
	node, err := New(cfg, s)
	if err != nil {
		panic(err)
	}
	p.node, p.machine, p.reads = node, machine{}, map[uint64]uint64{}
	sim.restore(p, p.disk.data)
	sim.handle(p)
}

func (sim *simulation) restore(p *process, data []byte) {
	if len(data) == 0 {
		return
	}
	if err := json.Unmarshal(data, &p.machine); err != nil {
		sim.fail("snapshot of %s can't be decoded: %v", p.id, err)
		return
	}
	if sim.checksums[p.machine.Index] != p.machine.Sum {
		sim.fail("state machine safety: snapshot of %s at %d differs", p.id, p.machine.Index)
	}
}

func (sim *simulation) crash(p *process) { p.node, p.unsynced = nil, nil }

// handle carries out a member's pending work. The member may crash at each step.
func (sim *simulation) handle(p *process) {
	defer func() {
		if r := recover(); r != nil {
			sim.fail("%v", r)
		}
	}()
	for p.node != nil && sim.violation == "" {
		r := p.node.Ready()
		sim.checkLeader(p)
		if r.Empty() {
			return
		}
		sim.checkEntries(p, r.Entries)
		if sim.crashes(p) {
			return
		}
		sim.save(p, r)
		if n := len(r.Entries); n > 0 {
			p.node.Synced(r.Entries[n-1].Index, r.Entries[n-1].Term)
		}
		if sim.crashes(p) {
			return
		}
		sim.send(p, r.Messages)
		sim.apply(p, r)
	}
}

// crashes decides whether the member crashes at this point, with a tenth of the probability
// that crashPermille states, and carries it out.
func (sim *simulation) crashes(p *process) bool {
	if sim.faultFree || sim.rng.IntN(10000) >= sim.crashPermille {
		return false
	}
	sim.crash(p)
	return true
}

func (sim *simulation) save(p *process, r Ready) {
	if !sim.skipSync {
		p.disk.save(r)
		return
	}
	p.unsynced = append(p.unsynced, r)
	if sim.faultFree || sim.rng.IntN(20) == 0 {
		for _, old := range p.unsynced {
			p.disk.save(old)
		}
		p.unsynced = nil
	}
}

func (sim *simulation) send(p *process, messages []Message) {
	for _, m := range messages {
		size := 0
		for _, e := range m.Entries {
			size += e.size()
		}
		if size > p.node.cfg.MaxMessageBytes && len(m.Entries) > 1 {
			sim.fail("bounded messages: %d bytes in %d entries", size, len(m.Entries))
		}
		if m.Kind == SnapshotChunk {
			if m.Snapshot.Index != p.disk.stored.Snapshot.Index {
				continue
			}
			end := min(m.Offset+10, m.Snapshot.Size)
			m.Data = p.disk.data[m.Offset:end]
		}
		sim.network = append(sim.network, m)
	}
}

func (sim *simulation) apply(p *process, r Ready) {
	if r.Install != nil {
		sim.installs++
		sim.restore(p, r.Install.Data)
	}
	for _, e := range r.Apply {
		sim.commit(p, e)
		p.machine.apply(e)
		if sum, ok := sim.checksums[e.Index]; ok && sum != p.machine.Sum {
			sim.fail("state machine safety: %s differs at %d", p.id, e.Index)
		}
		sim.checksums[e.Index] = p.machine.Sum
	}
	for _, s := range r.Reads {
		sim.answered++
		if s.Index < p.reads[s.ID] || p.machine.Index < s.Index {
			sim.fail("linearizable reads: %s reads at %d, applied %d, acknowledged before %d", p.id, s.Index, p.machine.Index, p.reads[s.ID])
		}
	}
}

func (sim *simulation) commit(p *process, e Entry) {
	old, ok := sim.committed[e.Index]
	if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		sim.fail("state machine safety: %s applies another entry at %d", p.id, e.Index)
	}
	sim.committed[e.Index] = e
	if e.Index > sim.lastCommitted {
		sim.lastCommitted = e.Index
		if e.Kind == ChangeEntry {
			sim.members, _ = decodeMembership(e.Data)
		}
	}
}

// checkEntries checks the log matching property: it records each entry with the term of the
// entry before it, and expects the same for an entry of that index and term in other logs.
func (sim *simulation) checkEntries(p *process, entries []Entry) {
	for _, e := range entries {
		before, _ := p.node.log.term(e.Index - 1)
		value := fmt.Sprint(before, e.Kind, string(e.Data))
		key := [2]uint64{e.Index, e.Term}
		if old, ok := sim.entries[key]; ok && old != value {
			sim.fail("log matching: %s holds another entry at %v", p.id, key)
		}
		sim.entries[key] = value
	}
}

func (sim *simulation) checkLeader(p *process) {
	n := p.node
	if n.role != Leader {
		return
	}
	old, ok := sim.leaderDisks[n.term]
	if ok && old != p.disk.id {
		sim.fail("election safety: %s and %s lead term %d", old, p.disk.id, n.term)
	}
	if ok {
		return
	}
	sim.leaderDisks[n.term] = p.disk.id
	for i := n.log.compacted.Index + 1; i <= sim.lastCommitted; i++ {
		if e, ok := sim.committed[i]; ok && !n.log.hasEntry(i, e.Term) {
			sim.fail("leader completeness: %s leads term %d without committed entry %d", p.id, n.term, i)
			return
		}
	}
}

// deliver delivers one random message, so that messages are reordered.
func (sim *simulation) deliver() {
	if len(sim.network) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.network))
	m := sim.network[i]
	if !sim.percent(sim.duplicatePercent) {
		sim.network = slices.Delete(sim.network, i, i+1)
	}
	if sim.percent(sim.dropPercent) || sim.partition[m.From] != sim.partition[m.To] {
		return
	}
	sim.receive(m)
}

func (sim *simulation) receive(m Message) {
	for _, p := range sim.processes {
		if p.id == m.To && p.node != nil {
			sim.runGuarded(p, func() {
				if err := p.node.Step(m); err != nil {
					panic(err) // members must not send malformed messages
				}
			})
		}
	}
}

func (sim *simulation) runGuarded(p *process, f func()) {
	func() {
		defer func() {
			if r := recover(); r != nil {
				sim.fail("%v", r)
			}
		}()
		f()
	}()
	sim.handle(p)
}

func (sim *simulation) tick() {
	p := sim.processes[sim.rng.IntN(len(sim.processes))]
	if p.node != nil && sim.rng.IntN(4) < p.tickRate {
		sim.runGuarded(p, p.node.Tick)
	}
}

func (sim *simulation) propose(p *process) {
	if p.node != nil {
		_, _, _ = p.node.Propose(fmt.Appendf(nil, "value %d", sim.rng.IntN(1000)))
		sim.handle(p)
	}
}

func (sim *simulation) read(p *process) {
	if p.node == nil {
		return
	}
	sim.reads++
	p.reads[sim.reads] = sim.lastCommitted
	_ = p.node.Read(sim.reads)
	sim.handle(p)
}

// repair makes a leader propose changes that bring the membership in line with the members'
// current disks.
func (sim *simulation) repair(p *process) {
	if p.node == nil || p.node.role != Leader {
		return
	}
	for _, q := range sim.processes {
		m, ok := p.node.Membership().Find(q.id)
		switch {
		case !ok || m.Disk != q.disk.id:
			_, _, _ = p.node.ProposeChange(Change{AddLearner, Member{ID: q.id, Disk: q.disk.id}})
		case m.Learner:
			_, _, _ = p.node.ProposeChange(Change{Promote, m})
		}
	}
	sim.handle(p)
}

// loseDisk replaces a disk by an empty one. It does so only while every member is a voter
// with its current disk: one disk is lost at a time, and the next one may be lost as soon
// as the repair is committed.
func (sim *simulation) loseDisk(p *process) {
	for _, q := range sim.processes {
		if m, ok := sim.members.Find(q.id); !ok || m.Learner || m.Disk != q.disk.id {
			return
		}
	}
	sim.diskLosses++
	sim.crash(p)
	p.disk = sim.newDisk()
	sim.start(p)
}

func (sim *simulation) compact(p *process) {
	if p.node == nil || len(p.unsynced) > 0 {
		return
	}
	data, _ := json.Marshal(p.machine)
	meta, err := p.node.Compact(p.machine.Index, uint64(len(data)))
	if err != nil {
		return
	}
	s := &p.disk.stored
	s.Entries = slices.Clone(s.Entries[meta.Index-s.Snapshot.Index:])
	s.Snapshot, p.disk.data = meta, data
}

func (sim *simulation) step() {
	p := sim.processes[sim.rng.IntN(len(sim.processes))]
	chance := func(permille int) bool { return sim.rng.IntN(1000) < permille }
	switch {
	case chance(sim.crashPermille) && p.node != nil:
		sim.crash(p)
	case chance(4*sim.crashPermille) && p.node == nil:
		sim.start(p)
	case chance(sim.partitionPermille):
		for _, q := range sim.processes {
			sim.partition[q.id] = sim.rng.IntN(2)
		}
	case chance(2 * sim.partitionPermille):
		clear(sim.partition)
	case chance(sim.diskLossPermille):
		sim.loseDisk(p)
	case chance(sim.repairPermille):
		sim.repair(p)
	case chance(sim.compactPermille):
		sim.compact(p)
	case chance(sim.transferPermille) && p.node != nil:
		_ = p.node.Transfer(sim.processes[sim.rng.IntN(len(sim.processes))].id)
		sim.handle(p)
	case chance(60):
		sim.propose(p)
	case chance(40):
		sim.read(p)
	case chance(350):
		sim.tick()
	default:
		sim.deliver()
	}
}

// run takes random steps until the limit is reached or a property is violated.
func (sim *simulation) run(steps int) string {
	for range steps {
		if sim.violation != "" {
			return sim.violation
		}
		sim.step()
	}
	return sim.violation
}

// recovers ends all faults and continues until every member is a voter that has applied new
// entries. It returns false if this doesn't happen.
func (sim *simulation) recovers() bool {
	sim.faultFree = true
	clear(sim.partition)
	for _, p := range sim.processes {
		if p.node == nil {
			sim.start(p)
		}
	}
	goal := sim.lastCommitted + 2
	for range 2000 {
		sim.round()
		for _, p := range sim.processes {
			sim.repair(p)
			sim.propose(p)
		}
		if sim.violation != "" || sim.converged(goal) {
			return sim.violation == ""
		}
	}
	return false
}

// round ticks every running member once and delivers all messages in order.
func (sim *simulation) round() {
	for _, p := range sim.processes {
		if p.node != nil {
			sim.runGuarded(p, p.node.Tick)
		}
	}
	for len(sim.network) > 0 && sim.violation == "" {
		m := sim.network[0]
		sim.network = sim.network[1:]
		if sim.partition[m.From] == sim.partition[m.To] {
			sim.receive(m)
		}
	}
}

// leader returns the leader with the highest term, or nil.
func (sim *simulation) leader() *process {
	var best *process
	for _, p := range sim.processes {
		if p.node != nil && p.node.role == Leader && (best == nil || p.node.term > best.node.term) {
			best = p
		}
	}
	return best
}

func (sim *simulation) converged(goal uint64) bool {
	for _, p := range sim.processes {
		m, ok := sim.members.Find(p.id)
		if !ok || m.Learner || m.Disk != p.disk.id || p.machine.Index < goal {
			return false
		}
	}
	return true
}
