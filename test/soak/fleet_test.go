package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var fleetTime = flag.Duration("soak.fleettime", 12*time.Second, "how long faults are injected into a fleet of control instances")

const (
	minFleetSize = 3
	maxFleetSize = 10
	// longCatchup is the catchup setting of every fourth fleet.
	longCatchup = 6 * time.Second
	// maxOverlap is the longest time for which an old instance and its successor both run.
	maxOverlap = 7 * time.Second
	// maxDownTime is the longest time for which an instance that keeps its disk is down or paused. Voters
	// are removed after shorter silences.
	maxDownTime = 4 * time.Second
	// fleetReaders is the number of clients that read the configuration.
	fleetReaders = 3
)

// randomFleet injects random faults into a fleet. Disks are lost only while no more instances than
// tolerated count as lost.
type randomFleet struct {
	*controlFleet
	size   int
	start  time.Time
	faults sync.WaitGroup

	stateMu sync.Mutex
	// busy are the instances that a fault acts on.
	busy map[*process]bool
	// down is the number of instances that count as lost and have not come back.
	down int
	// catchingUp are the times at which those that have come back no longer count as lost.
	catchingUp []time.Time
	// diskFaults is the number of instances that were replaced or lost their disk.
	diskFaults int
	// faultsEnd is when the last instance came back or was replaced.
	faultsEnd time.Time
}

func newRandomFleet(t *testing.T, seed uint64) *randomFleet {
	rng := rand.New(rand.NewPCG(seed, seed))
	size := minFleetSize + rng.IntN(maxFleetSize-minFleetSize+1)
	control := controlSettings{losses: 1}
	if size >= 5 && rng.IntN(2) == 0 { // two losses need five voters
		control.losses = 2
	}
	if rng.IntN(4) == 0 {
		control.catchup = longCatchup
	}
	f := &randomFleet{controlFleet: newControlFleet(t, seed, size, control), size: size, start: time.Now(), faultsEnd: time.Now(), busy: map[*process]bool{}}
	f.note("%d instances, %s", size, control.yaml())
	return f
}

// note logs an event with its time of day, as the processes' logs have it.
func (f *randomFleet) note(format string, args ...any) {
	f.t.Logf("%s (%.1f s) %s", time.Now().UTC().Format("15:04:05.000"), time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// lost returns the number of instances that count as lost. The caller holds stateMu.
func (f *randomFleet) lost() int {
	now := time.Now()
	f.catchingUp = slices.DeleteFunc(f.catchingUp, func(until time.Time) bool { return !now.Before(until) })
	return f.down + len(f.catchingUp)
}

// reserveLosses waits until n more instances may be lost, and counts them as lost.
func (f *randomFleet) reserveLosses(n int) {
	for !f.tryReserve(n) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *randomFleet) tryReserve(n int) bool {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	if f.lost()+n > f.control.tolerated() {
		return false
	}
	f.down += n
	f.diskFaults += n
	return true
}

// countDown counts an instance as lost that keeps its disk. Any number of them may be down.
func (f *randomFleet) countDown() {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	f.down++
}

// countBack records that a lost instance is back, or that its successor has started.
func (f *randomFleet) countBack() {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	now := time.Now()
	f.down--
	f.catchingUp = append(f.catchingUp, now.Add(f.control.catchupTime()))
	f.faultsEnd = now
}

// take returns an instance that no fault acts on, and marks it busy: the leader if it is wanted and
// free. It returns nil if half of the fleet is busy.
func (f *randomFleet) take(rng *rand.Rand) *process {
	wanted, list := f.lastLeader(), f.instances()
	wantsLeader, chosen := rng.IntN(2) == 0, rng.IntN(len(list))
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	if 2*len(f.busy) >= f.size {
		return nil
	}
	if !wantsLeader || wanted == nil {
		wanted = list[chosen]
	}
	if f.busy[wanted] {
		return nil
	}
	f.busy[wanted] = true
	return wanted
}

func (f *randomFleet) release(p *process) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	delete(f.busy, p)
}

// inBackground runs a fault that acts on a process it has taken.
func (f *randomFleet) inBackground(p *process, fault func(p *process)) {
	f.faults.Add(1)
	go func() {
		defer f.faults.Done()
		defer f.release(p)
		fault(p)
	}()
}

// injectDiskFault starts a fault that costs a disk.
func (f *randomFleet) injectDiskFault(rng *rand.Rand) {
	kind, gap, overlap := rng.IntN(3), randomTime(rng, 300*time.Millisecond, 2*time.Second), randomTime(rng, 500*time.Millisecond, maxOverlap)
	p := f.take(rng)
	if p == nil {
		return
	}
	if kind == 2 {
		f.inBackground(p, func(p *process) { f.replacePlanned(p, overlap) })
		return
	}
	f.reserveLosses(1)
	if kind == 0 {
		f.inBackground(p, func(p *process) { f.replaceLost(p, gap) })
	} else {
		f.inBackground(p, func(p *process) { f.loseDisk(p, gap) })
	}
}

func (f *randomFleet) replaceLost(p *process, gap time.Duration) {
	f.note("%s is removed, its successor starts in %v", p.host, gap)
	f.remove(p)
	time.Sleep(gap)
	f.note("%s starts in place of %s", f.add().host, p.host)
	f.countBack()
}

func (f *randomFleet) loseDisk(p *process, gap time.Duration) {
	f.note("%s loses its disk", p.host)
	f.kill(p)
	f.deleteFiles(p)
	time.Sleep(gap)
	f.note("%s starts without its disk", p.host)
	f.restart(p)
	f.countBack()
}

// replacePlanned starts the successor first. The old instance counts as lost from its stop on, for the
// time that its successor would have.
func (f *randomFleet) replacePlanned(p *process, overlap time.Duration) {
	f.note("%s starts, to replace %s in %v", f.add().host, p.host, overlap)
	time.Sleep(overlap)
	f.reserveLosses(1)
	f.note("%s is stopped for good", p.host)
	f.retire(p)
	p.terminate()
	f.note("%s has ended", p.host)
	f.countBack()
}

// injectDelay starts a fault that costs no disk.
func (f *randomFleet) injectDelay(rng *rand.Rand) {
	kind, d := rng.IntN(3), randomTime(rng, 200*time.Millisecond, maxDownTime)
	p := f.take(rng)
	if p == nil {
		return
	}
	f.faultCount++
	f.countDown()
	f.inBackground(p, func(p *process) {
		defer f.countBack()
		switch kind {
		case 0:
			f.note("%s is paused for %v", p.host, d)
			f.pause(p, func() { time.Sleep(d) })
		case 1:
			f.note("%s is killed, and starts again in %v", p.host, d)
			f.kill(p)
			time.Sleep(d)
			f.restart(p)
		case 2:
			f.note("%s is stopped and started", p.host)
			p.terminate()
			f.restart(p)
		}
		f.note("%s is back", p.host)
	})
}

func randomTime(rng *rand.Rand, low, high time.Duration) time.Duration {
	return (low + time.Duration(rng.Int64N(int64(high-low)))).Round(10 * time.Millisecond)
}

// injectFaults injects rounds of one lost disk and up to two shorter faults until the time is over.
func (f *randomFleet) injectFaults(rng *rand.Rand) {
	for time.Since(f.start) < *fleetTime {
		f.injectDiskFault(rng)
		for range rng.IntN(3) {
			time.Sleep(randomTime(rng, 0, 2*time.Second))
			f.injectDelay(rng)
		}
		time.Sleep(randomTime(rng, 0, time.Second))
	}
	f.faults.Wait()
}

// closing loses as many disks at once as may be lost, alone or together with the power of all others.
func (f *randomFleet) closing(rng *rand.Rand) {
	f.reserveLosses(f.control.tolerated())
	f.acknowledge()
	list := append([]*process{f.leader()}, f.followers()...)
	lost := list[:f.control.tolerated()]
	if len(list) > len(lost) && rng.IntN(2) == 0 {
		lost = list[len(list)-len(lost):]
	}
	power := rng.IntN(2) == 0
	for _, p := range lost {
		f.note("%s loses its disk at the end; power of all others lost: %v", p.host, power)
	}
	if power {
		f.losePower(lost...)
	} else {
		f.loseDisks(lost...)
	}
	f.note("all are back")
}

// startOperators changes the configuration through every instance and reads it until the test ends.
func (f *randomFleet) startOperators() {
	operate := func(stream uint64, call func(*http.Client, string) bool) {
		rng, client := rand.New(rand.NewPCG(f.seed, stream)), &http.Client{Timeout: time.Second}
		for f.running() {
			list := f.instances()
			call(client, list[rng.IntN(len(list))].addr(operatorPort))
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
	}
	go operate(1, f.replaceConfiguration)
	for i := range uint64(fleetReaders) {
		go operate(2+i, f.checkedRead)
	}
}

// Guards against a control group without a quorum, and against a lost or older configuration, after
// faults that overlap while members are replaced.
func TestControlFleets(t *testing.T) {
	t.Parallel()
	for i := range *seedCount {
		seed := *firstSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newRandomFleet(t, seed)
			f.startOperators()
			rng := rand.New(rand.NewPCG(seed, 0))
			f.injectFaults(rng)
			f.checkReadBack(f.faultsEnd.Add(readBackTime))
			f.closing(rng)
			f.checkReadBack(time.Now().Add(readBackTime))
			f.acknowledge()
			f.checkViolations()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.note("%d disks lost, %d shorter faults; version %d of %d acknowledged", f.diskFaults, f.faultCount, f.ackedVersion, f.sentVersion)
			assert.Assert(t, f.diskFaults > 1, "too few faults to show anything")
		})
	}
}
