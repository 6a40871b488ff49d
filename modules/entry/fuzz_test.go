package entry

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request body that makes the entry panic, or whose canonical
// form is not stable, so that a repeated request is not recognised.
func FuzzCanonical(f *testing.F) {
	f.Add([]byte(`{"model":"letters","prompt":"hello","max_tokens":4,"stream":true,"other":[1e400]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		once := canonicalBody(raw)
		assert.Assert(t, bytes.Equal(canonicalBody(once), once))
	})
}
