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
	// savedDirectory holds the directory below the data folder of the role, and
	// savedCrashesFile the broken runs of requests.
	directoryFile = "directory.json"
	crashesFile   = "crashes.json"
	// saveInterval collects changes into one write.
	saveInterval   = 400 * time.Millisecond
	filePermission = 0o600
	dirPermission  = 0o700
)

// savedCrashes are the broken runs of requests, and when they were saved by the clock of
// the instance.
type savedCrashes struct {
	AtMS    int64
	Entries []crash.Entry
}

// saver writes soft state to the disk in the background. After the loss of all control
// instances at once the gateways would otherwise know only the few upstreams that have
// announced themselves since, and send all work there; and requests that crash upstreams
// would be new to all.
type saver[T any] struct {
	log    *slog.Logger
	path   string
	values chan T
}

func newSaver[T any](r *Registry, file string) *saver[T] {
	return &saver[T]{log: r.log, path: filepath.Join(r.folder, file), values: make(chan T, 1)}
}

// offer hands the newest value over; one that waits is replaced.
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
				s.log.Warn("state not saved", "file", s.path, "error", err)
			}
		}
	}
}

// write replaces the file. Either version may remain after a power loss.
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

// read returns what was saved last; there is none at the first start.
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

// restore takes what was saved in. Upstreams count until they have been silent for the
// usual time.
func (d *directory) restore(now time.Time) {
	list, err := d.saver.read()
	if err != nil {
		d.log.Warn("saved directory not read", "file", d.saver.path, "error", err)
		list = nil
	}
	for _, u := range list {
		d.state.Observe(now, u)
	}
	if len(list) > 0 {
		d.log.Info("directory restored", "upstreams", len(list))
	}
	d.restoreCrashes(now)
}

// restoreCrashes takes the saved runs in. They are older by the time that the instance
// was down; a clock that has gone back makes them no younger.
func (d *directory) restoreCrashes(now time.Time) {
	saved, err := d.crashesSaver.read()
	if err != nil {
		d.log.Warn("saved broken runs not read", "file", d.crashesSaver.path, "error", err)
		return
	}
	for i := range saved.Entries {
		saved.Entries[i].AgeMS += max(now.UnixMilli()-saved.AtMS, 0)
	}
	if news := d.crashes.Merge(now, saved.Entries); len(news) > 0 {
		d.log.Info("broken runs restored", "requests", len(news), "runs", len(saved.Entries))
	}
}
