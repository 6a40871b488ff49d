package kernel

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"heatherway.dev/kernel/settings"
)

// Reloader is a module that takes over changed settings while it runs. next is
// a module of the same type with the new settings, decoded and validated.
type Reloader interface{ Reload(next any) }

// settingsPollInterval is the time between looks at the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// Reload decodes and validates the settings anew and hands them to the roles
// that can take them over. What the others need a restart for stays in force.
// Wrong settings change nothing.
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

// WatchSettings reloads the settings file at SIGHUP and when it changes, until
// ctx ends.
func (k *Kernel) WatchSettings(ctx context.Context, path string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		k.watchSettings(ctx, path, hup)
	}()
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
		doc, err := settings.Load(path)
		if err == nil {
			err = k.Reload(doc)
		}
		if err != nil {
			k.ctx.Log.Error("settings not reloaded", "reason", reason, "file", path, "error", err)
			continue
		}
		k.ctx.Log.Info("settings reloaded", "reason", reason, "file", path)
	}
}

// modTime is the time of the last change; zero when the file cannot be read,
// which Load then reports.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
