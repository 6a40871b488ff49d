package freeport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a port that is chosen again before the process that it was first
// chosen for has bound it.
func TestNoPortTwice(t *testing.T) {
	seen := map[string]bool{}
	for range 400 {
		l, err := Listen()
		assert.NilError(t, err)
		assert.Assert(t, !seen[l.Addr().String()])
		seen[l.Addr().String()] = true
		assert.NilError(t, l.Close())
	}
}
