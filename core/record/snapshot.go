package record

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Snapshot is a state at one point, which can be encoded while the state itself
// goes on.
type Snapshot struct {
	Now     int64             `json:"now"`
	Bytes   int64             `json:"bytes"`
	Entries map[string]*entry `json:"entries"`
	Queue   []expiryItem      `json:"queue"`
}

// Snapshot copies the references of all records.
func (s *State) Snapshot() *Snapshot {
	return &Snapshot{s.nowMS, s.bytes, maps.Clone(s.entries), slices.Clone(s.expiryQueue)}
}

// Encode returns the snapshot of the frozen state.
func (f *Snapshot) Encode() ([]byte, error) { return json.Marshal(f) }

// Restore replaces the state by an encoded one.
func (s *State) Restore(b []byte) error {
	f := Snapshot{Entries: map[string]*entry{}}
	if err := json.Unmarshal(b, &f); err != nil {
		return errors.Wrap(err, "record snapshot")
	}
	*s = State{nowMS: f.Now, entries: f.Entries, bytes: f.Bytes, expiryQueue: f.Queue}
	return nil
}
