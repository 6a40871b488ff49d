package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/response"
)

const (
	// progressInterval is the time between two lines of progress.
	progressInterval = 2 * time.Second
	// maxOpenRequests bounds the concurrent requests, so that an overload is
	// counted as refusals instead of exhausting the memory.
	maxOpenRequests = 20000
	// refusalDelay keeps a caller of the closed loop from spinning while every
	// request is refused: without it, four callers sent 20,000 requests a second.
	refusalDelay = 100 * time.Millisecond
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
)

// run is the state of one run of the load generator.
type run struct {
	Options
	// name is a part of the request ids and idempotency keys, and makes them
	// differ from those of other runs.
	name     string
	client   *http.Client
	recorder *recorder
	slots    chan struct{}
	calls    sync.WaitGroup

	sent, running, finished, refused, tokens atomic.Int64
}

// Run sends the requests of the options, writes progress lines while it runs,
// and returns the report.
func Run(ctx context.Context, o Options, progress io.Writer) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	r := &run{
		Options: o, name: string(wire.NewID()[:8]), recorder: newRecorder(),
		slots: make(chan struct{}, maxOpenRequests), client: newClient(),
	}
	defer r.client.CloseIdleConnections()
	start := time.Now()
	progressDone := make(chan struct{})
	progressCtx, stopProgress := context.WithCancel(ctx)
	go func() { defer close(progressDone); r.printProgress(progressCtx, progress, start) }()

	calls, interrupt := context.WithCancel(ctx)
	defer interrupt()
	r.send(ctx, calls, start)
	timer := time.AfterFunc(o.Drain, interrupt)
	r.calls.Wait()
	timer.Stop()
	stopProgress()
	<-progressDone
	return r.recorder.report(time.Since(start)), nil
}

func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DisableCompression = true
	t.MaxIdleConns, t.MaxIdleConnsPerHost = maxOpenRequests, maxOpenRequests
	t.DialContext = dialer(dialTimeout)
	return &http.Client{Transport: response.NewTransport(t)}
}

func (r *run) url(i int) string { return r.URLs[i%len(r.URLs)] }

// send starts requests until a limit is reached or the context sending ends.
func (r *run) send(sending, calls context.Context, start time.Time) {
	if r.Duration > 0 {
		ctx, cancel := context.WithDeadline(sending, start.Add(r.Duration))
		defer cancel()
		sending = ctx
	}
	if r.Rate > 0 {
		r.openLoop(sending, calls, start)
		return
	}
	r.closedLoop(sending, calls)
}

func (r *run) limitReached(i int) bool { return r.Requests > 0 && i >= r.Requests }

// openLoop sends at Poisson arrivals, independently of earlier requests.
func (r *run) openLoop(sending, calls context.Context, start time.Time) {
	random := rand.New(rand.NewPCG(r.Seed, ^uint64(0)))
	arrival := start
	for i := 0; !r.limitReached(i); i++ {
		arrival = arrival.Add(time.Duration(random.ExpFloat64() / r.Rate * float64(time.Second)))
		if !sleep(sending, time.Until(arrival)) {
			return
		}
		r.launch(calls, i, arrival)
	}
}

func (r *run) launch(ctx context.Context, i int, arrival time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		q := r.plan(i)
		r.sent.Add(1)
		r.recordOutcome(outcome{kind: q.kind, class: q.class, organisation: q.organisation.Name, refusal: labelClientLimit})
		return
	}
	r.calls.Go(func() {
		r.runRequest(ctx, i, arrival)
		<-r.slots
	})
}

// closedLoop runs callers that each wait for their answer before they send the
// next request.
func (r *run) closedLoop(sending, calls context.Context) {
	var next atomic.Int64
	for range r.Concurrency {
		r.calls.Go(func() {
			for sending.Err() == nil {
				i := int(next.Add(1)) - 1
				if r.limitReached(i) {
					return
				}
				if !r.runRequest(calls, i, time.Now()) {
					sleep(sending, refusalDelay)
				}
			}
		})
	}
	over := make(chan struct{})
	go func() { defer close(over); r.calls.Wait() }()
	select {
	case <-over:
	case <-sending.Done():
	}
}

// runRequest runs request i and returns whether it finished.
func (r *run) runRequest(ctx context.Context, i int, arrival time.Time) bool {
	r.sent.Add(1)
	r.running.Add(1)
	defer r.running.Add(-1)
	c := call{run: r, request: r.plan(i), arrival: arrival, onTokens: func(n int) { r.tokens.Add(int64(n)) }}
	c.do(ctx)
	r.recordOutcome(c.out)
	return c.out.finished
}

func (r *run) recordOutcome(o outcome) {
	if o.finished {
		r.finished.Add(1)
	}
	if o.refusal != "" {
		r.refused.Add(1)
	}
	o.onTime = o.first > 0 && o.first <= r.OnTime
	if r.OnDone != nil && o.kind == Generation {
		r.OnDone(Timing{o.organisation, o.first, o.gaps})
	}
	r.recorder.add(o)
}

// printProgress writes a line of progress at every interval.
func (r *run) printProgress(ctx context.Context, w io.Writer, start time.Time) {
	before, at := int64(0), start
	for sleep(ctx, progressInterval) {
		tokens, now := r.tokens.Load(), time.Now()
		fmt.Fprintf(w, "%6.1f s  sent %d  running %d  finished %d  refused %d  tokens/s %.0f\n",
			now.Sub(start).Seconds(), r.sent.Load(), r.running.Load(), r.finished.Load(), r.refused.Load(),
			float64(tokens-before)/now.Sub(at).Seconds())
		before, at = tokens, now
	}
}

func dialer(limit time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{Timeout: limit}).DialContext
}
