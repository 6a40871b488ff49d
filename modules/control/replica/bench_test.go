package replica

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/modules/control/wal"
)

const benchmarkEntryBytes = 256

// BenchmarkPropose measures proposals to three instances, from the call of Propose to
// the result of the applied entry.
func BenchmarkPropose(b *testing.B) {
	for _, each := range []bool{false, true} {
		for _, proposers := range []int{1, 8, 64, 512} {
			b.Run(fmt.Sprintf("syncEach=%t/proposers=%d", each, proposers), func(b *testing.B) {
				c := newCluster(b, 3, 1, func(o *Options) {
					o.KeepLeaders, o.SyncEach = true, each
					o.Machines[0] = noopMachine{}
				})
				c.eventually("three voters", func() bool { return c.hasVoters(3) })
				benchmarkPropose(b, c.leader(0), proposers)
			})
		}
	}
}

// noopMachine is a state machine that does nothing.
type noopMachine struct{}

func (noopMachine) Apply(uint64, []byte) []byte { return nil }
func (noopMachine) Snapshot() []byte            { return nil }
func (noopMachine) Restore([]byte) error        { return nil }

func benchmarkPropose(b *testing.B, leader *instance, proposers int) {
	data := make([]byte, benchmarkEntryBytes)
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	start := time.Now()
	for range proposers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				begin := time.Now()
				if _, _, err := leader.Propose(b.Context(), 0, data); err != nil {
					b.Error(err)
					return
				}
				latencies[i-1] = time.Since(begin)
			}
		}()
	}
	wait.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "proposals/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50_us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99_us")
}

// BenchmarkFailover measures the time from killing a leader to the first proposal that
// its successor has applied.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, 3, 1, func(o *Options) { o.KeepLeaders = true })
	c.eventually("three voters", func() bool { return c.hasVoters(3) })
	var durations []time.Duration
	for i := range b.N {
		killed := c.leader(0).options.Self
		c.kill(killed)
		start := time.Now()
		c.propose(0, fmt.Sprint(i))
		durations = append(durations, time.Since(start))
		c.start(c.peer(killed))
		time.Sleep(time.Second) // lets the returned member catch up
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), "p50_ms")
	b.ReportMetric(float64(durations[len(durations)-1].Milliseconds()), "max_ms")
}

// BenchmarkOpen measures opening a log without a snapshot, until the last committed
// entry is applied.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []int{500, 50_000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			folder := b.TempDir()
			writeLog(b, folder, uint64(count))
			c := &cluster{t: b, nodes: map[raft.MemberID]*instance{}}
			for b.Loop() {
				o := c.options(Peer{ID: "control-1", Addr: "127.0.0.1:0"})
				o.Folder, o.Machines = folder, map[Group]StateMachine{0: noopMachine{}}
				o.Peers = []Peer{{ID: "control-1", Addr: "127.0.0.1:0"}}
				r, err := Open(o)
				assert.NilError(b, err)
				assert.NilError(b, r.runRounds())
				assert.Equal(b, r.groups[0].applied, uint64(count))
				assert.NilError(b, r.wal.Close())
			}
		})
	}
}

func writeLog(b *testing.B, folder string, count uint64) {
	w, err := wal.Open(folder, "control-1", wal.Options{})
	assert.NilError(b, err)
	s := raft.Bootstrap(raft.Member{ID: "control-1", Disk: w.Identity().Disk})
	for i := uint64(2); i <= count; i++ {
		s.Entries = append(s.Entries, raft.Entry{Index: i, Term: 1, Data: make([]byte, benchmarkEntryBytes)})
	}
	s.Hard.Commit = count
	w.Append(0, &s.Hard, s.Entries)
	assert.NilError(b, w.Sync())
	assert.NilError(b, w.Close())
}
