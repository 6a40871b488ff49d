package agent

import (
	"slices"
	"time"

	"heatherway.dev/core/admission"
	"heatherway.dev/kernel/result"
)

// probation isolates requests that are suspected of crashing the upstream. One
// suspect at a time is in probation; the others wait in order of arrival and enter
// the admission queue afterwards.
type probation struct {
	active  *task
	waiting []waitingTask
}

// waitingTask is a suspect that waits for the end of another's probation.
type waitingTask struct {
	t *task
	r admission.Request
}

// enqueue submits a task to the queue. A suspect waits until no other suspect is in
// probation.
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

// endProbation ends the probation of t and starts the next suspect's. If t is not in
// probation, it only stops waiting for one.
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

// refuseWaitingSuspects refuses the suspects that wait for the end of another's
// probation, since the queue is closing.
func (o *owner) refuseWaitingSuspects() {
	for _, h := range o.probation.waiting {
		h.t.admissionResult <- result.New(result.Leaving, "the agent is leaving")
	}
	o.probation.waiting = nil
}

// probationPassedEvent reports that a suspect has produced enough tokens to pass its
// probation.
type probationPassedEvent struct{ t *task }

func (e probationPassedEvent) apply(o *owner, now time.Time) { o.endProbation(now, e.t) }

// probationFingerprint returns the fingerprint of the suspect that runs in probation,
// or "" if there is none.
func (o *owner) probationFingerprint() string {
	if t := o.probation.active; t != nil && t.running {
		return t.fingerprint
	}
	return ""
}
