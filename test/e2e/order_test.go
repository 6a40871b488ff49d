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

// orderOutcome is what the last response told the caller about an order.
type orderOutcome struct {
	booked bool
	notRun bool
}

// orderUntilBooked sends an order under its key until it is booked, through
// another entry on each attempt. If it isn't booked, notRun of the result tells
// whether the last response said that the order had not run.
func (cl *cluster) orderUntilBooked(ctx context.Context, key string, first, tries int) orderOutcome {
	var outcome orderOutcome
	for i := range tries {
		code, body, err := postOrder(ctx, cl.Entries[(first+i)%len(cl.Entries)], key, `{"item":"wreath","count":1}`)
		if err != nil {
			outcome.notRun = false // the connection broke, so the outcome is unknown
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
		outcome.notRun = p.Error.Ran == "not_run"
		time.Sleep(max(pollInterval, min(time.Duration(p.Error.RetryMS)*time.Millisecond, time.Second)))
	}
	return outcome
}

// orderDuringFault places orders, injects a fault meanwhile, and checks that
// each order ran at most once, that the booked ones ran exactly once, and that
// none reported as not run did run.
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
		count := runs[fmt.Sprintf("order-%d", i)]
		if count > 1 {
			cl.t.Errorf("order %d ran %d times", i, count)
		}
		if o.booked && count != 1 {
			cl.t.Errorf("order %d was confirmed but ran %d times", i, count)
		}
		if o.notRun && count != 0 {
			cl.t.Errorf("order %d was reported as not run but ran %d times", i, count)
		}
		if o.booked {
			booked++
		}
	}
	cl.t.Logf("%d of %d orders booked", booked, len(outcomes))
	assert.Assert(cl.t, booked >= len(outcomes)*9/10, "too few orders were booked: %d", booked)
}

var orderSpec = clusterSpec{control: 3, entries: 2, engines: 0, service: true}

// Guards against an order that runs twice when the entry that dispatched it is
// killed and the caller retries through another one.
func TestOrdersWhileEntryDies(t *testing.T) {
	orderDuringFault(t, orderSpec, 120, func(cl *cluster) { cl.processes["entry-0"].kill() })
}

// Guards against an order that runs twice when the agent that ran it is killed
// and restarts without its in-memory state.
func TestOrdersWhileAgentDies(t *testing.T) {
	orderDuringFault(t, orderSpec, 120, func(cl *cluster) {
		cl.processes["orders-0"].kill()
		cl.processes["orders-0"].restart()
	})
}

// Guards against an order that runs twice because an agent is stopped while it
// handles orders and continues later.
func TestOrdersWhileAgentPauses(t *testing.T) {
	orderDuringFault(t, orderSpec, 120, func(cl *cluster) {
		cl.processes["orders-0"].signal(syscall.SIGSTOP)
		time.AfterFunc(3*time.Second, func() { cl.processes["orders-0"].signal(syscall.SIGCONT) })
	})
}

// Guards against call records that are lost when a control instance is killed.
func TestOrdersWhileControlDies(t *testing.T) {
	orderDuringFault(t, orderSpec, 120, func(cl *cluster) { cl.processes["control-1"].kill() })
}

// Guards against a retried call that gets "in progress" although the first one
// has been answered already. It happens because the answer is stored in the
// record after it has been sent to the caller.
func TestRepeatAtOnceGetsTheAnswer(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, service: true})
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	for i := range 50 {
		key := fmt.Sprintf("order-%d", i)
		for n := range 2 {
			code, body, err := postOrder(ctx, cl.Entries[n], key, `{"item":"filter"}`)
			assert.NilError(t, err)
			assert.Equal(t, code, http.StatusCreated, "attempt %d of %s: %s", n, key, body)
		}
	}
}
