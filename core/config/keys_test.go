package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a key whose built-in default is invalid, and thus against a kind
// whose values can never be set.
func TestDefaultsAreValid(t *testing.T) {
	for _, k := range Keys() {
		assert.NilError(t, k.Check(k.Default))
	}
}
