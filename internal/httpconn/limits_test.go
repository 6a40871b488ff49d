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
