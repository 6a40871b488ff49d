package entry

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a body of a caller that ends the entry, or whose canonical
// form differs from time to time, so that a resent request is not recognised.
func FuzzCanonical(f *testing.F) {
	f.Add([]byte(`{"model":"letters","prompt":"hello","max_tokens":4,"stream":true,"other":[1e400]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		once := canonicalBody(raw)
		assert.Assert(t, bytes.Equal(canonicalBody(once), once))
	})
}
