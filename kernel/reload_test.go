package kernel

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/settings"
)

// reloadable is a role that takes changed settings over.
type reloadable struct {
	Value   string `yaml:"value"`
	applied chan string
}

var reloaded = make(chan string, 8)

func init() {
	Register(ModuleInfo{ID: "role.reloadable", New: func() any { return &reloadable{applied: reloaded} }})
}

func (r *reloadable) Validate() error {
	if r.Value == "bad" {
		return settings.Field("value", "must not be bad")
	}
	return nil
}

func (r *reloadable) Reload(next any) { r.applied <- next.(*reloadable).Value }

func expectReload(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-reloaded:
		assert.Equal(t, got, want)
	case <-time.After(10 * time.Second):
		t.Fatalf("no reload to %q", want)
	}
}

// Guards against a process that ends at SIGHUP, that misses a file changed
// without a signal, or that takes wrong settings over.
func TestSettingsAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.yaml")
	write := func(value string) {
		assert.NilError(t, os.WriteFile(path, []byte(settingsHeader+"  - reloadable: {value: "+value+"}\n"), 0o600))
	}
	write("one")
	doc, err := settings.Load(path)
	assert.NilError(t, err)
	k, err := New(doc)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	k.WatchSettings(ctx, path)
	write("two")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	expectReload(t, "two")
	write("bad")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond) // so that the next change is another time of the file
	write("three")
	for {
		got := <-reloaded
		assert.Assert(t, got != "bad")
		if got == "three" {
			break
		}
	}
}
