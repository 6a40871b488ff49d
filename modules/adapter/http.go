package adapter

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/heatherway/internal/response"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

const (
	// maxHeaderBytes bounds the size of an upstream's response headers.
	maxHeaderBytes = 64 << 10
	// bufferSize is the size of a connection's read and write buffers. It is small to
	// save memory per open stream; an event is a few hundred bytes.
	bufferSize = 4 << 10
	// maxProbeBody bounds how much of a health check's response body is read.
	maxProbeBody = 4 << 10
)

// keepAlive closes a connection about four seconds after its network path has failed,
// also during a prefill, when the engine sends nothing.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Transport returns an HTTP transport for requests to the upstream beside the agent. It
// opens a connection for each request: the responses of engines and services do not name
// their request, so on a kept connection a late or repeated response to an earlier request
// would be taken for the response to the next one. A request on a kept connection that the
// upstream has closed would also fail with an unknown outcome.
func Transport() response.Transport {
	return response.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: peer.DialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
		DisableCompression:     true,
	})
}

// NewClient returns an HTTP client that does not follow redirects: they are responses of
// the upstream, and following one would send the request again, or take the response of
// another address for that of the upstream.
func NewClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ProbeURL requests a health check URL and returns an error unless the status is 200. The
// code queue_full means that the upstream asks for backoff, which says nothing about its
// health.
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

// TransportError returns the error of a failed HTTP exchange with its result code. Only
// a failure to connect proves that the upstream has not received the request.
func TransportError(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, context.Canceled):
		return err
	case errors.As(err, &op) && op.Op == "dial":
		return result.Wrap(result.UpstreamNotReachable, err, "cannot connect to the upstream")
	case errors.Is(err, context.DeadlineExceeded):
		return result.Wrap(result.DeadlineExceeded, err, "the upstream did not answer in time")
	case errors.Is(err, response.ErrMalformed):
		return result.Wrap(result.UpstreamFailed, err, "the upstream did not answer with a valid response").WithRan(result.Unknown)
	default:
		return result.Wrap(result.UpstreamFailed, err, "the connection to the upstream failed")
	}
}

// ConnectionBroken reports whether an error means that the connection ended in the
// middle of an exchange.
func ConnectionBroken(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// ConnectionRefused reports whether an error means that nothing listens at the
// upstream's address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
