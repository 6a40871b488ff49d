package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a key whose own default is refused, and so against a kind of
// value that can never be set.
func TestDefaultsAreValid(t *testing.T) {
	for _, k := range Keys() {
		assert.NilError(t, k.Check(k.Default))
	}
}
