package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// firstBackoff is the pause of a server before it calls the next node after the first failure.
const firstBackoff = 500 * time.Millisecond

// server is an upstream server of a plain service.
type server struct {
	w                 *world
	id, service, zone string
	addr              string
	born              int64
	seq               atomic.Int64
	state             atomic.Value // string
	link              *link
	work              time.Duration
	drainingAckedAt   atomic.Int64 // Unix ms, 0 before
	stopAnnouncing    chan struct{}
	stopOnce          sync.Once
	listener          net.Listener
	http              *http.Server
	runs              atomic.Int64
	onRequest         func(s *server, r *http.Request, at time.Time)
	lastAckAt         atomic.Int64
}

// startServer starts a server that announces itself over a link of its own.
func (w *world) startServer(id, service, zone string, work time.Duration, onRequest func(*server, *http.Request, time.Time)) (*server, error) {
	ip := w.newIP()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{w: w, id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), work: work,
		stopAnnouncing: make(chan struct{}), listener: l, onRequest: onRequest}
	s.state.Store("ready")
	if s.link, err = newLink(w); err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.announceLoop()
	w.closers = append(w.closers, s.exit)
	return s, nil
}

// exit ends the server.
func (s *server) exit() {
	s.stopOnce.Do(func() { close(s.stopAnnouncing) })
	_ = s.http.Close()
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	at := time.Now()
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		rw.Header().Set("Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.runs.Add(1)
	s.w.note("server %s (%s) runs %s %s %s", s.id, s.state.Load(), id, r.Method, r.URL.Path)
	if s.onRequest != nil {
		s.onRequest(s, r, at)
	}
	time.Sleep(s.work)
	body := []byte("done " + id)
	rw.Header().Set("Response-Seal", "seal."+s.id+"."+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = rw.Write(body)
}

// announceLoop sends a heartbeat about every heartbeat interval. Without an acknowledgement within a second it calls the
// next node, with increasing backoff.
func (s *server) announceLoop() {
	node, backoff := 0, firstBackoff
	for {
		wait := heartbeat
		if s.announce(node) {
			backoff = firstBackoff
		} else {
			node++
			wait = backoff
			backoff *= 2
		}
		select {
		case <-time.After(wait):
		case <-s.stopAnnouncing:
			return
		}
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (s *server) announce(node int) bool {
	state := s.state.Load().(string)
	seq := s.seq.Add(1)
	body, _ := json.Marshal(map[string]any{"Service": s.service, "Addr": s.addr, "Zone": s.zone, "Version": "v1", "Slots": 6,
		"State": state, "ColdLeftMs": 0, "Seq": seq, "born": s.born})
	registry := node % len(s.w.registries)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Post(fmt.Sprintf("http://%s/v1/instances/%s/heartbeat", s.link.to(registry), s.id), "application/json", bytes.NewReader(body))
	if err != nil {
		s.w.note("server %s: heartbeat %d (%s) to %s: no answer", s.id, seq, state, s.w.registries[registry].name)
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	s.w.note("server %s: heartbeat %d (%s) to %s: %d", s.id, seq, state, s.w.registries[registry].name, res.StatusCode)
	if res.StatusCode/100 != 2 {
		return false
	}
	s.lastAckAt.Store(time.Now().UnixMilli())
	if state == "draining" {
		s.drainingAckedAt.CompareAndSwap(0, time.Now().UnixMilli())
	}
	return true
}

// deregister tells control that the server ends.
func (s *server) deregister() {
	s.stopOnce.Do(func() { close(s.stopAnnouncing) })
	body, _ := json.Marshal(map[string]any{"Seq": s.seq.Add(1), "born": s.born})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Post(fmt.Sprintf("http://%s/v1/instances/%s/deregister", s.link.to(0), s.id), "application/json", bytes.NewReader(body))
	if err != nil {
		s.w.note("server %s: deregister: no answer", s.id)
		return
	}
	_ = res.Body.Close()
	s.w.note("server %s: deregister: %d", s.id, res.StatusCode)
}

// link is the path from one server to the control instances. While it is cut, nothing passes in either direction and
// nothing is answered.
type link struct {
	addrs []string
	cut   atomic.Bool
}

func newLink(w *world) (*link, error) {
	k := &link{}
	ip := w.newIP()
	for _, p := range w.registries {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		k.addrs = append(k.addrs, l.Addr().String())
		target := p.control(w)
		w.closers = append(w.closers, func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go k.forward(c, target)
			}
		}()
	}
	return k, nil
}

// to returns the address under which the server reaches a control instance.
func (k *link) to(registry int) string { return k.addrs[registry] }

// forward passes one connection on. Bytes that arrive during a cut are dropped, and the connection ends without them.
func (k *link) forward(c net.Conn, target string) {
	defer c.Close()
	if k.cut.Load() {
		_, _ = io.Copy(io.Discard, c) // until the caller gives up
		return
	}
	t, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() { _, _ = io.Copy(t, cutReader{c, k}) }()
	_, _ = io.Copy(c, cutReader{t, k})
}

// cutReader drops what arrives while the link is cut.
type cutReader struct {
	net.Conn
	link *link
}

// Read implements io.Reader.
func (r cutReader) Read(b []byte) (int, error) {
	for {
		n, err := r.Conn.Read(b)
		if err != nil || !r.link.cut.Load() {
			return n, err
		}
	}
}

// answer is what a caller got.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

// call sends one request on a new connection, as a caller of the platform does.
func (w *world) call(gateway *process, id, method, path string, deadline time.Duration, body []byte) answer {
	r, err := http.NewRequest(method, "http://"+gateway.front(w)+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	client := &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		w.note("caller: %s %s %s through %s: %v", id, method, path, gateway.name, err)
		return answer{err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	a := answer{res.StatusCode, res.Header.Get("Response-Seal"), string(b), err}
	w.note("caller: %s %s %s through %s: %d %s", id, method, path, gateway.name, a.status, a.seal)
	return a
}
