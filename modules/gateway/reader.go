package gateway

import (
	"bufio"
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/recovery"
)

// eventReader reads the response of an attempt in a separate goroutine, so that the
// stream can watch for silence of the upstream, a replaced incarnation and the caller's
// disconnect at the same time.
type eventReader struct {
	items  chan readerItem
	caller *callerRequest
	// err and complete are set before items is closed.
	err      error
	complete bool
}

func startEventReader(ctx context.Context, c *callerRequest, a *attempt, o *outgoingRequest) *eventReader {
	r := &eventReader{items: make(chan readerItem, readAheadEvents), caller: c}
	go func() {
		defer close(r.items)
		defer recovery.Into(c.g.log, "reader of a stream", &r.err)
		a.sent = true // unless the send fails with errNotSent
		r.err = r.read(ctx, c, a, o)
	}()
	return r
}

// stop cancels the read and waits for the goroutine, which writes to the attempt.
func (r *eventReader) stop(cancel context.CancelFunc) {
	cancel()
	for item := range r.items {
		r.caller.reservation.Release(item.event.reserved)
	}
}

var errRefused = errors.New("the upstream refused the request")

func (r *eventReader) read(ctx context.Context, c *callerRequest, a *attempt, o *outgoingRequest) error {
	u := a.choice.Upstream
	x, err := c.g.connections.send(ctx, u, o, c.reservation, c.matchesResponse)
	if err != nil {
		a.sent = !errors.Is(err, errNotSent)
		return err
	}
	c.startIncarnationCheck(ctx, a)
	if !r.enqueue(ctx, readerItem{response: x.res, at: time.Now()}) {
		x.abandon()
		return ctx.Err()
	}
	meta, err := c.responseMeta(x.res)
	switch {
	case err != nil:
		x.abandon()
		return err
	case meta.NotRun:
		x.abandon()
		return errRefused
	case meta.Encoded || !meta.Signed:
		x.abandon()
		return errors.New("the response has no signature or an encoded body")
	case !isEventStream(x.res):
		return r.readNonStream(a, x)
	}
	return r.readEvents(ctx, x)
}

// isEventStream reports whether the body of a response is a stream of events. Any other
// body is the upstream's own message, which must not become part of a stream that has
// begun.
func isEventStream(res *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && res.StatusCode == http.StatusOK && mediaType == "text/event-stream"
}

// readNonStream reads a response that is not a stream, which is delivered as a whole. A
// server error of the upstream may be followed by another attempt.
func (r *eventReader) readNonStream(a *attempt, x *exchange) error {
	body, err := r.caller.readResponse(x.res)
	if err != nil {
		x.abandon()
		return err
	}
	a.body = body
	x.finish()
	if x.res.StatusCode >= http.StatusInternalServerError {
		return errors.Errorf("the upstream responded with status %d", x.res.StatusCode)
	}
	r.complete = true
	return nil
}

func (r *eventReader) readEvents(ctx context.Context, x *exchange) error {
	body := bufio.NewReaderSize(x.res.Body, readBufferBytes)
	// Without a length or chunks, an upstream that stops after the head cannot be told
	// from one that has no events.
	delimited := x.res.ContentLength >= 0 || len(x.res.TransferEncoding) > 0
	for hasEvents := false; ; {
		e, err := readEvent(body, r.caller.reservation, r.caller.g.dialect.IsEventField)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !hasEvents && !delimited {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			x.finish()
			r.complete = true
			return nil
		}
		if err != nil {
			x.abandon()
			return err
		}
		hasEvents = hasEvents || e.hasData
		if !r.enqueue(ctx, readerItem{event: e, at: time.Now()}) {
			x.abandon()
			return ctx.Err()
		}
	}
}

func (r *eventReader) enqueue(ctx context.Context, item readerItem) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}
