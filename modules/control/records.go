package control

import (
	"encoding/json"
	"sync"

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

// Apply implements replica.StateMachine.
func (r *records) Apply(_ uint64, command []byte) []byte {
	var c record.Command
	if err := json.Unmarshal(command, &c); err != nil {
		return mustEncode(record.Reply{Code: result.MalformedBody, Message: err.Error()})
	}
	r.mu.Lock()
	reply := r.state.Apply(c)
	r.mu.Unlock()
	return mustEncode(reply)
}

// Freeze implements replica.Freezer.
func (r *records) Freeze() func() []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	frozen := r.state.Snapshot()
	return func() []byte {
		b, err := frozen.Encode()
		if err != nil {
			panic(err) // the types always encode
		}
		return b
	}
}

// Snapshot implements replica.StateMachine.
func (r *records) Snapshot() []byte { return r.Freeze()() }

// Restore implements replica.StateMachine.
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
