package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// frameBatch is the most frames handed to the driver at once.
const frameBatch = 16

// read opens one stream to an agent and hands its frames to the driver until
// it ends. It owns the connection.
func (d *driver) read(ctx context.Context, c *conn, addr string, t *http.Transport, req *wire.GenerateRequest) {
	defer c.cancel()
	d.m.owner.send(event{kind: eventSent, upstream: c.agent})
	defer d.m.owner.send(event{kind: eventDone, upstream: c.agent})
	body, sent, err := d.post(ctx, c, addr, t, req)
	if err != nil {
		d.signal(ctx, signal{conn: c.n, lost: true, reached: sent, err: lostError(err, sent)})
		return
	}
	defer body.Close()
	err = d.pump(ctx, c, wire.NewFrameReader(body))
	d.signal(ctx, signal{conn: c.n, lost: true, reached: true, err: lostError(err, true)})
}

// lostError tells a connection that was never made from one that broke.
func lostError(err error, reached bool) *result.Error {
	if !reached {
		return result.Wrap(result.UpstreamNotReachable, err, "no connection to the agent")
	}
	return result.Wrap(result.UpstreamFailed, err, "the connection to the agent broke")
}

// post sends the request. Sent tells whether the agent may have received it.
func (d *driver) post(ctx context.Context, c *conn, addr string, t *http.Transport, req *wire.GenerateRequest) (body io.ReadCloser, sent bool, err error) {
	b, err := json.Marshal(req)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode request")
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			sent = true
			d.signal(ctx, signal{conn: c.n})
		},
	}
	hr, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+addr+wire.GeneratePath, bytes.NewReader(b))
	if err != nil {
		return nil, false, errors.Wrap(err, "make request")
	}
	hr.Header.Set("Content-Type", "application/json")
	res, err := t.RoundTrip(hr)
	if err != nil {
		return nil, sent, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, true, errors.Errorf("the agent answered %s", res.Status)
	}
	return res.Body, true, nil
}

// pump hands over frames in batches of what has already arrived. Two buffers
// take turns: the driver has finished with one when it receives the other.
func (d *driver) pump(ctx context.Context, c *conn, r *wire.FrameReader) error {
	var buffers [2][]wire.Frame
	for turn := 0; ; turn = 1 - turn {
		frames, err := fill(r, buffers[turn][:0])
		buffers[turn] = frames
		if len(frames) > 0 && !d.signal(ctx, signal{conn: c.n, frames: frames, more: r.Buffered() && err == nil}) {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

func fill(r *wire.FrameReader, frames []wire.Frame) ([]wire.Frame, error) {
	for {
		f, err := r.Next()
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
		if len(frames) == frameBatch || !r.Buffered() {
			return frames, nil
		}
	}
}
