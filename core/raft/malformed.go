package raft

import "github.com/go-faster/errors"

// ErrMalformed is wrapped by the errors of messages that no member sends.
var ErrMalformed = errors.New("raft: malformed message")

// check returns an error for a message that no member sends. Without it, entries out
// of order or a membership that cannot be decoded would end the process.
func (m Message) validate() error {
	switch {
	case m.Kind > TimeoutNow:
		return errors.Wrapf(ErrMalformed, "kind %d", m.Kind)
	case m.Kind == Append:
		return m.validateEntries()
	case m.Kind == SnapshotChunk && (m.Offset > m.Snapshot.Size || uint64(len(m.Data)) > m.Snapshot.Size-m.Offset):
		return errors.Wrapf(ErrMalformed, "%d bytes at %d of a snapshot of %d", len(m.Data), m.Offset, m.Snapshot.Size)
	}
	return nil
}

// checkEntries makes sure that the entries follow each other, in terms up to the
// sender's.
func (m Message) validateEntries() error {
	index, term := m.Index, m.LogTerm
	for _, e := range m.Entries {
		if index++; index == 0 || e.Index != index || e.Term < term || e.Term > m.Term {
			return errors.Wrapf(ErrMalformed, "entry %d of term %d after %d of term %d", e.Index, e.Term, index-1, term)
		}
		term = e.Term
		switch e.Kind {
		case Normal, Empty:
		case ChangeEntry:
			if _, err := decodeMembership(e.Data); err != nil {
				return errors.Wrapf(ErrMalformed, "membership: %v", err)
			}
		default:
			return errors.Wrapf(ErrMalformed, "entry %d has kind %d", e.Index, e.Kind)
		}
	}
	return nil
}
