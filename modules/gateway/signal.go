package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/heatherway/modules/registry"
)

// noteSignals acts on what an upstream says of itself in the head of an answer, whatever
// the answer is to.
func (g *Gateway) handleResponseSignals(u registration.Upstream, status int, h http.Header) {
	r := g.dialect.Response(h)
	if r.Leaving {
		g.markLeaving(u)
	}
	if status == http.StatusServiceUnavailable && r.RetryAfter > 0 {
		g.recordBackoff(u, r.RetryAfter)
	}
}

func (g *Gateway) markLeaving(u registration.Upstream) {
	g.owner.post(func(s *state) {
		if !s.fleet.MarkLeaving(u.ID, u.StartedMS) {
			return
		}
		g.log.Info("upstream says that it leaves", "upstream", u.ID, "service", u.Service, "address", u.Addr, "started_ms", u.StartedMS)
		g.spawn(func() { g.reportLeaving(u) })
	})
}

func (g *Gateway) recordBackoff(u registration.Upstream, wait time.Duration) {
	g.owner.post(func(s *state) {
		until := s.fleet.SetBackoff(time.Now(), u.ID, u.StartedMS, wait)
		g.log.Info("upstream asks for backoff", "upstream", u.ID, "service", u.Service, "address", u.Addr,
			"asked_ms", wait.Milliseconds(), "backoff_ms", time.Until(until).Milliseconds())
	})
}

// backoff returns what is left of the backoff that an upstream has asked for.
func (g *Gateway) remainingBackoff(u registration.Upstream) (left time.Duration) {
	g.owner.call(func(s *state) { left = s.fleet.Backoff(time.Now(), u.ID, u.StartedMS) })
	return left
}

var errBackoff = errors.New("the upstream has asked for backoff")

// call makes a call of heatherway itself to an upstream.
func (g *Gateway) callUpstream(ctx context.Context, u registration.Upstream, call dialect.Call) ([]byte, error) {
	if g.remainingBackoff(u) > 0 {
		return nil, errBackoff
	}
	header := http.Header{}
	if len(call.Body) > 0 {
		header.Set("Content-Type", "application/json")
	}
	o := &outgoingRequest{copyCall: call.NamesCopy, method: call.Method, target: call.Target, host: u.Addr, header: header, body: call.Body}
	x, err := g.upstreams.send(ctx, u, o, func(h http.Header, _ bool) bool {
		return g.dialect.Response(h).RequestID == ""
	})
	if err != nil {
		return nil, err
	}
	l := g.buffers.newReservation()
	defer l.close()
	body, err := l.readAll(x.res.Body, maxInternalCallBytes, errAnswerTooLarge)
	if err != nil {
		x.abandon()
		return nil, err
	}
	x.finish()
	if x.res.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", x.res.StatusCode)
	}
	return body, nil
}

const (
	// noticeLimit bounds one notice to a control instance.
	notifyTimeout = 500 * time.Millisecond
	// leavingTime and leavingPause are for how long and after which pause the control
	// instances are told that an upstream leaves; the upstream itself tells them only
	// when it deregisters, and other gateways learn of it from them alone.
	leavingReportPeriod = 30 * time.Second
	leavingRetryDelay   = 300 * time.Millisecond
)

// notify makes a call to one of the control instances that are followed.
func (g *Gateway) notify(method string, args, reply any) error {
	err := errors.New("no control instance is followed")
	for _, addr := range g.follower.followed() {
		ctx, cancel := context.WithTimeout(g.ctx, notifyTimeout)
		client := g.security.NewClient(addr)
		err = client.Call(ctx, registry.ServiceName+"."+method, args, reply)
		client.Close()
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

func (g *Gateway) reportLeaving(u registration.Upstream) {
	args := &registry.LeavingArgs{ID: u.ID, StartedMS: u.StartedMS}
	var err error
	for end := time.Now().Add(leavingReportPeriod); time.Now().Before(end); {
		if err = g.notify("Leaving", args, &registry.LeavingReply{}); err == nil || g.ctx.Err() != nil {
			return
		}
		g.sleep(leavingRetryDelay)
	}
	g.log.Warn("control instances not told that an upstream leaves", "upstream", u.ID, "error", err)
}
