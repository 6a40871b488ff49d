// Package origin keeps which software version of its upstreams began each stream of events, so
// that a stream whose caller takes it up again goes on at the same version, through any gateway
// and after the loss of all of them. What two versions write doesn't fit together.
//
// The Ledger is replicated and durable. To spare a durable write for each stream, every service
// has a default version: streams that it begins need not be recorded. Invariant: a stream whose
// caller has received an event was begun by the recorded version, or by the default if none is
// recorded, or all upstreams of the default were gone when it began. The package reads no clock and takes no
// lock.
package origin

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MinRetention and MaxRetention bound the time for which a stream is recorded. Callers take
	// a stream up within their deadline, which is about the timeout of its route.
	MinRetention = 2 * time.Minute
	MaxRetention = time.Hour
	// DefaultRetention is how long no upstream of the default version must have been known
	// before another one becomes the default. All streams that it began have ended by then.
	DefaultRetention = MaxRetention
	// MaxStreams bounds the recorded streams. Beyond it none are recorded, and streams begin at
	// the default version only. It is a minute of the largest fleet's streams, about 32 MB.
	MaxStreams = 1 << 18
)

// Key identifies a stream. It is a hash, since the IDs come from callers and have any length.
type Key [16]byte

// KeyOf returns the key of a stream from its service and the ID of the caller's attempt that
// receives its first event.
func KeyOf(service, id string) Key {
	sum := sha256.Sum256([]byte(service + "\x00" + id))
	return Key(sum[:len(Key{})])
}

// Retention returns how long the streams of a route with a timeout are recorded.
func Retention(timeout time.Duration) time.Duration {
	return min(max(2*timeout, MinRetention), MaxRetention)
}

// Record says which version begins a stream.
type Record struct {
	Service, Version string
	Key              Key
	Retention        time.Duration
	// Attempt is the number of the attempt to begin the stream. A record of an earlier attempt
	// may arrive late.
	Attempt int
}

// Command is an entry of the replicated log.
type Command struct {
	// AtMS is the time of the leader in Unix milliseconds.
	AtMS    int64
	Streams []Record `json:",omitempty"`
	// DefaultOf, if set, is a service that gets a default version.
	DefaultOf, Default string `json:",omitempty"`
}

// Encode returns the command as it is stored.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// entry is a recorded stream.
type entry struct {
	Service, Version string
	ExpiresMS        int64
	Attempt          int
}

// Ledger is the state machine. The zero value is not usable; use New.
type Ledger struct {
	defaults map[string]string // by service
	streams  map[Key]entry
	nowMS    int64 // the latest time of a command
	sweptMS  int64
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{defaults: map[string]string{}, streams: map[Key]entry{}} }

// sweepIntervalMS is the time between two removals of expired streams.
const sweepIntervalMS = 5000

// Apply applies an encoded command.
func (l *Ledger) Apply(b []byte) error {
	var c Command
	if err := json.Unmarshal(b, &c); err != nil {
		return errors.Wrap(err, "record of streams")
	}
	l.nowMS = max(l.nowMS, c.AtMS)
	for _, r := range c.Streams {
		retention := min(max(r.Retention, MinRetention), MaxRetention)
		if old, ok := l.streams[r.Key]; !ok || r.Attempt >= old.Attempt {
			l.streams[r.Key] = entry{r.Service, r.Version, l.nowMS + retention.Milliseconds(), r.Attempt}
		}
	}
	if c.DefaultOf != "" {
		l.defaults[c.DefaultOf] = c.Default
	}
	l.sweep()
	return nil
}

func (l *Ledger) sweep() {
	if l.nowMS-l.sweptMS < sweepIntervalMS {
		return
	}
	l.sweptMS = l.nowMS
	for k, e := range l.streams {
		if e.ExpiresMS <= l.nowMS {
			delete(l.streams, k)
		}
	}
}

// HasRoom reports whether a number of further streams can be recorded.
func (l *Ledger) HasRoom(count int) bool { return len(l.streams)+count <= MaxStreams }

// Default returns the default version of a service, empty if there is none yet.
func (l *Ledger) Default(service string) string { return l.defaults[service] }

// Version returns the version that began a stream. It is not known if the stream is not recorded
// and the service has no default version.
func (l *Ledger) Version(service string, key Key) (version string, known bool) {
	if e, ok := l.streams[key]; ok && e.Service == service {
		return e.Version, true
	}
	version = l.defaults[service]
	return version, version != ""
}

// OnlyVersion returns the version of all streams of a service that may be taken up: the default
// if no stream of another version is recorded.
func (l *Ledger) OnlyVersion(service string) (version string, known bool) {
	version = l.defaults[service]
	for _, e := range l.streams {
		if e.Service == service && e.Version != version {
			return "", false
		}
	}
	return version, version != ""
}

// snapshot is the encoded state. Streams are grouped, since few versions begin many.
type snapshot struct {
	Defaults map[string]string
	NowMS    int64
	Groups   []group
}

type group struct {
	Service, Version string
	Attempt          int
	Keys             []byte // len(Key{}) bytes each
	ExpiresMS        []int64
}

// Snapshot returns the encoded state.
func (l *Ledger) Snapshot() ([]byte, error) {
	type name struct {
		service, version string
		attempt          int
	}
	groups := map[name]*group{}
	s := snapshot{Defaults: l.defaults, NowMS: l.nowMS}
	for k, e := range l.streams {
		n := name{e.Service, e.Version, e.Attempt}
		if groups[n] == nil {
			groups[n] = &group{Service: e.Service, Version: e.Version, Attempt: e.Attempt}
		}
		groups[n].Keys = append(groups[n].Keys, k[:]...)
		groups[n].ExpiresMS = append(groups[n].ExpiresMS, e.ExpiresMS)
	}
	for _, g := range groups {
		s.Groups = append(s.Groups, *g)
	}
	return json.Marshal(s)
}

// Restore replaces the state by a snapshot.
func (l *Ledger) Restore(b []byte) error {
	var s snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "snapshot of recorded streams")
	}
	restored := New()
	restored.nowMS = s.NowMS
	for service, version := range s.Defaults {
		restored.defaults[service] = version
	}
	size := len(Key{})
	for _, g := range s.Groups {
		if len(g.Keys) != size*len(g.ExpiresMS) {
			return errors.New("snapshot of recorded streams: the numbers of keys and times differ")
		}
		for i, expires := range g.ExpiresMS {
			restored.streams[Key(g.Keys[i*size:(i+1)*size])] = entry{g.Service, g.Version, expires, g.Attempt}
		}
	}
	*l = *restored
	return nil
}
