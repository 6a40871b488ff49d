package record

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Snapshot is a copy of a State at one point in the log. It can be encoded while
// further commands are applied to the state.
type Snapshot struct {
	Now     int64                    `json:"now"`
	Bytes   int64                    `json:"bytes"`
	Entries map[string]*storedRecord `json:"entries"`
	Queue   []expiryItem             `json:"queue"`
}

// Snapshot returns a snapshot that shares the immutable entries with the state.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{s.nowMS, s.bytes, maps.Clone(s.entries), slices.Clone(s.expiryQueue)}
}

// Encode returns the snapshot in JSON.
func (snap *Snapshot) Encode() ([]byte, error) { return json.Marshal(snap) }

// Restore replaces the state with an encoded snapshot.
func (s *State) Restore(b []byte) error {
	snap := Snapshot{Entries: map[string]*storedRecord{}}
	if err := json.Unmarshal(b, &snap); err != nil {
		return errors.Wrap(err, "decode record snapshot")
	}
	*s = State{nowMS: snap.Now, entries: snap.Entries, bytes: snap.Bytes, expiryQueue: snap.Queue}
	return nil
}
