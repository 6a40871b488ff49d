package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

func init() { scenarios["capacity"] = capacity }

const (
	capacityDuration = 4 * time.Second
	// announceInterval and watchWait have the values that the agent uses.
	announceInterval = 2 * time.Second
	watchWait        = 2 * time.Second
	callTimeout      = watchWait + time.Second
	// changeCount is the number of configuration changes that are timed at each
	// number of processes.
	changeCount     = 5
	changeTimeout   = 10 * time.Second
	inForceTargetMS = 17_000 // ms
)

var capacitySizes = []int{50, 200, 800}

// capacity measures the control role against processes that announce
// themselves and watch, as agents do.
func capacity(ctx context.Context, o Options, r *Result) error {
	r.set("control", "1 instance; each process holds one connection, announces every 2 s and watches with deltas")
	r.set("window", capacityDuration)
	for _, n := range capacitySizes {
		if err := measureControl(ctx, o, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureControl(ctx context.Context, o Options, r *Result, n int) error {
	f, err := newFleet(ctx, o, shape{})
	if err != nil {
		return err
	}
	defer f.stop()
	o.phase(fmt.Sprint(n, " processes"))
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w := &watcherGroup{security: security, control: f.controlAddr, revision: make([]atomic.Uint64, n)}
	defer w.running.Wait()
	defer stop()
	for i := range n {
		w.running.Go(func() { w.watch(ctx, i) })
	}
	sleep(ctx, settleTime)
	if err := f.measureIdleControl(ctx, r, n); err != nil {
		return err
	}
	return w.change(ctx, r, n)
}

// measureIdleControl measures the control instance while nothing changes.
func (f *fleet) measureIdleControl(ctx context.Context, r *Result, n int) error {
	cpu, err := f.control.cpu()
	if err != nil {
		return err
	}
	bytes, err := f.control.bytesTransferred()
	if err != nil {
		return err
	}
	sleep(ctx, capacityDuration)
	cpuAfter, err := f.control.cpu()
	if err != nil {
		return err
	}
	bytesAfter, err := f.control.bytesTransferred()
	if err != nil {
		return err
	}
	resident, err := f.control.resident()
	if err != nil {
		return err
	}
	processSeconds := float64(n) * capacityDuration.Seconds()
	r.add(fmt.Sprintf("control CPU for each of %d processes", n), (cpuAfter-cpu).Seconds()*1e6/processSeconds, "us/s")
	r.add(fmt.Sprintf("control bytes for each of %d processes", n), (bytesAfter-bytes)/processSeconds, "B/s")
	r.add(fmt.Sprintf("control resident set at %d processes", n), resident/mib, "MiB")
	return nil
}

// bytesTransferred returns the bytes read and written so far, including those of
// files.
func (p *process) bytesTransferred() (sum float64, err error) {
	b, err := os.ReadFile(p.proc("io"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if key != "rchar" && key != "wchar" {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}

// watcherGroup simulates processes that announce themselves and watch.
type watcherGroup struct {
	security *peer.Security
	control  string
	running  sync.WaitGroup
	// revision is the revision of the configuration in force at each process.
	revision []atomic.Uint64
}

func (w *watcherGroup) watch(ctx context.Context, i int) {
	c := w.security.NewClient(w.control)
	defer c.Close()
	id := fmt.Sprintf("process-%d", i)
	w.running.Go(func() { announce(ctx, c, id) })
	args := wire.WatchArgs{Instance: id, Role: "agent", Zone: "zone-0", WaitMS: watchWait.Milliseconds(), Deltas: true}
	for ctx.Err() == nil {
		var reply wire.WatchReply
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.Call(call, wire.ControlService+".Watch", &args, &reply)
		cancel()
		if err != nil {
			sleep(ctx, pollInterval)
			continue
		}
		args.Revision, args.Members = max(args.Revision, reply.Revision), reply.Members
		args.Suspects, args.Orders = reply.Suspects, reply.Orders
		w.revision[i].Store(args.Revision)
	}
}

func announce(ctx context.Context, c *peer.Client, id string) {
	args := wire.AnnounceArgs{Upstream: wire.Upstream{
		ID: id, Incarnation: 1, Zone: "zone-0", Region: "local", Addr: "127.0.0.1:1", Models: []string{"letters"}, Slots: 8,
	}}
	for sleep(ctx, announceInterval) {
		args.Seq++
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_ = c.Call(call, wire.ControlService+".Announce", &args, &wire.AnnounceReply{}) // the next announcement repeats it
		cancel()
	}
}

// change measures the time from proposing a configuration change until it is in
// force at every process.
func (w *watcherGroup) change(ctx context.Context, r *Result, n int) error {
	c := w.security.NewClient(w.control)
	defer c.Close()
	var accepted, everywhere time.Duration
	for i := range changeCount {
		begun := time.Now()
		revision, err := propose(ctx, c, w.revision[0].Load(), i)
		if err != nil {
			return err
		}
		accepted = max(accepted, time.Since(begun))
		if err := eventually(ctx, changeTimeout, func() bool { return w.allAtRevision(revision) }); err != nil {
			return errors.Wrap(err, "waiting for a configuration change to be in force at every process")
		}
		everywhere = max(everywhere, time.Since(begun))
	}
	r.add(fmt.Sprintf("slowest of %d changes accepted", changeCount), float64(accepted.Microseconds())/1000, "ms")
	r.add(fmt.Sprintf("slowest of %d changes in force at %d processes", changeCount, n), float64(everywhere.Microseconds())/1000, "ms").atMost(inForceTargetMS)
	return nil
}

func (w *watcherGroup) allAtRevision(revision uint64) bool {
	for i := range w.revision {
		if w.revision[i].Load() < revision {
			return false
		}
	}
	return true
}

func propose(ctx context.Context, c *peer.Client, base uint64, i int) (uint64, error) {
	b, err := json.Marshal(config.Change{
		ChangeID: string(wire.NewID()), BaseRevision: base, Author: "measure", Reason: "capacity measurement",
		Edits: []config.Edit{{Kind: config.SetDefault, Name: "queue.limit", Value: strconv.Itoa(100 + i)}},
	})
	if err != nil {
		return 0, err
	}
	var reply wire.ChangeReply
	if err := c.Call(ctx, wire.AdminService+".Change", &wire.ChangeArgs{Change: b}, &reply); err != nil {
		return 0, err
	}
	if !reply.Accepted {
		return 0, errors.Errorf("change refused: %v %v", reply.Code, reply.Problems)
	}
	return reply.Revision, nil
}
