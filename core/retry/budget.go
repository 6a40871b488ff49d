// Package retry decides whether a failed request gets another attempt: the
// retry budget of an entry, the rule on result codes, the delay of a hedge and
// the jitter of Retry-After. It holds no clock; one goroutine owns a Budget.
package retry

import "time"

// Defaults of Settings.
const (
	// DefaultShare is how many retries and hedges each first attempt earns.
	DefaultShare = 0.1
	// DefaultReserve is how many are allowed without any first attempt, so that
	// an entry with little traffic can retry at all.
	DefaultReserve = 3
	// DefaultWindow is the length of the sliding window.
	DefaultWindow = 10 * time.Second
	// DefaultResumeShare allows each running generation one resume a window.
	DefaultResumeShare = 1.0
	// DefaultResumeReserve is how many resumes are allowed beyond that.
	DefaultResumeReserve = 16
)

// slotCount is the number of parts of the window. More parts make the budget
// follow the window more closely.
const slotCount = 20

// Settings configures a Budget. Zero fields take their defaults; a negative
// Share allows only the reserve.
type Settings struct {
	Share         float64
	Reserve       int
	Window        time.Duration
	ResumeShare   float64
	ResumeReserve int
}

func (s Settings) withDefaults() Settings {
	if s.Share == 0 {
		s.Share = DefaultShare
	}
	if s.Reserve == 0 {
		s.Reserve = DefaultReserve
	}
	if s.Window == 0 {
		s.Window = DefaultWindow
	}
	if s.ResumeShare == 0 {
		s.ResumeShare = DefaultResumeShare
	}
	if s.ResumeReserve == 0 {
		s.ResumeReserve = DefaultResumeReserve
	}
	return s
}

// Budget limits the extra load that an entry makes. Retries and hedges share
// one budget earned by first attempts. Resumes have their own, earned by the
// generations that run: that work is already committed to, and losing a zone
// needs a third of all generations resumed at once.
type Budget struct {
	set     Settings
	first   window
	extra   window
	resumes window
}

// NewBudget returns a budget without history.
func NewBudget(set Settings) *Budget {
	set = set.withDefaults()
	part := set.Window / slotCount
	return &Budget{set: set, first: window{part: part}, extra: window{part: part}, resumes: window{part: part}}
}

// AddAttempt counts a first attempt.
func (b *Budget) AddAttempt(now time.Time) { b.first.add(now) }

// AllowRetry takes one retry or hedge from the budget if there is one.
func (b *Budget) AllowRetry(now time.Time) bool {
	allowed := b.set.Share*float64(b.first.within(now)) + float64(b.set.Reserve)
	if float64(b.extra.touching(now)+1) > allowed {
		return false
	}
	b.extra.add(now)
	return true
}

// AllowResume takes one resume from its budget. When it is spent, the generation
// waits for the returned time and asks again rather than fail.
func (b *Budget) AllowResume(now time.Time, running int) (wait time.Duration, ok bool) {
	allowed := b.set.ResumeShare*float64(running) + float64(b.set.ResumeReserve)
	if float64(b.resumes.touching(now)+1) > allowed {
		return b.resumes.part, false
	}
	b.resumes.add(now)
	return 0, true
}

// window counts events in slots of the sliding window. Counts that earn are
// read over whole slots inside the window and counts that spend over all slots
// that touch it, so rounding never allows more than the exact window would.
type window struct {
	part  time.Duration
	slots [slotCount + 1]int
	last  int64
}

func (w *window) advance(now time.Time) {
	at := now.UnixNano() / int64(w.part)
	if at <= w.last {
		return
	}
	for i := max(w.last+1, at-slotCount); i <= at; i++ {
		w.slots[i%int64(len(w.slots))] = 0
	}
	w.last = at
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.slots[w.last%int64(len(w.slots))]++
}

func (w *window) touching(now time.Time) int {
	w.advance(now)
	n := 0
	for _, c := range w.slots {
		n += c
	}
	return n
}

func (w *window) within(now time.Time) int {
	n := w.touching(now)
	oldest := (w.last + 1) % int64(len(w.slots))
	return n - w.slots[oldest]
}
