package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimiter closes connections of callers that stay without a request for
// longer than the configuration allows. http.Server has a fixed limit, and the
// configuration changes while it runs.
type idleLimiter struct {
	limit func() time.Duration
	mu    sync.Mutex
	timer map[net.Conn]*time.Timer
}

func newIdleLimiter(limit func() time.Duration) *idleLimiter {
	return &idleLimiter{limit: limit, timer: map[net.Conn]*time.Timer{}}
}

// changed is the ConnState hook of the server.
func (l *idleLimiter) changed(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.timer[c]; t != nil {
		t.Stop()
		delete(l.timer, c)
	}
	if s != http.StateIdle {
		return
	}
	if limit := l.limit(); limit > 0 {
		l.timer[c] = time.AfterFunc(limit, func() { l.expire(c) })
	}
}

func (l *idleLimiter) expire(c net.Conn) {
	l.mu.Lock()
	_, idle := l.timer[c]
	delete(l.timer, c)
	l.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
