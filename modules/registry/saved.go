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
	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/internal/disk"
)

const (
	// directoryFile holds the records of upstreams and crashesFile the broken runs of
	// requests, both in the data folder of the role.
	directoryFile = "directory.json"
	crashesFile   = "crashes.json"
	// saveInterval is the time over which changes are batched into one write.
	saveInterval = 400 * time.Millisecond
	// saveRetryDelay is the delay before a write that failed is tried again, if nothing newer
	// is to be written. A full disk recovers within seconds.
	saveRetryDelay = time.Second
	dirPermission  = 0o700
)

// savedCrashes are the broken runs of requests, with the time at which they were saved by
// the clock of the instance.
type savedCrashes struct {
	AtMS    int64
	Entries savedList[crash.Entry]
}

// savedList is a list whose elements are decoded one by one. An element that cannot be
// decoded is left out and does not affect the others.
type savedList[T any] []T

// UnmarshalJSON implements json.Unmarshaler. It returns an error about the elements that it
// left out after decoding the others.
func (l *savedList[T]) UnmarshalJSON(b []byte) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(b, &elements); err != nil {
		return err
	}
	*l = make(savedList[T], 0, len(elements))
	var first error
	for _, e := range elements {
		var value T
		if err := json.Unmarshal(e, &value); err == nil {
			*l = append(*l, value)
		} else if first == nil {
			first = err
		}
	}
	if first != nil {
		return errors.Wrapf(first, "%d of %d elements cannot be decoded", len(elements)-len(*l), len(elements))
	}
	return nil
}

// saver writes soft state to disk in the background. Without it, after all control
// instances are lost at once, the gateways would know only the few upstreams that have
// announced themselves since and send all requests there, and requests that are known to
// crash upstreams would be forgotten.
type saver[T any] struct {
	log    *slog.Logger
	files  disk.Files
	path   string
	values chan T
	// saved, if set, is called with each value that has been written and synced.
	saved func(T)
}

func newSaver[T any](r *Registry, file string) *saver[T] {
	return &saver[T]{log: r.log, files: r.files, path: filepath.Join(r.folder, file), values: make(chan T, 1)}
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
			s.save(ctx, value)
		}
	}
}

// save writes a value, or a newer one, until that succeeds or ctx ends.
func (s *saver[T]) save(ctx context.Context, value T) {
	for {
		err := s.write(value)
		if err == nil {
			if s.saved != nil {
				s.saved(value)
			}
			return
		}
		s.log.Warn("cannot save registry state; retrying", "file", s.path, "error", err, "retry_ms", saveRetryDelay.Milliseconds())
		select {
		case <-ctx.Done():
			return
		case value = <-s.values:
		case <-time.After(saveRetryDelay):
		}
	}
}

// write replaces the file. After a power loss the file may have its old or its new content.
func (s *saver[T]) write(value T) error {
	b, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if err := disk.CreateFolder(s.files, filepath.Dir(s.path), dirPermission); err != nil {
		return err
	}
	return disk.Replace(s.files, s.path, b)
}

// read returns the last saved value, or the zero value if there is no file. With an error
// about elements of a list it returns the others.
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
	malformed := 0
	for _, u := range list {
		if d.state.Observe(now, u) != registration.Malformed {
			continue
		}
		if malformed++; err == nil {
			err = u.Validate()
		}
	}
	if err != nil {
		d.log.Warn("cannot read all of the saved upstream directory; continuing without the rest", "file", d.saver.path,
			"records", len(list)-malformed, "error", clip(err.Error()))
	}
	if len(list) > malformed {
		d.log.Info("upstream directory restored from disk", "upstreams", len(list)-malformed)
	}
	d.restoreDepartures(now)
	d.restoreCrashes(now)
}

// restoreCrashes loads the saved broken runs. The time that the instance was down is
// added to their age; a clock that was set back does not reduce it.
func (d *directory) restoreCrashes(now time.Time) {
	saved, err := d.crashesSaver.read()
	if err != nil {
		d.log.Warn("cannot read all of the saved broken runs; continuing without the rest", "file", d.crashesSaver.path,
			"runs", len(saved.Entries), "error", clip(err.Error()))
	}
	for i := range saved.Entries {
		saved.Entries[i].AgeMS += max(now.UnixMilli()-saved.AtMS, 0)
	}
	if updated := d.crashes.Merge(now, saved.Entries); len(updated) > 0 {
		d.log.Info("broken runs restored from disk", "requests", len(updated), "runs", len(saved.Entries))
	}
}
