package reconfig

import "fmt"

// target selects the instance that an event hits, by its part at that moment.
type target uint8

const (
	theLeader target = iota
	oldestFollower
	newestFollower
)

// event is one loss or return. Its durations are in ticks.
type event struct {
	name   string
	target target
	begin  func(w *world, i int)
}

func (e event) String() string {
	return fmt.Sprintf("%s of the %s", e.name, [...]string{"leader", "oldest follower", "newest follower"}[e.target])
}

// start begins an event, and reports whether there is an instance that it can hit.
func (w *world) start(e event) bool {
	i := w.find(e.target)
	if i == noInstance {
		return false
	}
	w.lastEvent = w.tick
	w.record("%s: %s", e, instanceNames[i])
	e.begin(w, i)
	return true
}

// find returns the running instance that an event hits.
func (w *world) find(t target) int {
	found := noInstance
	for i := range w.instances {
		if w.instances[i].condition != up || w.instances[i].leaving || (i == w.leader) != (t == theLeader) {
			continue
		}
		found = i
		if t == oldestFollower {
			break
		}
	}
	return found
}

// lose takes an instance out of operation until it returns or is replaced.
func (w *world) lose(i int, c condition) {
	a := &w.instances[i]
	a.catchingUp = w.countsAsLost(i)
	a.condition, a.since, a.lostSince, a.lostUntil = c, w.tick, w.tick, never
	w.countLostDisks()
}

// resume lets an instance run again with its disk. One that was catching up, or that
// replaces an instance which still counts as lost, has the whole time for it from now on.
func (w *world) resume(i int) {
	a := &w.instances[i]
	if a.condition == cut {
		a.connectedFrom = w.tick + connectTicks
	}
	a.condition, a.since, a.lostUntil, a.rejoinBy = up, w.tick, w.tick, w.tick+rejoinTicks
	if !w.isVoter(i) && w.hasSilentVoter() {
		a.returningUntil = w.tick + returnTicks
	}
	if a.catchingUp {
		a.lostUntil = w.tick + catchupTicks
	}
	for o := range w.instances {
		if p := &w.instances[o]; p.successor == i && p.condition == gone && p.lostUntil > a.lostSince {
			p.lostUntil = w.tick + catchupTicks
		}
	}
	w.lastReturn = w.tick
	w.record("%s is back", instanceNames[i])
}

func (w *world) hasSilentVoter() bool {
	voters, answering := w.countVoters(w.answers)
	return answering < voters
}

// startSuccessor starts an empty instance at a new address.
func (w *world) startSuccessor(i int) {
	w.instances = append(w.instances, startInstance(w.tick, w.newDisk()))
	if a := &w.instances[i]; a.condition == gone {
		a.lostUntil, a.successor = w.tick+catchupTicks, len(w.instances)-1
	}
	w.lastReturn = w.tick
	w.record("%s starts in place of %s", instanceNames[len(w.instances)-1], instanceNames[i])
}

func (w *world) newDisk() int {
	w.disks++
	return w.disks - 1
}

func pauseFor(c condition, name string, ticks uint64) func(target) event {
	return func(t target) event {
		return event{fmt.Sprintf("%s for %d", name, ticks), t, func(w *world, i int) {
			w.lose(i, c)
			w.later(ticks, func(w *world) { w.resume(i) })
		}}
	}
}

func freeze(ticks uint64) func(target) event { return pauseFor(frozen, "freeze", ticks) }

func cutOff(ticks uint64) func(target) event { return pauseFor(cut, "cut", ticks) }

// replace loses an instance for good and starts its successor later.
func replace(ticks uint64) func(target) event {
	return func(t target) event {
		return event{fmt.Sprintf("replacement after %d", ticks), t, func(w *world, i int) {
			w.lose(i, gone)
			w.later(ticks, func(w *world) { w.startSuccessor(i) })
		}}
	}
}

// replaceAhead starts the successor before the old instance goes.
func replaceAhead(ticks uint64) func(target) event {
	return func(t target) event {
		return event{fmt.Sprintf("planned replacement %d ahead", ticks), t, func(w *world, i int) {
			w.instances[i].leaving = true
			w.startSuccessor(i)
			w.later(ticks, func(w *world) {
				w.lose(i, gone)
				w.instances[i].lostUntil = w.tick + catchupTicks
			})
		}}
	}
}

// replaceAndReturn starts a successor at once, and the old instance returns with its disk.
func replaceAndReturn(ticks uint64) func(target) event {
	return func(t target) event {
		return event{fmt.Sprintf("replacement and return after %d", ticks), t, func(w *world, i int) {
			w.lose(i, gone)
			w.later(decisionTicks, func(w *world) { w.startSuccessor(i) })
			w.later(ticks, func(w *world) { w.resume(i) })
		}}
	}
}

// wipe loses a disk. The instance returns empty at its address later.
func wipe(ticks uint64) func(target) event {
	return func(t target) event {
		return event{fmt.Sprintf("disk loss for %d", ticks), t, func(w *world, i int) {
			w.lose(i, gone)
			w.later(ticks, func(w *world) {
				w.instances[i] = startInstance(w.tick, w.newDisk())
				w.instances[i].lostUntil = w.tick + catchupTicks
				w.lastReturn = w.tick
				w.record("%s is back with an empty disk", instanceNames[i])
			})
		}}
	}
}

// transfer makes a follower the leader while no instance is lost by it.
func transfer(t target) event {
	return event{"leadership transfer", t, func(w *world, i int) {
		if w.leading && w.canLead(i) {
			w.lead(i)
		}
	}}
}
