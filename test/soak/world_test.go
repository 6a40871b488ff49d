package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/fault"
)

// testSystem is a complete system with callers, an operator and upstreams.
type testSystem struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand
	ctx  context.Context
	stop context.CancelFunc
	// listMu guards registries and retired while a test changes them.
	listMu     sync.Mutex
	registries []*process
	gateways   []*process
	// retired are control instances that were removed for good; only their logs are of use.
	retired        []*process
	gatewayProxies []*fault.Proxy
	servers        []*server
	runCounts      *runCounter
	// crashRequests are the requests that crash servers, nil if there are none.
	crashRequests atomic.Pointer[crashRequests]
	// announcementDelay delays the announcements of upstreams, in nanoseconds.
	announcementDelay atomic.Int64
	// answerDelay delays the answers of plain servers, in nanoseconds.
	answerDelay atomic.Int64
	// eventInterval is the time between two events of a stream, in nanoseconds; 0 for the default.
	eventInterval   atomic.Int64
	refusedAttempts sync.Map
	attempts        atomic.Int64
	faultCount      int
	outcomeCounts   [3]atomic.Int64
	// faultsEnded is set once no fault is active and the recovery time has passed.
	faultsEnded atomic.Bool

	mu           sync.Mutex
	violations   []string
	ackedVersion uint64
	sentVersion  uint64
}

func (sys *testSystem) reportViolation(format string, args ...any) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.violations = append(sys.violations, fmt.Sprintf(format, args...))
}

func (sys *testSystem) running() bool { return sys.ctx.Err() == nil }

// lastHost is the number of loopback addresses assigned so far; each process has
// its own.
var lastHost atomic.Int64

// networkListener reserves the network of these addresses while this test process runs.
// Otherwise two test runs at the same addresses answer each other's requests.
var networkListener net.Listener

// network returns the second byte of these addresses.
var network = sync.OnceValue(func() int {
	for i := range 250 {
		n := 1 + (os.Getpid()+i)%250
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.49.1:7000", n)); err == nil {
			networkListener = l
			return n
		}
	}
	panic("no loopback network is free")
})

func newTestSystem(t *testing.T, seed uint64, registries, gateways, servers int) *testSystem {
	return newTestSystemWith(t, seed, controlSettings{}, registries, gateways, servers)
}

// memoryFolder returns a folder in memory where the machine has one. A disk that does not sync for
// seconds stops all control instances at once, which tests of their members are not about.
func memoryFolder(t *testing.T) string {
	folder, err := os.MkdirTemp("/dev/shm", "heatherway-soak-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

func newTestSystemWith(t *testing.T, seed uint64, control controlSettings, registries, gateways, servers int) *testSystem {
	sys := &testSystem{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, seed)), runCounts: &runCounter{runs: map[string]int{}}}
	sys.ctx, sys.stop = context.WithCancel(context.Background())
	t.Cleanup(sys.stop)
	folder := t.TempDir()
	if gateways == 0 || control.rollouts != "" {
		folder = memoryFolder(t)
	}
	for i := range registries + gateways {
		n := lastHost.Add(1)
		p := &process{t: t, role: "gateway", host: fmt.Sprintf("127.%d.%d.%d", network(), 50+n/250, 1+n%250), folder: filepath.Join(folder, fmt.Sprint(i)), control: control}
		assert.NilError(t, os.MkdirAll(p.folder, 0o700))
		if i < registries {
			p.role = "registry"
			sys.registries = append(sys.registries, p)
		} else {
			sys.gateways = append(sys.gateways, p)
		}
	}
	for i, p := range sys.processes() {
		p.writeSettings(fmt.Sprint("z", i%3), sys.seeds(), true)
		p.start()
	}
	t.Cleanup(func() {
		for _, p := range sys.processes() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
		if t.Failed() || *keepAllLogs {
			sys.keepLogs()
		}
	})
	for _, g := range sys.gateways {
		p, err := fault.NewProxy("127.0.0.1:0", g.addr(callerPort))
		assert.NilError(t, err)
		t.Cleanup(p.Close)
		sys.gatewayProxies = append(sys.gatewayProxies, p)
	}
	for i := range servers {
		sys.servers = append(sys.servers, sys.newServer("model", fmt.Sprint("z", i%3)))
	}
	for i := range 3 {
		sys.servers = append(sys.servers, sys.newServer("desk", fmt.Sprint("z", i)))
	}
	t.Cleanup(func() {
		for _, s := range sys.servers {
			s.proxy.Close()
			s.backend.CloseClientConnections()
		}
	})
	return sys
}

func (sys *testSystem) processes() []*process {
	return append(sys.instances(), sys.gateways...)
}

// instances returns the control instances that have not been removed, the oldest first.
func (sys *testSystem) instances() []*process {
	sys.listMu.Lock()
	defer sys.listMu.Unlock()
	return slices.Clone(sys.registries)
}

// disableBootstrap rewrites the settings files without bootstrap once every
// process has read its own, because a restarted process must not bootstrap a new
// control group.
func (sys *testSystem) disableBootstrap() {
	for i, p := range sys.processes() {
		p.writeSettings(fmt.Sprint("z", i%3), sys.seeds(), false)
	}
}

func (sys *testSystem) seeds() []string {
	var out []string
	instances := sys.instances()
	for _, p := range instances[:min(3, len(instances))] {
		out = append(out, p.addr(operatorPort))
	}
	return out
}

func configurationJSON(version uint64) string {
	route := `{"Name":%q,"Host":"h","PathPrefix":"/%s/","Kind":%q,"TimeoutMs":%d,"SloMs":1000,"Priority":0,"Service":%q,"MaxAttempts":%d,"Resumable":%v,"GapTargetMs":700}`
	return fmt.Sprintf(`{"Version":%d,"Routes":[`+route+`,`+route+`,`+route+`],"Services":[{"Name":"model","MaxConns":400,"Engine":{"Slots":64,"KvCapacity":88000,"Backups":true,"HandleS":4}},{"Name":"desk","MaxConns":400}],"Limits":{"MaxBodyBytes":100000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"mill","ApiKeys":["secret"]},{"Name":"barn","ApiKeys":["other secret"]}]}`,
		version, "letters", "letters", "stream", 8000, "model", 5, true, "book", "book", "unsafe", 1000, "desk", 1, false, "look", "look", "safe", 1000, "desk", 2, false)
}

// runOperator replaces and reads the configuration at random until the test ends.
func (sys *testSystem) runOperator(rng *rand.Rand) {
	client := &http.Client{Timeout: time.Second}
	for sys.running() {
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		addr := sys.registries[rng.IntN(len(sys.registries))].addr(operatorPort)
		if rng.IntN(2) == 0 {
			sys.replaceConfiguration(client, addr)
		} else {
			sys.checkedRead(client, addr)
		}
	}
}

func (sys *testSystem) replaceConfiguration(client *http.Client, addr string) bool {
	sys.mu.Lock()
	sys.sentVersion++
	version := sys.sentVersion
	sys.mu.Unlock()
	res, err := client.Post("http://"+addr+"/v1/config/replace", "application/json", strings.NewReader(configurationJSON(version)))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	if res.StatusCode/100 == 4 {
		sys.reportViolation("CONFIG: version %d refused with %d", version, res.StatusCode)
	}
	if res.StatusCode != http.StatusOK {
		return false
	}
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.ackedVersion = max(sys.ackedVersion, version)
	return true
}

// checkedRead reads the configuration and checks that it is no older than the last
// acknowledged version. It returns whether the read succeeded.
func (sys *testSystem) checkedRead(client *http.Client, addr string) bool {
	sys.mu.Lock()
	acked := sys.ackedVersion
	sys.mu.Unlock()
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
		sys.reportViolation("CONFIG: %s read version %d after %d was acknowledged", addr, got.Version, acked)
	}
	if string(b) != configurationJSON(got.Version) {
		sys.reportViolation("CONFIG: version %d is not what was sent", got.Version)
	}
	return true
}

// waitUntilReady waits until the system serves its first configuration.
func (sys *testSystem) waitUntilReady() {
	client := &http.Client{Timeout: time.Second}
	sys.eventually("first configuration", 20*time.Second, func() bool { return sys.replaceConfiguration(client, sys.registries[0].addr(operatorPort)) })
	sys.eventually("gateways ready", 20*time.Second, sys.gatewaysReady)
	sys.disableBootstrap()
}

// startCallers starts n callers that make requests to the paths until the test ends.
func (sys *testSystem) startCallers(n int, paths ...string) {
	for i := range n {
		rng := rand.New(rand.NewPCG(sys.seed, uint64(i)+1000))
		go func() {
			client := &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: 2500 * time.Millisecond}}
			for sys.running() {
				sys.outcomeCounts[sys.callOnce(client, rng, paths)].Add(1)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		}()
	}
}

func (sys *testSystem) eventually(what string, limit time.Duration, ok func() bool) {
	sys.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			sys.t.Fatalf("seed %d: not within %v: %s", sys.seed, limit, what)
		}
	}
}
