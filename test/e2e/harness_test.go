// Package e2e runs a heatherway cluster as separate processes on loopback and
// tests it while processes and connections fail.
package e2e

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"text/template"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/fault"
	"heatherway.dev/heatherway/internal/freeport"
	"heatherway.dev/kernel/peer"
)

var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "heatherway-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	return m.Run()
}

// process is one heatherway process started by a test.
type process struct {
	t        *testing.T
	name     string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
	log      *bytes.Buffer
}

// ports allocates free loopback ports. Listeners reserve them until release, so
// that two callers can't get the same one.
type ports struct{ listeners []net.Listener }

func (p *ports) addr(t *testing.T) string {
	t.Helper()
	l, err := freeport.Listen()
	assert.NilError(t, err)
	p.listeners = append(p.listeners, l)
	return l.Addr().String()
}

func (p *ports) release() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.listeners = nil
}

// cluster is a complete system of separate processes.
type cluster struct {
	t         *testing.T
	dir       string
	processes map[string]*process
	Control   []string
	Entries   []string
	Internals []string
	Engines   []engine
	Service   engine
	// Step is the duration of a decode step of the engines.
	Step string
	// EngineRestartDelay is copied from the clusterSpec.
	EngineRestartDelay time.Duration
	security           *peer.Security
	// authority issues the certificates of a cluster with mutual TLS; nil if TLS
	// is off.
	authority *testAuthority

	// controlProxyAddrs holds, by process name, the addresses of the proxies
	// through which the process reaches the control instances.
	controlProxyAddrs map[string][]string
	agentProxies      []*fault.Proxy
	engineProxies     []*fault.Proxy
}

// engine is a stand-in upstream with its agent.
type engine struct {
	Name  string
	Zone  string
	Addr  string
	Agent string
	// Advertise is the address at which others reach the agent, URL the one at
	// which the agent reaches its engine: Agent and Addr, or proxies of them.
	Advertise string
	URL       string
}

// clusterSpec describes the size of a cluster and its options.
type clusterSpec struct {
	control, entries, engines int
	service                   bool
	decodeStep                string
	// proxies adds a proxy in front of each agent and each engine.
	proxies bool
	// engineRestartDelay is the time after which a crashed engine listens again
	// at its address; 0 makes the engine process exit instead.
	engineRestartDelay time.Duration
}

var templates = template.Must(template.New("").Parse(`
{{define "control"}}
instance: {id: control-{{.I}}, zone: zone-{{.Zone}}, region: local, data: "{{.Dir}}/control-{{.I}}"}
tls: {{.TLS}}
log: {level: info}
roles:
- control:
    listen: {{index .F.Control .I}}
    members:{{range $i, $a := .F.Control}}
      control-{{$i}}: {{$a}}{{end}}
    record_groups: 2
    bootstrap:
      organisations:
        demo: {keys: [demo]}
        small: {keys: [small]}
        large: {keys: [large]}
{{end}}
{{define "entry"}}
instance: {id: entry-{{.I}}, zone: zone-{{.Zone}}, region: local}
tls: {{.TLS}}
log: {level: info}
roles:
- entry:
    listen: {{index .F.Entries .I}}
    internal: {{index .F.Internals .I}}
    grace: 100ms
    control: [{{range .Control}}"{{.}}",{{end}}]
{{end}}
{{define "engine"}}
instance: {id: {{.E.Name}}-engine, zone: {{.E.Zone}}, region: local}
tls: {{.TLS}}
log: {level: info}
roles:
- standin-engine:
    listen: {{.E.Addr}}
    models: [letters]
    slots: 32
    step: {{.F.Step}}
    prefill_per_token: 10us
    exit_on_die: {{not .F.EngineRestartDelay}}
    restart_after: {{.F.EngineRestartDelay}}
    crash_on: CRASH-THE-ENGINE
    hang_on: HANG-THE-ENGINE
{{end}}
{{define "agent"}}
instance: {id: {{.E.Name}}, zone: {{.E.Zone}}, region: local}
tls: {{.TLS}}
log: {level: info}
roles:
- agent:
    listen: {{.E.Agent}}
    advertise: {{.E.Advertise}}
    control: [{{range .Control}}"{{.}}",{{end}}]
    upstream:
      openai: {url: "http://{{.E.URL}}", models: [letters], slots: 32}
{{end}}
{{define "service"}}
instance: {id: {{.E.Name}}-service, zone: {{.E.Zone}}, region: local}
tls: {{.TLS}}
log: {level: warn}
roles:
- standin-service:
    listen: {{.E.Addr}}
{{end}}
{{define "service-agent"}}
instance: {id: {{.E.Name}}, zone: {{.E.Zone}}, region: local}
tls: {{.TLS}}
log: {level: info}
roles:
- agent:
    listen: {{.E.Agent}}
    control: [{{range .Control}}"{{.}}",{{end}}]
    upstream:
      plain: {url: "http://{{.E.Addr}}", services: [orders], slots: 32}
{{end}}
`))

const zoneCount = 3

// startCluster reserves addresses, writes settings, starts every process and
// waits until the entries are ready and know every upstream.
func startCluster(t *testing.T, s clusterSpec) *cluster {
	t.Helper()
	cl := newCluster(t, s)
	cl.startProxies(s)
	cl.startProcesses(s)
	return cl
}

// newCluster reserves the addresses of a cluster without starting any process.
func newCluster(t *testing.T, s clusterSpec) *cluster {
	t.Helper()
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	cl := &cluster{t: t, dir: t.TempDir(), processes: map[string]*process{}, Step: s.decodeStep, EngineRestartDelay: s.engineRestartDelay, security: security}
	if cl.Step == "" {
		cl.Step = "5ms"
	}
	var reserved ports
	for range s.control {
		cl.Control = append(cl.Control, reserved.addr(t))
	}
	for range s.entries {
		cl.Entries = append(cl.Entries, reserved.addr(t))
		cl.Internals = append(cl.Internals, reserved.addr(t))
	}
	for i := range s.engines {
		e := engine{Name: fmt.Sprintf("letters-%d", i), Zone: fmt.Sprintf("zone-%d", i%zoneCount), Addr: reserved.addr(t), Agent: reserved.addr(t)}
		e.Advertise, e.URL = e.Agent, e.Addr
		if s.proxies {
			e.Advertise, e.URL = reserved.addr(t), reserved.addr(t)
		}
		cl.Engines = append(cl.Engines, e)
	}
	cl.Service = engine{Name: "orders-0", Zone: "zone-0", Addr: reserved.addr(t), Agent: reserved.addr(t)}
	reserved.release()
	return cl
}

func (cl *cluster) startProxies(s clusterSpec) {
	if !s.proxies {
		return
	}
	for _, e := range cl.Engines {
		cl.agentProxies = append(cl.agentProxies, newProxy(cl.t, e.Advertise, e.Agent))
		cl.engineProxies = append(cl.engineProxies, newProxy(cl.t, e.URL, e.Addr))
	}
}

func (cl *cluster) startProcesses(s clusterSpec) {
	for i := range cl.Control {
		cl.start("control", fmt.Sprintf("control-%d", i), map[string]any{"I": i, "Zone": i % zoneCount})
	}
	for _, e := range cl.Engines {
		cl.start("engine", e.Name+"-engine", map[string]any{"E": e})
		cl.start("agent", e.Name, map[string]any{"E": e})
	}
	if s.service {
		cl.start("service", cl.Service.Name+"-service", map[string]any{"E": cl.Service})
		cl.start("service-agent", cl.Service.Name, map[string]any{"E": cl.Service})
	}
	for i := range cl.Entries {
		cl.start("entry", fmt.Sprintf("entry-%d", i), map[string]any{"I": i, "Zone": i % zoneCount})
	}
	cl.waitUntilServing(s)
}

// start writes the settings of one process and starts it.
func (cl *cluster) start(kind, name string, data map[string]any) {
	cl.t.Helper()
	data["F"], data["Dir"] = cl, cl.dir
	data["Control"], data["TLS"] = cl.controlAddrs(name), cl.tlsSettings(kind, name)
	var b bytes.Buffer
	assert.NilError(cl.t, templates.ExecuteTemplate(&b, kind, data))
	path := filepath.Join(cl.dir, name+".yaml")
	assert.NilError(cl.t, os.WriteFile(path, b.Bytes(), 0o600))
	p := &process{t: cl.t, name: name, settings: path, log: &bytes.Buffer{}}
	cl.processes[name] = p
	p.run()
	cl.t.Cleanup(p.kill)
	cl.t.Cleanup(func() {
		if cl.t.Failed() {
			cl.t.Logf("log of %s:\n%s", name, lastLines(p.log.String()))
		}
	})
}

func (cl *cluster) controlAddrs(name string) []string {
	if proxies, ok := cl.controlProxyAddrs[name]; ok {
		return proxies
	}
	return cl.Control
}

// maxLogLines limits how much of each process's log a failed test prints.
const maxLogLines = 25

func lastLines(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	if len(lines) > maxLogLines {
		lines = lines[len(lines)-maxLogLines:]
	}
	return strings.Join(lines, "\n")
}

func (p *process) run() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binaries, "heatherway"), "-config", p.settings)
	p.cmd.Stderr, p.cmd.Stdout = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(p.t, p.cmd.Start())
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL, which also ends a process stopped by SIGSTOP, and waits for
// the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// awaitExit waits for a graceful shutdown to finish and checks that the exit
// code is 0.
func (p *process) awaitExit(limit time.Duration) {
	p.t.Helper()
	select {
	case <-p.done:
		assert.Equal(p.t, p.cmd.ProcessState.ExitCode(), 0, "%s", p.name)
	case <-time.After(limit):
		p.t.Errorf("%s did not stop within %v", p.name, limit)
	}
}

// restart waits for the process to exit and starts it again.
func (p *process) restart() {
	p.t.Helper()
	<-p.done
	p.run()
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// startTimeout limits how long a cluster may take until it serves, with room for
// a busy machine.
const startTimeout = 30 * time.Second

func (cl *cluster) waitUntilServing(s clusterSpec) {
	cl.t.Helper()
	eventually(cl.t, startTimeout, "control group formed", cl.checkControlFormed)
	for _, e := range cl.Entries {
		eventually(cl.t, startTimeout, "entry ready", func() error { return checkStatus("http://"+e+"/readyz", http.StatusNoContent) })
	}
	upstreams := s.engines
	if s.service {
		upstreams++
	}
	for i := range cl.Entries {
		eventually(cl.t, startTimeout, "all upstreams known", func() error { return cl.checkUpstreamsKnown(i, upstreams) })
	}
}

func checkStatus(url string, want int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer demo")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != want {
		return fmt.Errorf("%s: status %d, want %d", url, res.StatusCode, want)
	}
	return nil
}

// pollInterval is the time between the checks of eventually.
const pollInterval = 20 * time.Millisecond

// eventually polls check until it succeeds and fails the test after limit.
func eventually(t *testing.T, limit time.Duration, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v: %v", what, limit, err)
		}
		time.Sleep(pollInterval)
	}
}

// newProxy starts a proxy that listens on an address until the test ends.
func newProxy(t *testing.T, listen, target string) *fault.Proxy {
	t.Helper()
	p, err := fault.NewProxy(listen, target)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}
