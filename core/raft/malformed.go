package raft

import "github.com/go-faster/errors"

// ErrMalformed is wrapped by the errors that Step returns for malformed messages.
var ErrMalformed = errors.New("raft: malformed message")

// validate returns an error for a message that no correct member sends. Without it,
// entries out of order or an undecodable membership would cause a panic.
func (m Message) validate() error {
	switch {
	case m.Kind > TimeoutNow:
		return errors.Wrapf(ErrMalformed, "unknown message kind %d", m.Kind)
	case m.Kind == Append:
		return m.validateEntries()
	case m.Kind == SnapshotChunk && (m.Offset > m.Snapshot.Size || uint64(len(m.Data)) > m.Snapshot.Size-m.Offset):
		return errors.Wrapf(ErrMalformed, "snapshot chunk of %d bytes at offset %d exceeds the snapshot size %d",
			len(m.Data), m.Offset, m.Snapshot.Size)
	}
	return nil
}

// validateEntries checks that the entries have consecutive indexes and non-decreasing terms
// up to the sender's term.
func (m Message) validateEntries() error {
	index, term := m.Index, m.LogTerm
	for _, e := range m.Entries {
		if index++; index == 0 || e.Index != index || e.Term < term || e.Term > m.Term {
			return errors.Wrapf(ErrMalformed, "entry %d of term %d can't follow entry %d of term %d", e.Index, e.Term, index-1, term)
		}
		term = e.Term
		switch e.Kind {
		case Normal, Empty:
		case ChangeEntry:
			if _, err := decodeMembership(e.Data); err != nil {
				return errors.Wrapf(ErrMalformed, "invalid membership: %v", err)
			}
		default:
			return errors.Wrapf(ErrMalformed, "entry %d has unknown kind %d", e.Index, e.Kind)
		}
	}
	return nil
}
