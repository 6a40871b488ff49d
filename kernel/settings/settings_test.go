package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/result"
)

type sample struct {
	Name   string        `yaml:"name"`
	Wait   time.Duration `yaml:"wait"`
	Count  int           `yaml:"count"`
	Plugin Plugin        `yaml:"plugin"`
}

// Guards against settings errors without the position of the invalid setting.
func TestErrorsNameLineAndColumn(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
		code             result.Code
	}{
		{"unknown key", "name: a\nnmae: b\n", "f.yaml:2:1", result.SettingUnknown},
		{"wrong type", "count: many\n", "f.yaml:1:8", result.SettingInvalid},
		{"wrong unit", "name: a\nwait: 5 parsecs\n", "f.yaml:2:7", result.SettingInvalid},
		{"syntax", "name: [a\n", "f.yaml:1", result.SettingsSyntax},
		{"repeated key", "name: a\nname: b\n", "f.yaml:2:1", result.SettingsSyntax},
		{"two names of a plug-in", "plugin:\n  a: {}\n  b: {}\n", "f.yaml:2", result.SettingInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := parse(c.text)
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, result.Is(err, c.code), "%v", err)
		})
	}
}

func parse(text string) error {
	doc, err := Parse("f.yaml", []byte(text))
	if err != nil {
		return err
	}
	var s sample
	return doc.Decode(&s)
}

// Guards against plug-in settings that lose their defaults or their position in the
// file.
func TestPluginDecode(t *testing.T) {
	doc, err := Parse("f.yaml", []byte("plugin:\n  openai:\n    count: 3\n"))
	assert.NilError(t, err)
	var s sample
	assert.NilError(t, doc.Decode(&s))
	assert.Equal(t, s.Plugin.Name, "openai")
	s.Plugin.SetFile("f.yaml")
	inner := sample{Name: "default"}
	assert.NilError(t, s.Plugin.Decode(&inner))
	assert.Equal(t, inner.Name, "default")
	assert.Equal(t, inner.Count, 3)
	assert.ErrorContains(t, s.Plugin.Invalid("count", "too few"), "f.yaml:3:12: count: too few")
}

// Guards against a missing file that is treated as empty settings.
func TestMissingFile(t *testing.T) {
	_, err := Load("does-not-exist.yaml")
	assert.Assert(t, result.Is(err, result.SettingsMissing), "%v", err)
}
