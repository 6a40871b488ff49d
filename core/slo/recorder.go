package slo

import (
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// SeriesKey identifies a series.
type SeriesKey struct {
	Class        wire.Class
	Organisation string
}

// Objective is the service level objective of a series.
type Objective struct {
	// Target is the longest time to the first token of a good request.
	Target time.Duration `json:"target_ns"`
	// Share is the fraction of requests that should be good.
	Share float64 `json:"share"`
}

// Sample is a finished request.
type Sample struct {
	Class        wire.Class
	Organisation string
	// FirstToken is the time to the first token or, for a non-streaming call, to the
	// complete answer; 0 if there was none.
	FirstToken time.Duration
	// Target overrides the target of the series for a request whose route has its own; 0
	// keeps the target of the series.
	Target time.Duration
	// Late counts the request as late whatever its time to the first token, for example
	// because the stream paused.
	Late bool
	// Code is OK or the result code that ended the request.
	Code result.Code
}

const (
	// MaxSeries limits the memory of a recorder: a series takes about 3 KB.
	MaxSeries = 4096
	// OtherOrganisations is the organisation of the series that count requests beyond
	// MaxSeries.
	OtherOrganisations = "(other)"
)

// Recorder records the series of one entry. It is not safe for concurrent use.
type Recorder struct {
	objective func(SeriesKey) Objective
	rings     [WindowCount]ring
	series    map[SeriesKey]*series
}

type series struct {
	objective Objective
	latency   Histogram
	counts    Counts // since the start of the series
	slots     [WindowCount][slotCount]Counts
}

// NewRecorder returns a recorder that starts at the given time. It looks up the objective
// for each request, so that a changed objective takes effect immediately.
func NewRecorder(now time.Time, objective func(SeriesKey) Objective) *Recorder {
	r := &Recorder{objective: objective, series: map[SeriesKey]*series{}}
	for w := range r.rings {
		r.rings[w] = newRing(windows[w], now)
	}
	return r
}

// Record counts a finished request.
func (r *Recorder) Record(now time.Time, s Sample) {
	r.advance(now)
	if s.Code != OK && !CountsAgainstBudget(s.Code) {
		return
	}
	k := SeriesKey{s.Class, s.Organisation}
	e := r.seriesFor(k)
	e.objective = r.objective(k)
	e.counts.Total++
	if s.FirstToken > 0 {
		e.latency.Observe(s.FirstToken)
	}
	target := e.objective.Target
	if s.Target > 0 {
		target = s.Target
	}
	switch {
	case s.Code != OK:
		e.counts.fail(s.Code, 1)
	case s.Late || s.FirstToken > target:
		e.counts.Late++
	}
}

func (r *Recorder) seriesFor(k SeriesKey) *series {
	if e, ok := r.series[k]; ok {
		return e
	}
	if len(r.series) >= MaxSeries {
		k.Organisation = OtherOrganisations
	}
	e, ok := r.series[k]
	if !ok {
		e = &series{}
		r.series[k] = e
	}
	return e
}

// advance fills the slots that are due.
func (r *Recorder) advance(now time.Time) {
	for w := range r.rings {
		for _, at := range r.rings[w].dueTimes(now) {
			r.rings[w].push(at)
			for _, e := range r.series {
				e.slots[w][r.rings[w].head] = e.counts.clone()
			}
			if w == ThreeDays {
				r.dropIdle(at)
			}
		}
	}
}

// dropIdle removes series without requests in the longest window.
func (r *Recorder) dropIdle(now time.Time) {
	slot, ok := r.rings[ThreeDays].baseSlot(now.Add(-windows[ThreeDays]))
	if !ok {
		return
	}
	for k, e := range r.series {
		if e.slots[ThreeDays][slot].Total == e.counts.Total {
			delete(r.series, k)
		}
	}
}

// Snapshot returns the state of all series.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.advance(now)
	out := Snapshot{Layout: LayoutVersion, AtMS: now.UnixMilli()}
	for k, e := range r.series {
		s := Series{
			Class: k.Class.String(), Organisation: k.Organisation,
			Objective: e.objective, Latency: e.latency, Counts: e.counts.clone(),
		}
		for w := range s.Windows {
			s.Windows[w] = r.windowCounts(e, w, now)
		}
		out.Series = append(out.Series, s)
	}
	out.sort()
	return out
}

func (r *Recorder) windowCounts(e *series, w int, now time.Time) Counts {
	slot, ok := r.rings[w].baseSlot(now.Add(-windows[w]))
	if !ok {
		return e.counts.clone()
	}
	return e.counts.minus(e.slots[w][slot])
}
