package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/origin"
	"heatherway.dev/core/registration"
	"heatherway.dev/kernel/recovery"
)

// This file checks which incarnation of an upstream serves: for a stream whose software version
// matters, since the announcement named the version, and for streams whose upstream another one
// claims to have replaced.

const (
	// incarnationCallTimeout limits one question, and incarnationRetryDelay is the time between
	// two.
	incarnationCallTimeout = 100 * time.Millisecond
	incarnationRetryDelay  = 20 * time.Millisecond
)

var (
	errOtherIncarnation = errors.New("another incarnation serves under the ID of the upstream, and its version is not known")
	errNoIncarnation    = errors.New("the upstream did not say in time which incarnation serves")
)

// incarnationCheck is the check of one attempt.
type incarnationCheck struct {
	done chan struct{}
	err  error // set before done is closed
}

// startIncarnationCheck asks the upstream of an attempt which incarnation it is, if the version of
// the stream matters. It must be called after the head of the response has arrived.
func (c *callerRequest) startIncarnationCheck(ctx context.Context, a *attempt) {
	if !c.route.Resumable || a.choice.Version == "" {
		return
	}
	check := &incarnationCheck{done: make(chan struct{})}
	a.incarnation = check
	go func() {
		defer close(check.done)
		defer recovery.Into(c.g.log, "check of an incarnation", &check.err)
		check.err = c.checkIncarnation(ctx, a)
	}()
}

// checkIncarnation returns an error unless the incarnation that has announced the version serves
// the attempt.
func (c *callerRequest) checkIncarnation(ctx context.Context, a *attempt) error {
	u := a.choice.Upstream
	answer := c.g.askIncarnation(ctx, u)
	switch answer.verdict {
	case origin.OtherIncarnation:
		c.g.log.Info("another incarnation serves under the ID of an upstream", "request", c.req.ID, "upstream", u.ID, "address", u.Addr,
			"upstream_version", u.Version, "announced_ms", u.StartedMS, "started_ms", answer.startedMS)
		return errOtherIncarnation
	case origin.NoAnswer:
		return errors.Wrap(errNoIncarnation, answer.err.Error())
	case origin.AskAgain:
		return ctx.Err()
	}
	return nil
}

// checkReplaced asks at the address of an upstream that another one claims to have replaced. The
// streams that run there learn of their end unless the upstream itself answers.
func (g *Gateway) checkReplaced(ctx context.Context, u registration.Upstream) {
	answer := g.askIncarnation(ctx, u)
	serves := answer.verdict == origin.SameIncarnation
	g.log.Info("address of an upstream claimed by another one", "upstream", u.ID, "address", u.Addr, "started_ms", u.StartedMS,
		"answered_ms", answer.startedMS, "serves", serves, "error", answer.err)
	if !serves && ctx.Err() == nil {
		g.follower.notifier.publishReplaced(u)
	}
}

// incarnationAnswer says which incarnation serves at the address of an upstream.
type incarnationAnswer struct {
	verdict   origin.Verdict
	startedMS int64
	err       error // of the last question
}

// askIncarnation asks until the verdict is clear or ctx is done.
func (g *Gateway) askIncarnation(ctx context.Context, u registration.Upstream) (answer incarnationAnswer) {
	check := origin.NewIncarnationCheck(time.Now(), u.StartedMS)
	for {
		answer.startedMS, answer.err = g.askStartTime(ctx, u)
		answer.verdict = check.Answered(answer.startedMS)
		if answer.err != nil {
			answer.verdict = check.Failed(time.Now())
		}
		if answer.verdict != origin.AskAgain {
			return answer
		}
		select {
		case <-time.After(incarnationRetryDelay):
		case <-ctx.Done():
			return answer
		}
	}
}

// askStartTime returns the start time that an upstream states in its load report, zero if it
// states none or may not be asked.
func (g *Gateway) askStartTime(ctx context.Context, u registration.Upstream) (startedMS int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, incarnationCallTimeout)
	defer cancel()
	malformed := error(nil)
	err = g.callUpstream(ctx, u, g.dialect.ReportCall(), func(body []byte) error {
		r, err := g.dialect.Report(body)
		startedMS, malformed = r.StartedMS, err
		return nil
	})
	if malformed != nil {
		g.log.Warn("malformed load report", "upstream", u.ID, "error", malformed)
		return 0, nil
	}
	var status callStatusError
	if errors.Is(err, errBackoff) || errors.Is(err, errLimited) || errors.As(err, &status) {
		g.log.Debug("incarnation of an upstream not checked", "upstream", u.ID, "error", err)
		return 0, nil
	}
	return startedMS, err
}

// awaitIncarnation returns an error if the attempt must not begin or continue the stream.
func (s *streamRequest) awaitIncarnation(a *attempt) error {
	if a.incarnation == nil {
		return nil
	}
	select {
	case <-a.incarnation.done:
		return a.incarnation.err
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}
