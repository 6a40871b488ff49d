package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var replacedFilter = flag.String("soak.replaced", "", "prefix of the names of the cases of replaced control instances to run, or all; the short list by default")

const (
	// defaultCatchup is the time after which a control instance that has started, or that comes back, no
	// longer counts as lost.
	defaultCatchup = 4 * time.Second
	// diskLossTime is how long an instance that loses its disk is down.
	diskLossTime = 1100 * time.Millisecond
	// replacementGap is the time from the end of an instance to the start of its successor.
	replacementGap = time.Second
	// readBackTime is the time within which the last acknowledged configuration is read back.
	readBackTime = 12 * time.Second
	// slowSync is a time for a sync of the disk after which a group may elect another leader.
	slowSync = 300 * time.Millisecond
	// syncInterval is the time between two syncs that measure the disk.
	syncInterval = 50 * time.Millisecond
)

// controlFleet is a system of control instances only.
type controlFleet struct {
	*testSystem
	client  *http.Client
	control controlSettings
	// backAt is when an instance last started or came back. listMu guards it.
	backAt time.Time
	// writeMu makes writers take turns: a version that arrives after a later one is refused.
	writeMu sync.Mutex
}

func newControlFleet(t *testing.T, seed uint64, size int, control controlSettings) *controlFleet {
	f := &controlFleet{testSystem: newTestSystemWith(t, seed, control, size, 0, 0), client: &http.Client{Timeout: time.Second}, control: control}
	f.measureDisk()
	f.waitUntilReady()
	f.eventually("every instance is a voter", readBackTime, func() bool { return f.changes(promoted, "") >= 2*(size-1) })
	return f
}

// measureDisk syncs a file at intervals until the test ends. If it fails, the slow syncs are logged: a
// stall of the machine's disk stops all instances at once, which no setting of theirs covers.
func (f *controlFleet) measureDisk() {
	file, err := os.Create(filepath.Join(memoryFolder(f.t), "sync"))
	assert.NilError(f.t, err)
	ended, slow := make(chan struct{}), []string{}
	go func() {
		defer close(ended)
		defer file.Close()
		for f.running() {
			start := time.Now()
			if _, err := file.WriteString("x"); err != nil || file.Sync() != nil {
				return // the folder is removed after the test
			}
			if d := time.Since(start); d > slowSync {
				slow = append(slow, fmt.Sprintf("%s for %v", start.UTC().Format("15:04:05.000"), d.Round(time.Millisecond)))
			}
			time.Sleep(syncInterval)
		}
	}()
	f.t.Cleanup(func() {
		f.stop()
		<-ended
		if f.t.Failed() {
			f.t.Logf("slow syncs of the machine's disk: %q", slow)
		}
	})
}

// logRecords calls use for each complete line of the processes' logs with the given message.
func (f *controlFleet) logRecords(p *process, message string, use func(record map[string]any)) {
	b, err := os.ReadFile(filepath.Join(p.folder, "log.jsonl"))
	assert.NilError(f.t, err)
	for line := range strings.Lines(string(b)) {
		record := map[string]any{}
		if json.Unmarshal([]byte(line), &record) == nil && record["msg"] == message {
			use(record)
		}
	}
}

// Kinds of membership changes as logged.
const (
	promoted = "promote"
	removed  = "remove"
)

// changes returns the number of membership changes of a kind that the leaders have proposed, for one
// member or, if it is empty, for all.
func (f *controlFleet) changes(kind, member string) int {
	n := 0
	for _, p := range f.instances() {
		f.logRecords(p, "membership change proposed", func(r map[string]any) {
			if r["kind"] == kind && (member == "" || member == r["member"]) {
				n++
			}
		})
	}
	return n
}

// lastLeader returns the instance that led the group of the configuration last, nil if it is not known
// or has been removed.
func (f *controlFleet) lastLeader() *process {
	var leader *process
	highest, list := -1.0, f.instances()
	for _, p := range list {
		f.logRecords(p, "leader changed", func(r map[string]any) {
			term := r["term"].(float64)
			if r["group"] != float64(0) || term < highest {
				return
			}
			highest, leader = term, nil
			for _, q := range list {
				if r["leader"] == q.addr(peerPort) {
					leader = q
				}
			}
		})
	}
	return leader
}

// leader returns the running instance that leads the group of the configuration.
func (f *controlFleet) leader() *process {
	f.t.Helper()
	var leader *process
	f.eventually("a leader", readBackTime, func() bool {
		leader = f.lastLeader()
		return leader != nil
	})
	return leader
}

// followers returns the instances that do not lead the group of the configuration, the oldest first.
func (f *controlFleet) followers() []*process {
	f.t.Helper()
	leader := f.leader()
	return slices.DeleteFunc(f.instances(), func(p *process) bool { return p == leader })
}

// newest returns the n instances that were added last.
func (f *controlFleet) newest(n int) []*process {
	list := f.instances()
	return list[len(list)-n:]
}

// add starts an instance with an empty disk at a new address.
func (f *controlFleet) add() *process {
	f.t.Helper()
	n := lastHost.Add(1)
	p := &process{t: f.t, role: "registry", host: fmt.Sprintf("127.%d.%d.%d", network(), 50+n/250, 1+n%250), folder: memoryFolder(f.t), control: f.control}
	p.writeSettings("z0", f.seeds(), false)
	p.start()
	f.listMu.Lock()
	defer f.listMu.Unlock()
	f.registries = append(f.registries, p)
	f.backAt = time.Now()
	return p
}

// retire takes an instance off the list before it ends for good.
func (f *controlFleet) retire(p *process) {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	f.registries = slices.DeleteFunc(f.registries, func(q *process) bool { return q == p })
	f.retired = append(f.retired, p)
}

// remove ends instances for good, all at once.
func (f *controlFleet) remove(list ...*process) {
	for _, p := range list {
		f.retire(p)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range list {
		<-p.done
	}
}

// replace removes instances and starts as many empty ones at other addresses after the time that a replacement takes.
func (f *controlFleet) replace(list ...*process) {
	f.t.Helper()
	f.remove(list...)
	time.Sleep(replacementGap)
	for range list {
		f.add()
	}
}

// kill ends instances, all at once.
func (f *controlFleet) kill(list ...*process) {
	for _, p := range list {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range list {
		<-p.done
	}
}

// restart starts instances again that have ended, with the seeds of now.
func (f *controlFleet) restart(list ...*process) {
	f.t.Helper()
	for _, p := range list {
		p.writeSettings("z0", f.seeds(), false)
		p.start()
	}
	f.noteReturn()
}

func (f *controlFleet) noteReturn() {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	f.backAt = time.Now()
}

func (f *controlFleet) deleteFiles(list ...*process) {
	f.t.Helper()
	for _, p := range list {
		assert.NilError(f.t, os.RemoveAll(filepath.Join(p.folder, "data")))
	}
}

// loseDisks ends instances at once, which come back at their addresses without their files.
func (f *controlFleet) loseDisks(list ...*process) {
	f.t.Helper()
	f.kill(list...)
	f.deleteFiles(list...)
	time.Sleep(diskLossTime)
	f.restart(list...)
}

// losePower ends all instances at once. Those that are listed come back without their files.
func (f *controlFleet) losePower(withoutDisk ...*process) {
	f.t.Helper()
	all := f.instances()
	f.kill(all...)
	f.deleteFiles(withoutDisk...)
	time.Sleep(diskLossTime)
	f.restart(all...)
}

// pause stops an instance until during returns.
func (f *controlFleet) pause(p *process, during func()) {
	p.signal(syscall.SIGSTOP)
	during()
	p.signal(syscall.SIGCONT)
	f.noteReturn()
}

// pauseUntilRemoved pauses an instance until the leaders of both groups have removed it.
func (f *controlFleet) pauseUntilRemoved(p *process) {
	f.t.Helper()
	f.pause(p, func() {
		f.eventually("the paused instance is removed", readBackTime, func() bool {
			return f.changes(removed, p.addr(peerPort)) >= 2
		})
	})
}

// replaceWhilePaused replaces an instance while another one is paused.
func (f *controlFleet) replaceWhilePaused(p, paused *process) {
	f.t.Helper()
	f.pause(paused, func() {
		f.replace(p)
		time.Sleep(time.Second)
	})
}

// replaceWhileDown replaces an instance while another one is down, which keeps its disk.
func (f *controlFleet) replaceWhileDown(p, down *process) {
	f.t.Helper()
	f.kill(down)
	f.replace(p)
	time.Sleep(time.Second)
	f.restart(down)
}

// replaceInTurn replaces two instances; the time between their ends is gap. It then waits for the second successor.
func (f *controlFleet) replaceInTurn(first, second func(*controlFleet) *process, gap time.Duration) {
	f.t.Helper()
	start := time.Now()
	f.replace(first(f))
	time.Sleep(time.Until(start.Add(gap)))
	f.replace(second(f))
}

// replacePlanned adds the successor, waits, and then stops the old instance for good as an operator does.
func (f *controlFleet) replacePlanned(old *process, overlap time.Duration) {
	f.t.Helper()
	f.add()
	time.Sleep(overlap)
	f.retire(old)
	old.terminate()
}

// beginPlannedStop adds the successor, and signals the old instance to stop once the successor has
// caught up. It returns while the old instance stops.
func (f *controlFleet) beginPlannedStop(old *process) {
	f.t.Helper()
	f.add()
	f.waitCatchup()
	f.retire(old)
	old.signal(syscall.SIGTERM)
	f.t.Cleanup(old.kill)
	time.Sleep(100 * time.Millisecond)
}

// waitCatchup waits until each instance that started or came back has had the catch-up time.
func (f *controlFleet) waitCatchup() {
	f.listMu.Lock()
	end := f.backAt.Add(f.control.catchupTime())
	f.listMu.Unlock()
	time.Sleep(time.Until(end))
}

func (f *controlFleet) replaceConfiguration(client *http.Client, addr string) bool {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	return f.testSystem.replaceConfiguration(client, addr)
}

// acknowledge sends configurations until one is acknowledged.
func (f *controlFleet) acknowledge() {
	f.t.Helper()
	next, list := 0, f.instances()
	f.eventually("an acknowledged configuration", readBackTime, func() bool {
		next++
		return f.replaceConfiguration(f.client, list[next%len(list)].addr(operatorPort))
	})
}

// checkReadBack reads the acknowledged configuration at every instance until the deadline.
func (f *controlFleet) checkReadBack(deadline time.Time) {
	f.t.Helper()
	for _, p := range f.instances() {
		f.eventually("the configuration is read back at "+p.host, time.Until(deadline), func() bool {
			return f.checkedRead(f.client, p.addr(operatorPort))
		})
	}
	f.checkViolations()
}

func (f *controlFleet) checkViolations() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(f.t, len(f.violations), 0, "seed %d: %v", f.seed, f.violations[:min(len(f.violations), 10)])
}

// replacedCase is a series of faults after which, once catchup has passed, no more instances than
// losses are lost.
type replacedCase struct {
	name         string
	size, losses int
	inShortList  bool
	faults       func(*controlFleet)
	last         func(*controlFleet)
}

func oldestFollower(f *controlFleet) *process { return f.followers()[0] }
func loseLeaderDisk(f *controlFleet)          { f.loseDisks(f.leader()) }
func loseFollowerDisk(f *controlFleet)        { f.loseDisks(oldestFollower(f)) }
func loseNewestDisks(n int) func(*controlFleet) {
	return func(f *controlFleet) { f.loseDisks(f.newest(n)...) }
}
func loseTwoDisks(f *controlFleet)         { f.loseDisks(f.leader(), oldestFollower(f)) }
func losePowerAndLeader(f *controlFleet)   { f.losePower(f.leader()) }
func losePowerAndTwo(f *controlFleet)      { f.losePower(f.leader(), oldestFollower(f)) }
func replaceLeader(f *controlFleet)        { f.replace(f.leader()) }
func replaceFollower(f *controlFleet)      { f.replace(oldestFollower(f)) }
func replaceTwo(f *controlFleet)           { f.replace(f.leader(), oldestFollower(f)) }
func replaceTwoFollowers(f *controlFleet)  { f.replace(f.followers()[:2]...) }
func pauseFollowerRemoved(f *controlFleet) { f.pauseUntilRemoved(oldestFollower(f)) }

var replacedCases = append([]replacedCase{
	{"leader replaced and leader lost", 3, 1, true, replaceLeader, loseLeaderDisk},
	{"leader replaced and follower lost", 3, 1, true, replaceLeader, loseFollowerDisk},
	{"leader replaced and successor lost", 3, 1, true, replaceLeader, loseNewestDisks(1)},
	{"follower replaced and leader lost", 3, 1, true, replaceFollower, loseLeaderDisk},
	{"successor added before the leader is removed", 3, 1, true, func(f *controlFleet) {
		old := f.leader()
		f.add()
		time.Sleep(time.Second)
		f.remove(old)
	}, loseLeaderDisk},
	{"disk lost and then another instance replaced", 3, 1, true, func(f *controlFleet) {
		f.loseDisks(f.leader())
		f.waitCatchup()
		replaceFollower(f)
	}, loseLeaderDisk},
	{"leader paused after the replacement", 3, 1, true, func(f *controlFleet) {
		replaceFollower(f)
		f.pause(f.leader(), func() { time.Sleep(700 * time.Millisecond) })
	}, loseLeaderDisk},
	{"one of four replaced", 4, 1, true, replaceLeader, loseLeaderDisk},

	{"one replaced and another one replaced", 3, 1, true, replaceLeader, replaceLeader},
	{"one of four replaced and another one replaced", 4, 1, false, replaceLeader, replaceLeader},
	{"one replaced and then power and a disk lost", 3, 1, true, replaceFollower, losePowerAndLeader},
	{"one of four replaced and then power and a disk lost", 4, 1, false, replaceLeader, losePowerAndLeader},
	{"leader paused during a replacement", 3, 1, true, func(f *controlFleet) {
		f.replaceWhilePaused(oldestFollower(f), f.leader())
	}, loseLeaderDisk},
	{"leader of four paused during a replacement", 4, 1, false, func(f *controlFleet) {
		f.replaceWhilePaused(oldestFollower(f), f.leader())
	}, loseLeaderDisk},
	{"leader killed during a replacement", 3, 1, false, func(f *controlFleet) {
		f.replaceWhileDown(oldestFollower(f), f.leader())
	}, loseLeaderDisk},
	{"leader of four killed during a replacement", 4, 1, false, func(f *controlFleet) {
		f.replaceWhileDown(oldestFollower(f), f.leader())
	}, loseLeaderDisk},
	{"leader replaced by SIGTERM", 3, 1, true, func(f *controlFleet) { f.replacePlanned(f.leader(), time.Second) }, loseLeaderDisk},
	{"follower replaced by SIGTERM", 3, 1, false, func(f *controlFleet) { f.replacePlanned(oldestFollower(f), time.Second) }, loseLeaderDisk},
	{"leader stopped long after its successor has started", 3, 1, true, func(f *controlFleet) { f.replacePlanned(f.leader(), 5*time.Second) }, loseLeaderDisk},
	{"follower stopped long after its successor has started", 3, 1, false, func(f *controlFleet) { f.replacePlanned(oldestFollower(f), 5*time.Second) }, loseLeaderDisk},
	{"leader lost while its predecessor stops", 3, 1, true, func(f *controlFleet) { f.beginPlannedStop(f.leader()) }, loseLeaderDisk},
	{"leader lost while a follower stops", 3, 1, true, func(f *controlFleet) { f.beginPlannedStop(oldestFollower(f)) }, loseLeaderDisk},
	{"two of five stopped and two lost", 5, 2, true, func(f *controlFleet) {
		f.replacePlanned(f.leader(), 5*time.Second)
		f.replacePlanned(f.leader(), 5*time.Second)
	}, loseTwoDisks},
	{"old and new member alive", 3, 1, false, func(f *controlFleet) { f.add() }, loseLeaderDisk},
	{"old and new member alive and one replaced", 3, 1, false, func(f *controlFleet) { f.add() }, replaceLeader},
	{"member of four removed while paused", 4, 1, true, pauseFollowerRemoved, loseLeaderDisk},
	{"leader of four removed while paused", 4, 1, false, func(f *controlFleet) { f.pauseUntilRemoved(f.leader()) }, loseLeaderDisk},
	{"member of six removed while paused", 6, 2, false, pauseFollowerRemoved, loseTwoDisks},
	{"member of four removed while paused and lost", 4, 1, false, pauseFollowerRemoved, loseFollowerDisk},

	{"two of five replaced at once and two lost", 5, 2, true, replaceTwo, loseTwoDisks},
	{"two of five replaced at once and their successors lost", 5, 2, false, replaceTwoFollowers, loseNewestDisks(2)},
	{"two of five replaced at once and two replaced", 5, 2, false, replaceTwo, replaceTwo},
	{"two of five replaced at once and then power and two disks lost", 5, 2, false, replaceTwo, losePowerAndTwo},
	{"two of six replaced at once and two lost", 6, 2, false, replaceTwo, loseTwoDisks},
	{"two of six replaced at once and their successors lost", 6, 2, false, replaceTwoFollowers, loseNewestDisks(2)},
	{"two of six replaced at once and then power and two disks lost", 6, 2, true, replaceTwo, losePowerAndTwo},
	{"leader of five paused during a replacement", 5, 2, false, func(f *controlFleet) {
		f.replaceWhilePaused(oldestFollower(f), f.leader())
	}, loseTwoDisks},
	{"leader of six killed during a replacement", 6, 2, false, func(f *controlFleet) {
		f.replaceWhileDown(oldestFollower(f), f.leader())
	}, loseTwoDisks},
}, inTurnCases()...)

// inTurnCases are two replacements 1 to 7 s apart. Where one may be lost, the second one is later than
// catchup after the successor of the first one has started.
func inTurnCases() (out []replacedCase) {
	leader := (*controlFleet).leader
	for gap := time.Second; gap <= 7*time.Second; gap += time.Second {
		faults := func(f *controlFleet) { f.replaceInTurn(oldestFollower, leader, gap) }
		out = append(out,
			replacedCase{fmt.Sprintf("two of five replaced %v apart", gap), 5, 2, gap == 2*time.Second, faults, loseTwoDisks},
			replacedCase{fmt.Sprintf("two of six replaced %v apart", gap), 6, 2, false, faults, loseTwoDisks})
		if gap >= replacementGap+defaultCatchup {
			out = append(out,
				replacedCase{fmt.Sprintf("two of three replaced %v apart", gap), 3, 1, false, faults, loseLeaderDisk},
				replacedCase{fmt.Sprintf("two of four replaced %v apart", gap), 4, 1, false, faults, loseLeaderDisk})
		}
	}
	return out
}

// Guards against a replaced control instance that stays a voter, so that the next loss of as many disks
// as may be lost leaves no quorum for good.
func TestDiskLostAfterReplacementLeavesQuorum(t *testing.T) {
	t.Parallel()
	for _, c := range replacedCases {
		if *replacedFilter == "" && !c.inShortList || *replacedFilter != "all" && !strings.HasPrefix(c.name, *replacedFilter) {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newControlFleet(t, 1, c.size, controlSettings{losses: c.losses})
			f.acknowledge()
			c.faults(f)
			f.waitCatchup()
			f.acknowledge()
			c.last(f)
			f.checkReadBack(time.Now().Add(readBackTime))
			f.acknowledge()
		})
	}
}
