package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "heatherway-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "heatherway")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/heatherway").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one heatherway process. It has a loopback address of its own, so
// that its ports are free when it restarts.
type process struct {
	t          *testing.T
	role       string
	host       string
	folder     string
	settings   string
	cmd        *exec.Cmd
	done       chan struct{}
	startCount int
	// memoryMB is the memory of the instance, 0 for no limit.
	memoryMB int
	control  controlSettings
}

// controlSettings are the settings of a control instance that tests vary.
type controlSettings struct {
	// losses is the number of instances that may be lost at once, 0 for one.
	losses int
	// catchup is written only if it differs from the default, 0.
	catchup time.Duration
	// rollouts are the settings of roll-outs, also of the gateways; empty for none.
	rollouts string
	// queue lets streams wait in a queue across gateways.
	queue bool
}

// sharedYAML returns the further settings that gateways and control instances share.
func (c controlSettings) sharedYAML() (out string) {
	if c.rollouts != "" {
		out += ", rollouts: " + c.rollouts
	}
	if c.queue {
		out += ", queue: {enabled: true}"
	}
	return out
}

func (c controlSettings) tolerated() int { return max(1, c.losses) }

// catchupTime is the time after which an instance that has started no longer counts as lost.
func (c controlSettings) catchupTime() time.Duration {
	if c.catchup == 0 {
		return defaultCatchup
	}
	return c.catchup
}

func (c controlSettings) yaml() string {
	if c.catchup == 0 {
		return fmt.Sprintf("losses: %d", c.tolerated())
	}
	return fmt.Sprintf("losses: %d, catchup: %v", c.tolerated(), c.catchup)
}

// Ports of every process; the hosts differ.
const (
	callerPort   = "7001"
	readyPort    = "7002"
	operatorPort = "7003"
	peerPort     = "7004"
)

func (p *process) addr(port string) string { return p.host + ":" + port }

// writeSettings writes the settings file. bootstrap is true only for the first
// start of the system.
func (p *process) writeSettings(zone string, seeds []string, bootstrap bool) {
	p.t.Helper()
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%q", seeds[i])
	}
	head := fmt.Sprintf("instance: {id: %q, zone: %s, region: r, data: %s}\ntls: {\"off\": true}\nmemory_mb: %d\nroles:\n",
		p.host, zone, filepath.Join(p.folder, "data"), p.memoryMB)
	list := strings.Join(seeds, ", ")
	body := fmt.Sprintf("  - gateway: {listen: %s, ready_listen: %s, peer_port: %s, seeds: [%s], grace: 3s, drain_delay: 500ms, dialect: {kartuschenwacht: {}}%s}\n",
		p.addr(callerPort), p.addr(readyPort), peerPort, list, p.control.sharedYAML())
	if p.role == "registry" {
		body = fmt.Sprintf("  - registry: {listen: %s, peer_listen: %s, seeds: [%s], bootstrap: %v, %s, announce_interval: %v, dialect: {kartuschenwacht: {}}%s}\n",
			p.addr(operatorPort), p.addr(peerPort), list, bootstrap, p.control.yaml(), heartbeatInterval, p.control.sharedYAML())
	}
	p.settings = filepath.Join(p.folder, "settings.yaml")
	assert.NilError(p.t, os.WriteFile(p.settings, []byte(head+body), 0o600))
}

func (p *process) start() {
	p.t.Helper()
	p.startCount++
	log, err := os.OpenFile(filepath.Join(p.folder, "log.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	defer log.Close()
	p.cmd = exec.Command(binary, "-config", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	assert.NilError(p.t, p.cmd.Start())
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // the exit status of a killed process is meaningless
		close(done)
	}(p.cmd, p.done)
}

// checkLogLines returns an error for the first log line that a reader can't use:
// one that is incomplete although the process was never restarted, or one that
// contains a field twice.
func (p *process) checkLogLines() error {
	b, err := os.ReadFile(filepath.Join(p.folder, "log.jsonl"))
	if err != nil {
		return err
	}
	for line := range bytes.Lines(b) {
		if !json.Valid(line) {
			if p.startCount == 1 {
				return fmt.Errorf("log line is not valid JSON: %.200s", line)
			}
			continue
		}
		fields, decoder := map[json.Token]bool{}, json.NewDecoder(bytes.NewReader(line))
		_, _ = decoder.Token() // the opening brace; the line is valid
		for decoder.More() {
			name, _ := decoder.Token()
			var value json.RawMessage
			_ = decoder.Decode(&value)
			if fields[name] {
				return fmt.Errorf("log line contains field %v twice: %.300s", name, line)
			}
			fields[name] = true
		}
	}
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate sends SIGTERM, and SIGKILL if the process is still running after the
// grace period.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(4 * time.Second):
		p.kill()
	}
}
