package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/queue"
	"heatherway.dev/heatherway/modules/registry"
)

// answerThree answers a stream with three events.
func answerThree(w http.ResponseWriter, _ *http.Request, _ int) {
	for id := range 3 {
		writeEvent(w, id)
	}
}

// Guards against a gateway that places a stream elsewhere than the owner of the queue has decided,
// asks upstreams for reports although the owner knows the load, or does not report what became of
// the stream.
func TestStreamGoesWhereTheQueueDecides(t *testing.T) {
	near, far := startUpstream(t, "u1", "model", "z0", answerThree), startUpstream(t, "u2", "model", "z1", answerThree)
	reports := make(chan struct{}, 100)
	near.onReport = func(http.ResponseWriter) { reports <- struct{}{} }
	owner := startOwner(t, placeAt("u2"))
	f := newQueueFixture(t, owner, near, far)
	for range 4 {
		response := f.doStream()
		assert.Equal(t, response.status, http.StatusOK)
		assert.DeepEqual(t, receivedIDs(response.body), []string{"0", "1", "2"})
	}
	assert.Equal(t, len(far.requests()), 4)
	assert.Equal(t, len(near.requests()), 0)
	assert.Equal(t, len(reports), 0)
	eventually(t, "all ends are reported", func() bool { return len(owner.ofKind(queue.Ended)) == 4 })
	assert.Equal(t, len(owner.ofKind(queue.Begun)), 4)
	end := owner.ofKind(queue.Ended)[0]
	assert.Equal(t, end.Outcome, queue.Completed)
	assert.Equal(t, end.Events, 3)
	r := owner.ofKind(queue.Submitted)[0].Request
	assert.Equal(t, r.PromptTokens, 8000)
	assert.Equal(t, r.Organisation, "mill")
	assert.Equal(t, r.Aim, 4*time.Second)
	assert.Assert(t, r.Deadline > 4*time.Second && r.Deadline <= 5*time.Second, "deadline %v", r.Deadline)
}

// Guards against a queue that sites which don't switch it on take part in.
func TestNoQueueUnlessSwitchedOn(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", answerThree)
	owner := startOwner(t, decideNothing)
	f := newFixture(t, configuration(), u)
	f.followOnly(owner.addr)
	assert.Equal(t, f.doStream().status, http.StatusOK)
	time.Sleep(2 * ownerRetryDelay)
	owner.set(func() { assert.Equal(t, owner.calls, 0) })
}

// Guards against a refusal that does not say when to come back, or that leaves open whether the
// request has run.
func TestRefusalOfTheQueue(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", answerThree)
	owner := startOwner(t, func(registry.QueueEvent) []queue.Decision {
		return []queue.Decision{{Action: queue.Refuse, RetryAfter: 2500 * time.Millisecond}}
	})
	f := newQueueFixture(t, owner, u)
	response := f.doStream()
	assert.Equal(t, response.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Equal(t, after, 2.5)
	assert.Assert(t, strings.Contains(response.body, `"ran":"not_run"`), response.body)
	assert.Equal(t, len(u.requests()), 0)
	assert.Assert(t, response.took < time.Second, "took %v", response.took)
}

// Guards against streams that wait for an owner which has ended.
func TestOwnerLostWhileStreamsWait(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", answerThree)
	owner := startOwner(t, decideNothing)
	f := newQueueFixture(t, owner, u)
	response := make(chan callerResponse, 1)
	go func() { response <- f.doStream() }()
	owner.awaitEvent(queue.Submitted)
	owner.stop()
	stoppedAt := time.Now()
	assert.Equal(t, (<-response).status, http.StatusOK)
	// The loss is noticed after ownerLostAfter; the rest is the answer itself on a busy machine.
	assert.Assert(t, time.Since(stoppedAt) < time.Second, "took %v", time.Since(stoppedAt))
	assert.Equal(t, f.doStream().status, http.StatusOK)
}

// Guards against streams that wait for an owner that is frozen: its connections stay open and
// nothing is answered.
func TestFrozenOwner(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", answerThree)
	owner := startOwner(t, placeAt("u1"))
	f := newQueueFixture(t, owner, u)
	owner.set(func() { owner.frozen = true })
	response := f.doStream()
	assert.Equal(t, response.status, http.StatusOK)
	assert.Assert(t, response.took < 700*time.Millisecond, "took %v", response.took)
	assert.Equal(t, f.metrics.queueFallbacks.Value(), int64(1))
	begin := time.Now()
	assert.Equal(t, f.doStream().status, http.StatusOK) // without another wait
	assert.Equal(t, f.metrics.queueFallbacks.Value(), int64(1))
	assert.Assert(t, time.Since(begin) < 700*time.Millisecond)
	owner.set(func() { owner.frozen = false })
	eventually(t, "the owner is reached again", f.queue.available.Load)
	assert.Equal(t, f.doStream().status, http.StatusOK)
	assert.Equal(t, f.metrics.queueFallbacks.Value(), int64(1))
}

// Guards against a new owner that does not learn what runs and what waits, and places beyond what
// the upstreams hold or never.
func TestNewOwnerGetsTheState(t *testing.T) {
	proceed := make(chan struct{})
	running := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, r *http.Request, _ int) {
		writeEvent(w, 0)
		<-proceed
		writeEvent(w, 1)
	})
	owner := startOwner(t, placeAt("u1"))
	f := newQueueFixture(t, owner, running)
	responses := make(chan callerResponse, 2)
	go func() { responses <- f.doStream() }()
	owner.awaitEvent(queue.Begun)
	owner.set(func() { owner.decide = decideNothing })
	go func() { responses <- f.doStream() }()
	eventually(t, "the second stream waits", func() bool { return len(owner.ofKind(queue.Submitted)) == 2 })
	time.Sleep(50 * time.Millisecond)
	owner.set(func() { owner.epoch, owner.events, owner.decide = 2, nil, placeAt("u1") })
	placed := owner.awaitEvent(queue.Placed)
	assert.Equal(t, placed.Upstream, "u1")
	assert.Assert(t, placed.HasBegun)
	submitted := owner.awaitEvent(queue.Submitted)
	assert.Assert(t, submitted.Request.Waited >= 50*time.Millisecond, "waited %v", submitted.Request.Waited)
	eventually(t, "the stream that waited runs", func() bool { return len(running.requests()) == 2 })
	close(proceed)
	for range 2 {
		assert.Equal(t, (<-responses).status, http.StatusOK)
	}
	eventually(t, "both ends are reported", func() bool { return len(owner.ofKind(queue.Ended)) == 2 })
}

// Guards against a decision that is lost with an answer, and against one that is carried out twice.
func TestDecisionIsResentAfterALostAnswer(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", answerThree)
	owner := startOwner(t, placeAt("u1"))
	f := newQueueFixture(t, owner, u)
	owner.set(func() { owner.lostAnswers = 3 })
	for range 3 {
		assert.Equal(t, f.doStream().status, http.StatusOK)
	}
	assert.Equal(t, len(u.requests()), 3)
	assert.Equal(t, f.metrics.queueFallbacks.Value(), int64(0))
	assert.Equal(t, len(owner.ofKind(queue.Submitted)), 3)
}

// Guards against a stream that is sent to an upstream which this gateway cannot use, or that fails
// because the owner does not know that.
func TestRejectedPlacement(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", answerThree)
	left := startUpstream(t, "u2", "model", "z0", answerThree)
	owner := startOwner(t, func(e registry.QueueEvent) []queue.Decision {
		switch e.Kind {
		case queue.Submitted:
			return []queue.Decision{{Action: queue.Place, Upstream: "u2"}}
		case queue.Rejected:
			return []queue.Decision{{Action: queue.Place, Upstream: "u1"}}
		}
		return nil
	})
	f := newQueueFixture(t, owner, u, left)
	f.Gateway.owner.call(func(s *state) { s.fleet.MarkLeaving("u2", left.StartedMS) })
	assert.Equal(t, f.doStream().status, http.StatusOK)
	assert.Equal(t, len(left.requests()), 0)
	rejected := owner.awaitEvent(queue.Rejected)
	assert.Assert(t, slices.Contains(rejected.Request.Excluded, "u2"))
}

// Guards against places that are kept for callers who have left, whether the owner has decided
// meanwhile or not.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", answerThree)
	owner := startOwner(t, decideNothing)
	f := newQueueFixture(t, owner, u)
	ctx, leave := context.WithCancel(t.Context())
	request := f.request("POST", "/letters/x", "prompt").WithContext(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	submitted := owner.awaitEvent(queue.Submitted)
	leave()
	<-done
	assert.Equal(t, owner.awaitEvent(queue.Withdrawn).ID, submitted.ID)
	// The decision crosses the withdrawal.
	owner.add(queue.Decision{Key: queue.Key{ID: submitted.ID}, Action: queue.Place, Upstream: "u1"})
	ended := owner.awaitEvent(queue.Ended)
	assert.Equal(t, ended.ID, submitted.ID)
	assert.Equal(t, ended.Outcome, queue.Cancelled)
	assert.Equal(t, len(u.requests()), 0)
}

// Guards against a stream that stays behind others at an upstream although the owner moves it, and
// against an upstream that counts as failed because of it.
func TestStreamIsMovedBeforeItsFirstEvent(t *testing.T) {
	slow := startUpstream(t, "u1", "model", "z0", func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	quick := startUpstream(t, "u2", "model", "z0", answerThree)
	owner := startOwner(t, func(e registry.QueueEvent) []queue.Decision {
		switch {
		case e.Kind == queue.Submitted && !slices.Contains(e.Request.Excluded, "u1"):
			return []queue.Decision{{Action: queue.Place, Upstream: "u1"}}
		case e.Kind == queue.Submitted:
			return []queue.Decision{{Action: queue.Place, Upstream: "u2"}}
		}
		return nil
	})
	f := newQueueFixture(t, owner, slow, quick)
	response := make(chan callerResponse, 1)
	go func() { response <- f.doStream() }()
	submitted := owner.awaitEvent(queue.Submitted)
	eventually(t, "the stream is sent", func() bool { return len(slow.requests()) == 1 })
	owner.add(queue.Decision{Key: queue.Key{ID: submitted.ID}, Action: queue.Move, Upstream: "u1"})
	assert.Equal(t, (<-response).status, http.StatusOK)
	assert.Equal(t, owner.awaitEvent(queue.Ended).Outcome, queue.Cancelled)
	f.Gateway.owner.call(func(s *state) {
		unusable, _ := s.fleet.Unusable(time.Now(), &dispatch.Request{Service: "model", Stream: true})
		assert.Equal(t, len(unusable), 0)
	})
}

// Guards against a copy that the owner has given up and that still takes memory at its holder, and
// against one that is not made where the owner wants it.
func TestQueueMovesACopy(t *testing.T) {
	proceed := make(chan struct{})
	run := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, r *http.Request, _ int) {
		switch {
		case r.URL.Path == "/v1/kv-move":
			_, _ = w.Write([]byte(`{"Handle":"copy-1"}`))
		case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		default:
			writeEvent(w, 0)
			<-proceed
			writeEvent(w, 1)
		}
	})
	holder := startUpstream(t, "u2", "model", "z1", answerThree)
	owner := startOwner(t, placeAt("u1"))
	f := newQueueFixture(t, owner, run, holder)
	response := make(chan callerResponse, 1)
	go func() { response <- f.doStream() }()
	begun := owner.awaitEvent(queue.Begun)
	targets := func(prefix string) (n int) {
		for _, r := range run.requests() {
			if strings.HasPrefix(r.target, prefix) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, targets("/v1/kv-move"), 0, "the owner has decided on no copy")
	owner.add(queue.Decision{Key: queue.Key{ID: begun.ID}, Action: queue.MakeCopy, CopyHolder: "u2"})
	eventually(t, "the copy is made", func() bool { return targets("/v1/kv-move") == 1 })
	eventually(t, "the copy is reported", func() bool { return lastHolder(owner) == "u2" })
	time.Sleep(50 * time.Millisecond) // until the answer of the call has arrived
	owner.add(queue.Decision{Key: queue.Key{ID: begun.ID}, Action: queue.DropCopy, CopyHolder: "u2"})
	eventually(t, "the copy is released", func() bool { return targets("/v1/kv-handle/copy-1") == 1 })
	eventually(t, "the release is reported", func() bool { return lastHolder(owner) == "" })
	close(proceed)
	assert.Equal(t, (<-response).status, http.StatusOK)
	assert.Equal(t, targets("/v1/kv-handle/"), 1, "released once")
}

// lastHolder returns the holder in the last report about a copy.
func lastHolder(o *scriptedOwner) string {
	events := o.ofKind(queue.CopyChanged)
	if len(events) == 0 {
		return "none reported"
	}
	return events[len(events)-1].CopyHolder
}

// Guards against a gateway that stays with an instance which no longer leads, and against calls in a
// loop while instances name each other.
func TestOwnerNamesTheNewLeader(t *testing.T) {
	u := startUpstream(t, "u1", "model", "z0", answerThree)
	former, next := startOwner(t, placeAt("u1")), startOwner(t, placeAt("u1"))
	next.epoch = 7
	f := newQueueFixture(t, former, u)
	former.set(func() { former.leader = next.addr })
	changedAt := time.Now()
	eventually(t, "the new leader decides", func() bool {
		assert.Equal(t, f.doStream().status, http.StatusOK)
		return len(next.ofKind(queue.Submitted)) > 0
	})
	assert.Assert(t, time.Since(changedAt) < time.Second, "found after %v", time.Since(changedAt))
	next.set(func() { next.leader = former.addr })
	assert.Equal(t, f.doStream().status, http.StatusOK)
	time.Sleep(10 * ownerRetryDelay)
	calls := 0
	for _, o := range []*scriptedOwner{former, next} {
		o.set(func() { calls += o.calls })
	}
	assert.Assert(t, calls < 80, "%d calls", calls)
}

// Guards against a copy that the upstream makes by itself although the owner may want its room
// back, and against the release of one that grows: it would be sent anew.
func TestCopyGrowsOnlyIfTheQueueSaysSo(t *testing.T) {
	for _, grows := range []bool{false, true} {
		proceed := make(chan struct{})
		run := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, r *http.Request, _ int) {
			if r.URL.Path == "/v1/kv-move" {
				_, _ = w.Write([]byte(`{"Handle":"copy-1"}`))
				return
			}
			writeEvent(w, 0)
			<-proceed
			writeEvent(w, 1)
		})
		holder := startUpstream(t, "u2", "model", "z1", answerThree)
		owner := startOwner(t, func(e registry.QueueEvent) []queue.Decision {
			switch e.Kind {
			case queue.Submitted:
				return []queue.Decision{{Action: queue.Place, Upstream: "u1", CopyHolder: "u2", GrowingCopy: grows}}
			case queue.Begun:
				if grows {
					return []queue.Decision{{Action: queue.DropCopy, CopyHolder: "u2"}}
				}
			}
			return nil
		})
		f := newQueueFixture(t, owner, run, holder)
		response := make(chan callerResponse, 1)
		go func() { response <- f.doStream() }()
		owner.awaitEvent(queue.Begun)
		if !grows {
			eventually(t, "the copy is requested", func() bool { return len(run.requests()) == 2 })
		}
		time.Sleep(50 * time.Millisecond) // in which a release would arrive
		close(proceed)
		assert.Equal(t, (<-response).status, http.StatusOK)
		requests := run.requests()
		assert.Equal(t, requests[0].header.Get("Kv-Backup") != "", grows)
		for _, r := range requests {
			assert.Assert(t, !grows || r.target == "/letters/x", "%s at a copy that grows", r.target)
		}
	}
}
