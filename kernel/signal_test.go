package kernel

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/settings"
)

// slowStop is a role that logs a line and takes some time to stop.
type slowStop struct{ log *slog.Logger }

func init() {
	Register(ModuleInfo{ID: "role.slow_stop", New: func() any { return &slowStop{} }})
}

// Provision implements Provisioner.
func (s *slowStop) Provision(c *Context) error {
	s.log = c.Log
	return nil
}

// Start implements Runner.
func (s *slowStop) Start(context.Context) error {
	s.log.Error("started")
	return nil
}

// Stop implements Runner.
func (s *slowStop) Stop(context.Context) error {
	time.Sleep(500 * time.Millisecond)
	return nil
}

// TestMain runs one kernel instead of the tests in the process that TestHangupDuringStop starts.
func TestMain(m *testing.M) {
	if path := os.Getenv("HEATHERWAY_TEST_SETTINGS"); path != "" {
		os.Exit(runSlowStop(path))
	}
	os.Exit(m.Run())
}

func runSlowStop(path string) int {
	hup := NotifyHangup()
	doc, err := settings.Load(path)
	if err != nil {
		return 1
	}
	k, err := New(doc)
	if err != nil {
		return 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	k.WatchSettings(ctx, path, hup)
	time.AfterFunc(100*time.Millisecond, cancel)
	if k.Run(ctx) != nil {
		return 1
	}
	return 0
}

// Guards against SIGHUP that ends a stopping process before its requests are answered.
func TestHangupDuringStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settingsHeader+"  - slow_stop: {}\n"), 0o600))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "HEATHERWAY_TEST_SETTINGS="+path)
	assert.NilError(t, cmd.Start())
	time.Sleep(400 * time.Millisecond)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, cmd.Wait())
}

// Guards against a process that ends, with all its requests, because the reader of its log has
// ended.
func TestLogWithoutReader(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settingsHeader+"  - slow_stop: {}\n"), 0o600))
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	assert.NilError(t, r.Close())
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "HEATHERWAY_TEST_SETTINGS="+path)
	cmd.Stdout = w
	assert.NilError(t, cmd.Run())
	assert.NilError(t, w.Close())
}
