package soak

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// sameID servers return under the id that they had. Announcements of all servers arrive
	// late by this time, also those of servers that have ended meanwhile.
	sameID bool
	late   time.Duration
	// reading servers end while they read a long body. The first ones of all answer whole.
	reading bool
	whole   int64
	// requests is the number of different requests that end servers.
	requests int
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
	{name: "stream late announcements", path: "letters", back: 2 * time.Second, late: 2500 * time.Millisecond, quick: true},
	{name: "stream late announcements never back", path: "letters", late: 2500 * time.Millisecond},
	{name: "stream dark late announcements", path: "letters", dark: true, back: 2 * time.Second, late: 2500 * time.Millisecond},
	{name: "lookup late announcements", path: "look", back: 2 * time.Second, late: 2500 * time.Millisecond},
	{name: "stream late announcements all killed", path: "letters", back: 2 * time.Second, late: 2500 * time.Millisecond, meanwhile: allKilled},
	{name: "stream late announcements gateways restart", path: "letters", back: 2 * time.Second, late: 2500 * time.Millisecond, meanwhile: gatewaysRestart},
	{name: "stream dark late announcements control restarts", path: "letters", dark: true, back: 2 * time.Second, late: 2500 * time.Millisecond, meanwhile: controlRestarts},
	{name: "booking late announcements moved", path: "book", back: 2 * time.Second, late: 2500 * time.Millisecond, moved: true},
	{name: "stream same id", path: "letters", back: 2 * time.Second, sameID: true},
	{name: "stream back at once", path: "letters", back: 100 * time.Millisecond},
	{name: "stream dark back at once", path: "letters", dark: true, back: 100 * time.Millisecond},
	{name: "stream while it is read", path: "letters", back: 2 * time.Second, reading: true},
	{name: "booking while it is read", path: "book", dark: true, back: 2 * time.Second, reading: true},
	{name: "stream whole before", path: "letters", back: 2 * time.Second, whole: 3},
	{name: "lookup whole before", path: "look", back: 2 * time.Second, whole: 3},
	{name: "stream five requests", path: "letters", back: 2 * time.Second, requests: 5},
	{name: "stream dark five requests", path: "letters", dark: true, back: 2 * time.Second, requests: 5},
	{name: "lookup five requests all killed", path: "look", back: 2 * time.Second, requests: 5, meanwhile: allKilled},
	{name: "stream gateways restart", path: "letters", back: 2 * time.Second, meanwhile: gatewaysRestart},
	{name: "stream gateways freeze", path: "letters", back: 2 * time.Second, meanwhile: gatewaysFreeze},
	{name: "stream control restarts", path: "letters", back: 2 * time.Second, meanwhile: controlRestarts},
	{name: "stream control frozen", path: "letters", back: 2 * time.Second, meanwhile: controlFreezes},
	{name: "stream control loses disks", path: "letters", back: 2 * time.Second, meanwhile: controlLosesDisks},
	{name: "stream all killed", path: "letters", back: 2 * time.Second, meanwhile: allKilled, quick: true},
	{name: "stream dark all killed", path: "letters", dark: true, back: 2 * time.Second, meanwhile: allKilled},
	{name: "stream dark control restarts", path: "letters", dark: true, back: 2 * time.Second, meanwhile: controlRestarts},
	{name: "stream eight senders all killed", path: "letters", senders: 8, back: 2 * time.Second, meanwhile: allKilled},
	{name: "stream moved gateways restart", path: "letters", back: 2 * time.Second, moved: true, meanwhile: gatewaysRestart},
	{name: "stream taken control loses disks", path: "letters", back: 2 * time.Second, taken: true, meanwhile: controlLosesDisks},
	{name: "lookup all killed", path: "look", back: 2 * time.Second, meanwhile: allKilled},
	{name: "lookup moved gateways freeze", path: "look", back: 2 * time.Second, moved: true, meanwhile: gatewaysFreeze},
	{name: "booking moved all killed", path: "book", back: 2 * time.Second, moved: true, meanwhile: allKilled},
	{name: "booking dark control frozen", path: "book", dark: true, back: 2 * time.Second, meanwhile: controlFreezes},
}

func gatewaysRestart(w *world, stop <-chan time.Time) { w.restartInTurn(w.gateways, stop) }

func controlRestarts(w *world, stop <-chan time.Time) { w.restartInTurn(w.registries, stop) }

func gatewaysFreeze(w *world, stop <-chan time.Time) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
			w.freeze(2500*time.Millisecond, w.gateways[i%len(w.gateways)])
		}
	}
}

func controlFreezes(w *world, _ <-chan time.Time) {
	for _, r := range w.registries {
		w.freeze(6*time.Second, r)
	}
}

// othersFailAfter is when what happens once happens.
const othersFailAfter = 5 * time.Second

func allKilled(w *world, _ <-chan time.Time) {
	time.Sleep(othersFailAfter)
	w.restart(0, w.all()...)
}

// controlLosesDisks takes the files of one control instance after the other, and then
// restarts the gateways.
func controlLosesDisks(w *world, _ <-chan time.Time) {
	time.Sleep(othersFailAfter)
	for _, r := range w.registries {
		r.kill()
		for _, file := range []string{"directory.json", "crashes.json"} {
			if err := os.RemoveAll(filepath.Join(r.folder, "data", "registry", file)); err != nil {
				w.t.Error(err)
			}
		}
		r.start()
		time.Sleep(2 * time.Second)
	}
	w.restart(0, w.gateways...)
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

// fatal are requests that end each server that begins to run them, and what servers
// have seen of each, by its body.
type fatal struct {
	crashingCase
	answered atomic.Int64
	mu       sync.Mutex
	arrivals map[string][]time.Time
	ended    map[string][]time.Time
}

// Requests whose bodies begin with fatalBody end servers; harmlessBody is that of one that
// meets such ends by chance.
const (
	fatalBody    = "body that ends a server"
	harmlessBody = "body that harms nobody"
)

// body returns the body of one of the requests.
func (c *crashingCase) body(i int) string {
	b := fmt.Sprintf("%s, request %d", fatalBody, i%max(1, c.requests))
	if c.reading {
		b += strings.Repeat(" ", 90_000)
	}
	return b
}

// arrived ends a server at which a request has begun. It returns false if the request is
// to be answered.
func (f *fatal) arrived(s *server, body string, rw http.ResponseWriter) bool {
	if f.answered.Add(1) <= f.whole {
		return false
	}
	f.mu.Lock()
	f.arrivals[body] = append(f.arrivals[body], time.Now())
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
		f.ended[body] = append(f.ended[body], time.Now())
		f.mu.Unlock()
		s.crash(f.dark)
		if f.back > 0 {
			time.AfterFunc(f.back, func() { s.comeBack(f.crashingCase) })
		}
	}
	return true
}

// count returns the servers that ended, and for the request with the most of them the
// arrivals that the users count, in seconds after the third end.
func (f *fatal) count() (ended int, later []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for body, list := range f.ended {
		ended += len(list)
		if len(list) < 3 {
			continue
		}
		slices.SortFunc(list, time.Time.Compare)
		var counted []string
		for _, at := range f.arrivals[body] {
			if at.After(list[2].Add(contactTime)) {
				counted = append(counted, fmt.Sprintf("%.1f", at.Sub(list[2]).Seconds()))
			}
		}
		if len(counted) > len(later) {
			later = counted
		}
	}
	return ended, later
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
	f := &fatal{crashingCase: c, arrivals: map[string][]time.Time{}, ended: map[string][]time.Time{}}
	w := newWorld(t, *first, 4, 4, 9)
	w.fatal.Store(f)
	w.lateAnnouncements.Store(int64(c.late))
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
		for i := range max(1, c.senders, c.requests) {
			gateway := w.gateways[w.rng.IntN(len(w.gateways))]
			wait.Go(func() { _, _ = w.sendAgain(c.path, c.body(i), gateway.addr(callerPort), c.impatient) })
		}
	}
	wait.Wait()
	ended, later := f.count()
	t.Logf("%s: %d servers ended, %d arrivals later than %v after the third end: %v", c.name, ended, len(later), contactTime, later)
	assert.Assert(t, ended >= 3, "too few servers ended to say anything")
	assert.Assert(t, len(later) <= laterArrivals, "%d arrivals later than %v after the third end", len(later), contactTime)
	assert.Equal(t, len(w.violations), 0, "%v", w.violations[:min(len(w.violations), 10)])
}

// sendAgain sends a request that has been sent before, and returns status and body of its answer.
func (w *world) sendAgain(path, body, addr string, patience time.Duration) (status int, answer string) {
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if patience > 0 {
		client.Timeout = patience
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+path+"/x", strings.NewReader(body))
	if err != nil {
		w.t.Error(err)
		return 0, ""
	}
	r.Host, r.GetBody = "h", nil
	for name, value := range map[string]string{
		"Attempt-Id": fmt.Sprint("again-", w.attempts.Add(1)), "Authorization": "Bearer secret", "Deadline-Ms": "8000", "Token-Count": "800,200",
	} {
		r.Header.Set(name, value)
	}
	res, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body) // a stream that is broken off counts by its status
	return res.StatusCode, string(b)
}

// Guards against a harmless request that is held or blocked since zone after zone was lost
// while it ran.
func TestZonesLostUnderAHarmlessRequest(t *testing.T) {
	t.Parallel()
	w := newWorld(t, *first, 4, 4, 9)
	client := &http.Client{Timeout: time.Second}
	w.eventually("first configuration", 20*time.Second, func() bool { return w.replace(client, w.registries[0].addr(operatorPort)) })
	w.eventually("gateways ready", 20*time.Second, w.ready)
	w.settle()
	w.callers(8)
	var held, served, all atomic.Int64
	send := func(path string) {
		status, answer := w.sendAgain(path, harmlessBody, w.gateways[rand.IntN(len(w.gateways))].addr(callerPort), 0)
		all.Add(1)
		if status == http.StatusOK {
			served.Add(1)
		}
		if strings.Contains(answer, "crash") {
			held.Add(1)
		}
	}
	var wait sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < 16*time.Second; i++ {
		if i%10 == 0 && i < 50 { // every two seconds, five times
			for _, s := range w.servers {
				if s.zone == fmt.Sprint("z", i/10%3) {
					w.crash(s, i%20 == 0, 1200*time.Millisecond)
				}
			}
		}
		for _, path := range []string{"letters", "look"} {
			wait.Go(func() { send(path) })
		}
		time.Sleep(200 * time.Millisecond)
	}
	wait.Wait()
	t.Logf("%d of %d served, %d held while zones were lost", served.Load(), all.Load(), held.Load())
	assert.Equal(t, held.Load(), int64(0))
	assert.Equal(t, len(w.violations), 0, "%v", w.violations[:min(len(w.violations), 10)])
}
