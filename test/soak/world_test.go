package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/fault"
)

// world is a whole system with callers, an operator and upstreams.
type world struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	ctx        context.Context
	registries []*process
	gateways   []*process
	entries    []*fault.Proxy
	servers    []*server
	ledger     *ledger
	// fatal is a request that ends the servers that run it, if any.
	fatal atomic.Pointer[fatal]
	// lateAnnouncements is by how many nanoseconds announcements of upstreams are late.
	lateAnnouncements atomic.Int64
	refusals          sync.Map
	attempts          atomic.Int64
	faults            int
	counts            [3]atomic.Int64
	// calm is set while no fault is under way or was a moment ago.
	calm atomic.Bool

	mu         sync.Mutex
	violations []string
	acked      uint64
	sent       uint64
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) running() bool { return w.ctx.Err() == nil }

// hosts counts the loopback addresses handed out; each process has its own.
var hosts atomic.Int64

func newWorld(t *testing.T, seed uint64, registries, gateways, servers int) *world {
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, seed)), ledger: &ledger{runs: map[string]int{}}}
	var cancel context.CancelFunc
	w.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	folder := t.TempDir()
	for i := range registries + gateways {
		n := hosts.Add(1)
		p := &process{t: t, role: "gateway", host: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 50+n/250, 1+n%250), folder: filepath.Join(folder, fmt.Sprint(i))}
		assert.NilError(t, os.MkdirAll(p.folder, 0o700))
		if i < registries {
			p.role = "registry"
			w.registries = append(w.registries, p)
		} else {
			w.gateways = append(w.gateways, p)
		}
	}
	for i, p := range w.all() {
		p.write(fmt.Sprint("z", i%3), w.seeds(), true)
		p.start()
	}
	t.Cleanup(func() {
		for _, p := range w.all() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
		if t.Failed() {
			w.keepLogs()
		}
	})
	for _, g := range w.gateways {
		p, err := fault.NewProxy("127.0.0.1:0", g.addr(callerPort))
		assert.NilError(t, err)
		t.Cleanup(p.Close)
		w.entries = append(w.entries, p)
	}
	for i := range servers {
		w.servers = append(w.servers, w.newServer("model", fmt.Sprint("z", i%3)))
	}
	for i := range 3 {
		w.servers = append(w.servers, w.newServer("desk", fmt.Sprint("z", i)))
	}
	t.Cleanup(func() {
		for _, s := range w.servers {
			s.proxy.Close()
			s.backend.CloseClientConnections()
		}
	})
	return w
}

func (w *world) all() []*process { return append(append([]*process{}, w.registries...), w.gateways...) }

// settle rewrites the settings files once every process has read its own, since
// a restart must not found anything.
func (w *world) settle() {
	for i, p := range w.all() {
		p.write(fmt.Sprint("z", i%3), w.seeds(), false)
	}
}

func (w *world) seeds() []string {
	var out []string
	for _, p := range w.registries[:min(3, len(w.registries))] {
		out = append(out, p.addr(operatorPort))
	}
	return out
}

func configuration(version uint64) string {
	route := `{"Name":%q,"Host":"h","PathPrefix":"/%s/","Kind":%q,"TimeoutMs":%d,"SloMs":1000,"Priority":0,"Service":%q,"MaxAttempts":%d,"Resumable":%v,"GapTargetMs":700}`
	return fmt.Sprintf(`{"Version":%d,"Routes":[`+route+`,`+route+`,`+route+`],"Services":[{"Name":"model","MaxConns":400,"Engine":{"Slots":64,"KvCapacity":88000,"Backups":true,"HandleS":4}},{"Name":"desk","MaxConns":400}],"Limits":{"MaxBodyBytes":100000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"mill","ApiKeys":["secret"]}]}`,
		version, "letters", "letters", "stream", 8000, "model", 5, true, "book", "book", "unsafe", 1000, "desk", 1, false, "look", "look", "safe", 1000, "desk", 2, false)
}

// operate replaces and reads the configuration until the world ends.
func (w *world) operate(rng *rand.Rand) {
	client := &http.Client{Timeout: time.Second}
	for w.running() {
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		addr := w.registries[rng.IntN(len(w.registries))].addr(operatorPort)
		if rng.IntN(2) == 0 {
			w.replace(client, addr)
		} else {
			w.read(client, addr)
		}
	}
}

func (w *world) replace(client *http.Client, addr string) bool {
	w.mu.Lock()
	w.sent++
	version := w.sent
	w.mu.Unlock()
	res, err := client.Post("http://"+addr+"/v1/config/replace", "application/json", strings.NewReader(configuration(version)))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	if res.StatusCode/100 == 4 {
		w.violate("CONFIG: version %d refused with %d", version, res.StatusCode)
	}
	if res.StatusCode != http.StatusOK {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked = max(w.acked, version)
	return true
}

// read checks that a read is no older than what was acknowledged before.
func (w *world) read(client *http.Client, addr string) bool {
	w.mu.Lock()
	acked := w.acked
	w.mu.Unlock()
	res, err := client.Get("http://" + addr + "/v1/config/get")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return false
	}
	var got struct{ Version uint64 }
	if err := json.Unmarshal(b, &got); err != nil || got.Version < acked {
		w.violate("CONFIG: %s read version %d after %d was acknowledged", addr, got.Version, acked)
	}
	if string(b) != configuration(got.Version) {
		w.violate("CONFIG: version %d is not what was sent", got.Version)
	}
	return true
}

// callers make requests until the world ends.
func (w *world) callers(n int) {
	for i := range n {
		rng := rand.New(rand.NewPCG(w.seed, uint64(i)+1000))
		go func() {
			client := &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: 2500 * time.Millisecond}}
			for w.running() {
				w.counts[w.call(client, rng)].Add(1)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		}()
	}
}

func (w *world) eventually(what string, limit time.Duration, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("seed %d: not within %v: %s", w.seed, limit, what)
		}
	}
}
