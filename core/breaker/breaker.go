// Package breaker implements a circuit breaker for an upstream. It opens after repeated
// failures and, after a pause, lets one probe at a time through. It reads no clock and
// takes no lock; one goroutine owns a Breaker.
package breaker

import "time"

// Defaults of Settings.
const (
	// DefaultConsecutiveFailures is the number of consecutive failures that opens the
	// breaker.
	DefaultConsecutiveFailures = 5
	// DefaultWindow is the number of recent outcomes from which the failure ratio is
	// calculated.
	DefaultWindow = 20
	// DefaultFailureRatio is the ratio of failures in a full window that opens the
	// breaker.
	DefaultFailureRatio = 0.5
	// DefaultPause is the pause before the first probe.
	DefaultPause = time.Second
	// DefaultMaxPause limits the pause, which doubles after each failed probe.
	DefaultMaxPause = 30 * time.Second
	// DefaultProbeTimeout is the time after which a probe without an outcome is given up
	// and another one may be sent.
	DefaultProbeTimeout = 10 * time.Second
)

// Settings configures a Breaker. Zero fields take their defaults.
type Settings struct {
	ConsecutiveFailures int
	Window              int
	FailureRatio        float64
	Pause               time.Duration
	MaxPause            time.Duration
	ProbeTimeout        time.Duration
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.ConsecutiveFailures, DefaultConsecutiveFailures)
	orDefault(&s.Window, DefaultWindow)
	orDefault(&s.FailureRatio, DefaultFailureRatio)
	orDefault(&s.Pause, DefaultPause)
	orDefault(&s.MaxPause, DefaultMaxPause)
	orDefault(&s.ProbeTimeout, DefaultProbeTimeout)
	return s
}

func orDefault[T int | float64 | time.Duration](v *T, fallback T) {
	if *v <= 0 {
		*v = fallback
	}
}

// State is the state of a Breaker.
type State uint8

// The states.
const (
	// Closed lets all work through.
	Closed State = iota
	// Open lets no work through until the pause ends.
	Open
	// HalfOpen lets one probe through at a time.
	HalfOpen
)

// String returns the name shown to operators.
func (s State) String() string {
	return [...]string{"closed", "open", "half-open"}[s]
}

// Outcome is the result of work that Allow let through.
type Outcome uint8

// The outcomes.
const (
	// Succeeded is recorded at the first useful response: the started frame of a
	// generation or the answer of a call. Waiting for the end of a generation would block
	// the probe slot for minutes.
	Succeeded Outcome = iota
	// RequestFailed means that the upstream failed to serve the request.
	RequestFailed
	// ConnectFailed means that a new connection could not be made. A caller that cannot
	// tell, such as the gateway, also records broken and silent connections as this.
	ConnectFailed
	// ConnectionSilent means that an existing connection went silent. It does not
	// count: only a new connection shows whether the upstream itself failed.
	ConnectionSilent
	// Abandoned means that the caller or the entry cancelled the work; it does not count.
	Abandoned
)

func (o Outcome) failed() bool { return o == RequestFailed || o == ConnectFailed }

// Permit links an outcome to the call of Allow that let the work through.
type Permit struct {
	epoch uint64
	// Probe reports whether the work is the probe of a half-open breaker.
	Probe       bool
	probeNumber uint64
}

// Breaker is the circuit breaker of one incarnation of an upstream. A new incarnation gets
// a new Breaker.
type Breaker struct {
	settings            Settings
	open                bool   // also while half-open
	epoch               uint64 // number of times the breaker opened
	closedAt            time.Time
	openUntil           time.Time
	pause               time.Duration
	probeCount          uint64 // number of probes sent
	probeActive         bool
	probeDeadline       time.Time
	consecutiveFailures int
	recent              []bool // ring buffer of outcomes, true for a failure
	nextOutcome         int
	recentFailures      int
}

// New returns a closed breaker.
func New(settings Settings) *Breaker {
	return &Breaker{settings: settings.withDefaults()}
}

// State returns the state at the given time.
func (b *Breaker) State(now time.Time) State {
	switch {
	case !b.open:
		return Closed
	case now.Before(b.openUntil):
		return Open
	default:
		return HalfOpen
	}
}

// Ready reports whether Allow would let work through, without taking the probe slot.
func (b *Breaker) Ready(now time.Time) bool {
	switch b.State(now) {
	case Closed:
		return true
	case Open:
		return false
	default:
		return !b.probeActive || !now.Before(b.probeDeadline)
	}
}

// RetryAt returns the earliest time at which Allow may let work through.
func (b *Breaker) RetryAt(now time.Time) time.Time {
	if b.Ready(now) {
		return now
	}
	if b.State(now) == Open {
		return b.openUntil
	}
	return b.probeDeadline
}

// Allow reports whether work may be sent. If so, the caller must pass the outcome to
// Record with the returned permit.
func (b *Breaker) Allow(now time.Time) (Permit, bool) {
	if !b.Ready(now) {
		return Permit{}, false
	}
	p := Permit{epoch: b.epoch}
	if b.open {
		b.probeCount++
		b.probeActive = true
		b.probeDeadline = now.Add(b.settings.ProbeTimeout)
		p.Probe, p.probeNumber = true, b.probeCount
	}
	return p, true
}

// Record processes an outcome. A permit may have several: a generation may start
// successfully and fail later. Outcomes of work from before the last opening are ignored,
// since they describe an earlier state of the upstream; so are those of a probe that was
// replaced.
func (b *Breaker) Record(now time.Time, p Permit, o Outcome) {
	if p.epoch != b.epoch {
		return
	}
	if b.open {
		b.recordProbe(now, p, o)
		return
	}
	if o.failed() || o == Succeeded {
		b.countOutcome(now, o.failed())
	}
}

func (b *Breaker) recordProbe(now time.Time, p Permit, o Outcome) {
	if !p.Probe || p.probeNumber != b.probeCount || !b.probeActive {
		return
	}
	b.probeActive = false
	switch {
	case o.failed():
		b.reopen(now)
	case o == Succeeded:
		b.close(now)
	}
}

func (b *Breaker) countOutcome(now time.Time, failed bool) {
	if failed {
		b.consecutiveFailures++
	} else {
		b.consecutiveFailures = 0
	}
	b.addOutcome(failed)
	full := len(b.recent) == b.settings.Window
	ratio := float64(b.recentFailures) / float64(b.settings.Window)
	if b.consecutiveFailures >= b.settings.ConsecutiveFailures || full && ratio >= b.settings.FailureRatio {
		b.trip(now)
	}
}

func (b *Breaker) addOutcome(failed bool) {
	if len(b.recent) < b.settings.Window {
		b.recent = append(b.recent, failed)
	} else {
		if b.recent[b.nextOutcome] {
			b.recentFailures--
		}
		b.recent[b.nextOutcome] = failed
		b.nextOutcome = (b.nextOutcome + 1) % b.settings.Window
	}
	if failed {
		b.recentFailures++
	}
}

// trip opens a closed breaker. If the upstream fails again within MaxPause after the
// breaker closed, the pause keeps doubling, so that a single successful probe does not
// reset it.
func (b *Breaker) trip(now time.Time) {
	b.open = true
	if b.pause != 0 && now.Sub(b.closedAt) < b.settings.MaxPause {
		b.reopen(now)
		return
	}
	b.pause = 0
	b.reopen(now)
}

func (b *Breaker) reopen(now time.Time) {
	b.epoch++
	b.probeActive = false
	b.pause = min(max(2*b.pause, b.settings.Pause), b.settings.MaxPause)
	b.openUntil = now.Add(b.pause)
}

func (b *Breaker) close(now time.Time) {
	b.open = false
	b.closedAt = now
	b.consecutiveFailures = 0
	b.recent, b.nextOutcome, b.recentFailures = b.recent[:0], 0, 0
}
