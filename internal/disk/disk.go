// Package disk holds the file operations by which state is saved, so that tests can make
// each of them fail.
package disk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// FilePermission is the permission of saved files.
const FilePermission = 0o600

// TemporarySuffix ends the name of a file that Replace has not finished.
const TemporarySuffix = ".tmp"

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	Name() string
	Sync() error
	Truncate(size int64) error
}

// Files are the operations that change files.
type Files interface {
	OpenFile(path string, flag int, permission os.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// OS are the operations of the operating system.
var OS Files = osFiles{}

type osFiles struct{}

func (osFiles) OpenFile(path string, flag int, permission os.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, permission)
	if err != nil {
		return nil, err
	}
	return f, nil
}

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }

func (osFiles) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// CreateFolder creates a folder with its parents. The name of each new one is synced, since the
// files in a folder are lost with its name.
func CreateFolder(files Files, path string, permission os.FileMode) error {
	if _, err := os.Stat(path); err == nil || !errors.Is(err, os.ErrNotExist) {
		return err
	}
	parent := filepath.Dir(path)
	if err := CreateFolder(files, parent, permission); err != nil {
		return err
	}
	if err := os.Mkdir(path, permission); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return files.SyncFolder(parent)
}

// Replace replaces a file atomically and syncs its folder: after a crash the file has its
// old or its new contents. After a failure no temporary file takes up space.
func Replace(files Files, path string, b []byte) error {
	temporary := path + TemporarySuffix
	f, err := files.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, FilePermission)
	if err != nil {
		return errors.Wrap(err, "create "+temporary)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = files.Rename(temporary, path)
	}
	if err != nil {
		return errors.Wrap(errors.Join(err, files.Remove(temporary)), "write "+path)
	}
	if err := files.SyncFolder(filepath.Dir(path)); err != nil {
		return errors.Wrap(err, "sync the folder of "+path)
	}
	return nil
}
