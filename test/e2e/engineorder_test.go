package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	engineorder "heatherway.dev/core/order"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// staleListVersion is the version of the order list that was not read through a
// quorum.
const staleListVersion = 1000

// fakeControl is a control instance that serves the orders of a test to an agent.
type fakeControl struct {
	fence uint64

	mu          sync.Mutex
	orders      []wire.Order
	staleOrders []wire.Order // returned to watches without Fresh
	reports     []wire.OrderDoneArgs
	upstream    wire.Upstream
}

func (c *fakeControl) OrderFence(_ *wire.OrderFenceArgs, r *wire.OrderFenceReply) error {
	r.Fence = c.fence
	return nil
}

func (c *fakeControl) OrderDone(a *wire.OrderDoneArgs, _ *wire.OrderDoneReply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, *a)
	return nil
}

func (c *fakeControl) Announce(a *wire.AnnounceArgs, _ *wire.AnnounceReply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream = a.Upstream
	return nil
}

func (c *fakeControl) Watch(a *wire.WatchArgs, r *wire.WatchReply) error {
	time.Sleep(pollInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.orders
	r.Orders = uint64(len(list))
	if !a.Fresh && len(c.staleOrders) > 0 {
		list, r.Orders = c.staleOrders, staleListVersion
	}
	r.OrdersChanged = r.Orders != a.Orders
	r.Order = list
	return nil
}

// addOrder appends an order to the list; orders that were reported as done stay
// in it.
func (c *fakeControl) addOrder(o wire.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
}

func (c *fakeControl) reported() []wire.OrderDoneArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.reports)
}

func (c *fakeControl) announcedModels() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream.Models
}

// appliedOrder is an order in the list of the stand-in engine.
type appliedOrder struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

func appliedOrders(t *testing.T, e engine) (out []appliedOrder) {
	t.Helper()
	res, err := http.Get("http://" + e.Addr + "/orders")
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&out))
	return out
}

// Guards against an agent that applies stale orders to an engine which doesn't
// check fencing tokens: an order of a replaced issuer, one from before the
// agent's start, or one that only a control instance without a quorum lists.
// Also guards against an order that is applied twice.
func TestStaleOrderIsRefused(t *testing.T) {
	const currentFence = 5
	cl := newCluster(t, clusterSpec{engines: 1})
	control := &fakeControl{fence: currentFence}
	server := httptest.NewServer(&peer.Handler{Security: cl.security, Services: func(peer.Roles) map[string]any {
		return map[string]any{wire.ControlService: control}
	}})
	t.Cleanup(server.Close)
	cl.Control = []string{strings.TrimPrefix(server.URL, "http://")}
	target := cl.Engines[0]
	loadOrder := func(id string, fence uint64, model string) wire.Order {
		return wire.Order{ID: wire.ID(id), Fence: fence, Upstream: target.Name, Kind: wire.LoadModel, Model: model}
	}
	control.staleOrders = []wire.Order{loadOrder("cut off", 9, "cut-off")}
	control.orders = []wire.Order{loadOrder("old", currentFence-1, "old"), loadOrder("later", 7, "notes"), loadOrder("stale", 6, "stale")}
	cl.start("engine", target.Name+"-engine", map[string]any{"E": target})
	cl.start("agent", target.Name, map[string]any{"E": target})
	eventually(t, startTimeout, "three reports", func() error {
		if n := len(control.reported()); n < 3 {
			return fmt.Errorf("%d reports", n)
		}
		return nil
	})
	for i, d := range control.reported()[:3] {
		assert.Equal(t, d.ID, control.orders[i].ID)
		assert.Equal(t, d.OK, i == 1, "%s: %s", d.ID, d.Message)
		assert.Equal(t, strings.Contains(d.Message, "fencing token"), i != 1, "%s", d.Message)
	}
	eventually(t, startTimeout, "the new model is announced", func() error {
		if m := control.announcedModels(); !slices.Equal(m, []string{"letters", "notes"}) {
			return fmt.Errorf("announced %v", m)
		}
		return nil
	})
	control.addOrder(loadOrder("last", 7, "drafts"))
	eventually(t, startTimeout, "the last report", func() error {
		if reports := control.reported(); reports[len(reports)-1].ID != "last" {
			return fmt.Errorf("reports: %+v", reports)
		}
		return nil
	})
	assert.DeepEqual(t, appliedOrders(t, target), []appliedOrder{{7, "load", "notes"}, {7, "load", "drafts"}})
}

// freeze sends SIGSTOP and waits until all threads of the process have stopped,
// so that it reads nothing that is sent afterwards until it continues.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, startTimeout, p.name+" stopped", func() error {
		states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		if err != nil || len(states) == 0 {
			return fmt.Errorf("no threads: %v", err)
		}
		for _, file := range states {
			b, err := os.ReadFile(file)
			if err != nil || !bytes.Contains(b, []byte(") T ")) {
				return fmt.Errorf("%s: %w", b, err)
			}
		}
		return nil
	})
}

// callControl makes one call to control instance i, as an issuer of orders would.
func (cl *cluster) callControl(i int, limit time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c := cl.security.NewClient(cl.Control[i])
	defer c.Close()
	return c.Call(ctx, wire.ControlService+"."+method, args, reply)
}

// acquireOrderLease acquires the order lease through instance i and returns its
// fencing token.
func (cl *cluster) acquireOrderLease(i int, holder string, duration time.Duration) uint64 {
	cl.t.Helper()
	args := wire.LeaseArgs{Name: engineorder.LeaseName, Holder: holder, Request: wire.NewID(), DurationMS: duration.Milliseconds()}
	var reply wire.LeaseReply
	eventually(cl.t, startTimeout, "order lease acquired", func() error {
		if err := cl.callControl(i, 3*time.Second, "OrderLease", &args, &reply); err != nil {
			return err
		}
		if !reply.Granted {
			return fmt.Errorf("the lease is held by %s", reply.Holder)
		}
		return nil
	})
	return reply.Fence
}

// waitForOrderStatus waits until instance i reports the status for an order.
func (cl *cluster) waitForOrderStatus(i int, id wire.ID, status engineorder.Status) {
	cl.t.Helper()
	eventually(cl.t, startTimeout, fmt.Sprintf("order %s has status %s", id, status), func() error {
		var reply wire.OrdersReply
		if err := cl.callAdmin(i, "Orders", wire.OrdersArgs{}, &reply); err != nil {
			return err
		}
		for _, o := range reply.Orders {
			if o.Order.ID == id && o.Status == string(status) {
				return nil
			}
		}
		return fmt.Errorf("orders: %+v", reply.Orders)
	})
}

// Guards against orders that unload a model from the last upstream that serves
// it, and against an order that a frozen control leader releases when it
// continues after the order lease has passed to an issuer at the new leader.
func TestOrderOfFrozenLeaderDoesNothing(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 3, entries: 1, engines: 2})
	oldLeader := cl.leader(0)
	oldFence := cl.acquireOrderLease(oldLeader, "first", 2*time.Second)
	frozenClient := cl.security.NewClient(cl.Control[oldLeader])
	defer frozenClient.Close()
	assert.NilError(t, frozenClient.Call(t.Context(), "Control.OrderFence", &wire.OrderFenceArgs{}, &wire.OrderFenceReply{}))
	cl.processes[fmt.Sprintf("control-%d", oldLeader)].freeze()
	lateOrder := wire.Order{ID: "late", Fence: oldFence, Upstream: cl.Engines[1].Name, Kind: wire.LoadModel, Model: "late"}
	lateResult := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		lateResult <- frozenClient.Call(ctx, "Control.Order", &wire.OrderArgs{Order: lateOrder}, &wire.OrderReply{})
	}()

	newLeader := (oldLeader + 1) % len(cl.Control)
	ctx, cancel := context.WithCancel(t.Context())
	generated := cl.generateUntil(ctx)
	newFence := cl.acquireOrderLease(newLeader, "second", time.Minute)
	assert.Assert(t, newFence > oldFence)
	for i, e := range cl.Engines {
		o := wire.Order{ID: wire.ID(e.Name), Fence: newFence, Upstream: e.Name, Kind: wire.UnloadModel, Model: "letters"}
		if i > 0 {
			o.Kind, o.Model = wire.LoadModel, "notes"
		}
		assert.NilError(t, cl.callControl(newLeader, 3*time.Second, "Order", &wire.OrderArgs{Order: o}, &wire.OrderReply{}))
		cl.waitForOrderStatus(newLeader, o.ID, engineorder.Done)
	}
	lastOrder := wire.Order{ID: "last", Fence: newFence, Upstream: cl.Engines[1].Name, Kind: wire.UnloadModel, Model: "letters"}
	assert.NilError(t, cl.callControl(newLeader, 3*time.Second, "Order", &wire.OrderArgs{Order: lastOrder}, &wire.OrderReply{}))

	cl.processes[fmt.Sprintf("control-%d", oldLeader)].signal(syscall.SIGCONT)
	err := <-lateResult
	unavailable := result.Is(err, result.ControlUnavailable) // the continued instance may not find the new leader in time
	assert.Assert(t, unavailable || result.Is(err, result.FenceStale), "%v", err)
	time.Sleep(2 * time.Second) // long enough for a stale order to be released and applied
	var all wire.OrdersReply
	assert.NilError(t, cl.callAdmin(newLeader, "Orders", wire.OrdersArgs{}, &all))
	assert.Equal(t, len(all.Orders), 3, "%+v", all.Orders)
	cl.waitForOrderStatus(newLeader, lastOrder.ID, engineorder.Staged)
	cancel()
	t.Logf("%d generations completed meanwhile", <-generated)
	assert.DeepEqual(t, appliedOrders(t, cl.Engines[0]), []appliedOrder{{newFence, "unload", "letters"}})
	assert.DeepEqual(t, appliedOrders(t, cl.Engines[1]), []appliedOrder{{newFence, "load", "notes"}})
}

// generateUntil runs one generation after another until ctx ends and sends
// their number on the returned channel. Each must be complete and correct.
func (cl *cluster) generateUntil(ctx context.Context) <-chan int {
	count := make(chan int, 1)
	go func() {
		n := 0
		for ; ctx.Err() == nil; n++ {
			genCtx, cancel := context.WithTimeout(context.Background(), streamTimeout)
			g := &generation{prompt: fmt.Sprintf("letter %d", n), tokens: 20}
			if err := cl.streamAndVerify(genCtx, g, 0); err != nil {
				cl.t.Errorf("generation %d: %v", n, err)
			}
			cancel()
		}
		count <- n
	}()
	return count
}
