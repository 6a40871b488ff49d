package control

import (
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"

	"heatherway.dev/core/record"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// records is the machine of one record group. A lock rather than snapshots
// lets lookups read it, since a snapshot of every claim would copy the map.
type records struct {
	mu    sync.RWMutex
	state *record.State
}

func newRecords() *records { return &records{state: record.New()} }

// Apply implements Machine.
func (r *records) Apply(_ uint64, command []byte) []byte {
	var c record.Command
	var reply record.Reply
	if err := json.Unmarshal(command, &c); err != nil {
		reply = record.Reply{Code: result.MalformedBody, Message: err.Error()}
	} else {
		r.mu.Lock()
		reply = r.state.Apply(c)
		r.mu.Unlock()
	}
	b, err := json.Marshal(reply)
	if err != nil {
		panic(errors.Wrap(err, "encode a record reply")) // the types always encode
	}
	return b
}

// Snapshot implements Machine.
func (r *records) Snapshot() ([]byte, error) {
	r.mu.RLock()
	frozen := r.state.Freeze()
	r.mu.RUnlock()
	return frozen.Encode()
}

// Restore implements Machine.
func (r *records) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Restore(b)
}

func (r *records) lookup(key string) wire.Record {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Lookup(key)
}
