package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cases are the scripted cases by name.
var cases = map[string]func(*world) (int, error){"leaving": playLeaving}

// cutLength is how long the leaving server is partitioned from control, the figure in brackets behind for_s.
const cutLength = 5 * time.Second

// otherServers is the number of model servers beside the two of the service, so that one server is an eighth of all once the first of
// them has left.
const otherServers = 7

// playLeaving takes the two servers of a service away one after the other, as planned work. The last one reports
// draining and serves on for some seconds more. Meanwhile it is partitioned from the control instances, not from the
// gateways.
func playLeaving(w *world) (int, error) {
	first := newConfiguration(3, []route{
		{Name: "r-book", Host: hostName, PathPrefix: "/puxa403/", Kind: "unsafe", TimeoutMs: 2500, SloMs: 100, Priority: 1, Service: "xano55b", MaxAttempts: 1},
		{Name: "r-look", Host: hostName, PathPrefix: "/cuti104/", Kind: "safe", TimeoutMs: 2500, SloMs: 100, Priority: 1, Service: "xano55b", MaxAttempts: 2},
		{Name: "r-2yhvz3p", Host: hostName, PathPrefix: "/lohu930/", Kind: "stream", TimeoutMs: 25000, SloMs: 4000, Priority: 0,
			Service: "huvo11a", MaxAttempts: 5, Sticky: true, Resumable: true, GapTargetMs: 700},
	}, plainService("xano55b"), modelService("huvo11a"))
	if err := w.startSystem(5, 2, first); err != nil {
		return exitNotRun, err
	}
	var mu sync.Mutex
	sent := map[string]time.Time{} // when each attempt was sent
	check := func(s *server, r *http.Request, at time.Time) {
		acked := s.drainingAckedAt.Load()
		id := r.Header.Get("Attempt-Id")
		mu.Lock()
		sentAt := sent[id]
		mu.Unlock()
		if acked == 0 {
			return
		}
		// The rule counts requests that were taken from the caller and sent on later than the bound.
		if late := sentAt.Sub(time.UnixMilli(acked)); late > drainMS {
			w.breaks("DRAIN: %s, sent by its caller %d ms after draining was acknowledged, reaches %s (bound %d ms)", id, late.Milliseconds(), s.id, drainMS.Milliseconds())
		}
	}
	other, err := w.startServer("i-575acf9f09", "xano55b", "by-b", 15*time.Millisecond, check)
	if err != nil {
		return exitNotRun, err
	}
	s, err := w.startServer("i-7f3a91c2", "xano55b", "by-a", 15*time.Millisecond, check)
	if err != nil {
		return exitNotRun, err
	}
	for i := range otherServers {
		if _, err := w.startModelServer(fmt.Sprintf("m%d", i+1), "huvo11a", zones[i%3], func(string) int { return 0 }, nil, nil); err != nil {
			return exitNotRun, err
		}
	}
	if err := w.eventually("gateways ready", 15*time.Second, func() bool { return w.ready(w.gateways[0]) && w.ready(w.gateways[1]) }); err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	served := make(chan struct{}, 10000)
	for i, g := range w.gateways {
		for kind, method := range map[string]string{"/puxa403/2f": http.MethodPost, "/cuti104/2f": http.MethodGet} {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(150 * time.Millisecond):
					}
					id := fmt.Sprintf("%d%s%04d", i, method, n)
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					if a := w.call(g, id, method, kind, 2500*time.Millisecond, nil); a.status == http.StatusOK {
						served <- struct{}{}
					}
				}
			})
		}
	}
	time.Sleep(contactMS + time.Second) // every machine is in touch
	if len(served) < 20 {
		return exitNotRun, fmt.Errorf("only %d requests were served before the planned work", len(served))
	}
	if err := w.leave(other); err != nil {
		return exitNotRun, err
	}
	time.Sleep(drainMS + time.Second)
	other.deregister()
	other.exit()
	if err := w.leave(s); err != nil {
		return exitNotRun, err
	}
	time.Sleep(heartbeat / 2)
	if w.trouble {
		w.note("trouble: %s is partitioned from control for %v", s.id, cutLength)
		s.link.cut.Store(true)
		time.AfterFunc(cutLength, func() {
			s.link.cut.Store(false)
			w.note("trouble: the partition heals")
		})
	}
	time.Sleep(14 * time.Second) // it serves on, as leaving servers do at times for many seconds
	close(stop)
	callers.Wait()
	s.deregister()
	s.exit()
	return w.verdict("DRAIN"), nil
}

// leave makes a server report draining and waits for the acknowledgement.
func (w *world) leave(s *server) error {
	w.note("planned work: %s begins to leave", s.id)
	s.state.Store("draining")
	return w.eventually("draining acknowledged", 5*time.Second, func() bool { return s.drainingAckedAt.Load() > 0 })
}
