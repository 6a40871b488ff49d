package measure

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is one heatherway process that the measurement started.
type process struct {
	name     string
	settings string
	metrics  string
	cmd      *exec.Cmd
	done     chan struct{}
	log      bytes.Buffer
}

// start starts the program. The kernel kills it if this process dies.
func (p *process) start(binary string) error {
	p.cmd = exec.Command(binary, "-config", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // killed processes return an error
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails if the process has already ended

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) proc(file string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, file)
}

// ticksPerSecond is the unit of CPU time in /proc on Linux.
const ticksPerSecond = 100

// cpu returns the CPU time used so far.
func (p *process) cpu() (time.Duration, error) {
	b, err := os.ReadFile(p.proc("stat"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	const user, system = 11, 12 // counted from the field after the name
	if len(f) <= system {
		return 0, errors.Errorf("%s: /proc/PID/stat has too few fields", p.name)
	}
	u, errUser := strconv.ParseInt(f[user], 10, 64)
	s, errSystem := strconv.ParseInt(f[system], 10, 64)
	return time.Duration(u+s) * time.Second / ticksPerSecond, errors.Join(errUser, errSystem)
}

// resident returns the resident set in bytes.
func (p *process) resident() (float64, error) {
	b, err := os.ReadFile(p.proc("statm"))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0, errors.Errorf("%s: /proc/PID/statm has too few fields", p.name)
	}
	n, err := strconv.ParseInt(f[1], 10, 64)
	return float64(n * int64(os.Getpagesize())), err
}

// metricsLimit bounds one scrape.
const metricsTimeout = 2 * time.Second

// metric returns the sum over all samples of a metric.
func (p *process) metric(ctx context.Context, name string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.metrics+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("the metrics answered %q", res.Status)
	}
	var sum float64
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		key, value, _ := strings.Cut(lines.Text(), " ")
		base, _, _ := strings.Cut(key, "{")
		if base != "heatherway_"+name {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, errors.Wrap(err, name)
		}
		sum += v
	}
	return sum, nil
}
