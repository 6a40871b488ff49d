package registry

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/registration"
)

const (
	// savedFile holds the directory below the data folder of the role.
	savedFile = "directory.json"
	// saveInterval collects changes into one write.
	saveInterval   = 400 * time.Millisecond
	filePermission = 0o600
	dirPermission  = 0o700
)

// saver writes the directory to the disk in the background. After the loss of
// all control instances at once the gateways would otherwise know only the few
// upstreams that have announced themselves since, and send all work there.
type saver struct {
	d     *directory
	path  string
	lists chan []registration.Upstream
}

func newSaver(d *directory, folder string) *saver {
	return &saver{d: d, path: filepath.Join(folder, savedFile), lists: make(chan []registration.Upstream, 1)}
}

// offer hands the newest list over; one that waits is replaced.
func (s *saver) offer(list []registration.Upstream) {
	select {
	case <-s.lists:
	default:
	}
	s.lists <- list
}

func (s *saver) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-s.lists:
			if err := s.write(list); err != nil {
				s.d.log.Warn("directory not saved", "file", s.path, "error", err)
			}
		}
	}
}

// write replaces the file. Either version may remain after a power loss.
func (s *saver) write(list []registration.Upstream) error {
	b, err := json.Marshal(list)
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
func (s *saver) read() ([]registration.Upstream, error) {
	b, err := os.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []registration.Upstream
	return list, json.Unmarshal(b, &list)
}

// restore takes the saved records in. They count until the upstreams have been
// silent for the usual time.
func (d *directory) restore(now time.Time) {
	list, err := d.saver.read()
	if err != nil {
		d.log.Warn("saved directory not read", "file", d.saver.path, "error", err)
		return
	}
	for _, u := range list {
		d.state.Observe(now, u)
	}
	if len(list) > 0 {
		d.log.Info("directory restored", "upstreams", len(list))
	}
}
