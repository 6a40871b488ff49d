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

// Reload decodes and validates the changed settings and passes them to the roles
// that implement Reloader. All other settings need a restart to take effect.
// Invalid settings change nothing.
func (k *Kernel) Reload(doc *settings.Document) error {
	if err := Check(doc); err != nil {
		return err
	}
	var s Settings
	if err := doc.Decode(&s); err != nil {
		return err
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

// WatchSettings reloads the settings file on SIGHUP and when the file changes,
// until ctx is done.
func (k *Kernel) WatchSettings(ctx context.Context, path string, hup <-chan os.Signal) {
	go k.watchSettings(ctx, path, hup)
}

func (k *Kernel) watchSettings(ctx context.Context, path string, hup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		reason := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if modTime(path).Equal(lastModTime) {
				continue
			}
			reason = "file changed"
		}
		lastModTime = modTime(path)
		if err := k.reloadFile(path); err != nil {
			k.ctx.Log.Error("settings not reloaded", "reason", reason, "file", path, "error", err)
			continue
		}
		k.ctx.Log.Info("settings reloaded", "reason", reason, "file", path)
	}
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
