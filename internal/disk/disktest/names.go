package disktest

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"heatherway.dev/heatherway/internal/disk"
)

// Names passes operations on and knows which renames and removals a loss of power may undo: those
// whose folder has not been synced since, each independently of the others.
type Names struct {
	disk.Files
	// Changed, if set, is called after each operation.
	Changed func()
	pending []nameChange
}

// nameChange is a rename of from to path, or a removal of path if from is empty. content is what
// was at path before, nil for nothing.
type nameChange struct {
	from, path string
	content    []byte
}

// Pending returns the number of changes that may be undone.
func (n *Names) Pending() int { return len(n.pending) }

// Undo undoes, in a copy of a folder, the changes whose bits are set.
func (n *Names) Undo(changes uint, folder, folderCopy string) error {
	in := func(path string) string { return filepath.Join(folderCopy, strings.TrimPrefix(path, folder)) }
	for i := len(n.pending) - 1; i >= 0; i-- {
		c := n.pending[i]
		if changes&(1<<i) == 0 {
			continue
		}
		if c.from != "" {
			if err := os.Rename(in(c.path), in(c.from)); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
		}
		if c.content == nil {
			continue
		}
		if err := os.WriteFile(in(c.path), c.content, disk.FilePermission); err != nil {
			return err
		}
	}
	return nil
}

func (n *Names) changed(c nameChange, err error) error {
	if err == nil {
		n.pending = append(n.pending, c)
	}
	n.notify()
	return err
}

func (n *Names) notify() {
	if n.Changed != nil {
		n.Changed()
	}
}

// Rename implements disk.Files.
func (n *Names) Rename(from, to string) error {
	content, err := os.ReadFile(to)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return n.changed(nameChange{from, to, content}, n.Files.Rename(from, to))
}

// Remove implements disk.Files.
func (n *Names) Remove(path string) error {
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return n.changed(nameChange{path: path, content: content}, n.Files.Remove(path))
}

// SyncFolder implements disk.Files.
func (n *Names) SyncFolder(path string) error {
	err := n.Files.SyncFolder(path)
	if err == nil {
		kept := n.pending[:0]
		for _, c := range n.pending {
			if filepath.Dir(c.path) != path {
				kept = append(kept, c)
			}
		}
		n.pending = kept
	}
	n.notify()
	return err
}
