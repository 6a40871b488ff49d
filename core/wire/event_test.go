package wire

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a Last-Event-ID that is parsed as a position other than the
// one it names.
func FuzzParseEventID(f *testing.F) {
	f.Add(EventID{Generation: ID(strings.Repeat("0a", 16)), Attempt: 2, Offset: 40, Agent: "letters-1"}.String())
	f.Add("....")
	f.Fuzz(func(t *testing.T, text string) {
		e, err := ParseEventID(text)
		if err != nil {
			return
		}
		again, err := ParseEventID(e.String())
		assert.NilError(t, err)
		assert.Equal(t, again, e)
	})
}
