// Package e2e runs heatherway as separate processes on loopback and takes
// parts of it away.
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

// process is one heatherway process that the test started.
type process struct {
	t        *testing.T
	name     string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
	log      *bytes.Buffer
}

// ports hands out free loopback ports. They stay reserved by listeners until
// release, so that two callers do not get the same one.
type ports struct{ held []net.Listener }

func (p *ports) addr(t *testing.T) string {
	t.Helper()
	l, err := freeport.Listen()
	assert.NilError(t, err)
	p.held = append(p.held, l)
	return l.Addr().String()
}

func (p *ports) release() {
	for _, l := range p.held {
		_ = l.Close()
	}
	p.held = nil
}

// fleet is a whole system of separate processes.
type fleet struct {
	t         *testing.T
	dir       string
	procs     map[string]*process
	Control   []string
	Entries   []string
	Internals []string
	Engines   []engine
	Service   engine
	// Step is the time of one decode step of the engines.
	Step string
	// EnginesBack is that of the shape.
	EnginesBack time.Duration
	security    *peer.Security
	// tls is the authority of a fleet with mutual TLS, nil without.
	tls *testAuthority

	// controlVia holds addresses of proxies before the control instances, by the
	// name of the process that uses them.
	controlVia    map[string][]string
	agentProxies  []*fault.Proxy
	engineProxies []*fault.Proxy
}

// engine is a stand-in upstream with its agent.
type engine struct {
	Name  string
	Zone  string
	Addr  string
	Agent string
	// Advertise and URL are where others reach the agent, and the agent its
	// engine: the same addresses, or those of proxies.
	Advertise string
	URL       string
}

// shape says how large a fleet is.
type shape struct {
	control, entries, engines int
	service                   bool
	step                      string
	// proxies puts a proxy before each agent and each engine.
	proxies bool
	// enginesBack is the time after which an engine that has died is back at its address;
	// without it the process ends.
	enginesBack time.Duration
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
    exit_on_die: {{not .F.EnginesBack}}
    restart_after: {{.F.EnginesBack}}
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

const zones = 3

// newFleet reserves addresses, writes settings, starts every process and waits
// until the entries are ready and know every upstream.
func newFleet(t *testing.T, s shape) *fleet {
	t.Helper()
	f := emptyFleet(t, s)
	f.startProxies(s)
	f.startAll(s)
	return f
}

// emptyFleet reserves addresses and starts nothing.
func emptyFleet(t *testing.T, s shape) *fleet {
	t.Helper()
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	f := &fleet{t: t, dir: t.TempDir(), procs: map[string]*process{}, Step: s.step, EnginesBack: s.enginesBack, security: security}
	if f.Step == "" {
		f.Step = "5ms"
	}
	var p ports
	for range s.control {
		f.Control = append(f.Control, p.addr(t))
	}
	for range s.entries {
		f.Entries = append(f.Entries, p.addr(t))
		f.Internals = append(f.Internals, p.addr(t))
	}
	for i := range s.engines {
		e := engine{Name: fmt.Sprintf("letters-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Addr: p.addr(t), Agent: p.addr(t)}
		e.Advertise, e.URL = e.Agent, e.Addr
		if s.proxies {
			e.Advertise, e.URL = p.addr(t), p.addr(t)
		}
		f.Engines = append(f.Engines, e)
	}
	f.Service = engine{Name: "orders-0", Zone: "zone-0", Addr: p.addr(t), Agent: p.addr(t)}
	p.release()
	return f
}

func (f *fleet) startProxies(s shape) {
	if !s.proxies {
		return
	}
	for _, e := range f.Engines {
		f.agentProxies = append(f.agentProxies, newProxy(f.t, e.Advertise, e.Agent))
		f.engineProxies = append(f.engineProxies, newProxy(f.t, e.URL, e.Addr))
	}
}

func (f *fleet) startAll(s shape) {
	for i := range f.Control {
		f.start("control", fmt.Sprintf("control-%d", i), map[string]any{"I": i, "Zone": i % zones})
	}
	for _, e := range f.Engines {
		f.start("engine", e.Name+"-engine", map[string]any{"E": e})
		f.start("agent", e.Name, map[string]any{"E": e})
	}
	if s.service {
		f.start("service", f.Service.Name+"-service", map[string]any{"E": f.Service})
		f.start("service-agent", f.Service.Name, map[string]any{"E": f.Service})
	}
	for i := range f.Entries {
		f.start("entry", fmt.Sprintf("entry-%d", i), map[string]any{"I": i, "Zone": i % zones})
	}
	f.awaitServing(s)
}

// start writes the settings of one process and runs it.
func (f *fleet) start(kind, name string, data map[string]any) {
	f.t.Helper()
	data["F"], data["Dir"] = f, f.dir
	data["Control"], data["TLS"] = f.controlOf(name), f.tlsOf(kind, name)
	var b bytes.Buffer
	assert.NilError(f.t, templates.ExecuteTemplate(&b, kind, data))
	path := filepath.Join(f.dir, name+".yaml")
	assert.NilError(f.t, os.WriteFile(path, b.Bytes(), 0o600))
	p := &process{t: f.t, name: name, settings: path, log: &bytes.Buffer{}}
	f.procs[name] = p
	p.run()
	f.t.Cleanup(p.kill)
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", name, tail(p.log.String()))
		}
	})
}

func (f *fleet) controlOf(name string) []string {
	if via, ok := f.controlVia[name]; ok {
		return via
	}
	return f.Control
}

// logLines bounds what a failed test prints of each process.
const logLines = 25

func tail(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	if len(lines) > logLines {
		lines = lines[len(lines)-logLines:]
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

// kill ends the process as kill -9 does, also when it is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// awaitExit waits for the end of a graceful shutdown, which must succeed.
func (p *process) awaitExit(limit time.Duration) {
	p.t.Helper()
	select {
	case <-p.done:
		assert.Equal(p.t, p.cmd.ProcessState.ExitCode(), 0, "%s", p.name)
	case <-time.After(limit):
		p.t.Errorf("%s did not stop within %v", p.name, limit)
	}
}

// restart runs a process that has ended once more.
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

// startLimit bounds how long a whole fleet may take to serve on a busy machine.
const startLimit = 30 * time.Second

func (f *fleet) awaitServing(s shape) {
	f.t.Helper()
	eventually(f.t, startLimit, "control group formed", f.formed)
	for _, e := range f.Entries {
		eventually(f.t, startLimit, "entry ready", func() error { return status("http://"+e+"/readyz", http.StatusNoContent) })
	}
	upstreams := s.engines
	if s.service {
		upstreams++
	}
	for i := range f.Entries {
		eventually(f.t, startLimit, "all upstreams known", func() error { return f.known(i, upstreams) })
	}
}

func status(url string, want int) error {
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

// pollInterval is how often eventually looks again.
const pollInterval = 20 * time.Millisecond

// eventually waits for a condition without a fixed sleep.
func eventually(t *testing.T, limit time.Duration, what string, check func() error) {
	t.Helper()
	end := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v: %v", what, limit, err)
		}
		time.Sleep(pollInterval)
	}
}

// newProxy puts a proxy on an address for the duration of the test.
func newProxy(t *testing.T, listen, target string) *fault.Proxy {
	t.Helper()
	p, err := fault.NewProxy(listen, target)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}
