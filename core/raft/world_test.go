package raft

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// disk is what survives a crash.
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

// machine is a state machine whose state is a hash chain over its entries.
type machine struct{ Index, Sum uint64 }

func (m *machine) apply(e Entry) {
	h := fnv.New64a()
	fmt.Fprint(h, m.Sum, e.Index, e.Term, e.Kind, string(e.Data))
	m.Index, m.Sum = e.Index, h.Sum64()
}

// process is a member that may be down.
type process struct {
	id   MemberID
	disk *disk
	node *Node
	machine
	// rate is how often its clock ticks compared with the others.
	rate  int
	reads map[uint64]uint64
	// late holds writes that the skipSync variant has not done yet.
	late []Ready
}

// options of a world. The broken variants differ in faults or skipSync.
type options struct {
	voters, learners int
	faults           faults
	// skipSync sends and acknowledges before the write.
	skipSync bool
	// Percentages, or in tenths of a percent where named so.
	drop, repeat        int
	crash10, cut10      int
	loss10, repair10    int
	compact10, change10 int
}

func stormy() options {
	return options{voters: 3, drop: 5, repeat: 5, crash10: 8, cut10: 8, loss10: 10, repair10: 40, compact10: 10, change10: 5}
}

// world is a set of members, their disks and the network between them, driven
// by one seed. It checks every property at every step.
type world struct {
	options
	rng       *rand.Rand
	procs     []*process
	net       []Message
	side      map[MemberID]int
	entries   map[[2]uint64]string
	committed map[uint64]Entry
	sums      map[uint64]uint64
	top       uint64
	leaders   map[uint64]DiskID
	members   Membership
	disks     int
	reads     uint64
	answered  int
	losses    int
	installs  int
	quiet     bool
	violation string
}

func newWorld(seed uint64, o options) *world {
	w := &world{options: o, rng: rand.New(rand.NewPCG(seed, 1)), side: map[MemberID]int{},
		entries: map[[2]uint64]string{}, committed: map[uint64]Entry{}, sums: map[uint64]uint64{},
		leaders: map[uint64]DiskID{}}
	for i := range o.voters + o.learners {
		p := &process{id: MemberID(rune('A' + i)), rate: 1 + w.rng.IntN(4), disk: w.newDisk()}
		w.procs = append(w.procs, p)
		w.members = w.members.with(Member{ID: p.id, Disk: p.disk.id, Learner: i >= o.voters})
	}
	first := Entry{Index: 1, Term: 1, Kind: ChangeEntry, Data: w.members.encode()}
	for _, p := range w.procs {
		p.disk.stored = PersistentState{Hard: HardState{Term: 1, Commit: 1}, Entries: []Entry{first}}
		w.start(p)
	}
	return w
}

func (w *world) newDisk() *disk {
	w.disks++
	return &disk{id: DiskID(fmt.Sprint("disk-", w.disks))}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (w *world) percent(n int) bool { return !w.quiet && w.rng.IntN(100) < n }

func (w *world) start(p *process) {
	s := p.disk.stored
	s.Entries = slices.Clone(s.Entries)
	cfg := Config{Self: p.id, Disk: p.disk.id, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 2)),
		MaxMessageBytes: 100, MaxInFlight: 3, faults: w.faults}
	node, err := New(cfg, s)
	if err != nil {
		panic(err)
	}
	p.node, p.machine, p.reads = node, machine{}, map[uint64]uint64{}
	w.restore(p, p.disk.data)
	w.handle(p)
}

func (w *world) restore(p *process, data []byte) {
	if len(data) == 0 {
		return
	}
	if err := json.Unmarshal(data, &p.machine); err != nil {
		w.fail("snapshot of %s cannot be read: %v", p.id, err)
		return
	}
	if w.sums[p.machine.Index] != p.machine.Sum {
		w.fail("state machine safety: snapshot of %s at %d differs", p.id, p.machine.Index)
	}
}

func (w *world) crash(p *process) { p.node, p.late = nil, nil }

// handle carries out what a member wants, with a crash possible at each point.
func (w *world) handle(p *process) {
	defer func() {
		if r := recover(); r != nil {
			w.fail("%v", r)
		}
	}()
	for p.node != nil && w.violation == "" {
		r := p.node.Ready()
		w.checkLeader(p)
		if r.Empty() {
			return
		}
		w.checkEntries(p, r.Entries)
		if w.crashes(p) {
			return
		}
		w.save(p, r)
		if n := len(r.Entries); n > 0 {
			p.node.Synced(r.Entries[n-1].Index, r.Entries[n-1].Term)
		}
		if w.crashes(p) {
			return
		}
		w.send(p, r.Messages)
		w.apply(p, r)
	}
}

func (w *world) crashes(p *process) bool {
	if w.quiet || w.rng.IntN(10000) >= w.crash10 {
		return false
	}
	w.crash(p)
	return true
}

func (w *world) save(p *process, r Ready) {
	if !w.skipSync {
		p.disk.save(r)
		return
	}
	p.late = append(p.late, r)
	if w.quiet || w.rng.IntN(20) == 0 {
		for _, old := range p.late {
			p.disk.save(old)
		}
		p.late = nil
	}
}

func (w *world) send(p *process, messages []Message) {
	for _, m := range messages {
		size := 0
		for _, e := range m.Entries {
			size += e.size()
		}
		if size > p.node.cfg.MaxMessageBytes && len(m.Entries) > 1 {
			w.fail("bounded messages: %d bytes in %d entries", size, len(m.Entries))
		}
		if m.Kind == SnapshotChunk {
			if m.Snapshot.Index != p.disk.stored.Snapshot.Index {
				continue
			}
			end := min(m.Offset+10, m.Snapshot.Size)
			m.Data = p.disk.data[m.Offset:end]
		}
		w.net = append(w.net, m)
	}
}

func (w *world) apply(p *process, r Ready) {
	if r.Install != nil {
		w.installs++
		w.restore(p, r.Install.Data)
	}
	for _, e := range r.Apply {
		w.commit(p, e)
		p.machine.apply(e)
		if sum, ok := w.sums[e.Index]; ok && sum != p.machine.Sum {
			w.fail("state machine safety: %s differs at %d", p.id, e.Index)
		}
		w.sums[e.Index] = p.machine.Sum
	}
	for _, s := range r.Reads {
		w.answered++
		if s.Index < p.reads[s.ID] || p.machine.Index < s.Index {
			w.fail("linearizable reads: %s reads at %d, applied %d, acknowledged before %d", p.id, s.Index, p.machine.Index, p.reads[s.ID])
		}
	}
}

func (w *world) commit(p *process, e Entry) {
	old, ok := w.committed[e.Index]
	if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		w.fail("state machine safety: %s applies another entry at %d", p.id, e.Index)
	}
	w.committed[e.Index] = e
	if e.Index > w.top {
		w.top = e.Index
		if e.Kind == ChangeEntry {
			w.members, _ = decodeMembership(e.Data)
		}
	}
}

// checkEntries records each entry with the term before it, so that two logs
// with the same entry have the same past.
func (w *world) checkEntries(p *process, entries []Entry) {
	for _, e := range entries {
		before, _ := p.node.log.term(e.Index - 1)
		value := fmt.Sprint(before, e.Kind, string(e.Data))
		key := [2]uint64{e.Index, e.Term}
		if old, ok := w.entries[key]; ok && old != value {
			w.fail("log matching: %s holds another entry at %v", p.id, key)
		}
		w.entries[key] = value
	}
}

func (w *world) checkLeader(p *process) {
	n := p.node
	if n.role != Leader {
		return
	}
	old, ok := w.leaders[n.term]
	if ok && old != p.disk.id {
		w.fail("election safety: %s and %s lead term %d", old, p.disk.id, n.term)
	}
	if ok {
		return
	}
	w.leaders[n.term] = p.disk.id
	for i := n.log.base.Index + 1; i <= w.top; i++ {
		if e, ok := w.committed[i]; ok && !n.log.matches(i, e.Term) {
			w.fail("leader completeness: %s leads term %d without committed entry %d", p.id, n.term, i)
			return
		}
	}
}

// deliver hands one random message over, so that messages overtake each other.
func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := w.rng.IntN(len(w.net))
	m := w.net[i]
	if !w.percent(w.repeat) {
		w.net = slices.Delete(w.net, i, i+1)
	}
	if w.percent(w.drop) || w.side[m.From] != w.side[m.To] {
		return
	}
	w.hand(m)
}

func (w *world) hand(m Message) {
	for _, p := range w.procs {
		if p.id == m.To && p.node != nil {
			w.guarded(p, func() {
				if err := p.node.Step(m); err != nil {
					panic(err) // members send no malformed messages
				}
			})
		}
	}
}

func (w *world) guarded(p *process, f func()) {
	func() {
		defer func() {
			if r := recover(); r != nil {
				w.fail("%v", r)
			}
		}()
		f()
	}()
	w.handle(p)
}

func (w *world) tick() {
	p := w.procs[w.rng.IntN(len(w.procs))]
	if p.node != nil && w.rng.IntN(4) < p.rate {
		w.guarded(p, p.node.Tick)
	}
}

func (w *world) propose(p *process) {
	if p.node != nil {
		_, _, _ = p.node.Propose(fmt.Appendf(nil, "value %d", w.rng.IntN(1000)))
		w.handle(p)
	}
}

func (w *world) read(p *process) {
	if p.node == nil {
		return
	}
	w.reads++
	p.reads[w.reads] = w.top
	_ = p.node.Read(w.reads)
	w.handle(p)
}

// repair makes a leader bring the members in line with the disks in use.
func (w *world) repair(p *process) {
	if p.node == nil || p.node.role != Leader {
		return
	}
	for _, q := range w.procs {
		m, ok := p.node.Membership().Find(q.id)
		switch {
		case !ok || m.Disk != q.disk.id:
			_, _, _ = p.node.ProposeChange(Change{AddLearner, Member{ID: q.id, Disk: q.disk.id}})
		case m.Learner:
			_, _, _ = p.node.ProposeChange(Change{Promote, m})
		}
	}
	w.handle(p)
}

// lose replaces a disk by an empty one. It only happens while every member is
// a voter under its present disk: one loss at a time, the next one as soon as
// the repair is committed.
func (w *world) lose(p *process) {
	for _, q := range w.procs {
		if m, ok := w.members.Find(q.id); !ok || m.Learner || m.Disk != q.disk.id {
			return
		}
	}
	w.losses++
	w.crash(p)
	p.disk = w.newDisk()
	w.start(p)
}

func (w *world) compact(p *process) {
	if p.node == nil || len(p.late) > 0 {
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

func (w *world) step() {
	p := w.procs[w.rng.IntN(len(w.procs))]
	chance := func(n10 int) bool { return w.rng.IntN(1000) < n10 }
	switch {
	case chance(w.crash10) && p.node != nil:
		w.crash(p)
	case chance(4*w.crash10) && p.node == nil:
		w.start(p)
	case chance(w.cut10):
		for _, q := range w.procs {
			w.side[q.id] = w.rng.IntN(2)
		}
	case chance(2 * w.cut10):
		clear(w.side)
	case chance(w.loss10):
		w.lose(p)
	case chance(w.repair10):
		w.repair(p)
	case chance(w.compact10):
		w.compact(p)
	case chance(w.change10) && p.node != nil:
		_ = p.node.Transfer(w.procs[w.rng.IntN(len(w.procs))].id)
		w.handle(p)
	case chance(60):
		w.propose(p)
	case chance(40):
		w.read(p)
	case chance(350):
		w.tick()
	default:
		w.deliver()
	}
}

// run takes random steps until one violates a property.
func (w *world) run(steps int) string {
	for range steps {
		if w.violation != "" {
			return w.violation
		}
		w.step()
	}
	return w.violation
}

// calm ends all faults and goes on until every member is a voter that has
// applied a new entry.
func (w *world) calm() bool {
	w.quiet = true
	clear(w.side)
	for _, p := range w.procs {
		if p.node == nil {
			w.start(p)
		}
	}
	goal := w.top + 2
	for range 2000 {
		w.round()
		for _, p := range w.procs {
			w.repair(p)
			w.propose(p)
		}
		if w.violation != "" || w.settled(goal) {
			return w.violation == ""
		}
	}
	return false
}

// round ticks every running member once and delivers every message in order.
func (w *world) round() {
	for _, p := range w.procs {
		if p.node != nil {
			w.guarded(p, p.node.Tick)
		}
	}
	for len(w.net) > 0 && w.violation == "" {
		m := w.net[0]
		w.net = w.net[1:]
		if w.side[m.From] == w.side[m.To] {
			w.hand(m)
		}
	}
}

// leader returns the leader of the newest term.
func (w *world) leader() *process {
	var best *process
	for _, p := range w.procs {
		if p.node != nil && p.node.role == Leader && (best == nil || p.node.term > best.node.term) {
			best = p
		}
	}
	return best
}

func (w *world) settled(goal uint64) bool {
	for _, p := range w.procs {
		m, ok := w.members.Find(p.id)
		if !ok || m.Learner || m.Disk != p.disk.id || p.machine.Index < goal {
			return false
		}
	}
	return true
}
