package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["deadly-late"] = func(w *world) (int, error) { return playDeadly(w, 12) }
	cases["deadly-first"] = func(w *world) (int, error) { return playDeadly(w, 1) }
	// deadly-third is a control: the same request is stopped in time if the servers crash at their third event.
	cases["deadly-third"] = func(w *world) (int, error) { return playDeadly(w, 3) }
}

const (
	deadlyMark = "deadly"
	// allowedRetries is the bound of the rule.
	allowedRetries = 3
	modelServers   = 8
)

func modelService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 890, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
		"Slots": 48, "KvCapacity": 88000, "KvTokenBytes": 163840, "LinkMbps": 1100000.0, "Moves": false, "Backups": false, "Stride": 6, "most": 12,
		"PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 4.0, "Models": []map[string]any{{"Name": "m"}}}}
}

// playDeadly sends a request that crashes each server which begins to run it, once that has made some events of it, and
// sends it again at any gateway.
func playDeadly(w *world, crashAfterEvents int) (int, error) {
	first := newConfiguration(3, []route{{Name: "r-2yhvz3p", Host: hostName, PathPrefix: "/lohu930/", Kind: "stream", TimeoutMs: 25000, SloMs: 4000, Priority: 0,
		Service: "huvo11a", MaxAttempts: 5, Sticky: true, Resumable: true, GapTargetMs: 700}}, modelService("huvo11a"))
	if err := w.startSystem(5, 2, first); err != nil {
		return exitNotRun, err
	}
	var mu sync.Mutex
	var crashes, late int
	var thirdCrash time.Time
	crashAt := func(body string) int {
		if w.trouble && strings.Contains(body, deadlyMark) {
			return crashAfterEvents
		}
		return 0
	}
	onRun := func(s *modelServer, id, body string, at time.Time) {
		if !strings.Contains(body, deadlyMark) {
			return
		}
		w.note("server %s gets the deadly request as %s", s.id, id)
		mu.Lock()
		defer mu.Unlock()
		if thirdCrash.IsZero() || at.Sub(thirdCrash) <= contactMS {
			return
		}
		if late++; late > allowedRetries {
			w.breaks("BUDGET: retry %d of the deadly request, %.1f s after its third crash, at %s", late, at.Sub(thirdCrash).Seconds(), s.id)
		}
	}
	onCrash := func(_ *modelServer, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if crashes++; crashes == 3 {
			thirdCrash = at
		}
	}
	for i := range modelServers {
		if _, err := w.startModelServer(fmt.Sprintf("m%d", i+1), "huvo11a", zones[i%3], crashAt, onRun, onCrash); err != nil {
			return exitNotRun, err
		}
	}
	if err := w.eventually("gateways ready", 15*time.Second, func() bool { return w.ready(w.gateways[0]) && w.ready(w.gateways[1]) }); err != nil {
		return exitNotRun, err
	}
	time.Sleep(contactMS + time.Second) // every machine is in touch
	end := time.Now().Add(25 * time.Second)
	var callers sync.WaitGroup
	var whole, broken int
	for i := range 4 {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("5%d%06d", i, n)
				s := w.callStream(w.gateways[i%2], id, "/lohu930/2f", "a letter "+id, 25*time.Second)
				mu.Lock()
				if s.whole {
					whole++
				} else {
					broken++
					w.note("caller: stream %s ends with status %d after %d of %d events: %v", id, s.status, s.pieces, streamEvents, s.err)
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	served := false
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("dead%04d", n)
		s := w.callStream(w.gateways[n%2], id, "/lohu930/7c", "a "+deadlyMark+" prompt", 25*time.Second)
		w.note("caller: the deadly request as %s through %s: status %d, %d events, whole %v, %v", id, w.gateways[n%2].name, s.status, s.pieces, s.whole, s.err)
		served = served || s.whole
		time.Sleep(max(time.Second, s.retryAfter))
	}
	callers.Wait()
	mu.Lock()
	w.note("crashes %d, retries later than %v after the third %d; streams of other callers: %d whole, %d not", crashes, contactMS, late, whole, broken)
	fmt.Printf("crashes %d, late retries %d, other streams: %d whole, %d not\n", crashes, late, whole, broken)
	mu.Unlock()
	if !w.trouble && !served {
		return exitNotRun, fmt.Errorf("the request was not served without trouble")
	}
	return w.verdict("BUDGET"), nil
}
