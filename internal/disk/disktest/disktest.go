// Package disktest provides a disk for tests whose operations fail on request.
package disktest

import (
	"os"
	"strings"
	"sync"
	"syscall"

	"heatherway.dev/heatherway/internal/disk"
)

// Fault is the way in which an operation fails.
type Fault int

// The ways in which an operation fails.
const (
	// Full lets operations that need room fail with ENOSPC from then on.
	Full Fault = iota
	// Short is Full, but the first write that fails has written a half.
	Short
	// Once lets a single operation fail with EIO.
	Once
)

// Disk passes operations on to the operating system until it is told to fail.
type Disk struct {
	mu sync.Mutex
	// countdown is the number of operations until the next fault; zero means none is due.
	countdown int
	fault     Fault
	full      bool
	half      bool
	// fullFor is the part of a path for which alone the disk is full.
	fullFor string
	count   int
	// refused is the number of operations that found the disk full.
	refused int
	// failed is the operation at which the fault struck.
	failed string
	// stalled, if set, is closed when operations go on.
	stalled chan struct{}
}

var _ disk.Files = (*Disk)(nil)

// FailAt lets the n-th operation from now on fail, and later ones as the fault says.
func (d *Disk) FailAt(n int, f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countdown, d.fault, d.failed = n, f, ""
}

// SetFull fills the disk or gives it room again. A full disk still truncates, syncs and
// removes files.
func (d *Disk) SetFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.half, d.fullFor, d.countdown = full, false, "", 0
}

// SetFullFor fills the disk for files with a part in their path.
func (d *Disk) SetFullFor(part string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.half, d.fullFor, d.countdown = true, false, part, 0
}

// SetStalled lets operations wait until the disk is no longer stalled.
func (d *Disk) SetStalled(stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case stalled && d.stalled == nil:
		d.stalled = make(chan struct{})
	case !stalled && d.stalled != nil:
		close(d.stalled)
		d.stalled = nil
	}
}

// awaitStall waits while the disk is stalled.
func (d *Disk) awaitStall() {
	d.mu.Lock()
	stalled := d.stalled
	d.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
}

// Count returns the number of operations so far.
func (d *Disk) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// Refused returns the number of operations that found the disk full.
func (d *Disk) Refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// Failed names the operation at which the fault of FailAt struck, or is empty.
func (d *Disk) Failed() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

// check counts an operation and returns its error. needsRoom is set if it fails on a full
// disk.
func (d *Disk) check(operation, path string, needsRoom bool) error {
	d.awaitStall()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	if d.countdown > 0 {
		if d.countdown--; d.countdown == 0 {
			d.failed = operation + " " + path[strings.LastIndex(path, "/")+1:]
			d.full = d.fault != Once
			d.half, d.fullFor = d.fault == Short, ""
			return &os.PathError{Op: operation, Path: path, Err: d.err()}
		}
	}
	if d.full && needsRoom && strings.Contains(path, d.fullFor) {
		d.refused++
		return &os.PathError{Op: operation, Path: path, Err: syscall.ENOSPC}
	}
	return nil
}

func (d *Disk) err() error {
	if d.fault == Once {
		return syscall.EIO
	}
	return syscall.ENOSPC
}

// takeHalf reports whether the failing write writes a half.
func (d *Disk) takeHalf() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	half := d.half
	d.half = false
	return half
}

// OpenFile implements disk.Files.
func (d *Disk) OpenFile(path string, flag int, permission os.FileMode) (disk.File, error) {
	if err := d.check("open", path, flag&os.O_CREATE != 0); err != nil {
		return nil, err
	}
	f, err := disk.OS.OpenFile(path, flag, permission)
	if err != nil {
		return nil, err
	}
	return &file{f, d}, nil
}

// Rename implements disk.Files.
func (d *Disk) Rename(from, to string) error {
	if err := d.check("rename", from, true); err != nil {
		return err
	}
	return disk.OS.Rename(from, to)
}

// Remove implements disk.Files.
func (d *Disk) Remove(path string) error {
	if err := d.check("remove", path, false); err != nil {
		return err
	}
	return disk.OS.Remove(path)
}

// SyncFolder implements disk.Files.
func (d *Disk) SyncFolder(path string) error {
	if err := d.check("sync folder", path, false); err != nil {
		return err
	}
	return disk.OS.SyncFolder(path)
}

type file struct {
	disk.File
	disk *Disk
}

func (f *file) Write(b []byte) (int, error) {
	err := f.disk.check("write", f.Name(), true)
	if err == nil {
		return f.File.Write(b)
	}
	if !f.disk.takeHalf() {
		return 0, err
	}
	n, writeErr := f.File.Write(b[:len(b)/2])
	if writeErr != nil {
		return n, writeErr
	}
	return n, err
}

func (f *file) Sync() error {
	if err := f.disk.check("sync", f.Name(), false); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *file) Truncate(size int64) error {
	if err := f.disk.check("truncate", f.Name(), false); err != nil {
		return err
	}
	return f.File.Truncate(size)
}
