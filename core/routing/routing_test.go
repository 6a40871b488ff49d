package routing

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func validConfiguration() *Configuration {
	return &Configuration{
		Version:  3,
		Services: []Service{{Name: "model"}, {Name: "desk"}},
		Routes: []Route{
			{Name: "a", Host: "Letters.example", Prefix: "/a/", Timeout: time.Second, Targets: []Target{{"model", 90}, {"desk", 10}}},
			{Name: "b", Host: "letters.example", Prefix: "/a/b/", Timeout: time.Second, Targets: []Target{{"desk", 1}}, Public: true},
		},
		Organisations: []Organisation{{Name: "one", Keys: []string{"k1"}}, {Name: "two", Keys: []string{"k2"}}},
	}
}

// Guards against invalid configurations that are accepted.
func TestInvalidConfigurations(t *testing.T) {
	assert.NilError(t, validConfiguration().Validate())
	for name, invalidate := range map[string]func(*Configuration){
		"unknown service":    func(c *Configuration) { c.Routes[0].Targets[1].Service = "gone" },
		"share host":         func(c *Configuration) { c.Routes[1].Host, c.Routes[1].Prefix = "Letters.example", "/a/" },
		"weights add up":     func(c *Configuration) { c.Routes[1].Targets[0].Weight = 0 },
		"negative weight":    func(c *Configuration) { c.Routes[0].Targets[0].Weight = -1 },
		"timeout":            func(c *Configuration) { c.Routes[1].Timeout = 0 },
		"share a key":        func(c *Configuration) { c.Organisations[1].Keys = []string{"k2", "k1"} },
		"begin and end with": func(c *Configuration) { c.Routes[0].Prefix = "/a" },
	} {
		c := validConfiguration()
		invalidate(c)
		assert.ErrorContains(t, c.Validate(), name)
	}
}

// Guards against a request that matches a prefix shorter than the longest one, or the
// routes of another host.
func TestLongestPrefixOfTheHost(t *testing.T) {
	table := NewTable(validConfiguration())
	for path, want := range map[string]string{"/a/x": "a", "/a/b/x": "b", "/a/bc": "a", "/": "", "/a": ""} {
		r, ok := table.Match("LETTERS.example:8080", path)
		assert.Equal(t, ok, want != "", path)
		if ok {
			assert.Equal(t, r.Name, want, path)
		}
	}
	_, ok := table.Match("other.example", "/a/x")
	assert.Assert(t, !ok)
}

// Guards against a match other than the longest prefix, whatever the order of the routes.
func TestMatchIsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(rapid.StringMatching(`/([ab]/){0,3}`), 1, 6, rapid.ID[string]).Draw(t, "prefixes")
		c := &Configuration{}
		for _, p := range prefixes {
			c.Routes = append(c.Routes, Route{Name: p, Host: "h", Prefix: p, Timeout: 1})
		}
		path := rapid.StringMatching(`/([ab]/){0,4}[ab]?`).Draw(t, "path")
		want := ""
		for _, p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		r, ok := NewTable(c).Match("h", path)
		assert.Equal(t, ok, want != "")
		if ok {
			assert.Equal(t, r.Prefix, want)
		}
	})
}

// Guards against a key requirement on a public route, and against acceptance of an unknown
// key.
func TestKeys(t *testing.T) {
	table := NewTable(validConfiguration())
	a, _ := table.Match("letters.example", "/a/x")
	b, _ := table.Match("letters.example", "/a/b/x")
	assert.Assert(t, table.NeedsKey(a) && !table.NeedsKey(b))
	o, ok := table.Organisation("k2")
	assert.Assert(t, ok && o.Name == "two")
	_, ok = table.Organisation("")
	assert.Assert(t, !ok)
	seven := 7
	assert.Equal(t, Priority(a, &Organisation{Priority: &seven}), 7)
	assert.Equal(t, Priority(a, o), 0)
}

// Guards against shares of requests that differ from the weights.
func TestPickFollowsWeights(t *testing.T) {
	r := validConfiguration().Routes[0]
	count := map[string]int{}
	for draw := range uint64(1000) {
		count[r.Pick(draw)]++
	}
	assert.DeepEqual(t, count, map[string]int{"model": 900, "desk": 100})
	assert.Equal(t, (&Route{}).Pick(3), "")
}

// Guards against requests accepted under an unconfirmed configuration: only a caller that
// resumes a stream is, and none is refused because of it.
func TestAllowsResume(t *testing.T) {
	c := validConfiguration()
	c.Routes[0].Kind, c.Routes[0].Resumable = Stream, true
	c.Routes[1].Kind = Stream
	table := NewTable(c)
	assert.Assert(t, table.AllowsResume("letters.example", "/a/x", "k1"))
	assert.Assert(t, !table.AllowsResume("letters.example", "/a/x", "k3"), "the key may have been added since")
	assert.Assert(t, !table.AllowsResume("letters.example", "/a/b/x", "k1"), "the stream may run once only")
	assert.Assert(t, !table.AllowsResume("letters.example", "/c/x", "k1"), "the route may have been added since")
	c.Routes[0].Kind = AtMostOnce
	assert.Assert(t, !NewTable(c).AllowsResume("letters.example", "/a/x", "k1"))
}
