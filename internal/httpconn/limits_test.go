package httpconn

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an idle limit that overflows with the grace and closes idle connections at once.
func TestHugeIdleLimit(t *testing.T) {
	s := startServer(t, math.MaxInt64, idleGrace)
	c := s.dial(t)
	for range 2 {
		_, err := c.do("/")
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against an idle limit that stays in force on open connections after it was removed.
func TestRemovedIdleLimit(t *testing.T) {
	s := startServer(t, 50*time.Millisecond, 0)
	c := s.dial(t)
	_, err := c.do("/")
	assert.NilError(t, err)
	s.limit.Store(0)
	time.Sleep(200 * time.Millisecond)
	_, err = c.do("/")
	assert.NilError(t, err)
}
