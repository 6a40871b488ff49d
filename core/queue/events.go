package queue

import "time"

// Apply applies the events of a gateway in their order. Unknown IDs and repeated events have no
// effect.
func (q *Queue) Apply(now time.Time, gateway string, events []Event) {
	for i := range events {
		e := &events[i]
		key := Key{gateway, e.ID}
		r := q.requests[key]
		if r != nil {
			r.heardAt = now
		}
		switch e.Kind {
		case Submitted:
			q.submitted(now, key, r, e)
		case Withdrawn:
			if r != nil && r.state == waiting {
				q.forget(now, r)
			}
		case Rejected:
			q.rejected(now, r, e)
		case Placed:
			q.placedElsewhere(now, key, r, e)
		case Begun:
			q.begun(now, r, e)
		case Ended:
			q.ended(now, r, e)
		case CopyChanged:
			q.copyChanged(r, e)
		}
	}
}

func (q *Queue) submitted(now time.Time, key Key, r *request, e *Event) {
	if e.Request == nil {
		return
	}
	if r != nil {
		if r.state != waiting {
			q.requeue(now, r, e)
		}
		return
	}
	if q.waitingOf[key.Gateway] >= gatewayBound(e.Request) {
		q.overBound = append(q.overBound, key)
		return
	}
	q.addPrompt(e.Request.PromptTokens)
	r = q.newRequest(now, key, e.Request)
	q.requests[key] = r
	if !r.Continues {
		q.recognise(now, r)
		q.rates.arrived[r.priority()].add(now, arrivalWindow, float64(r.prompt))
		q.rates.kvArrived.add(now, arrivalWindow, float64(r.tokens))
		q.unseen = append(q.unseen, r)
	}
	q.enqueue(now, r)
}

// gatewayBound returns the number of waiting requests of its gateway from which a request is refused.
// Streams that go on are refused last.
func gatewayBound(in *Request) int {
	if in.Continues {
		return 2 * maxGatewayWaiting
	}
	return maxGatewayWaiting
}

// rejected returns a placed request to those that wait, with its earlier arrival.
func (q *Queue) rejected(now time.Time, r *request, e *Event) {
	if r != nil && r.state != waiting && e.Request != nil {
		q.requeue(now, r, e)
	}
}

func (q *Queue) requeue(now time.Time, r *request, e *Event) {
	q.freeStale = true
	q.refund(now, r)
	at := r.at
	q.detach(now, r)
	q.dropUnlisted(at)
	q.detachCopy(r)
	q.describe(now, r, e.Request)
	r.moving = false
	q.enqueue(now, r)
}

// addPrompt counts a prompt in the mean size.
func (q *Queue) addPrompt(tokens int) {
	if tokens <= 0 {
		return
	}
	q.prompts = min(q.prompts+1, 1/minPromptWeight)
	q.meanPrompt += (float64(min(limitTokens(tokens), q.largestMemory())) - q.meanPrompt) / (1 + q.prompts)
}

// largestMemory returns the largest prompt that any upstream can hold.
func (q *Queue) largestMemory() int {
	largest := 0
	for _, u := range q.list {
		if u.MemoryTokens == 0 {
			return maxTokens
		}
		largest = max(largest, u.MemoryTokens)
	}
	if largest == 0 {
		return maxTokens
	}
	return largest
}

// placedElsewhere takes in a request that runs without a decision of this owner.
func (q *Queue) placedElsewhere(now time.Time, key Key, r *request, e *Event) {
	if e.Request == nil || e.Upstream == "" {
		return
	}
	if r == nil {
		r = q.newRequest(now, key, e.Request)
		q.requests[key] = r
	} else {
		q.unqueue(r)
		at := r.at
		q.detach(now, r)
		q.dropUnlisted(at)
	}
	q.freeStale = true
	q.setState(r, placed)
	if e.HasBegun {
		q.setState(r, running)
		r.begunAt = now
	}
	q.attach(now, q.upstream(e.Upstream), r)
	q.setCopy(r, e.CopyHolder)
	r.growingCopy = e.GrowingCopy && r.copyAt != nil
}

func (q *Queue) copyChanged(r *request, e *Event) {
	if r != nil && r.state != waiting {
		q.setCopy(r, e.CopyHolder)
	}
}

// setCopy counts the copy of a request at an upstream, or nowhere.
func (q *Queue) setCopy(r *request, id string) {
	if r.copyAt != nil && r.copyAt.ID == id {
		return
	}
	q.freeStale = true
	copyAt := r.copyAt
	q.detachCopy(r)
	q.dropUnlisted(copyAt)
	if id != "" {
		q.attachCopy(q.upstream(id), r)
	}
}

func (q *Queue) begun(now time.Time, r *request, e *Event) {
	if r == nil || r.state != placed {
		return
	}
	q.setState(r, running)
	r.begunAt = now
	u := r.at
	if u == nil {
		return
	}
	q.freeStale = true
	q.learnSpeed(now, r, e.Took)
	u.failures = 0
	q.removeUnread(now, u, r)
}

// learnSpeed takes in the time in which a prompt was read. The time for which the prompt waited
// for another one at the upstream does not count, nor does a stream that goes on: its prompt may be
// cached.
func (q *Queue) learnSpeed(now time.Time, r *request, took time.Duration) {
	u := r.at
	if took <= 0 || took > maxDuration || len(u.unread) == 0 || r.toRead != r.prompt || r.Continues || r.Preferred != "" {
		return
	}
	if !u.parallel() {
		if u.unread[0] != r {
			return
		}
		took -= max(u.readFrom.Sub(r.placedAt), 0)
	}
	q.measured = true
	if r.prompt >= minSampleTokens {
		q.speeds.FirstEvent(now, u.ID, r.prompt, took, 0)
	}
	q.refreshSpeed(now, u)
}

func (q *Queue) ended(now time.Time, r *request, e *Event) {
	if r == nil || r.state == waiting {
		return
	}
	if u := r.at; u != nil {
		switch e.Outcome {
		case Completed:
			q.recordHold(now, r)
		case Broken:
			u.fail(now, q.settings.BrokenPause)
			q.rates.lost.add(now, lossWindow, 1)
			q.refreshLossRate(now)
		case Full:
			u.pausedUntil = now.Add(fullPause)
			q.refund(now, r)
		}
	}
	q.forget(now, r)
}
