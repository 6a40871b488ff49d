package kernel

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/settings"
)

// Reloader is implemented by modules that apply changed settings while they run.
// next is a module of the same type that holds the new, validated settings.
type Reloader interface{ Reload(next any) }

// settingsPollInterval is the interval at which the settings file is checked for
// changes that no signal announced.
const settingsPollInterval = 2 * time.Second

// lastReloadTimeout bounds how long a stop waits for the last look at the settings file.
const lastReloadTimeout = 200 * time.Millisecond

// Reload decodes and validates the changed settings, applies the stop limit, and passes
// them to the roles that implement Reloader. All other settings need a restart to take
// effect. Invalid settings change nothing.
func (k *Kernel) Reload(doc *settings.Document) error {
	if err := Check(doc); err != nil {
		return err
	}
	s := DefaultSettings()
	if err := doc.Decode(&s); err != nil {
		return err
	}
	if old := time.Duration(k.stopLimit.Swap(int64(s.Stop.Limit))); old != s.Stop.Limit {
		k.ctx.Log.Info("stop limit changed", "from_ms", old.Milliseconds(), "to_ms", s.Stop.Limit.Milliseconds())
	}
	for _, p := range s.Roles {
		for _, r := range k.roles {
			rl, ok := r.module.(Reloader)
			if !ok || r.name != p.Name {
				continue
			}
			p.SetFile(doc.Name)
			next, err := decodeModule("role", p)
			if err != nil {
				return err
			}
			rl.Reload(next)
		}
	}
	return nil
}

// NotifyHangup returns a channel that receives SIGHUP until the process ends. Without it, or
// after signal.Stop, a SIGHUP would end the process at once, also while it starts or drains.
func NotifyHangup() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// WatchSettings reloads the settings file on SIGHUP and when the file changes, until ctx
// is done. It looks at the file once more then, since the platform counts the time to the
// end of the process by the settings that it has written.
func (k *Kernel) WatchSettings(ctx context.Context, path string, hup <-chan os.Signal) {
	k.watchEnded = make(chan struct{})
	w := &settingsWatch{kernel: k, path: path, lastModTime: modTime(path)}
	go func() {
		defer close(k.watchEnded)
		w.run(ctx, hup)
	}()
}

// awaitLastReload waits until changed settings are no longer applied.
func (k *Kernel) awaitLastReload() {
	if k.watchEnded == nil {
		return
	}
	select {
	case <-k.watchEnded:
	case <-time.After(lastReloadTimeout):
		k.ctx.Log.Warn("stopping before the settings file was read", "waited_ms", lastReloadTimeout.Milliseconds())
	}
}

// settingsWatch applies the changes of a settings file.
type settingsWatch struct {
	kernel      *Kernel
	path        string
	lastModTime time.Time
}

func (w *settingsWatch) run(ctx context.Context, hup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.reloadIfChanged("stop")
			return
		case <-hup:
			w.reload("signal")
		case <-ticker.C:
			w.reloadIfChanged("file changed")
		}
	}
}

func (w *settingsWatch) reloadIfChanged(reason string) {
	if !modTime(w.path).Equal(w.lastModTime) {
		w.reload(reason)
	}
}

func (w *settingsWatch) reload(reason string) {
	log := w.kernel.ctx.Log
	w.lastModTime = modTime(w.path)
	if err := w.kernel.reloadFile(w.path); err != nil {
		log.Error("settings not reloaded", "reason", reason, "file", w.path, "error", err)
		return
	}
	log.Info("settings reloaded", "reason", reason, "file", w.path)
}

// reloadFile applies a settings file. A panic over its content must not end the process.
func (k *Kernel) reloadFile(path string) (err error) {
	defer recovery.Into(k.ctx.Log, "reload of the settings", &err)
	doc, err := settings.Load(path)
	if err != nil {
		return err
	}
	return k.Reload(doc)
}

// modTime returns the modification time of a file. It returns zero if the file
// cannot be read, an error that Load then reports.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
