//go:build review

package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["departure-lost"] = departureLost
}

const (
	drainMS   = 2000 * time.Millisecond
	contactMS = 3000 * time.Millisecond
	// coreDown is how long the killed processes of the core are away: "back within a second".
	coreDown = 600 * time.Millisecond
	// touchMargin covers the time between the start of a process by this driver and its entry
	// in the record.
	touchMargin = 200 * time.Millisecond
)

// departureLost checks DRAIN: no request reaches a server later than DrainMs after its
// deregistration was acknowledged. All processes of the core are killed right after the
// acknowledgement and are back within a second.
func departureLost(s *system) {
	s.startCore(3, 2)
	for range 8 { // one of them leaves: a share of 0.125
		s.addServer("desk", "-slots", "6", "-work", "15ms")
	}
	s.configure(strings.Join([]string{route("look", "safe", "desk", 1500, 3, false), route("book", "unsafe", "desk", 1500, 1, false)}, ","))
	s.awaitReady()

	var mu sync.Mutex
	sent := map[string]sentRequest{} // by attempt
	var acknowledged, inTouch time.Time
	acked := make(chan struct{})
	leaver := s.servers[0]
	var late, lateRun atomic.Int64
	s.onServer = func(p *process, r serverReport) {
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.What == "deregistered":
			acknowledged, inTouch = now, now
			close(acked)
		case r.What == "runs" && p == leaver && !acknowledged.IsZero() && now.Sub(acknowledged) > drainMS:
			q := sent[r.ID]
			lateRun.Add(1)
			if q.at.Before(inTouch) || q.at.Sub(acknowledged) <= drainMS {
				return // the gateway was not in touch, or the request was sent before
			}
			late.Add(1)
			s.breaks("DRAIN: %s, sent to %s %v after the acknowledgement and %v after the core was stable for ContactMs, runs at %s",
				r.ID, q.gateway, q.at.Sub(acknowledged).Round(time.Millisecond), q.at.Sub(inTouch).Round(time.Millisecond), p.name)
		}
	}

	until := time.Now().Add(16 * time.Second)
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			g := s.gateways[i%len(s.gateways)]
			c := &connection{addr: g.host + ":" + frontPort}
			defer c.close()
			for time.Now().Before(until) {
				method, path := http.MethodGet, "/look/1"
				if i%2 == 0 {
					method, path = http.MethodPost, "/book/1"
				}
				a := c.sendAs(newAttemptID(), method, path, nil, 1500*time.Millisecond, func(id string) {
					mu.Lock()
					sent[id] = sentRequest{time.Now(), g.name}
					mu.Unlock()
				})
				if a.status != http.StatusOK || !a.complete {
					s.log("client at %s: %s %v", g.name, path, &a)
				}
				time.Sleep(80 * time.Millisecond)
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	s.signal(leaver, syscall.SIGTERM)
	<-acked
	if s.trouble {
		s.killCore(3, func() {
			mu.Lock()
			inTouch = time.Now().Add(contactMS + touchMargin)
			mu.Unlock()
		})
	}
	wait.Wait()
	s.log("%d requests ran at %s later than DrainMs after the acknowledgement, %d of them sent by gateways in touch", lateRun.Load(), leaver.name, late.Load())
	s.finish(0)
}

// sentRequest is when and to which gateway a client sent a request.
type sentRequest struct {
	at      time.Time
	gateway string
}

// killCore kills all processes of the first machines at the same moment and starts them again.
func (s *system) killCore(machines int, started func()) {
	var list []*process
	list = append(append(list, s.registries[:machines]...), s.gateways[:machines]...)
	for _, p := range list {
		s.signal(p, syscall.SIGKILL)
	}
	for _, p := range list {
		<-p.done
	}
	time.Sleep(coreDown)
	for i, p := range s.registries[:machines] {
		s.configureProcess(p, i, s.registryRole(p, false)) // it is not the first start of the system
	}
	for _, p := range list {
		s.run(p)
	}
	started()
}
