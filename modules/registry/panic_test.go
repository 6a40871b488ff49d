package registry

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/platform"
)

// panickingDialect panics on every configuration and announcement.
type panickingDialect struct{ *platform.Platform }

// Configuration implements dialect.Dialect.
func (panickingDialect) Configuration([]byte) (*routing.Configuration, error) { panic("configuration") }

// Announcement implements dialect.Dialect.
func (panickingDialect) Announcement(string, []byte) (registration.Upstream, error) {
	panic("announcement")
}

// Guards against calls of operators and upstreams without an answer because the instance fails
// unexpectedly on their content.
func TestUnexpectedFailureIsAnswered(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	n.dialect = panickingDialect{&platform.Platform{}}
	for path, text := range map[string]string{"/v1/config/replace": body(1, "x"), "/v1/instances/i-1/heartbeat": heartbeat("ready", 1)} {
		res, err := n.dial(t).call("POST", path, text, 0)
		assert.NilError(t, err, path)
		assert.Equal(t, res.StatusCode, 500, path)
	}
}
