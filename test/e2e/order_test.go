package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// orderOutcome is what a caller was told last about one order.
type orderOutcome struct {
	booked bool
	notRun bool
}

// orderUntilKnown sends one order under its key, through another entry each
// time, until it is booked. notRun tells what the last refusal said.
func (cl *cluster) orderUntilBooked(ctx context.Context, key string, first, tries int) orderOutcome {
	var out orderOutcome
	for i := range tries {
		code, body, err := postOrder(ctx, cl.Entries[(first+i)%len(cl.Entries)], key, `{"item":"wreath","count":1}`)
		if err != nil {
			out.notRun = false // the connection broke; nothing was said
			time.Sleep(pollInterval)
			continue
		}
		if code == http.StatusCreated {
			return orderOutcome{booked: true}
		}
		var p struct{ Error apiError }
		if err := json.Unmarshal(body, &p); err != nil {
			cl.t.Errorf("order %s: status %d without an error object: %s", key, code, body)
		}
		out.notRun = p.Error.Ran == "not_run"
		time.Sleep(max(pollInterval, min(time.Duration(p.Error.RetryMS)*time.Millisecond, time.Second)))
	}
	return out
}

// ordersDuring places orders while parts are taken away and checks that each
// ran at most once, that booked ones ran, and that "not run" was true.
func orderDuringFault(t *testing.T, s clusterSpec, orders int, inject func(cl *cluster)) {
	cl := startCluster(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	outcomes := make([]orderOutcome, orders)
	var wg sync.WaitGroup
	var sent atomic.Int32
	for w := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := w; i < orders; i += 8 {
				outcomes[i] = cl.orderUntilBooked(ctx, fmt.Sprintf("order-%d", i), i, 12)
				if int(sent.Add(1)) == orders/4 {
					inject(cl)
				}
			}
		}()
	}
	wg.Wait()
	cl.checkOrders(outcomes)
}

func (cl *cluster) checkOrders(outcomes []orderOutcome) {
	cl.t.Helper()
	runs := cl.runsByKey()
	booked := 0
	for i, o := range outcomes {
		n := runs[fmt.Sprintf("order-%d", i)]
		if n > 1 {
			cl.t.Errorf("order %d ran %d times", i, n)
		}
		if o.booked && n != 1 {
			cl.t.Errorf("order %d was confirmed and ran %d times", i, n)
		}
		if o.notRun && n != 0 {
			cl.t.Errorf("order %d was called not run and ran %d times", i, n)
		}
		if o.booked {
			booked++
		}
	}
	cl.t.Logf("%d of %d orders booked", booked, len(outcomes))
	assert.Assert(cl.t, booked >= len(outcomes)*9/10, "too few orders came through: %d", booked)
}

var orderSpec = clusterSpec{control: 3, entries: 2, engines: 0, service: true}

// Guards against a second run when the entry that sent an order is lost and the
// caller repeats it through another.
func TestOrdersWhileEntryDies(t *testing.T) {
	orderDuringFault(t, orderSpec, 120, func(cl *cluster) { cl.processes["entry-0"].kill() })
}

// Guards against a second run when the agent that ran an order is lost and
// comes back without memory.
func TestOrdersWhileAgentDies(t *testing.T) {
	orderDuringFault(t, orderSpec, 120, func(cl *cluster) {
		cl.processes["orders-0"].kill()
		cl.processes["orders-0"].restart()
	})
}

// Guards against a second run through an agent that is frozen with orders in
// its hands and wakes up later.
func TestOrdersWhileAgentPauses(t *testing.T) {
	orderDuringFault(t, orderSpec, 120, func(cl *cluster) {
		cl.processes["orders-0"].signal(syscall.SIGSTOP)
		time.AfterFunc(3*time.Second, func() { cl.processes["orders-0"].signal(syscall.SIGCONT) })
	})
}

// Guards against records that are lost with a control instance.
func TestOrdersWhileControlDies(t *testing.T) {
	orderDuringFault(t, orderSpec, 120, func(cl *cluster) { cl.processes["control-1"].kill() })
}

// Guards against a repeated call that is told "in progress" although the first
// one has been answered: the record gets the answer after the caller does.
func TestRepeatAtOnceGetsTheAnswer(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, service: true})
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	for i := range 50 {
		key := fmt.Sprintf("order-%d", i)
		for n := range 2 {
			code, body, err := postOrder(ctx, cl.Entries[n], key, `{"item":"filter"}`)
			assert.NilError(t, err)
			assert.Equal(t, code, http.StatusCreated, "send %d of %s: %s", n, key, body)
		}
	}
}
