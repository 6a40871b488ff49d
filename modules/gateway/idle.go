package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimiter closes callers' connections that are idle for longer than the
// configuration allows. The timeout of http.Server is fixed, while the configuration
// may change at any time.
type idleLimiter struct {
	timeout func() time.Duration
	mu      sync.Mutex
	timers  map[net.Conn]*time.Timer
}

func newIdleLimiter(timeout func() time.Duration) *idleLimiter {
	return &idleLimiter{timeout: timeout, timers: map[net.Conn]*time.Timer{}}
}

// connStateChanged is the ConnState hook of the server.
func (l *idleLimiter) connStateChanged(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.timers[c]; t != nil {
		t.Stop()
		delete(l.timers, c)
	}
	if s != http.StateIdle {
		return
	}
	if timeout := l.timeout(); timeout > 0 {
		l.timers[c] = time.AfterFunc(timeout, func() { l.expire(c) })
	}
}

func (l *idleLimiter) expire(c net.Conn) {
	l.mu.Lock()
	_, idle := l.timers[c]
	delete(l.timers, c)
	l.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
