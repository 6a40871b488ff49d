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
	cases["unframed-stream"] = unframedStream
	cases["unframed-plain"] = unframedPlain
}

// serverCount is the number of servers of the service in these cases: the crash of one is a
// share of 0.17. unframedServers of them send one in twenty answers without a length: a share of
// 0.5, and 0.05 of their answers.
const (
	serverCount     = 6
	unframedServers = 3
)

// startUnframed starts a deployment some of whose servers send answers without a length.
func startUnframed(s *system, service string, options ...string) {
	s.startSystem(3, 2)
	for i := range serverCount {
		if i < unframedServers {
			s.addServer(service, append([]string{"-unframed", "20"}, options...)...)
			continue
		}
		s.addServer(service, options...)
	}
	s.configure(strings.Join([]string{route("letters", "stream", "model", 25000, 5, true), route("look", "safe", "desk", 1500, 3, false), route("book", "unsafe", "desk", 1500, 1, false)}, ","))
	s.awaitReady()
}

// crashInTurn kills the servers that send such answers one after the other; each is back after
// the time that it is down.
func crashInTurn(s *system, until time.Time, gap, down time.Duration) {
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(gap - down)
		if !s.trouble {
			time.Sleep(down)
			continue
		}
		p := s.servers[i%unframedServers]
		s.signal(p, syscall.SIGKILL)
		<-p.done
		time.Sleep(down)
		s.runServer(p)
	}
}

// unframedStream checks ORDER: a stream that ends as complete has all of its pieces.
func unframedStream(s *system) {
	startUnframed(s, "model")
	const callers, events = 120, 130
	until := time.Now().Add(45 * time.Second)
	var wait sync.WaitGroup
	var whole, cut atomic.Int64
	for i := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &connection{addr: s.gateways[i%len(s.gateways)].host + ":" + frontPort}
			defer c.close()
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			for n := int64(i) << 16; time.Now().Before(until); n++ {
				a := c.send(http.MethodPost, "/letters/1", streamHeader(n), 25*time.Second)
				s.log("client: %v", &a)
				switch {
				case a.status != http.StatusOK || !a.complete:
					cut.Add(1)
				case len(a.events) < events || a.wrong:
					s.breaks("ORDER: the stream of %s looks complete after %d of %d pieces", a.id, len(a.events), events)
				default:
					whole.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	crashInTurn(s, until, 7*time.Second, 4500*time.Millisecond)
	wait.Wait()
	s.log("%d streams whole, %d refused or cut", whole.Load(), cut.Load())
	s.finish(0)
}

// unframedPlain checks MIXED: a success has the server's whole body.
func unframedPlain(s *system) {
	startUnframed(s, "desk", "-work", "100ms", "-slots", "6")
	const callers = 36
	until := time.Now().Add(95 * time.Second)
	var wait sync.WaitGroup
	var whole, failed atomic.Int64
	for i := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &connection{addr: s.gateways[i%len(s.gateways)].host + ":" + frontPort}
			defer c.close()
			for time.Now().Before(until) {
				method, path := http.MethodGet, "/look/1"
				if i%2 == 0 {
					method, path = http.MethodPost, "/book/1"
				}
				a := c.send(method, path, nil, 1500*time.Millisecond)
				switch {
				case a.status != http.StatusOK || !a.complete:
					s.log("client: %s %v", path, &a)
					failed.Add(1)
				case a.body != plainBody(a.id):
					s.breaks("MIXED: the answer to %s on %s looks complete with %d of %d bytes, sealed %v", a.id, path, len(a.body), len(plainBody(a.id)), a.sealed)
				default:
					whole.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	crashInTurn(s, until, 2500*time.Millisecond, 1200*time.Millisecond)
	wait.Wait()
	s.log("%d answers whole, %d failed", whole.Load(), failed.Load())
	s.finish(0)
}
