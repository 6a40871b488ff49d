package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/result"
)

// Guards against an error text from a peer that causes a panic or is decoded to an
// error without a result code.
func FuzzDecodeError(f *testing.F) {
	f.Add(EncodeError(result.New(result.Leaving, "leaving")).Error())
	f.Add("plain text")
	f.Fuzz(func(t *testing.T, text string) {
		var e *result.Error = result.From(decodeError(text))
		assert.Assert(t, e != nil && e.Error() != "")
	})
}
