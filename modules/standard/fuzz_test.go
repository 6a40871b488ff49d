package standard_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

// Guards against a settings file that makes the settings check panic or fail with
// the result code Internal, which doesn't say what is wrong.
func FuzzSettings(f *testing.F) {
	files, err := filepath.Glob(root + "/examples/*/*.yaml")
	assert.NilError(f, err)
	for _, name := range files {
		b, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := settings.Parse("fuzz.yaml", text)
		if err == nil {
			err = kernel.Check(doc)
		}
		assert.Assert(t, err == nil || !result.Is(err, result.Internal), "%v", err)
	})
}
