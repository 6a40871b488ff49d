// Package fault serves HTTP for the stand-ins of external systems and injects
// faults into their connections on request.
package fault

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/settings"
)

// Kind is a fault that can be injected.
type Kind string

// The kinds of fault.
const (
	// Die closes the listener and resets every connection.
	Die Kind = "die"
	// Pause stops all work and all responses.
	Pause Kind = "pause"
	// Silence blocks every write on the connections that are open now.
	Silence Kind = "silence"
	// Leave announces in every response that the stand-in is about to stop.
	Leave Kind = "leave"
	// Busy rejects every request for busyDuration, with a Retry-After header.
	Busy Kind = "busy"
	// Resume ends all faults.
	Resume Kind = "resume"
)

// busyDuration is how long a busy stand-in rejects requests.
const busyDuration = 2 * time.Second

// Path is the HTTP path that accepts fault requests.
const Path = "/fault"

// Request is the body of a POST to Path.
type Request struct {
	Kind    Kind  `json:"kind"`
	AfterMS int64 `json:"after_ms"`
}

// Settings are the settings that all stand-ins share.
type Settings struct {
	// Listen is the address that the stand-in serves on.
	Listen string `yaml:"listen"`
	// FaultListen is a second address that accepts only fault requests. It stays
	// open after die, so that resume can be sent there; empty disables it.
	FaultListen string `yaml:"fault_listen"`
	// ExitOnDie makes the fault die exit the process.
	ExitOnDie bool `yaml:"exit_on_die"`
	// RestartAfter is the time after which a stand-in that died serves again;
	// zero waits for resume.
	RestartAfter time.Duration `yaml:"restart_after"`
}

// Check returns an error if a setting is missing or out of range.
func (s Settings) Check() error {
	if s.Listen == "" {
		return settings.Field("listen", "must be set")
	}
	return settings.DurationInRange("restart_after", s.RestartAfter, 0, maxDelay)
}

const (
	// exitStatus is the exit status of a process that ends on die.
	exitStatus = 70
	// responseDelay lets the response to a fault request go out before the fault.
	responseDelay = 5 * time.Millisecond
	// maxDelay bounds the time between a request and its fault.
	maxDelay = time.Hour
	// readHeaderTimeout bounds how long a client may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	// maxRequestBytes bounds the body of a fault request.
	maxRequestBytes = 4 << 10
)

// Server serves a handler and injects faults into its connections.
type Server struct {
	applyMu sync.Mutex // held while a fault is applied

	settings  Settings
	log       *slog.Logger
	http      *http.Server
	handler   http.Handler
	onDie     func()
	addr      string
	pauseGate gate
	leaving   atomic.Bool
	// busyUntil is the end of the fault busy in Unix nanoseconds.
	busyUntil atomic.Int64
	faults    *http.Server // serves FaultListen; nil if that is empty

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	dead     bool
	stopped  bool
}

// NewServer returns a server on an open listener. It calls onDie, which may be
// nil, after the fault die.
func NewServer(s Settings, l net.Listener, h http.Handler, log *slog.Logger, onDie func()) *Server {
	srv := &Server{
		settings: s, log: log, handler: h, onDie: onDie,
		addr: l.Addr().String(), listener: l, conns: map[*conn]struct{}{},
	}
	srv.http = &http.Server{Handler: srv, ReadHeaderTimeout: readHeaderTimeout}
	return srv
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Paused returns a channel that is closed unless the server is paused.
func (s *Server) Paused() <-chan struct{} { return s.pauseGate.opened() }

// Start serves in the background.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(s.listener)
}

func (s *Server) serve(l net.Listener) {
	go func() {
		if err := s.http.Serve(&listener{l, s}); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.log.Debug("listener closed", "error", err)
		}
	}()
}

// Listener opens listeners; kernel.Context implements it.
type Listener interface {
	Listen(addr string) (net.Listener, error)
}

// ServeFaults accepts fault requests on FaultListen, if that is set.
func (s *Server) ServeFaults(c Listener) error {
	if s.settings.FaultListen == "" {
		return nil
	}
	l, err := c.Listen(s.settings.FaultListen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(Path, s.HandleRequest)
	s.faults = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.faults.Serve(l) }() // ends when the listener closes
	return nil
}

// Stop ends all faults, waits for running requests until ctx ends, and then
// closes the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	if s.faults != nil {
		_ = s.faults.Close() // accepts no more requests even if this fails
	}
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.endPauses()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return errors.Wrap(err, "the stand-in stopped before its running requests had ended")
	}
	return nil
}

// ServeHTTP handles fault requests, and passes all others to the handler once
// the server is not paused.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == Path {
		s.HandleRequest(w, r)
		return
	}
	if s.leaving.Load() {
		w.Header().Set(adapter.LeavingHeader, "1")
	}
	if left := time.Until(time.Unix(0, s.busyUntil.Load())); left > 0 {
		s.log.Info("turned away while busy", "path", r.URL.Path, "left_ms", left.Milliseconds())
		w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-s.Paused():
		s.handler.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}

// HandleRequest answers a POST to Path.
func (s *Server) HandleRequest(w http.ResponseWriter, r *http.Request) {
	// The fault would also apply to this connection if it were kept alive.
	w.Header().Set("Connection", "close")
	var o Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil || r.Method != http.MethodPost {
		http.Error(w, "want a POST of a JSON fault order", http.StatusBadRequest)
		return
	}
	delay := time.Duration(o.AfterMS) * time.Millisecond
	if !o.Kind.known() || delay < 0 || delay > maxDelay {
		http.Error(w, "unknown kind of fault or delay out of range", http.StatusBadRequest)
		return
	}
	if o.Kind == Resume && delay == 0 {
		s.Apply(Resume)
	} else {
		time.AfterFunc(delay+responseDelay, func() { s.Apply(o.Kind) })
	}
	w.WriteHeader(http.StatusAccepted)
}

func (k Kind) known() bool {
	return slices.Contains([]Kind{Die, Pause, Silence, Leave, Busy, Resume}, k)
}

// Apply injects a fault at once.
func (s *Server) Apply(k Kind) {
	s.log.Info("fault injected", "kind", k)
	// Faults are applied one at a time, so that resume doesn't clear a part of a
	// fault that is requested after it.
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	switch k {
	case Die:
		s.die()
	case Pause:
		s.pauseGate.close()
	case Silence:
		s.forEachConn(func(c *conn) { c.silenceGate.close() })
	case Leave:
		s.leaving.Store(true)
	case Busy:
		s.busyUntil.Store(time.Now().Add(busyDuration).UnixNano())
	case Resume:
		s.leaving.Store(false)
		s.busyUntil.Store(0)
		s.endPauses()
		s.restart()
	}
}

func (s *Server) endPauses() {
	s.pauseGate.open()
	s.forEachConn(func(c *conn) { c.silenceGate.open() })
}

func (s *Server) forEachConn(do func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		do(c)
	}
}

func (s *Server) die() {
	s.mu.Lock()
	if s.dead || s.stopped {
		s.mu.Unlock()
		return
	}
	s.dead = true
	_ = s.listener.Close()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
	if s.settings.ExitOnDie {
		os.Exit(exitStatus)
	}
	if s.onDie != nil {
		s.onDie()
	}
	if s.settings.RestartAfter > 0 {
		time.AfterFunc(s.settings.RestartAfter, func() { s.Apply(Resume) })
	}
}

func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead || s.stopped {
		return
	}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.log.Error("stand-in cannot open its listener again", "error", err)
		return
	}
	s.dead, s.listener = false, l
	s.leaving.Store(false) // a restarted process has announced nothing yet
	s.busyUntil.Store(0)
	s.serve(l)
}
