// Package retry decides whether a failed request gets another attempt. It provides the
// retry budget of an entry, the rule on result codes, the delay before a hedge and the
// jitter of Retry-After. It has no clock; a Budget must be used by a single goroutine.
package retry

import "time"

// Defaults of Settings.
const (
	// DefaultShare is the number of retries and hedges that each first attempt adds to the
	// budget.
	DefaultShare = 0.1
	// DefaultReserve is the number allowed without any first attempt, so that an entry
	// with little traffic can retry at all.
	DefaultReserve = 3
	// DefaultWindow is the length of the sliding window.
	DefaultWindow = 10 * time.Second
	// DefaultResumeShare allows each running generation one resume per window.
	DefaultResumeShare = 1.0
	// DefaultResumeReserve is the number of resumes allowed beyond that.
	DefaultResumeReserve = 16
)

// bucketCount is the number of buckets of the window. With more buckets, the budget follows
// the window more closely.
const bucketCount = 20

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

// Budget limits the additional load that an entry causes. Retries and hedges share one
// budget, which grows with the first attempts. Resumes have a separate budget, which grows
// with the running generations: this work has already been accepted, and after the loss of
// a zone a third of all generations must resume at once.
type Budget struct {
	settings Settings
	attempts slidingWindow
	retries  slidingWindow
	resumes  slidingWindow
}

// NewBudget returns a budget without history.
func NewBudget(settings Settings) *Budget {
	settings = settings.withDefaults()
	bucketLength := settings.Window / bucketCount
	return &Budget{settings: settings, attempts: slidingWindow{bucketLength: bucketLength}, retries: slidingWindow{bucketLength: bucketLength}, resumes: slidingWindow{bucketLength: bucketLength}}
}

// AddAttempt records a first attempt.
func (b *Budget) AddAttempt(now time.Time) { b.attempts.add(now) }

// AllowRetry takes one retry or hedge from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) AllowRetry(now time.Time) bool {
	allowed := b.settings.Share*float64(b.attempts.countInside(now)) + float64(b.settings.Reserve)
	if float64(b.retries.countOverlapping(now)+1) > allowed {
		return false
	}
	b.retries.add(now)
	return true
}

// AllowResume takes one resume from its budget. If that is exhausted, it returns the time
// after which the generation should ask again, rather than fail.
func (b *Budget) AllowResume(now time.Time, running int) (wait time.Duration, ok bool) {
	allowed := b.settings.ResumeShare*float64(running) + float64(b.settings.ResumeReserve)
	if float64(b.resumes.countOverlapping(now)+1) > allowed {
		return b.resumes.bucketLength, false
	}
	b.resumes.add(now)
	return 0, true
}

// slidingWindow counts events in the buckets of a sliding window. Counts that add to a
// budget cover only whole buckets inside the window, and counts that draw on it cover all
// buckets that overlap the window, so that rounding never allows more than an exact window
// would.
type slidingWindow struct {
	bucketLength time.Duration
	buckets      [bucketCount + 1]int
	last         int64
}

func (w *slidingWindow) advance(now time.Time) {
	current := now.UnixNano() / int64(w.bucketLength)
	if current <= w.last {
		return
	}
	for i := max(w.last+1, current-bucketCount); i <= current; i++ {
		w.buckets[i%int64(len(w.buckets))] = 0
	}
	w.last = current
}

func (w *slidingWindow) add(now time.Time) {
	w.advance(now)
	w.buckets[w.last%int64(len(w.buckets))]++
}

func (w *slidingWindow) countOverlapping(now time.Time) int {
	w.advance(now)
	n := 0
	for _, c := range w.buckets {
		n += c
	}
	return n
}

func (w *slidingWindow) countInside(now time.Time) int {
	n := w.countOverlapping(now)
	oldest := (w.last + 1) % int64(len(w.buckets))
	return n - w.buckets[oldest]
}
