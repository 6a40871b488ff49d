package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the model servers. An event holds six tokens of about 5 ms each.
const (
	prefillTime   = 120 * time.Millisecond
	eventInterval = 30 * time.Millisecond
	streamEvents  = 60
	restartAfter  = 3 * time.Second
)

// modelServer is a model server that may crash and starts again at the same address under a new id.
type modelServer struct {
	w          *world
	name, zone string
	addr       string
	service    string
	link       *link
	// crashAt returns the event after which a run of the request ends the server, 0 for never.
	crashAt func(body string) int
	onRun   func(s *modelServer, id, body string, at time.Time)
	onCrash func(s *modelServer, at time.Time)

	mu    sync.Mutex
	life  int
	id    string
	born  int64
	up    bool
	http  *http.Server
	conns map[net.Conn]struct{}
	stop  chan struct{}
	ended bool
	// events counts the events that each running request has made.
	events map[string]int
}

func (w *world) startModelServer(name, service, zone string, crashAt func(string) int, onRun func(*modelServer, string, string, time.Time), onCrash func(*modelServer, time.Time)) (*modelServer, error) {
	l, err := net.Listen("tcp", w.newIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &modelServer{w: w, name: name, zone: zone, addr: l.Addr().String(), service: service, crashAt: crashAt, onRun: onRun, onCrash: onCrash}
	if s.link, err = newLink(w); err != nil {
		return nil, err
	}
	s.begin(l)
	w.closers = append(w.closers, func() {
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
		s.end()
	})
	return s, nil
}

// begin starts a new incarnation.
func (s *modelServer) begin(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	s.id, s.born = fmt.Sprintf("i-%s-%d", s.name, s.life), time.Now().UnixMilli()
	s.conns, s.stop, s.up = map[net.Conn]struct{}{}, make(chan struct{}), true
	s.events = map[string]int{}
	life := s.life
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(rw, r, life) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case s.life != life || !s.up:
			case state == http.StateClosed:
				delete(s.conns, c)
			default:
				s.conns[c] = struct{}{}
			}
		},
	}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	go s.announceLoop(s.id, s.born, s.stop)
}

// end resets all connections and stops the incarnation.
func (s *modelServer) end() bool {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return false
	}
	s.up = false
	close(s.stop)
	server, conns := s.http, s.conns
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a crash resets its connections
		}
		_ = c.Close()
	}
	_ = server.Close() // without the lock, which the hook of a new connection takes
	return true
}

// crash ends the server; it is back after some seconds.
func (s *modelServer) crash(cause string) {
	if !s.end() {
		return
	}
	s.w.note("server %s crashes under %s", s.id, cause)
	if s.onCrash != nil {
		s.onCrash(s, time.Now())
	}
	time.AfterFunc(restartAfter, func() {
		s.mu.Lock()
		ended := s.ended
		s.mu.Unlock()
		if ended {
			return
		}
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			s.w.note("server %s cannot start again: %v", s.name, err)
			return
		}
		s.begin(l)
	})
}

func (s *modelServer) announceLoop(id string, born int64, stop chan struct{}) {
	node, backoff := 0, firstBackoff
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{"Service": s.service, "Addr": s.addr, "Zone": s.zone, "Version": "v1", "Slots": 64, "State": "ready",
			"ColdLeftMs": 0, "Stage": "mixed", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Seq": seq, "born": born})
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		wait := heartbeat
		res, err := client.Post(fmt.Sprintf("http://%s/v1/instances/%s/heartbeat", s.link.to(node%len(s.w.registries)), id), "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		if err != nil || res.StatusCode/100 != 2 {
			node, wait = node+1, backoff
			backoff *= 2
		} else {
			backoff = firstBackoff
		}
		select {
		case <-time.After(wait):
		case <-stop:
			return
		}
	}
}

func (s *modelServer) serve(rw http.ResponseWriter, r *http.Request, life int) {
	s.mu.Lock()
	id, born := s.id, s.born
	s.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/report":
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(s.report(born)) // a caller that has gone needs none
		return
	case r.URL.Path == "/v1/kv-list":
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, `{"epoch":1,"Next":0,"held":[]}`)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		rw.WriteHeader(http.StatusNotFound) // no copies are kept
		return
	case r.URL.Path == "/healthz":
		rw.Header().Set("Instance-Id", id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if s.onRun != nil {
		s.onRun(s, attempt, string(body), time.Now())
	}
	crashAfter := s.crashAt(string(body))
	s.count(life, attempt, 0)
	defer s.count(life, attempt, -1)
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-r.Context().Done():
			return false
		}
	}
	if !pause(prefillTime) {
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Response-Seal", "seal."+id+"."+attempt)
	rw.Header().Set("Weight-Versions", "1")
	for n := first; n < streamEvents; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		s.count(life, attempt, n-first+1)
		_ = http.NewResponseController(rw).Flush() // the next write shows an error
		if crashAfter > 0 && n-first+1 >= crashAfter {
			s.crash(attempt)
			return
		}
		if !pause(eventInterval) {
			return
		}
	}
}

// count records how many events a request has made, or with a negative number its end.
func (s *modelServer) count(life int, attempt string, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.life != life:
	case events < 0:
		delete(s.events, attempt)
	default:
		s.events[attempt] = events
	}
}

// promptTokens is the size of each prompt, and eventTokens that of an event.
const promptTokens, eventTokens = 1460, 6

// report is what the server reports: each run from its first event on, as [id, tokens, events, priority].
func (s *modelServer) report(born int64) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs, used := [][]any{}, 0
	for id, n := range s.events {
		used += promptTokens + n*eventTokens
		if n > 0 {
			runs = append(runs, []any{id, promptTokens + n*eventTokens, n, 0})
		}
	}
	return map[string]any{"Stage": "mixed", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false, "Seq": 0,
		"Queued": 0, "Running": len(s.events), "KvUsed": used, "KvTotal": 88000, "Handles": 0, "Pinned": 0, "held": 0, "State": "ready", "Next": 0, "Runs": runs, "born": born}
}

// stream is what a caller of a stream got.
type stream struct {
	status, pieces int
	whole          bool
	err            error
	retryAfter     time.Duration
}

// callStream sends a request for a stream and reads its events.
func (w *world) callStream(gateway *process, id, path, body string, deadline time.Duration) stream {
	r, err := http.NewRequest(http.MethodPost, "http://"+gateway.front(w)+path, strings.NewReader(body))
	if err != nil {
		return stream{err: err}
	}
	r.Host = hostName
	for name, value := range map[string]string{"Attempt-Id": id, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Authorization": "Bearer " + apiKey,
		"Model": "m", "Token-Count": "1460,400", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:1260", id)} {
		r.Header.Set(name, value)
	}
	client := &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return stream{err: err}
	}
	defer res.Body.Close()
	out := stream{status: res.StatusCode}
	if after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(after * float64(time.Second))
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if n != strconv.Itoa(out.pieces) {
				out.err = fmt.Errorf("event %s where %d is due", n, out.pieces)
			}
			out.pieces++
		}
	}
	if out.err == nil {
		out.err = lines.Err()
	}
	out.whole = out.status == http.StatusOK && out.err == nil && out.pieces == streamEvents
	return out
}
