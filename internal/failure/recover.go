package failure

import (
	"log/slog"
	"net/http"
	"runtime/debug"

	"heatherway.dev/kernel/result"
)

// Recover must be deferred directly by the function that serves a request. After a panic it
// writes an error response that does not state whether the request has run. A response that has
// started is aborted, so that it does not look complete. Without it net/http would close the
// connection of the request.
func Recover(log *slog.Logger, w http.ResponseWriter, requestID string, started func() bool) {
	r := recover()
	if r == nil {
		return
	}
	if r == http.ErrAbortHandler {
		panic(r)
	}
	log.Error("unexpected failure", "unit", "request", "request_id", requestID, "panic", r, "stack", string(debug.Stack()))
	if started() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close") // the body may not have been read
	Write(w, result.New(result.Internal, "unexpected failure"), requestID)
}

// WithRecovery returns a handler that answers a request whose handler panics.
func WithRecovery(log *slog.Logger, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &startTracker{ResponseWriter: w}
		defer Recover(log, w, r.Header.Get("X-Request-Id"), func() bool { return tracked.started })
		h.ServeHTTP(tracked, r)
	})
}

// startTracker notes whether the response has started.
type startTracker struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (t *startTracker) WriteHeader(status int) {
	t.started = t.started || status >= http.StatusOK
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *startTracker) Write(b []byte) (int, error) {
	t.started = true
	return t.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (t *startTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }
