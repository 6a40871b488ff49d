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

// reloadable is a role that implements Reloader.
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

// Guards against a process that is terminated by SIGHUP, that doesn't notice a
// change of the file without a signal, or that applies invalid settings.
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
	k.WatchSettings(ctx, path, NotifyHangup())
	write("two")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	expectReload(t, "two")
	write("bad")
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond) // gives the next write a different modification time
	write("three")
	for {
		got := <-reloaded
		assert.Assert(t, got != "bad")
		if got == "three" {
			break
		}
	}
}

// reloadPanics is a role whose Reload panics.
type reloadPanics struct {
	Value string `yaml:"value"`
}

func init() {
	Register(ModuleInfo{ID: "role.reload_panics", New: func() any { return &reloadPanics{} }})
}

func (*reloadPanics) Reload(any) { panic("odd settings") }

// Guards against a panic over changed settings that ends the process with its requests, or the
// watch for further changes.
func TestPanicOverChangedSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.yaml")
	write := func(roles string) {
		assert.NilError(t, os.WriteFile(path, []byte(settingsHeader+roles), 0o600))
	}
	write("  - reload_panics: {}\n  - reloadable: {value: one}\n")
	doc, err := settings.Load(path)
	assert.NilError(t, err)
	k, err := New(doc)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hup := make(chan os.Signal, 1)
	k.WatchSettings(ctx, path, hup)
	hup <- syscall.SIGHUP // the role panics
	time.Sleep(50 * time.Millisecond)
	write("  - reloadable: {value: two}\n")
	hup <- syscall.SIGHUP
	expectReload(t, "two")
}
