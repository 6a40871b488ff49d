package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	crashing     = flag.String("soak.crashing", "", "cases of crashing requests to play, by prefix, or all; the short list by default")
	crashingTime = flag.Duration("soak.crashing.time", 14*time.Second, "for how long a crashing request is sent again")
)

const (
	// resend is the time between two tries of the caller.
	resend = 400 * time.Millisecond
	// contactTime and laterArrivals are the users' bound: a request that has ended three
	// servers reaches no more than three others later than that after the third.
	contactTime   = 3 * time.Second
	laterArrivals = 3
)

// crashingCase says what is sent, how servers end and return, and what else fails.
type crashingCase struct {
	name string
	// path is the route, senders the number of callers that send at once.
	path    string
	senders int
	// dark servers fall silent instead of closing their connections; events are sent first.
	dark   bool
	events int
	// back is when a server returns, 0 for never; moved at another address, taken
	// with another service at its address.
	back         time.Duration
	moved, taken bool
	// impatient callers leave after this time.
	impatient time.Duration
	// meanwhile is called beside the callers.
	meanwhile func(w *world, stop <-chan time.Time)
	// quick cases are played in CI.
	quick bool
}

var crashingCases = []crashingCase{
	{name: "stream", path: "letters", back: 2 * time.Second},
	{name: "stream dark", path: "letters", dark: true, back: 2 * time.Second},
	{name: "stream impatient callers", path: "letters", dark: true, back: 2 * time.Second, impatient: 250 * time.Millisecond},
	{name: "stream after one event", path: "letters", events: 1, back: 2 * time.Second},
	{name: "stream after events", path: "letters", events: 5, back: 2 * time.Second},
	{name: "stream eight senders", path: "letters", senders: 8, back: 2 * time.Second},
	{name: "stream back late", path: "letters", back: 11 * time.Second, quick: true},
	{name: "stream never back", path: "letters"},
	{name: "stream dark never back", path: "letters", dark: true},
	{name: "stream moved", path: "letters", back: 2 * time.Second, moved: true},
	{name: "stream address taken", path: "letters", back: 2 * time.Second, taken: true},
	{name: "lookup", path: "look", back: 2 * time.Second, quick: true},
	{name: "lookup dark", path: "look", dark: true, back: 2 * time.Second},
	{name: "lookup eight senders", path: "look", senders: 8, back: 2 * time.Second},
	{name: "booking", path: "book", back: 2 * time.Second},
	{name: "booking dark", path: "book", dark: true, back: 2 * time.Second},
	{name: "stream gateways restart", path: "letters", back: 2 * time.Second, meanwhile: func(w *world, stop <-chan time.Time) { w.restartInTurn(w.gateways, stop) }},
	{name: "stream control restarts", path: "letters", back: 2 * time.Second, meanwhile: func(w *world, stop <-chan time.Time) { w.restartInTurn(w.registries, stop) }},
	{name: "stream all killed", path: "letters", back: 2 * time.Second, quick: true, meanwhile: func(w *world, _ <-chan time.Time) {
		time.Sleep(5 * time.Second)
		w.restart(0, w.all()...)
	}},
	{name: "lookup all killed", path: "look", back: 2 * time.Second, meanwhile: func(w *world, _ <-chan time.Time) {
		time.Sleep(5 * time.Second)
		w.restart(0, w.all()...)
	}},
	{name: "stream control loses disks", path: "letters", back: 2 * time.Second, meanwhile: func(w *world, _ <-chan time.Time) {
		time.Sleep(5 * time.Second)
		for _, r := range w.registries {
			r.kill()
			_ = os.RemoveAll(filepath.Join(r.folder, "data", "registry", "directory.json"))
			r.start()
			time.Sleep(time.Second)
		}
		w.restart(0, w.gateways...)
	}},
	{name: "stream control frozen", path: "letters", back: 2 * time.Second, meanwhile: func(w *world, _ <-chan time.Time) {
		for _, r := range w.registries {
			w.freeze(6*time.Second, r)
		}
	}},
}

// restartInTurn kills and starts one process after the other.
func (w *world) restartInTurn(list []*process, stop <-chan time.Time) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
			w.restart(0, list[i%len(list)])
		}
	}
}

// fatal is a request that ends each server that begins to run it.
type fatal struct {
	crashingCase
	mu       sync.Mutex
	arrivals []time.Time
	ended    []time.Time
}

const fatalBody = "body that ends a server"

// arrived ends a server at which the request has begun.
func (f *fatal) arrived(s *server, rw http.ResponseWriter) {
	f.mu.Lock()
	f.arrivals = append(f.arrivals, time.Now())
	f.mu.Unlock()
	rw.Header().Set("Response-Seal", "seal")
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := range f.events {
		time.Sleep(eventPause)
		fmt.Fprintf(rw, "id: %d\ndata: piece\n\n", i)
		rw.(http.Flusher).Flush()
	}
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if !down {
		f.mu.Lock()
		f.ended = append(f.ended, time.Now())
		f.mu.Unlock()
		s.crash(f.dark)
		if f.back > 0 {
			time.AfterFunc(f.back, func() { s.comeBack(f.moved, f.taken) })
		}
	}
	panic(http.ErrAbortHandler)
}

// later counts the arrivals that the users count.
func (f *fatal) later() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ended) < 3 {
		return 0
	}
	slices.SortFunc(f.ended, time.Time.Compare)
	for _, at := range f.arrivals {
		if at.After(f.ended[2].Add(contactTime)) {
			n++
		}
	}
	return n
}

// Guards against a request that ends one server after the other.
func TestCrashingRequests(t *testing.T) {
	for _, c := range crashingCases {
		if *crashing == "" && !c.quick || !strings.HasPrefix(c.name, strings.TrimPrefix(*crashing, "all")) {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playCrashing(t, c)
		})
	}
}

func playCrashing(t *testing.T, c crashingCase) {
	f := &fatal{crashingCase: c}
	w := newWorld(t, *first, 4, 4, 9)
	w.fatal.Store(f)
	client := &http.Client{Timeout: time.Second}
	w.eventually("first configuration", 20*time.Second, func() bool { return w.replace(client, w.registries[0].addr(operatorPort)) })
	w.eventually("gateways ready", 20*time.Second, w.ready)
	w.settle()
	w.callers(4)
	time.Sleep(time.Second)
	var wait sync.WaitGroup
	if c.meanwhile != nil {
		wait.Go(func() { c.meanwhile(w, time.After(*crashingTime)) })
	}
	for end := time.Now().Add(*crashingTime); time.Now().Before(end); time.Sleep(resend) {
		for range max(1, c.senders) {
			gateway := w.gateways[w.rng.IntN(len(w.gateways))]
			wait.Go(func() { w.sendFatal(c, gateway.addr(callerPort)) })
		}
	}
	wait.Wait()
	f.mu.Lock()
	ended := len(f.ended)
	f.mu.Unlock()
	t.Logf("%s: %d servers ended, %d arrivals, %d later than %v after the third end", c.name, ended, len(f.arrivals), f.later(), contactTime)
	assert.Assert(t, ended >= 3, "too few servers ended to say anything")
	assert.Assert(t, f.later() <= laterArrivals, "%d arrivals later than %v after the third end", f.later(), contactTime)
	assert.Equal(t, len(w.violations), 0, "%v", w.violations[:min(len(w.violations), 10)])
}

// sendFatal sends the request once; its answer does not matter.
func (w *world) sendFatal(c crashingCase, addr string) {
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if c.impatient > 0 {
		client.Timeout = c.impatient
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+c.path+"/x", strings.NewReader(fatalBody))
	if err != nil {
		w.t.Error(err)
		return
	}
	r.Host, r.GetBody = "h", nil
	for name, value := range map[string]string{
		"Attempt-Id": fmt.Sprint("fatal-", w.attempts.Add(1)), "Authorization": "Bearer secret", "Deadline-Ms": "8000", "Token-Count": "800,200",
	} {
		r.Header.Set(name, value)
	}
	res, err := client.Do(r)
	if err == nil {
		_ = res.Body.Close()
	}
}
