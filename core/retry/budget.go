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
	settings Settings
	attempts slidingWindow
	retries  slidingWindow
	resumes  slidingWindow
}

// NewBudget returns a budget without history.
func NewBudget(settings Settings) *Budget {
	settings = settings.withDefaults()
	slotLength := settings.Window / slotCount
	return &Budget{settings: settings, attempts: slidingWindow{slotLength: slotLength}, retries: slidingWindow{slotLength: slotLength}, resumes: slidingWindow{slotLength: slotLength}}
}

// AddAttempt counts a first attempt.
func (b *Budget) AddAttempt(now time.Time) { b.attempts.add(now) }

// AllowRetry takes one retry or hedge from the budget if there is one.
func (b *Budget) AllowRetry(now time.Time) bool {
	allowed := b.settings.Share*float64(b.attempts.countInside(now)) + float64(b.settings.Reserve)
	if float64(b.retries.countOverlapping(now)+1) > allowed {
		return false
	}
	b.retries.add(now)
	return true
}

// AllowResume takes one resume from its budget. When it is spent, the generation
// waits for the returned time and asks again rather than fail.
func (b *Budget) AllowResume(now time.Time, running int) (wait time.Duration, ok bool) {
	allowed := b.settings.ResumeShare*float64(running) + float64(b.settings.ResumeReserve)
	if float64(b.resumes.countOverlapping(now)+1) > allowed {
		return b.resumes.slotLength, false
	}
	b.resumes.add(now)
	return 0, true
}

// window counts events in slots of the sliding window. Counts that earn are
// read over whole slots inside the window and counts that spend over all slots
// that touch it, so rounding never allows more than the exact window would.
type slidingWindow struct {
	slotLength time.Duration
	slots      [slotCount + 1]int
	last       int64
}

func (w *slidingWindow) advance(now time.Time) {
	current := now.UnixNano() / int64(w.slotLength)
	if current <= w.last {
		return
	}
	for i := max(w.last+1, current-slotCount); i <= current; i++ {
		w.slots[i%int64(len(w.slots))] = 0
	}
	w.last = current
}

func (w *slidingWindow) add(now time.Time) {
	w.advance(now)
	w.slots[w.last%int64(len(w.slots))]++
}

func (w *slidingWindow) countOverlapping(now time.Time) int {
	w.advance(now)
	n := 0
	for _, c := range w.slots {
		n += c
	}
	return n
}

func (w *slidingWindow) countInside(now time.Time) int {
	n := w.countOverlapping(now)
	oldest := (w.last + 1) % int64(len(w.slots))
	return n - w.slots[oldest]
}
