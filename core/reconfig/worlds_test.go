package reconfig

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// setting is a kind of world.
type setting struct{ size, losses int }

var settings = []setting{{3, 1}, {4, 1}, {5, 2}, {6, 2}}

// play is one order of events and their moments: gaps[n] ticks pass before event n.
type play struct {
	setting
	events      []event
	gaps        []uint64
	electNewest bool
}

func (p play) String() string {
	var parts []string
	for n, e := range p.events {
		parts = append(parts, fmt.Sprintf("+%d %s", p.gaps[n], e))
	}
	return fmt.Sprintf("%d instances, %d losses, newest elected %v: %s", p.size, p.losses, p.electNewest, strings.Join(parts, ", "))
}

func (p play) run(r rules, keepLog bool) *world {
	w := newWorld(r, p.size, p.losses, p.electNewest)
	w.keepLog = keepLog
	for n, e := range p.events {
		for until := w.tick + p.gaps[n]; w.tick < until; {
			w.step()
		}
		if !w.start(e) {
			w.skipped = true
			return w
		}
	}
	w.finish()
	return w
}

// every calls f with all lists of n choices out of size.
func every(n, size int, f func([]int)) {
	list := make([]int, n)
	for {
		f(list)
		at := 0
		for ; at < n; at++ {
			if list[at]++; list[at] < size {
				break
			}
			list[at] = 0
		}
		if at == n {
			return
		}
	}
}

func withTargets(kinds []func(target) event, targets ...target) []event {
	var out []event
	for _, k := range kinds {
		for _, t := range targets {
			out = append(out, k(t))
		}
	}
	return out
}

// pairs calls f with all orders of two events, and triples with all orders of three events
// of a smaller choice, until f returns false.
func pairs(s setting, f func(play) bool) {
	events := withTargets([]func(target) event{
		replace(4), replace(40), replaceAhead(8), replaceAhead(40), wipe(4), wipe(40), freeze(12), freeze(48), freeze(120),
		cutOff(48), cutOff(120), replaceAndReturn(24), replaceAndReturn(200),
	}, theLeader, oldestFollower, newestFollower)
	events = append(events, transfer(oldestFollower), transfer(newestFollower))
	playAll(s, 2, events, []uint64{0, 8, 20, 36, 60, 84, 124, 200}, f)
}

func triples(s setting, f func(play) bool) {
	events := withTargets([]func(target) event{replace(4), replaceAhead(8), wipe(4), freeze(20), freeze(60), cutOff(40)}, theLeader, oldestFollower)
	events = append(events, transfer(oldestFollower))
	playAll(s, 3, events, []uint64{4, 24, 84}, f)
}

func playAll(s setting, n int, events []event, gaps []uint64, f func(play) bool) {
	done := false
	every(n, len(events), func(chosen []int) {
		every(n-1, len(gaps), func(moments []int) {
			if done {
				return
			}
			p := play{setting: s, gaps: []uint64{0}, electNewest: (chosen[0]+moments[0])%2 == 1}
			for _, c := range chosen {
				p.events = append(p.events, events[c])
			}
			for _, m := range moments {
				p.gaps = append(p.gaps, gaps[m])
			}
			done = !f(p)
		})
	})
}

// Guards against a decision that breaks the promise, or that never comes to rest, after two
// or three losses in any order.
func TestWorldsKeepPromise(t *testing.T) {
	for _, s := range settings {
		t.Run(fmt.Sprintf("two events, %d instances", s.size), func(t *testing.T) { keepPromise(t, s, pairs) })
		t.Run(fmt.Sprintf("three events, %d instances", s.size), func(t *testing.T) { keepPromise(t, s, triples) })
	}
}

// keepPromise plays all worlds of a kind up to the first one that breaks a rule.
func keepPromise(t *testing.T, s setting, all func(setting, func(play) bool)) {
	t.Parallel()
	plays, changes, checked := 0, 0, 0
	all(s, func(p play) bool {
		w := p.run(rules{next: Next}, false)
		if w.skipped {
			return true
		}
		plays++
		checked += w.checked
		changes += w.changes
		if w.violation != "" {
			w = p.run(rules{next: Next}, true)
			t.Errorf("%s\n%s", p, strings.Join(w.log, "\n"))
		}
		return w.violation == ""
	})
	t.Logf("%d plays, %d changes, %d moments at which the promise was checked", plays, changes, checked)
	assert.Assert(t, changes > plays)
}
