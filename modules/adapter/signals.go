package adapter

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// LeavingHeader is set to 1 in every answer of an upstream that is about to stop and
// wants no new work.
const LeavingHeader = "Upstream-Leaving"

// Signal is what an upstream says of itself in the head of an answer.
type Signal struct {
	Leaving bool
	// Backoff is for how long the upstream wants nothing, zero if it has not asked.
	Backoff time.Duration
}

// SignalSource is an upstream whose signals can be followed.
type SignalSource interface {
	// OnSignal has each signal passed on, by any goroutine.
	OnSignal(func(Signal))
}

// SignalReader reads the signals in the answers to an adapter.
type SignalReader struct{ callback atomic.Pointer[func(Signal)] }

// Follow implements Signaller.
func (s *SignalReader) Follow(f func(Signal)) { s.callback.Store(&f) }

// WrapTransport returns a transport that reads the head of every answer.
func (s *SignalReader) WrapTransport(t *http.Transport) http.RoundTripper {
	return signalTransport{t, s}
}

type signalTransport struct {
	*http.Transport
	source *SignalReader
}

// RoundTrip implements http.RoundTripper.
func (w signalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := w.Transport.RoundTrip(r)
	if follow := w.source.callback.Load(); err == nil && follow != nil {
		(*follow)(readSignal(res))
	}
	return res, err
}

func readSignal(res *http.Response) Signal {
	s := Signal{Leaving: strings.TrimSpace(res.Header.Get(LeavingHeader)) == "1"}
	if res.StatusCode == http.StatusServiceUnavailable {
		s.Backoff = RetryAfter(res.Header)
	}
	return s
}

// maxRetryAfter keeps a wait within the range of a duration; what it means is bounded
// by whoever acts on it.
const maxRetryAfterSeconds = 1e6

// RetryAfter decodes the header of that name in seconds, which may have a fraction. A date
// or a value that cannot be read says nothing, since clocks may differ.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxRetryAfterSeconds) * float64(time.Second))
}
