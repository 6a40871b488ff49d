package agent

import (
	"slices"
	"time"

	"heatherway.dev/core/admission"
	"heatherway.dev/kernel/result"
)

// probation isolates the suspects of crashes: one of them at a time is in
// probation, the others wait in order of arrival before they enter the queue.
type probation struct {
	active  *task
	waiting []waitingTask
}

type waitingTask struct {
	t *task
	r admission.Request
}

// enqueue admits a task, or holds it until the probation of another ends.
func (o *owner) enqueue(now time.Time, t *task, r admission.Request) {
	if !t.suspect() {
		o.admit(now, t, r)
		return
	}
	if o.probation.active != nil {
		o.probation.waiting = append(o.probation.waiting, waitingTask{t, r})
		return
	}
	o.probation.active = t
	o.admit(now, t, r)
}

// endProbation lets the next suspect in when t was in probation.
func (o *owner) endProbation(now time.Time, t *task) {
	if o.probation.active != t {
		o.probation.waiting = slices.DeleteFunc(o.probation.waiting, func(h waitingTask) bool { return h.t == t })
		return
	}
	o.probation.active = nil
	if len(o.probation.waiting) == 0 {
		return
	}
	next := o.probation.waiting[0]
	o.probation.waiting = o.probation.waiting[1:]
	o.enqueue(now, next.t, next.r)
}

// refuseHeld ends the suspects that wait for the probation of another when the
// agent leaves.
func (o *owner) refuseWaitingSuspects() {
	for _, h := range o.probation.waiting {
		h.t.admissionResult <- result.New(result.Leaving, "the agent is leaving")
	}
	o.probation.waiting = nil
}

// probationPassed tells that a suspect has produced enough tokens.
type probationPassedEvent struct{ t *task }

func (e probationPassedEvent) apply(o *owner, now time.Time) { o.endProbation(now, e.t) }

// inProbation returns the fingerprint of the suspect that runs in probation,
// empty without one.
func (o *owner) probationFingerprint() string {
	if t := o.probation.active; t != nil && t.running {
		return t.fingerprint
	}
	return ""
}
