package adapter

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

const (
	// idleConnection bounds how long an unused connection to the upstream is kept.
	idleConnTimeout = 30 * time.Second
	// headerLimit bounds the size of an upstream's answer headers.
	maxHeaderBytes = 64 << 10
	// bufferSize keeps the memory of an open stream low; an event is a few
	// hundred bytes.
	bufferSize = 4 << 10
	// maxProbeBody bounds what is read of a health answer.
	maxProbeBody = 4 << 10
)

// keepAlive ends a connection whose path is dead after about four seconds, also
// while a request is prefilled and the engine has nothing to send.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Transport returns the transport for work on an upstream beside the agent.
func Transport(slots int) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: peer.DialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost:    slots,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
		DisableCompression:     true,
	}
}

// UnpooledTransport returns a transport that makes a new connection each time.
func UnpooledTransport() *http.Transport {
	t := Transport(1)
	t.DisableKeepAlives = true
	return t
}

// ProbeURL asks for a health page and wants status 200. The code queue_full means that the
// upstream asks for backoff, which says nothing of its health.
func ProbeURL(ctx context.Context, c *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := c.Do(req)
	if err != nil {
		return TransportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxProbeBody))
	if wait := readSignal(res).Backoff; wait > 0 {
		return result.New(result.QueueFull, "health answered %d", res.StatusCode).After(wait)
	}
	if res.StatusCode != http.StatusOK {
		return result.New(result.UpstreamFailed, "health answered %d", res.StatusCode)
	}
	return nil
}

// TransportError gives a failed exchange its result code. Only a failure to
// connect shows that the upstream did not get the request.
func TransportError(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, context.Canceled):
		return err
	case errors.As(err, &op) && op.Op == "dial":
		return result.Wrap(result.UpstreamNotReachable, err, "cannot connect to the upstream")
	case errors.Is(err, context.DeadlineExceeded):
		return result.Wrap(result.DeadlineExceeded, err, "the upstream did not answer in time")
	default:
		return result.Wrap(result.UpstreamFailed, err, "the connection to the upstream failed")
	}
}

// ConnectionBroken tells whether an error shows that a connection ended in the middle of an
// exchange.
func ConnectionBroken(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// ConnectionRefused tells whether an error shows that nothing listens at the upstream's
// address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
