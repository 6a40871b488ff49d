package wal

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/internal/disk"
	"heatherway.dev/kernel/result"
)

// Identity binds a data folder to a member. A folder that replaces a lost one gets a
// new disk ID, with which the member has no vote.
type Identity struct {
	Member raft.MemberID `json:"member"`
	Disk   raft.DiskID   `json:"disk"`
}

const (
	identityFile = "identity.json"
	lockFile     = "lock"
	diskIDBytes  = 16
)

// checkIdentity checks that the identity file and the log exist together. hasSegment
// and hasRecord say what the log contains. If one of the two is missing, part of the
// folder was lost, and the member could vote twice in a term if it continued.
func (w *WAL) checkIdentity(hasSegment, hasRecord bool) error {
	path := filepath.Join(w.folder, identityFile)
	b, err := os.ReadFile(path)
	switch {
	case os.IsNotExist(err) && hasRecord:
		return result.New(result.DiskIdentity, "%s is missing, but the folder holds a log", path)
	case os.IsNotExist(err):
		return nil
	case err != nil:
		return result.Wrap(result.DataFolder, err, "cannot read "+path)
	case !hasSegment:
		return result.New(result.DiskIdentity, "%s exists, but the log is missing; remove the folder to rejoin with an empty disk", path)
	}
	if err := json.Unmarshal(b, &w.identity); err != nil || w.identity.Disk == "" {
		return result.New(result.DiskIdentity, "%s cannot be read", path)
	}
	return nil
}

// createIdentity writes the identity of a new folder. The first segment must exist
// already. In a folder with an identity it checks the member.
func (w *WAL) createIdentity(member raft.MemberID) error {
	if w.identity.Disk != "" {
		if w.identity.Member != member {
			return result.New(result.DiskIdentity, "%s belongs to member %q, not %q", w.folder, w.identity.Member, member)
		}
		return nil
	}
	var random [diskIDBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails
	w.identity = Identity{Member: member, Disk: raft.DiskID(hex.EncodeToString(random[:]))}
	b, err := json.Marshal(w.identity)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	if err := disk.Replace(w.files, filepath.Join(w.folder, identityFile), b); err != nil {
		return result.Wrap(result.DataFolder, err, "cannot write the disk identity")
	}
	return nil
}

// lockFolder prevents a second process from opening the folder. The lock is released
// when the process ends.
func lockFolder(folder string) (*os.File, error) {
	path := filepath.Join(folder, lockFile)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return nil, result.Wrap(result.DataFolder, err, "cannot open "+path)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, result.Wrap(result.DataFolder, err, folder+" is in use by another process")
	}
	return f, nil
}
