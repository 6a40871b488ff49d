//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["foreign-entry"] = foreignEntry
	cases["new-weights"] = newWeights
	cases["preempted"] = preempted
}

// lostAllowed is the number of closed connections that LOST allows ("more than three times").
const lostAllowed = 3

// runStreams keeps streams running until a time, each on a connection that the client has used
// before, and checks LOST: a request that has been passed on to a server gets its answer. It
// starts them at once and calls disturb after a second and a half, when all of them run.
func runStreams(s *system, callers int, paths []string, until time.Time, disturb func()) {
	var mu sync.Mutex
	ranAt := map[string]string{}
	s.onServer = func(p *process, r serverReport) {
		if r.What == "runs" {
			mu.Lock()
			ranAt[r.ID] += " " + p.name
			mu.Unlock()
		}
	}
	var wait sync.WaitGroup
	var whole, refused, cut atomic.Int64
	for i := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &connection{addr: s.gateways[i%len(s.gateways)].host + ":" + frontPort}
			defer c.close()
			path := paths[i%len(paths)]
			for n := int64(i) << 16; time.Now().Before(until); n++ {
				if first := c.send(http.MethodGet, "/look/1", nil, 1500*time.Millisecond); first.status != http.StatusOK {
					s.log("client: the lookup before the stream: %v", &first)
					time.Sleep(200 * time.Millisecond)
					continue
				}
				a := c.send(http.MethodPost, path, streamHeader(n), 25*time.Second)
				s.log("client: %s %v", path, &a)
				time.Sleep(20 * time.Millisecond) // the server's report may still be on its way
				mu.Lock()
				ran := ranAt[a.id]
				mu.Unlock()
				switch {
				case a.status == http.StatusOK && a.complete:
					whole.Add(1)
				case a.status != 0 && a.complete:
					refused.Add(1)
				default:
					cut.Add(1)
					if a.reused && ran != "" {
						s.breaks("LOST: %s on %s ran at%s, and its kept connection was closed after %d pieces without the whole answer", a.id, path, ran, len(a.events))
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		disturb()
	}
	wait.Wait()
	s.log("%d streams whole, %d answered with an error, %d cut", whole.Load(), refused.Load(), cut.Load())
}

func startStreams(s *system, servers int) {
	s.startSystem(3, 2)
	for range servers {
		s.addServer("model")
	}
	for range 3 {
		s.addServer("desk", "-slots", "6", "-work", "15ms")
	}
	s.configure(strings.Join([]string{route("letters", "stream", "model", 25000, 5, true), route("notes", "stream", "model", 25000, 1, false), route("look", "safe", "desk", 1500, 3, false)}, ","))
	s.awaitReady()
}

// foreignEntry sends heartbeats of another writer. They name a service that no configuration
// has, and the addresses of the running model servers.
func foreignEntry(s *system) {
	startStreams(s, 3)
	runStreams(s, 30, []string{"/notes/1", "/letters/1"}, time.Now().Add(15*time.Second), func() {
		for i, p := range s.servers[:3] {
			body := fmt.Sprintf(`{"Service":"mailer","Addr":"%s:%s","Zone":"z%d","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1,"born":%d}`, p.host, serverPort, i, time.Now().UnixMilli())
			res, err := http.Post(fmt.Sprintf("http://%s/v1/instances/job-%d/heartbeat", s.controlAddresses()[i], i), "application/json", strings.NewReader(body))
			if err != nil {
				s.cannotRun("%v", err)
			}
			answer, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			s.log("another writer sends the heartbeat %s, answered %d %s", body, res.StatusCode, strings.TrimSpace(string(answer)))
			time.Sleep(2 * time.Second)
		}
	})
	s.finish(lostAllowed)
}

// newWeights makes each server change the version of its weights once while streams run.
func newWeights(s *system) {
	startStreams(s, 3)
	runStreams(s, 30, []string{"/notes/1", "/letters/1"}, time.Now().Add(15*time.Second), func() {
		for _, p := range s.servers[:3] {
			s.signal(p, syscall.SIGUSR1)
		}
	})
	s.finish(lostAllowed)
}

// preempted makes the servers preempt the newest half of their streams for some seconds.
func preempted(s *system) {
	startStreams(s, 3)
	runStreams(s, 30, []string{"/notes/1", "/letters/1"}, time.Now().Add(15*time.Second), func() {
		for _, p := range s.servers[:3] {
			s.signal(p, syscall.SIGUSR2)
		}
	})
	s.finish(lostAllowed)
}
