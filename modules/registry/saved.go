package registry

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/crash"
)

const (
	// directoryFile holds the records of upstreams and crashesFile the broken runs of
	// requests, both in the data folder of the role.
	directoryFile = "directory.json"
	crashesFile   = "crashes.json"
	// saveInterval is the time over which changes are batched into one write.
	saveInterval   = 400 * time.Millisecond
	filePermission = 0o600
	dirPermission  = 0o700
)

// savedCrashes are the broken runs of requests, with the time at which they were saved by
// the clock of the instance.
type savedCrashes struct {
	AtMS    int64
	Entries []crash.Entry
}

// saver writes soft state to disk in the background. Without it, after all control
// instances are lost at once, the gateways would know only the few upstreams that have
// announced themselves since and send all requests there, and requests that are known to
// crash upstreams would be forgotten.
type saver[T any] struct {
	log    *slog.Logger
	path   string
	values chan T
}

func newSaver[T any](r *Registry, file string) *saver[T] {
	return &saver[T]{log: r.log, path: filepath.Join(r.folder, file), values: make(chan T, 1)}
}

// offer queues the newest value to be written and replaces a value that still waits.
func (s *saver[T]) offer(value T) {
	select {
	case <-s.values:
	default:
	}
	s.values <- value
}

func (s *saver[T]) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case value := <-s.values:
			if err := s.write(value); err != nil {
				s.log.Warn("cannot save registry state", "file", s.path, "error", err)
			}
		}
	}
}

// write replaces the file. After a power loss the file may have its old or its new content.
func (s *saver[T]) write(value T) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(s.path), dirPermission); err != nil {
		return err
	}
	temporary := s.path + ".tmp"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermission)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(temporary, s.path)
}

// read returns the last saved value, or the zero value if there is no file.
func (s *saver[T]) read() (value T, err error) {
	b, err := os.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return value, nil
	}
	if err != nil {
		return value, err
	}
	return value, json.Unmarshal(b, &value)
}

// restore loads the saved state. Restored upstreams are marked as lost after lostAfter
// unless they announce themselves.
func (d *directory) restore(now time.Time) {
	list, err := d.saver.read()
	if err != nil {
		d.log.Warn("cannot read the saved upstream directory; starting without it", "file", d.saver.path, "error", err)
		list = nil
	}
	for _, u := range list {
		d.state.Observe(now, u)
	}
	if len(list) > 0 {
		d.log.Info("upstream directory restored from disk", "upstreams", len(list))
	}
	d.restoreCrashes(now)
}

// restoreCrashes loads the saved broken runs. The time that the instance was down is
// added to their age; a clock that was set back does not reduce it.
func (d *directory) restoreCrashes(now time.Time) {
	saved, err := d.crashesSaver.read()
	if err != nil {
		d.log.Warn("cannot read the saved broken runs; starting without them", "file", d.crashesSaver.path, "error", err)
		return
	}
	for i := range saved.Entries {
		saved.Entries[i].AgeMS += max(now.UnixMilli()-saved.AtMS, 0)
	}
	if updated := d.crashes.Merge(now, saved.Entries); len(updated) > 0 {
		d.log.Info("broken runs restored from disk", "requests", len(updated), "runs", len(saved.Entries))
	}
}
