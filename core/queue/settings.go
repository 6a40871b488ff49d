package queue

import "time"

// Settings configures a queue. The zero value of a field is replaced by its default.
type Settings struct {
	// Lead is how long before the end of the current prompt an upstream is given the next one,
	// so that it does not idle while the messages travel.
	Lead time.Duration
	// MaxUnreadTokens bounds the prompt tokens placed at an upstream and not yet read. An
	// upstream that has nothing to read takes a prompt of any size.
	MaxUnreadTokens int
	// MemoryShare is the share of the KV cache that is filled.
	MemoryShare float64
	// Floor is the share of starts that each class gets while it waits.
	Floor float64
	// BrokenPause is how long an upstream gets nothing after a failure. It doubles with each
	// further failure without a first event in between.
	BrokenPause time.Duration
	// LossRate is the assumed rate per second at which a stream loses its upstream, until
	// failures have been seen.
	LossRate float64
	// LossCost is what the interruption of an answer costs its caller beside the time to read
	// the prompt again, stated as a delay of a first event.
	LossCost time.Duration
	// MaxMoves is how often a request that has not begun may be moved.
	MaxMoves int
	// StatusRequests is the number of waiting requests that Status lists.
	StatusRequests int
	// Speeds estimates the speed of upstreams; nil selects those of package speed.
	Speeds Speeds
}

// DefaultSettings returns the settings that apply where the configuration names none.
func DefaultSettings() Settings {
	return Settings{
		Lead:            100 * time.Millisecond,
		MaxUnreadTokens: 32 << 10,
		MemoryShare:     1,
		Floor:           0.05,
		BrokenPause:     400 * time.Millisecond,
		LossRate:        0.002,
		LossCost:        5 * time.Second,
		MaxMoves:        2,
		StatusRequests:  50,
	}
}

// withDefaults replaces the fields that are unset or out of range.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	setDefault(&s.Lead, d.Lead)
	setDefault(&s.MaxUnreadTokens, d.MaxUnreadTokens)
	setDefault(&s.MemoryShare, d.MemoryShare)
	setDefault(&s.Floor, d.Floor)
	setDefault(&s.BrokenPause, d.BrokenPause)
	setDefault(&s.LossRate, d.LossRate)
	setDefault(&s.LossCost, d.LossCost)
	setDefault(&s.MaxMoves, d.MaxMoves)
	setDefault(&s.StatusRequests, d.StatusRequests)
	s.MemoryShare = min(s.MemoryShare, 1)
	s.Floor = min(s.Floor, 1.0/priorities)
	return s
}

func setDefault[T int | float64 | time.Duration](value *T, fallback T) {
	if !(*value > 0) {
		*value = fallback
	}
}
