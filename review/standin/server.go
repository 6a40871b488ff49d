//go:build review

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// server is a model server or an application server as PROTOCOL.md describes them. It runs as
// a process of its own and reports each run on standard output, one JSON object a line.
type server struct {
	id, service, zone, addr string
	registries              []string
	born                    int64
	events                  int
	eventGap, prefill, work time.Duration
	weights                 atomic.Int64
	running                 atomic.Int64
	slots                   int64

	mu sync.Mutex
	// runs are the streams in memory, and order their requests, oldest first.
	runs  map[string]*run
	order []*run
	// preemptions is the number of preempted streams, which wait in the queue.
	preemptions int
	// leaving is closed when the server is told to leave.
	leaving chan struct{}
}

// run is one run of a stream.
type run struct {
	id   string
	made atomic.Int64 // events
	// preempted receives how long the run waits until it is read in again.
	preempted chan time.Duration
}

var outMu sync.Mutex

// report writes what the server did; the driver adds the time.
func report(what, id string, n int64) {
	outMu.Lock()
	defer outMu.Unlock()
	b, _ := json.Marshal(serverReport{what, id, n})
	fmt.Println(string(b))
}

type serverReport struct {
	What string
	ID   string
	N    int64
}

func runServer(args []string) {
	s := &server{born: time.Now().UnixMilli(), runs: map[string]*run{}, leaving: make(chan struct{})}
	f := flag.NewFlagSet("server", flag.ExitOnError)
	registries := f.String("registries", "", "control addresses")
	f.StringVar(&s.id, "id", "", "")
	f.StringVar(&s.service, "service", "", "")
	f.StringVar(&s.zone, "zone", "", "")
	f.StringVar(&s.addr, "addr", "", "")
	f.IntVar(&s.events, "events", 130, "events of a stream")
	f.DurationVar(&s.eventGap, "gap", 30*time.Millisecond, "time between events")
	f.DurationVar(&s.prefill, "prefill", 150*time.Millisecond, "time before the first event")
	f.DurationVar(&s.work, "work", 60*time.Millisecond, "time of a plain answer")
	f.Int64Var(&s.slots, "slots", 64, "")
	_ = f.Parse(args)
	s.registries = strings.Split(*registries, ",")
	s.weights.Store(1)
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	newWeights := make(chan os.Signal, 8)
	signal.Notify(newWeights, syscall.SIGUSR1)
	go func() {
		for range newWeights {
			report("weights", "", s.weights.Add(1))
		}
	}()
	noMemory := make(chan os.Signal, 8)
	signal.Notify(noMemory, syscall.SIGUSR2)
	go func() {
		for range noMemory {
			s.preempt()
		}
	}()
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM)
	go func() {
		<-leave
		s.leave()
	}()
	go s.beat()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.load)
	mux.HandleFunc("GET /v1/kv-list", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"epoch":1,"Next":1,"held":[]}`)
	})
	mux.HandleFunc("POST /v1/kv-move", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", s.id) })
	mux.HandleFunc("/", s.serve)
	_ = (&http.Server{Handler: mux}).Serve(l)
}

// beat announces the server every HeartbeatMs, at the next control address after a failure.
func (s *server) beat() {
	client := &http.Client{Timeout: time.Second}
	for seq, at := 1, 0; ; seq++ {
		select {
		case <-s.leaving:
			return
		default:
		}
		body := fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,"Stage":"mixed","Models":[{"Name":"m","Version":%d,"Adapters":[]}],"Seq":%d,"born":%d}`,
			s.service, s.addr, s.zone, s.slots, s.weights.Load(), seq, s.born)
		for range s.registries {
			res, err := client.Post("http://"+s.registries[at]+"/v1/instances/"+s.id+"/heartbeat", "application/json", strings.NewReader(body))
			if err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				if res.StatusCode/100 == 2 {
					break
				}
			}
			at = (at + 1) % len(s.registries)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// servesAfterLeaving is how long a server goes on after its deregistration: DrainMs and "at times
// many seconds".
const servesAfterLeaving = 12 * time.Second

// leave deregisters the server, as one that never reports draining does, and ends it later.
func (s *server) leave() {
	close(s.leaving)
	time.Sleep(50 * time.Millisecond) // a heartbeat may be under way
	client := &http.Client{Timeout: time.Second}
	for at := 0; ; at++ {
		url := "http://" + s.registries[at%len(s.registries)] + "/v1/instances/" + s.id + "/deregister"
		res, err := client.Post(url, "application/json", strings.NewReader(fmt.Sprintf(`{"born":%d}`, s.born)))
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				break
			}
		}
	}
	report("deregistered", s.id, 0)
	time.Sleep(servesAfterLeaving)
	report("exits", s.id, 0)
	os.Exit(0)
}

func (s *server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := make([][]any, 0, len(s.runs))
	for id, r := range s.runs {
		if made := r.made.Load(); made > 0 {
			runs = append(runs, []any{id, 8000, made, 0})
		}
	}
	running, queued := len(s.runs), s.preemptions
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "mixed", "Models": []any{}, "Busy": false, "Seq": 0, "Queued": queued, "Running": running,
		"KvUsed": 1000 * running, "KvTotal": 88000, "Handles": 0, "State": "ready", "Next": 0, "Pinned": 0, "held": 0, "Runs": runs, "born": s.born})
}

// eventText is the data of an event. It depends on the request alone.
func eventText(id string, n int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", id, n)
	return fmt.Sprintf("%016x", h.Sum64())
}

// plainBody is the whole body of a plain answer.
func plainBody(id string) string {
	var b strings.Builder
	for n := range 50 {
		b.WriteString(eventText(id, n))
	}
	return b.String()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	switch {
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != s.id:
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case s.running.Load() >= s.slots:
		h.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	h.Set("Response-Seal", "seal."+id+"."+s.id)
	h.Set("Weight-Versions", strconv.FormatInt(s.weights.Load(), 10))
	if s.service == "model" {
		h.Set("Content-Type", "text/event-stream")
		s.stream(w, r, id)
		return
	}
	h.Set("Content-Type", "text/plain")
	s.plain(w, r, id)
}

// begin writes the head and returns how a part of the body is written.
func begin(w http.ResponseWriter) (write func(string) error) {
	w.WriteHeader(http.StatusOK)
	c := http.NewResponseController(w)
	_ = c.Flush()
	return func(b string) error {
		if _, err := io.WriteString(w, b); err != nil {
			return err
		}
		return c.Flush()
	}
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last
	}
	own := &run{id: id, preempted: make(chan time.Duration, 1)}
	s.mu.Lock()
	s.runs[id] = own
	s.order = append(s.order, own)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.order = slices.DeleteFunc(s.order, func(r *run) bool { return r == own })
		s.mu.Unlock()
	}()
	report("runs", id, int64(from))
	weights := s.weights.Load()
	write, ctx := begin(w), r.Context()
	wait := s.prefill
	for n := from + 1; n <= s.events; n++ {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			report("caller left", id, int64(n-1))
			return
		}
		wait = s.eventGap
		if !s.awaitMemory(own, ctx) {
			report("caller left", id, int64(n-1))
			return
		}
		line := ""
		if v := s.weights.Load(); v != weights {
			weights, line = v, fmt.Sprintf("weight-versions: %d\n", v)
			report("new weights in the stream", id, int64(n))
		}
		if write(fmt.Sprintf("%sid: %d\ndata: %s\n\n", line, n, eventText(id, n))) != nil {
			report("caller left", id, int64(n-1))
			return
		}
		own.made.Store(int64(n))
	}
	report("done", id, int64(s.events))
}

// preemptedFor is the time until a preempted stream has memory again and is read in.
const preemptedFor = 3 * time.Second

// preempt preempts the newest half of the streams, as a server does that runs out of memory.
func (s *server) preempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.order[len(s.order)/2:] {
		if r.made.Load() > 0 {
			r.preempted <- preemptedFor
		}
	}
}

// awaitMemory holds a preempted stream until it goes on. It returns false if the caller leaves.
func (s *server) awaitMemory(r *run, ctx context.Context) bool {
	select {
	case wait := <-r.preempted:
		report("preempted", r.id, r.made.Load())
		s.mu.Lock()
		delete(s.runs, r.id)
		s.preemptions++
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.runs[r.id] = r
			s.preemptions--
			s.mu.Unlock()
		}()
		select {
		case <-time.After(wait):
			report("goes on", r.id, r.made.Load())
			return true
		case <-ctx.Done():
			return false
		}
	default:
		return true
	}
}

// plain sends the body in ten parts while it works.
func (s *server) plain(w http.ResponseWriter, r *http.Request, id string) {
	report("runs", id, 0)
	body := plainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	write := begin(w)
	for part := range 10 {
		select {
		case <-time.After(s.work / 10):
		case <-r.Context().Done():
			report("caller left", id, int64(part))
			return
		}
		if write(body[part*len(body)/10:(part+1)*len(body)/10]) != nil {
			report("caller left", id, int64(part))
			return
		}
	}
	report("done", id, 10)
}
