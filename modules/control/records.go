package control

import (
	"encoding/json"
	"sync"

	"heatherway.dev/core/record"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// recordMachine is the state machine of a record group. Lookups read it under a
// lock rather than from snapshots, since a snapshot for every claim would copy
// the map.
type recordMachine struct {
	mu    sync.RWMutex
	state *record.State
}

func newRecordMachine() *recordMachine { return &recordMachine{state: record.New()} }

// Apply implements replica.StateMachine.
func (r *recordMachine) Apply(_ uint64, command []byte) []byte {
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
func (r *recordMachine) Freeze() func() []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	snapshot := r.state.Snapshot()
	return func() []byte {
		b, err := snapshot.Encode()
		if err != nil {
			panic(err) // the encoding of these types cannot fail
		}
		return b
	}
}

// Snapshot implements replica.StateMachine.
func (r *recordMachine) Snapshot() []byte { return r.Freeze()() }

// Restore implements replica.StateMachine.
func (r *recordMachine) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Restore(b)
}

func (r *recordMachine) lookup(key string) wire.Record {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Lookup(key)
}
