package soak

import (
	"cmp"
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

// server is a simulated upstream behind a proxy. A restart creates a new
// incarnation, by default at the same address.
type server struct {
	system  *testSystem
	service string
	zone    string
	proxy   *fault.Proxy
	backend *httptest.Server

	mu        sync.Mutex
	id        string
	startedMS int64
	seq       int64
	state     string
	crashed   bool
	keepsID   bool
	// version is that of the software, which an update replaces at the next start. Each event
	// names the version that wrote it.
	version     string
	incarnation int
	// drainAckedAt is when a registry acknowledged that the server is draining.
	drainAckedAt time.Time
	// limit records the limit that the server names, and the requests that it gets.
	limit serverLimit
	// answerAs, if set, is called for each request that the server runs. It may delay the answer or say that it fails.
	answerAs func(path string) (fails bool)
}

// runCounter counts how often requests ran, by the id of the caller's attempt.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runCounter) add(id string) {
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
}

func (l *runCounter) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

var lastIncarnation atomic.Int64

func (sys *testSystem) newServer(service, zone string) *server {
	return sys.newServerOf(service, zone, "v1", nil)
}

// newServerOf starts a server of a software version.
func (sys *testSystem) newServerOf(service, zone, version string, answerAs func(path string) bool) *server {
	s := &server{system: sys, service: service, zone: zone, version: version, answerAs: answerAs}
	s.backend = httptest.NewServer(http.HandlerFunc(s.serve))
	p, err := fault.NewProxy("127.0.0.1:0", s.backend.Listener.Addr().String())
	if err != nil {
		sys.t.Fatal(err)
	}
	s.proxy = p
	s.startIncarnation()
	go s.sendHeartbeats()
	return s
}

// startIncarnation resets the state of the server to that of a new process.
func (s *server) startIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keepsID {
		s.id = fmt.Sprintf("i-%d", lastIncarnation.Add(1))
	}
	s.startedMS, s.seq, s.state, s.crashed, s.drainAckedAt = time.Now().UnixMilli(), 0, "ready", false, time.Time{}
	s.incarnation++
}

// crash ends the incarnation. Connections are reset or, if silent is set, stop passing bytes.
func (s *server) crash(silent bool) {
	s.mu.Lock()
	s.crashed = true
	s.mu.Unlock()
	s.proxy.RefuseConnections(true)
	if silent {
		s.proxy.Silence()
	} else {
		s.proxy.Reset()
	}
}

func (s *server) restart() {
	s.startIncarnation()
	s.proxy.Reset() // a new process doesn't have the old connections
	s.proxy.RefuseConnections(false)
}

// restartAfterCrash restarts the server as the case demands: at another address,
// as another service, or with its previous id.
func (s *server) restartAfterCrash(c crashingCase) {
	if c.movesAddress {
		p, err := fault.NewProxy("127.0.0.1:0", s.backend.Listener.Addr().String())
		if err != nil {
			s.system.t.Error(err)
			return
		}
		s.system.t.Cleanup(p.Close)
		s.mu.Lock()
		s.proxy = p
		s.mu.Unlock()
	}
	if c.addressTaken {
		s.mu.Lock()
		s.service = map[string]string{"model": "desk", "desk": "model"}[s.service]
		s.mu.Unlock()
	}
	if c.sameID {
		s.mu.Lock()
		s.keepsID = true
		s.mu.Unlock()
	}
	s.restart()
}

// sendHeartbeats sends heartbeats to a random registry until the test ends.
func (s *server) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	for s.system.running() {
		s.mu.Lock()
		s.seq++
		body := fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":%q,"Version":%q,"Slots":64,"State":%q,"ColdLeftMs":0,"Seq":%d,"born":%d}`,
			s.service, s.proxy.Addr(), s.zone, s.version, s.state, s.seq, s.startedMS)
		id, crashed, draining := s.id, s.crashed, s.state == "draining"
		s.mu.Unlock()
		if late := time.Duration(s.system.announcementDelay.Load()); !crashed && late > 0 {
			time.AfterFunc(late, func() { s.postHeartbeat(client, id, body, draining) })
		} else if !crashed {
			s.postHeartbeat(client, id, body, draining)
		}
		time.Sleep(heartbeatInterval)
	}
}

// postHeartbeat sends one heartbeat to the registries in random order until one
// of them accepts it.
func (s *server) postHeartbeat(client *http.Client, id, body string, draining bool) {
	registries := s.system.instances()
	for _, i := range rand.Perm(len(registries)) {
		url := "http://" + registries[i].addr(operatorPort) + "/v1/instances/" + id + "/heartbeat"
		res, err := client.Post(url, "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			s.heartbeatAccepted(id, draining)
			break
		}
	}
}

func (s *server) heartbeatAccepted(id string, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if draining && s.id == id && s.drainAckedAt.IsZero() {
		s.drainAckedAt = time.Now()
	}
}

// eventData returns the data of the n-th event of an answer. It depends on the
// request alone, so that an answer mixed from several requests is detected.
func eventData(id string, n int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", id, n)
	return fmt.Sprintf("%016x", h.Sum64())
}

// eventCount returns the number of events in the answer to a request.
func eventCount(id string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return 15 + int(h.Sum32()%25)
}

// refuseOneIn sets the share of requests that a server refuses with a backoff
// while faults are injected: one in refuseOneIn.
const refuseOneIn = 50

const eventInterval = 15 * time.Millisecond

// weightsInterval is the number of events between two changes of the weights' version.
const weightsInterval = 7

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := s.readBody(r)
	if err != nil {
		return
	}
	s.mu.Lock()
	id, crashed, incarnation, drained, leaving := s.id, s.crashed, s.incarnation, s.drainAckedAt, s.state == "draining"
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	s.limit.record(w.Header(), r.Header.Get("Attempt-Id"))
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		s.serveControl(w, r)
		return
	}
	h := w.Header()
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	cause := ""
	reqs := s.system.crashRequests.Load()
	if reqs != nil {
		cause = reqs.causeOf(string(body), r.Header)
	}
	switch {
	case crashed:
		panic(http.ErrAbortHandler)
	case r.Header.Get("Expect-Instance") != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case cause != "":
		if reqs.crashServer(s, cause, w) {
			s.system.runCounts.add(attempt)
			panic(http.ErrAbortHandler)
		}
	case r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != organisationOf(attempt) || string(body) != bodyOf(attempt) && string(body) != harmlessBody:
		s.system.reportViolation("UNASKED: %s got headers %v and body %q", id, r.Header, body)
	case s.system.faultsEnded.Load() && !drained.IsZero() && time.Since(drained) > 2*time.Second:
		s.system.reportViolation("DRAIN: %s got %s %v after its drain was acknowledged", id, attempt, time.Since(drained))
	}
	if r.Header.Get("Kv-From") != "" && rand.IntN(3) == 0 {
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !s.system.faultsEnded.Load() && rand.IntN(refuseOneIn) == 0 {
		h.Set("Not-Run", "1")
		h.Set("Retry-After", "0.150")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.Set("Response-Seal", "seal of "+attempt)
	s.system.runCounts.add(attempt)
	if s.answerAs != nil && s.answerAs(r.URL.Path) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.service == "desk" {
		time.Sleep(5*time.Millisecond + time.Duration(s.system.answerDelay.Load()))
		_, _ = io.WriteString(w, eventData(attempt, 0))
		return
	}
	s.serveStream(w, r, attempt, incarnation)
}

// Attempts whose id begins with otherOrganisation are made with its key; all others
// with that of the organisation mill. An id with retrySuffix is that of a retry, with
// the body of the first attempt.
const (
	otherOrganisation = "barn"
	retrySuffix       = ".retry"
)

func organisationOf(attempt string) string {
	if strings.HasPrefix(attempt, otherOrganisation) {
		return otherOrganisation
	}
	return "mill"
}

func bodyOf(attempt string) string {
	first, _, _ := strings.Cut(attempt, retrySuffix)
	return "body of " + first
}

// readBody reads a request body, or half of one that crashes the server while it
// is read.
func (s *server) readBody(r *http.Request) ([]byte, error) {
	reqs := s.system.crashRequests.Load()
	if reqs == nil || !reqs.crashWhileReading {
		return io.ReadAll(r.Body)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(len(reqs.requestBody(0)))/2))
	if err != nil || !strings.HasPrefix(string(body), crashingBody) {
		rest, err := io.ReadAll(r.Body)
		return append(body, rest...), err
	}
	return body, nil
}

func (s *server) serveStream(w http.ResponseWriter, r *http.Request, attempt string, incarnation int) {
	w.Header().Set("Content-Type", "text/event-stream")
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	stream := cmp.Or(r.Header.Get("Resumes"), attempt)
	next := 0
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &next); err == nil {
		next++
	}
	for ; next < eventCount(stream); next++ {
		time.Sleep(cmp.Or(time.Duration(s.system.eventInterval.Load()), eventInterval))
		s.mu.Lock()
		ended := s.crashed || s.incarnation != incarnation
		s.mu.Unlock()
		if ended || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		weights := "" // an event at which the weights change says so first
		if next%weightsInterval == weightsInterval-1 {
			weights = fmt.Sprintf("weight-versions: %d\n", next)
		}
		fmt.Fprintf(w, "%sid: %d\nevent: %s\ndata: %s\n\n", weights, next, version, eventData(stream, next))
		w.(http.Flusher).Flush()
	}
}

// serveControl answers the requests that heatherway itself makes to an upstream.
func (s *server) serveControl(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		s.mu.Lock()
		startedMS := s.startedMS
		s.mu.Unlock()
		fmt.Fprintf(w, `{"Queued":0,"KvUsed":0,"Runs":[],"born":%d}`, startedMS)
	case r.URL.Path == "/v1/kv-move":
		_, _ = io.WriteString(w, `{"Handle":"h","made":0}`)
	}
}
