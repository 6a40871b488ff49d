// Package standinservice implements a test double of an order service. It keeps
// a journal that counts how often each call was executed, and injects faults on
// request.
package standinservice

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"heatherway.dev/heatherway/internal/fault"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "role.standin-service", New: func() any { return New() }})
}

// maxBodyBytes limits the size of an order's body.
const maxBodyBytes = 1 << 20

// Settings configure the service.
type Settings struct {
	fault.Settings `yaml:",inline"`
	// Delay is the time that each call takes.
	Delay time.Duration `yaml:"delay"`
}

// Run is a journal entry: the executions of one call with the same key and body.
type Run struct {
	// Call is the HTTP method and the path.
	Call string `json:"call"`
	// Key is the value of the Idempotency-Key header.
	Key string `json:"key"`
	// BodyHash is the SHA-256 hash of the body in hexadecimal.
	BodyHash string `json:"body_hash"`
	// Count is the number of executions with this call, key and body.
	Count int `json:"count"`
}

// Service is the module role.standin-service.
type Service struct {
	Settings `yaml:",inline"`

	server *fault.Server

	mu     sync.Mutex
	number int
	runs   []Run
	index  map[Run]int // position in runs, keyed by the Run with Count 0
}

// New returns a service with the default settings.
func New() *Service { return &Service{index: map[Run]int{}} }

// Validate implements kernel.Validator.
func (s *Service) Validate() error {
	return settings.First(s.Check(), settings.DurationInRange("delay", s.Delay, 0, time.Minute))
}

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	l, err := c.Listen(s.Listen)
	if err != nil {
		return err
	}
	s.Bind(l, c.Log)
	return s.server.ServeFaults(c)
}

// Bind prepares the service to serve on the listener.
func (s *Service) Bind(l net.Listener, log *slog.Logger) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("GET /lookup/{id}", s.lookup)
	mux.HandleFunc("GET /journal", s.journal)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, struct{}{}) })
	s.server = fault.NewServer(s.Settings.Settings, l, mux, log, nil)
}

// Start implements kernel.Runner.
func (s *Service) Start(context.Context) error {
	s.server.Start()
	return nil
}

// Stop implements kernel.Runner.
func (s *Service) Stop(ctx context.Context) error {
	return s.server.Stop(ctx)
}

// Fault injects a fault immediately.
func (s *Service) Fault(k fault.Kind) { s.server.Apply(k) }

// Addr returns the address that the service listens on.
func (s *Service) Addr() string { return s.server.Addr() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client is gone if this fails
}

// record adds an execution to the journal and returns the number of executions
// so far. Handlers call it before the delay, because a call whose caller
// disconnects meanwhile has been executed as well.
func (s *Service) record(r *http.Request, body []byte) int {
	sum := sha256.Sum256(body)
	run := Run{Call: r.Method + " " + r.URL.Path, Key: r.Header.Get("Idempotency-Key"), BodyHash: hex.EncodeToString(sum[:])}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	i, known := s.index[run]
	if !known {
		i = len(s.runs)
		s.index[run] = i
		s.runs = append(s.runs, run)
	}
	s.runs[i].Count++
	return s.number
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || !json.Valid(body) {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "the body is not JSON"})
		return
	}
	number := s.record(r, body)
	time.Sleep(s.Delay)
	writeJSON(w, http.StatusCreated, map[string]int{"order": number})
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	s.record(r, nil)
	time.Sleep(s.Delay)
	writeJSON(w, http.StatusOK, map[string]string{"id": r.PathValue("id"), "state": "due"})
}

func (s *Service) journal(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := append([]Run{}, s.runs...)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, runs)
}
