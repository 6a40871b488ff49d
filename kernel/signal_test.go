package kernel

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/settings"
)

// slowStop is a role that takes some time to stop.
type slowStop struct{}

func init() {
	Register(ModuleInfo{ID: "role.slow_stop", New: func() any { return &slowStop{} }})
}

func (slowStop) Start(context.Context) error { return nil }

func (slowStop) Stop(context.Context) error {
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
