package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/heatherway/modules/registry"
)

// handleResponseSignals handles what an upstream reports about itself in the header of
// a response, whichever request the response belongs to.
func (g *Gateway) handleResponseSignals(u registration.Upstream, received receivedResponse) {
	r := g.dialect.Response(received.header)
	if r.Leaving {
		g.markLeaving(u)
	}
	if received.status == http.StatusServiceUnavailable && r.RetryAfter > 0 {
		g.recordBackoff(u, r.RetryAfter)
	}
	// A late copy of an earlier response names an old limit, and a misdirected request was
	// answered by another incarnation.
	if received.matched && received.status != http.StatusMisdirectedRequest {
		g.recordLimit(u, received.sentAt, r)
	}
}

func (g *Gateway) markLeaving(u registration.Upstream) {
	g.owner.post(func(s *state) {
		if !s.fleet.MarkLeaving(u.ID, u.StartedMS) {
			return
		}
		g.log.Info("upstream reports that it is leaving", "upstream", u.ID, "service", u.Service, "address", u.Addr, "started_ms", u.StartedMS)
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

// remainingBackoff returns the remaining time of the backoff that an upstream has asked
// for.
func (g *Gateway) remainingBackoff(u registration.Upstream) (left time.Duration) {
	g.owner.call(func(s *state) { left = s.fleet.Backoff(time.Now(), u.ID, u.StartedMS) })
	return left
}

var errBackoff = errors.New("the upstream is in a backoff that it asked for")

// callStatusError is the error for a call that an upstream answered with another status than 200.
type callStatusError int

// Error implements error.
func (e callStatusError) Error() string {
	return fmt.Sprintf("the upstream responded with status %d", int(e))
}

// callUpstream makes one of the gateway's own calls to an upstream. decode, which may be nil,
// gets the body of the response. The body is reserved in the buffer budget until it returns.
func (g *Gateway) callUpstream(ctx context.Context, u registration.Upstream, call dialect.Call, decode func(body []byte) error) error {
	if g.remainingBackoff(u) > 0 {
		return errBackoff
	}
	if g.isLimited(u) {
		return errLimited
	}
	header := http.Header{}
	if len(call.Body) > 0 {
		header.Set("Content-Type", "application/json")
	}
	o := &outgoingRequest{copyCall: call.NamesCopy, method: call.Method, target: call.Target, host: u.Addr, header: header, body: call.Body}
	reservation := g.buffers.NewReservation()
	defer reservation.Close()
	x, err := g.connections.send(ctx, u, o, reservation, func(h http.Header, _ bool) bool {
		return g.dialect.Response(h).RequestID == ""
	})
	if err != nil {
		return err
	}
	body, err := readAll(x.res.Body, reservation, maxInternalCallBytes, errAnswerTooLarge)
	if err != nil {
		x.abandon()
		return err
	}
	x.finish()
	switch {
	case x.res.StatusCode != http.StatusOK:
		return callStatusError(x.res.StatusCode)
	case decode == nil:
		return nil
	case !reservation.Reserve(decodedBytes(len(body))):
		return errBuffersFull
	}
	return decode(body)
}

const (
	// controlCallTimeout limits one call to a control instance, except for watch calls.
	controlCallTimeout = 500 * time.Millisecond
	// The gateway tells the control instances that an upstream is leaving, and retries
	// every leavingRetryDelay for up to leavingReportPeriod. Without the report, they and
	// the other gateways learn of it only when the upstream deregisters.
	leavingReportPeriod = 30 * time.Second
	leavingRetryDelay   = 300 * time.Millisecond
)

// callControlInstance calls a method at the control instances that are followed, one after
// another, until one call succeeds.
func (g *Gateway) callControlInstance(method string, args, reply any) error {
	err := errors.New("no control instance is followed")
	for _, addr := range g.follower.followed() {
		ctx, cancel := context.WithTimeout(g.ctx, controlCallTimeout)
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
		if err = g.callControlInstance("Leaving", args, &registry.LeavingReply{}); err == nil || g.ctx.Err() != nil {
			return
		}
		g.sleep(leavingRetryDelay)
	}
	g.log.Warn("control instances not notified of a leaving upstream", "upstream", u.ID, "error", err)
}
