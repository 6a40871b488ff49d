package registry

import (
	"encoding/binary"
	"log/slog"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// revision is one version of the configuration, with the body as the operator sent it.
type revision struct {
	version uint64
	body    []byte
}

// configuration is the replicated state machine of the routing configuration. The
// highest version is in force.
type configuration struct {
	log      *slog.Logger
	onChange func()
	inForce  atomic.Pointer[revision]
}

func newConfiguration(log *slog.Logger, onChange func()) *configuration {
	d := &configuration{log: log, onChange: onChange}
	d.inForce.Store(&revision{})
	return d
}

// current returns the revision in force. Its version is 0 if there is none.
func (d *configuration) current() *revision { return d.inForce.Load() }

const versionBytes = 8

func encodeRevision(version uint64, body []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, versionBytes+len(body)), version), body...)
}

func decodeRevision(b []byte) (*revision, error) {
	if len(b) < versionBytes {
		return nil, errors.New("configuration entry is shorter than its version number")
	}
	return &revision{version: binary.BigEndian.Uint64(b), body: b[versionBytes:]}, nil
}

// Apply implements replica.StateMachine. It returns the version in force.
func (d *configuration) Apply(index uint64, entry []byte) []byte {
	next, err := decodeRevision(entry)
	if err != nil {
		d.log.Error("invalid configuration entry skipped", "index", index, "error", err)
		return nil
	}
	d.activate(next, "log")
	return binary.BigEndian.AppendUint64(nil, d.current().version)
}

// activate puts a revision into force if its version is higher than the current one.
func (d *configuration) activate(next *revision, from string) {
	old := d.current()
	if next.version <= old.version {
		return
	}
	d.inForce.Store(next)
	d.log.Info("configuration in force", "version", next.version, "previous", old.version, "bytes", len(next.body), "from", from)
	d.onChange()
}

// Snapshot implements replica.StateMachine.
func (d *configuration) Snapshot() []byte {
	r := d.current()
	return encodeRevision(r.version, r.body)
}

// Restore implements replica.StateMachine. A log that is opened again may start
// with a snapshot older than the state in memory, which must not be reverted.
func (d *configuration) Restore(b []byte) error {
	next, err := decodeRevision(b)
	if err != nil {
		return err
	}
	d.activate(next, "snapshot")
	return nil
}
