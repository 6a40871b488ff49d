//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// system is a small deployment on loopback: control instances, gateways and servers, each a
// process of its own.
type system struct {
	folder     string
	trouble    bool
	start      time.Time
	network    string
	seeds      []string
	registries []*process
	gateways   []*process
	servers    []*process

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	version int
	// broken counts what breaks the rule.
	broken int
	// onServer is told what the servers report.
	onServer func(p *process, r serverReport)
}

// process is one process of the deployment, with a loopback address of its own.
type process struct {
	name, host  string
	metricsPort string
	command     []string
	cmd         *exec.Cmd
	done        chan struct{}
	mu          sync.Mutex
}

const (
	frontPort   = "7001"
	readyPort   = "7002"
	controlPort = "7003"
	peerPort    = "7004"
	serverPort  = "8080"
)

// cannotRun ends the case with the status that says so.
func (s *system) cannotRun(format string, args ...any) {
	s.log("case cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, "case cannot run: "+format+"\n", args...)
	s.close()
	os.Exit(2)
}

func newSystem(recordFile string) *system {
	s := &system{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", onServer: func(*process, serverReport) {}}
	var err error
	if s.file, err = os.Create(recordFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s.record = bufio.NewWriter(s.file)
	if s.folder, err = os.MkdirTemp("", "review-"); err != nil {
		s.cannotRun("%v", err)
	}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		if s.isFree() {
			return s
		}
	}
	s.cannotRun("no loopback network is free")
	return nil
}

// isFree reports whether the ports of the first hosts of the network can be used.
func (s *system) isFree() bool {
	for host := 1; host <= 40; host++ {
		for _, port := range []string{frontPort, readyPort, controlPort, peerPort, serverPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%s", s.network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *system) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records what breaks the rule.
func (s *system) breaks(format string, args ...any) {
	s.log("BROKEN: "+format, args...)
	s.mu.Lock()
	s.broken++
	s.mu.Unlock()
}

func (s *system) host(n int) string { return fmt.Sprintf("%s%d", s.network, n) }

// startSystem starts the control instances and gateways, each on a machine of its own.
func (s *system) startSystem(registries, gateways int) {
	s.setSeeds(registries)
	for i := range registries {
		s.startRegistry(i)
	}
	for i := range gateways {
		s.startGateway(i, registries+i)
	}
}

// startCore starts machines that each run a control instance and a gateway, as the machines
// with a disk do, and machines with a gateway alone.
func (s *system) startCore(core, fronts int) {
	s.setSeeds(core)
	for i := range core {
		s.startRegistry(i)
	}
	for i := range core + fronts {
		s.startGateway(i, i)
	}
}

func (s *system) setSeeds(registries int) {
	for i := range min(3, registries) {
		s.seeds = append(s.seeds, fmt.Sprintf("%q", s.host(1+i)+":"+controlPort))
	}
}

func (s *system) startRegistry(machine int) {
	p := &process{name: fmt.Sprintf("registry-%d", machine), host: s.host(1 + machine), metricsPort: "9103"}
	s.registries = append(s.registries, p)
	s.configureProcess(p, machine, s.registryRole(p, true))
	s.run(p)
}

func (s *system) startGateway(number, machine int) {
	p := &process{name: fmt.Sprintf("gateway-%d", number), host: s.host(1 + machine), metricsPort: "9102"}
	s.gateways = append(s.gateways, p)
	s.configureProcess(p, machine, fmt.Sprintf("  - gateway:\n      listen: %s:%s\n      ready_listen: %s:%s\n      peer_port: %s\n      seeds: [%s]\n      grace: 8s\n      dialect: {kartuschenwacht: {}}\n",
		p.host, frontPort, p.host, readyPort, peerPort, strings.Join(s.seeds, ",")))
	s.run(p)
}

func (s *system) registryRole(p *process, bootstrap bool) string {
	return fmt.Sprintf("  - registry:\n      listen: %s:%s\n      peer_listen: %s:%s\n      seeds: [%s]\n      bootstrap: %v\n      losses: 1\n      announce_interval: 1200ms\n      dialect: {kartuschenwacht: {}}\n",
		p.host, controlPort, p.host, peerPort, strings.Join(s.seeds, ","), bootstrap)
}

// configureProcess writes the settings of a process as the templates of the deploy file give
// them. Its command is that of the deploy file.
func (s *system) configureProcess(p *process, machine int, role string) {
	data := filepath.Join(s.folder, p.name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		s.cannotRun("%v", err)
	}
	settings := fmt.Sprintf("instance:\n  id: %s\n  zone: z%d\n  region: r\n  data: %s\ntls:\n  \"off\": true\nstop:\n  limit: 8s\nmemory_mb: 134\nmetrics:\n  listen: %s:%s\nroles:\n%s",
		p.name, machine%3, filepath.Join(data, "disk"), p.host, p.metricsPort, role)
	file := filepath.Join(data, "node.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.cannotRun("%v", err)
	}
	p.command = []string{"target/heatherway", "-config", file}
}

// addServer starts a server with options of its own.
func (s *system) addServer(service string, options ...string) *process {
	n := len(s.servers)
	p := &process{name: fmt.Sprintf("%s-%d", service, n), host: s.host(20 + n)}
	self, err := os.Executable()
	if err != nil {
		s.cannotRun("%v", err)
	}
	p.command = append([]string{self, "server", "-service", service, "-zone", fmt.Sprintf("z%d", n%3), "-addr", p.host + ":" + serverPort,
		"-registries", strings.Join(s.controlAddresses(), ",")}, options...)
	s.servers = append(s.servers, p)
	s.runServer(p)
	return p
}

func (s *system) controlAddresses() []string {
	var out []string
	for _, p := range s.registries {
		out = append(out, p.host+":"+controlPort)
	}
	return out
}

var incarnations int

// runServer starts a server process; each start is a new incarnation.
func (s *system) runServer(p *process) {
	incarnations++
	command := p.command
	p.command = append(append([]string{}, command...), "-id", fmt.Sprintf("i-%d", incarnations))
	s.run(p)
	p.command = command
}

func (s *system) run(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	if p.command[0] == "target/heatherway" {
		f, err := os.OpenFile(filepath.Join(s.folder, p.name, "log.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			s.cannotRun("%v", err)
		}
		defer f.Close()
		p.cmd.Stdout, p.cmd.Stderr = f, f
	} else {
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			s.cannotRun("%v", err)
		}
		p.cmd.Stderr = os.Stderr
		go func() {
			for lines := bufio.NewScanner(out); lines.Scan(); {
				var r serverReport
				if json.Unmarshal(lines.Bytes(), &r) == nil {
					s.log("%s: %s %s %d", p.name, r.What, r.ID, r.N)
					s.onServer(p, r)
				}
			}
		}()
	}
	if err := p.cmd.Start(); err != nil {
		s.cannotRun("%v", err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	s.log("%s started", p.name)
}

func (s *system) signal(p *process, sig syscall.Signal) {
	s.log("%s gets signal %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

func (s *system) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	<-p.done
}

// configure sends a configuration until it is acknowledged.
func (s *system) configure(routes string) {
	s.version++
	body := fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"model","HealthPath":"/healthz","MaxConns":390,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":88000,"KvTokenBytes":163840,"LinkMbps":1100000.0,"Moves":false,"Backups":false,"Stride":6,"most":12,"PinMs":4000.0,"HoldMs":2000.0,"HandleS":4.0,"Models":[{"Name":"m"}]}},{"Name":"desk","HealthPath":"/healthz","MaxConns":130,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"mill","ApiKeys":["key-of-mill"],"Priority":1}]}`, s.version, routes)
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, addr := range s.controlAddresses() {
			res, err := client.Post("http://"+addr+"/v1/config/replace", "application/json", strings.NewReader(body))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				s.log("configuration %d acknowledged by %s", s.version, addr)
				return
			}
		}
	}
	s.cannotRun("no configuration was acknowledged")
}

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMS, attempts int, resumable bool) string {
	return fmt.Sprintf(`{"Name":%q,"Host":"shop.example","PathPrefix":"/%s/","Kind":%q,"TimeoutMs":%d,"SloMs":4000,"Priority":0,"Service":%q,"MaxAttempts":%d,"Public":false,"Sticky":%v,"Resumable":%v,"GapTargetMs":700}`,
		name, name, kind, timeoutMS, service, attempts, service == "model", resumable)
}

// awaitReady waits until all gateways are ready and have heard of all servers.
func (s *system) awaitReady() {
	for _, g := range s.gateways {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			res, err := http.Get("http://" + g.host + ":" + readyPort + "/v1/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				s.cannotRun("%s does not become ready", g.name)
			}
		}
	}
	time.Sleep(4 * time.Second) // three heartbeats
}

// close ends all processes.
func (s *system) close() {
	for _, list := range [][]*process{s.servers, s.gateways, s.registries} {
		for _, p := range list {
			if p.cmd != nil && p.cmd.Process != nil {
				_ = p.cmd.Process.Kill()
				if p.done != nil {
					<-p.done
				}
			}
		}
	}
	s.mu.Lock()
	_ = s.record.Flush()
	_ = s.file.Close()
	s.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", s.folder)
	}
}

// finish ends the case with the status that tells whether the rule was broken.
func (s *system) finish(allowed int) {
	s.log("broken %d times, allowed %d", s.broken, allowed)
	fmt.Printf("broken %d times, allowed %d\n", s.broken, allowed)
	broken := s.broken
	s.close()
	if broken > allowed {
		os.Exit(1)
	}
	os.Exit(0)
}
