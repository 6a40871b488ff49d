package adapter

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"heatherway.dev/core/throttle"
	"heatherway.dev/heatherway/internal/response"
)

// LeavingHeader is set to 1 in every response of an upstream that is about to stop and
// accepts no new work.
const LeavingHeader = "Upstream-Leaving"

// LimitHeader names, in every response of an upstream in need, the number of requests per second
// that it accepts.
const LimitHeader = "Upstream-Limit"

// Signal is what an upstream says about itself in the status and headers of a response.
type Signal struct {
	Leaving bool
	// Backoff is the time for which the upstream asks for no requests, zero if it does
	// not ask.
	Backoff time.Duration
	// Limit is the number of requests per second that the upstream accepts, nil if it names
	// none. LimitInvalid is set if it names one that cannot be read.
	Limit        *float64
	LimitInvalid bool
	// SentAt is when the request was sent.
	SentAt time.Time
}

// SignalSource is an upstream whose signals can be observed.
type SignalSource interface {
	// OnSignal sets the function that is called with the signal of each response. The
	// calls come from several goroutines.
	OnSignal(func(Signal))
}

// SignalReader reads the signals in the responses that an adapter receives.
type SignalReader struct{ callback atomic.Pointer[func(Signal)] }

// OnSignal implements SignalSource.
func (s *SignalReader) OnSignal(f func(Signal)) { s.callback.Store(&f) }

// WrapTransport returns a round tripper that reads the signal in every response.
func (s *SignalReader) WrapTransport(t response.Transport) http.RoundTripper {
	return signalTransport{t, s}
}

type signalTransport struct {
	response.Transport
	source *SignalReader
}

// RoundTrip implements http.RoundTripper.
func (w signalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sentAt := time.Now()
	res, err := w.Transport.RoundTrip(r)
	if follow := w.source.callback.Load(); err == nil && follow != nil {
		s := readSignal(res)
		s.SentAt = sentAt
		(*follow)(s)
	}
	return res, err
}

func readSignal(res *http.Response) Signal {
	s := Signal{Leaving: strings.TrimSpace(res.Header.Get(LeavingHeader)) == "1"}
	if res.StatusCode == http.StatusServiceUnavailable {
		s.Backoff = RetryAfter(res.Header)
	}
	s.Limit, s.LimitInvalid = throttle.ParseRate(res.Header.Values(LimitHeader))
	return s
}

// maxRetryAfterSeconds keeps the value within the range of time.Duration. Callers apply
// their own limits to it.
const maxRetryAfterSeconds = 1e6

// RetryAfter decodes the Retry-After header in seconds, which may have a fraction. It
// returns zero for a date, since clocks may differ, and for an invalid value.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxRetryAfterSeconds) * float64(time.Second))
}
