package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/heatherway/internal/fault"
)

const heartbeatInterval = 300 * time.Millisecond

// server is a stand-in for an upstream behind a proxy. It restarts as a new
// incarnation at the same address.
type server struct {
	w       *world
	service string
	zone    string
	proxy   *fault.Proxy
	backend *httptest.Server

	mu          sync.Mutex
	id          string
	started     int64
	seq         int64
	state       string
	down        bool
	keepID      bool
	incarnation int
	// drainedAt is when a registry acknowledged that it drains.
	drainedAt time.Time
}

// ledger notes what ran, by the id of the caller's attempt.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

var incarnations atomic.Int64

func (w *world) newServer(service, zone string) *server {
	s := &server{w: w, service: service, zone: zone}
	s.backend = httptest.NewServer(http.HandlerFunc(s.serve))
	p, err := fault.NewProxy("127.0.0.1:0", s.backend.Listener.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	s.proxy = p
	s.reborn()
	go s.announce()
	return s
}

// reborn starts a new incarnation.
func (s *server) reborn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keepID {
		s.id = fmt.Sprintf("i-%d", incarnations.Add(1))
	}
	s.started, s.seq, s.state, s.down, s.drainedAt = time.Now().UnixMilli(), 0, "ready", false, time.Time{}
	s.incarnation++
}

// crash ends the incarnation: connections are reset, or just fall silent.
func (s *server) crash(dark bool) {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	s.proxy.RefuseConnections(true)
	if dark {
		s.proxy.Silence()
	} else {
		s.proxy.Reset()
	}
}

func (s *server) restart() {
	s.reborn()
	s.proxy.Reset() // a new process has none of the old connections
	s.proxy.RefuseConnections(false)
}

// comeBack starts the server again: at another address, or at its own, where another
// service may have come instead.
func (s *server) comeBack(c crashingCase) {
	if c.moved {
		p, err := fault.NewProxy("127.0.0.1:0", s.backend.Listener.Addr().String())
		if err != nil {
			s.w.t.Error(err)
			return
		}
		s.w.t.Cleanup(p.Close)
		s.mu.Lock()
		s.proxy = p
		s.mu.Unlock()
	}
	if c.taken {
		s.mu.Lock()
		s.service = map[string]string{"model": "desk", "desk": "model"}[s.service]
		s.mu.Unlock()
	}
	if c.sameID {
		s.mu.Lock()
		s.keepID = true
		s.mu.Unlock()
	}
	s.restart()
}

// announce sends heartbeats to any registry until the world ends.
func (s *server) announce() {
	client := &http.Client{Timeout: time.Second}
	for s.w.running() {
		s.mu.Lock()
		s.seq++
		body := fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":%q,"Version":"v1","Slots":64,"State":%q,"ColdLeftMs":0,"Seq":%d,"born":%d}`,
			s.service, s.proxy.Addr(), s.zone, s.state, s.seq, s.started)
		id, down, draining := s.id, s.down, s.state == "draining"
		s.mu.Unlock()
		if late := time.Duration(s.w.lateAnnouncements.Load()); !down && late > 0 {
			time.AfterFunc(late, func() { s.post(client, id, body, draining) })
		} else if !down {
			s.post(client, id, body, draining)
		}
		time.Sleep(heartbeatInterval)
	}
}

// post sends one heartbeat to registries until one of them takes it.
func (s *server) post(client *http.Client, id, body string, draining bool) {
	for _, i := range rand.Perm(len(s.w.registries)) {
		url := "http://" + s.w.registries[i].addr(operatorPort) + "/v1/instances/" + id + "/heartbeat"
		res, err := client.Post(url, "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			s.acknowledged(id, draining)
			break
		}
	}
}

func (s *server) acknowledged(id string, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if draining && s.id == id && s.drainedAt.IsZero() {
		s.drainedAt = time.Now()
	}
}

// Pieces of an answer depend on the request alone, so that any mixture shows.
func pieceOf(id string, n int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", id, n)
	return fmt.Sprintf("%016x", h.Sum64())
}

// length is the number of events in the answer to a request.
func length(id string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return 15 + int(h.Sum32()%25)
}

// shedOneIn is the share of requests that a server turns away while faults last, asking for
// backoff.
const shedOneIn = 50

const eventPause = 15 * time.Millisecond

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := s.read(r)
	if err != nil {
		return
	}
	s.mu.Lock()
	id, down, incarnation, drained, leaving := s.id, s.down, s.incarnation, s.drainedAt, s.state == "draining"
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		s.control(w, r)
		return
	}
	h := w.Header()
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	switch f := s.w.fatal.Load(); {
	case down:
		panic(http.ErrAbortHandler)
	case r.Header.Get("Expect-Instance") != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case f != nil && strings.HasPrefix(string(body), fatalBody):
		if f.arrived(s, string(body), w) {
			panic(http.ErrAbortHandler)
		}
	case r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != "mill" || string(body) != "body of "+attempt && string(body) != harmlessBody:
		s.w.violate("UNASKED: %s got headers %v and body %q", id, r.Header, body)
	case s.w.calm.Load() && !drained.IsZero() && time.Since(drained) > 2*time.Second:
		s.w.violate("DRAIN: %s got %s %v after it drained", id, attempt, time.Since(drained))
	}
	if r.Header.Get("Kv-From") != "" && rand.IntN(3) == 0 {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.w.calm.Load() && rand.IntN(shedOneIn) == 0 {
		h.Set("Not-Run", "1")
		h.Set("Retry-After", "0.150")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set("Response-Seal", "seal of "+attempt)
	s.w.ledger.ran(attempt)
	if s.service == "desk" {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, pieceOf(attempt, 0))
		return
	}
	s.stream(w, r, attempt, incarnation)
}

// read reads a body, or the beginning of one that ends the server while it is read.
func (s *server) read(r *http.Request) ([]byte, error) {
	f := s.w.fatal.Load()
	if f == nil || !f.reading {
		return io.ReadAll(r.Body)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(len(f.body(0)))/2))
	if err != nil || !strings.HasPrefix(string(body), fatalBody) {
		rest, err := io.ReadAll(r.Body)
		return append(body, rest...), err
	}
	return body, nil
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, attempt string, incarnation int) {
	w.Header().Set("Content-Type", "text/event-stream")
	next := 0
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &next); err == nil {
		next++
	}
	for ; next < length(attempt); next++ {
		time.Sleep(eventPause)
		s.mu.Lock()
		gone := s.down || s.incarnation != incarnation
		s.mu.Unlock()
		if gone || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, pieceOf(attempt, next))
		w.(http.Flusher).Flush()
	}
}

// control answers the calls of heatherway itself.
func (s *server) control(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		_, _ = io.WriteString(w, `{"Queued":0,"KvUsed":0,"Runs":[]}`)
	case r.URL.Path == "/v1/kv-move":
		_, _ = io.WriteString(w, `{"Handle":"h","made":0}`)
	}
}
