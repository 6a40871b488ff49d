package crash

import (
	"slices"
	"time"
)

// This file joins the reports about the runs with one part on one incarnation: gateways
// see its end at different times, and it may survive interruptions. The state is a function
// of the set of reports since the last proof, so that neither their order nor their number
// matters: the latest times of interruptions, and the times of the latest one after which
// the incarnation has ended and of the latest one which it has survived.

// maxReports limits the times that are kept of the interruption of one run, the latest. As
// many gateways may see an upstream end at different times; beyond that the first are
// forgotten, and the interruption is dated up to two seconds late.
const maxReports = 8

// mergeReport joins a report and reports whether it was new.
func (r *trackedRun) mergeReport(at time.Time, e Entry) bool {
	if e.Outcome == Abandoned {
		return false
	}
	if r.outcome == Abandoned {
		r.interruptedAt, r.reports, r.announcements = at, []time.Time{at}, 0
		r.noteOutcome(at, e.Outcome)
		return true
	}
	changed := r.addReport(at, e)
	if e.Outcome == UpstreamEnded && later(at, r.endedAt, e) || e.Outcome == UpstreamAlive && later(at, r.aliveAt, e) {
		changed = true
		r.noteOutcome(at, e.Outcome)
	}
	r.outcome = r.joinedOutcome()
	return changed
}

// addReport enters the time of a report and reports whether it was new. Those that are at
// most maxAnnouncementDelay apart are about one interruption, and only the latest
// interruption is kept.
func (r *trackedRun) addReport(at time.Time, e Entry) bool {
	same := func(known time.Time) bool { return !later(at, known, e) && !later(known, at, e) }
	if last := r.lastReport(); slices.ContainsFunc(r.reports, same) || last.Sub(at) > maxAnnouncementDelay {
		return false
	} else if at.Sub(last) > maxAnnouncementDelay {
		r.announcements = 0
	}
	if len(r.reports) >= maxReports && at.Before(r.interruptedAt) {
		return false
	}
	r.reports = append(r.reports, at)
	slices.SortFunc(r.reports, time.Time.Compare)
	last := r.lastReport()
	r.reports = slices.DeleteFunc(r.reports, func(at time.Time) bool { return last.Sub(at) > maxAnnouncementDelay })
	r.reports = r.reports[max(len(r.reports)-maxReports, 0):]
	r.interruptedAt = r.reports[0]
	return true
}

// lastReport returns the latest time at which the interruption was seen.
func (r *trackedRun) lastReport() time.Time { return r.reports[len(r.reports)-1] }

// later reports whether the time of an entry is later than a known one. That of an entry
// without AtMS shifts with each message.
func later(at, known time.Time, e Entry) bool {
	if e.AtMS == 0 {
		return at.Sub(known) > proofTolerance
	}
	return at.After(known)
}

// noteOutcome enters what has become of the incarnation after an interruption.
func (r *trackedRun) noteOutcome(at time.Time, outcome Outcome) {
	switch outcome {
	case UpstreamEnded:
		r.endedAt = latest(r.endedAt, at)
	case UpstreamAlive:
		r.aliveAt = latest(r.aliveAt, at)
	case Abandoned:
		r.outcome = Abandoned
		return
	}
	r.outcome = r.joinedOutcome()
}

// joinedOutcome derives the outcome from the reports.
func (r *trackedRun) joinedOutcome() Outcome {
	survived := func(at time.Time) bool { return !r.aliveAt.IsZero() && at.Sub(r.aliveAt) <= maxAnnouncementDelay }
	switch {
	case survived(r.lastReport()):
		return UpstreamAlive
	case !r.endedAt.IsZero() && !survived(r.endedAt):
		return UpstreamEnded
	}
	return Interrupted
}

// forgetReports removes the reports that a proof has answered, unless it answers all.
func (r *trackedRun) forgetReports(provedAt time.Time) {
	if len(r.reports) == 0 || r.outcome == Abandoned || !r.lastReport().After(provedAt) {
		return
	}
	r.reports = slices.DeleteFunc(r.reports, func(at time.Time) bool { return !at.After(provedAt) })
	r.interruptedAt = r.reports[0]
	if !r.endedAt.After(provedAt) {
		r.endedAt = time.Time{}
	}
	if !r.aliveAt.After(provedAt) {
		r.aliveAt = time.Time{}
	}
	r.outcome = r.joinedOutcome()
}

// report is one of the reports that remain of a run.
type report struct {
	outcome Outcome
	at      time.Time
}

// knownReports returns the reports from which another tracker derives the same state.
func (r *trackedRun) knownReports() (list []report) {
	if len(r.reports) == 0 {
		return []report{{r.outcome, r.interruptedAt}}
	}
	if !r.aliveAt.IsZero() {
		list = append(list, report{UpstreamAlive, r.aliveAt})
	}
	if r.endedAt.After(r.aliveAt) {
		list = append(list, report{UpstreamEnded, r.endedAt})
	}
	for _, at := range r.reports {
		if !at.Equal(r.aliveAt) && !at.Equal(r.endedAt) {
			list = append(list, report{Interrupted, at})
		}
	}
	return list
}
