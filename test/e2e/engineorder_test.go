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

// unreadVersion is the version of the list that is not read through a quorum.
const unreadVersion = 1000

// orderControl is a control instance that gives an agent the orders of a test.
type orderControl struct {
	fence uint64

	mu       sync.Mutex
	orders   []wire.Order
	unread   []wire.Order // answered to watches that are not fresh
	done     []wire.OrderDoneArgs
	upstream wire.Upstream
}

func (c *orderControl) OrderFence(_ *wire.OrderFenceArgs, r *wire.OrderFenceReply) error {
	r.Fence = c.fence
	return nil
}

func (c *orderControl) OrderDone(a *wire.OrderDoneArgs, _ *wire.OrderDoneReply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = append(c.done, *a)
	return nil
}

func (c *orderControl) Announce(a *wire.AnnounceArgs, _ *wire.AnnounceReply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream = a.Upstream
	return nil
}

func (c *orderControl) Watch(a *wire.WatchArgs, r *wire.WatchReply) error {
	time.Sleep(pollInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.orders
	r.Orders = uint64(len(list))
	if !a.Fresh && len(c.unread) > 0 {
		list, r.Orders = c.unread, unreadVersion
	}
	r.OrdersChanged = r.Orders != a.Orders
	r.Order = list
	return nil
}

// add lists one order more, besides those that were reported as ended.
func (c *orderControl) add(o wire.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
}

func (c *orderControl) ended() []wire.OrderDoneArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.done)
}

func (c *orderControl) announced() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstream.Models
}

// taken is an order as the stand-in engine lists it.
type taken struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

func takenOrders(t *testing.T, e engine) (out []taken) {
	t.Helper()
	res, err := http.Get("http://" + e.Addr + "/orders")
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&out))
	return out
}

// Guards against an engine that ignores fencing tokens and carries out an order
// of an issuer that was replaced, an order from before the agent's start, one
// that only a control instance without a quorum still lists, and an order that
// is carried out twice.
func TestStaleOrderIsRefused(t *testing.T) {
	const learnt = 5
	f := emptyFleet(t, shape{engines: 1})
	c := &orderControl{fence: learnt}
	server := httptest.NewServer(&peer.Handler{Security: f.security, Services: func(peer.Roles) map[string]any {
		return map[string]any{wire.ControlService: c}
	}})
	t.Cleanup(server.Close)
	f.Control = []string{strings.TrimPrefix(server.URL, "http://")}
	e := f.Engines[0]
	load := func(id string, fence uint64, model string) wire.Order {
		return wire.Order{ID: wire.ID(id), Fence: fence, Upstream: e.Name, Kind: wire.LoadModel, Model: model}
	}
	c.unread = []wire.Order{load("cut off", 9, "cut-off")}
	c.orders = []wire.Order{load("old", learnt-1, "old"), load("later", 7, "notes"), load("stale", 6, "stale")}
	f.start("engine", e.Name+"-engine", map[string]any{"E": e})
	f.start("agent", e.Name, map[string]any{"E": e})
	eventually(t, startLimit, "three reports", func() error {
		if n := len(c.ended()); n < 3 {
			return fmt.Errorf("%d reports", n)
		}
		return nil
	})
	for i, d := range c.ended()[:3] {
		assert.Equal(t, d.ID, c.orders[i].ID)
		assert.Equal(t, d.OK, i == 1, "%s: %s", d.ID, d.Message)
		assert.Equal(t, strings.Contains(d.Message, "fencing token"), i != 1, "%s", d.Message)
	}
	eventually(t, startLimit, "the new model is announced", func() error {
		if m := c.announced(); !slices.Equal(m, []string{"letters", "notes"}) {
			return fmt.Errorf("announced %v", m)
		}
		return nil
	})
	c.add(load("last", 7, "drafts"))
	eventually(t, startLimit, "the last report", func() error {
		if ended := c.ended(); ended[len(ended)-1].ID != "last" {
			return fmt.Errorf("reports: %+v", ended)
		}
		return nil
	})
	assert.DeepEqual(t, takenOrders(t, e), []taken{{7, "load", "notes"}, {7, "load", "drafts"}})
}

// freeze stops the process and waits until each of its threads has stopped, so
// that nothing sent afterwards is read before it goes on.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, startLimit, p.name+" stopped", func() error {
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

// callControl makes one call to control instance i as an issuer of orders does.
func (f *fleet) callControl(i int, limit time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c := f.security.NewClient(f.Control[i])
	defer c.Close()
	return c.Call(ctx, wire.ControlService+"."+method, args, reply)
}

// lease acquires the lease of orders at instance i.
func (f *fleet) lease(i int, holder string, duration time.Duration) uint64 {
	f.t.Helper()
	args := wire.LeaseArgs{Name: engineorder.LeaseName, Holder: holder, Request: wire.NewID(), DurationMS: duration.Milliseconds()}
	var r wire.LeaseReply
	eventually(f.t, startLimit, "lease of orders", func() error {
		if err := f.callControl(i, 3*time.Second, "OrderLease", &args, &r); err != nil {
			return err
		}
		if !r.Granted {
			return fmt.Errorf("held by %s", r.Holder)
		}
		return nil
	})
	return r.Fence
}

// orderStatus waits until instance i shows an order in a state.
func (f *fleet) orderStatus(i int, id wire.ID, status engineorder.Status) {
	f.t.Helper()
	eventually(f.t, startLimit, fmt.Sprintf("order %s is %s", id, status), func() error {
		var r wire.OrdersReply
		if err := f.admin(i, "Orders", wire.OrdersArgs{}, &r); err != nil {
			return err
		}
		for _, o := range r.Orders {
			if o.Order.ID == id && o.Status == string(status) {
				return nil
			}
		}
		return fmt.Errorf("orders: %+v", r.Orders)
	})
}

// Guards against orders that take a model's last upstream away, and against one
// that a frozen control leader still holds when it wakes up after its lease has
// passed to an issuer at the new leader.
func TestOrderOfFrozenLeaderDoesNothing(t *testing.T) {
	f := newFleet(t, shape{control: 3, entries: 1, engines: 2})
	old := f.leader(0)
	first := f.lease(old, "first", 2*time.Second)
	stopped := f.security.NewClient(f.Control[old])
	defer stopped.Close()
	assert.NilError(t, stopped.Call(t.Context(), "Control.OrderFence", &wire.OrderFenceArgs{}, &wire.OrderFenceReply{}))
	f.procs[fmt.Sprintf("control-%d", old)].freeze()
	late := wire.Order{ID: "late", Fence: first, Upstream: f.Engines[1].Name, Kind: wire.LoadModel, Model: "late"}
	lateResult := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), startLimit)
		defer cancel()
		lateResult <- stopped.Call(ctx, "Control.Order", &wire.OrderArgs{Order: late}, &wire.OrderReply{})
	}()

	next := (old + 1) % len(f.Control)
	ctx, cancel := context.WithCancel(t.Context())
	served := f.serveUntil(ctx)
	second := f.lease(next, "second", time.Minute)
	assert.Assert(t, second > first)
	for i, e := range f.Engines {
		o := wire.Order{ID: wire.ID(e.Name), Fence: second, Upstream: e.Name, Kind: wire.UnloadModel, Model: "letters"}
		if i > 0 {
			o.Kind, o.Model = wire.LoadModel, "notes"
		}
		assert.NilError(t, f.callControl(next, 3*time.Second, "Order", &wire.OrderArgs{Order: o}, &wire.OrderReply{}))
		f.orderStatus(next, o.ID, engineorder.Done)
	}
	last := wire.Order{ID: "last", Fence: second, Upstream: f.Engines[1].Name, Kind: wire.UnloadModel, Model: "letters"}
	assert.NilError(t, f.callControl(next, 3*time.Second, "Order", &wire.OrderArgs{Order: last}, &wire.OrderReply{}))

	f.procs[fmt.Sprintf("control-%d", old)].signal(syscall.SIGCONT)
	err := <-lateResult
	unknown := result.Is(err, result.ControlUnavailable) // the frozen instance may not find the new leader in time
	assert.Assert(t, unknown || result.Is(err, result.FenceStale), "%v", err)
	time.Sleep(2 * time.Second) // time for a wrong order to be released and carried out
	var all wire.OrdersReply
	assert.NilError(t, f.admin(next, "Orders", wire.OrdersArgs{}, &all))
	assert.Equal(t, len(all.Orders), 3, "%+v", all.Orders)
	f.orderStatus(next, last.ID, engineorder.Staged)
	cancel()
	t.Logf("%d generations served meanwhile", <-served)
	assert.DeepEqual(t, takenOrders(t, f.Engines[0]), []taken{{second, "unload", "letters"}})
	assert.DeepEqual(t, takenOrders(t, f.Engines[1]), []taken{{second, "load", "notes"}})
}

// serveUntil runs one generation after another until ctx ends; each must be
// whole. It returns their number.
func (f *fleet) serveUntil(ctx context.Context) <-chan int {
	served := make(chan int, 1)
	go func() {
		n := 0
		for ; ctx.Err() == nil; n++ {
			limit, cancel := context.WithTimeout(context.Background(), streamLimit)
			c := &call{prompt: fmt.Sprintf("letter %d", n), tokens: 20}
			if err := f.through(limit, c, 0); err != nil {
				f.t.Errorf("generation %d: %v", n, err)
			}
			cancel()
		}
		served <- n
	}()
	return served
}
