package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/heatherway/platform"
)

// panickingDialect panics on responses with a certain header.
type panickingDialect struct{ *platform.Platform }

// Response implements dialect.Dialect.
func (d panickingDialect) Response(h http.Header) dialect.Response {
	if h.Get("X-Fragile") != "" {
		panic("fragile")
	}
	return d.Platform.Response(h)
}

// Guards against a panic on one response, request or task that ends the process: other
// requests continue, and the caller is not told that its request has not run.
func TestPanicIsContained(t *testing.T) {
	for _, service := range []string{"desk", "model"} {
		u := startUpstream(t, "u-"+service, service, "z0", func(w http.ResponseWriter, r *http.Request, n int) {
			if n == 1 {
				w.Header().Set("X-Fragile", "1")
			}
			if r.URL.Path == "/letters/x" {
				writeEvent(w, 0)
			}
		})
		conf := configuration()
		conf.Routes[0].MaxAttempts = 1
		f := newFixture(t, conf, u)
		f.dialect = panickingDialect{&platform.Platform{}}
		path := map[string]string{"desk": "/book/x", "model": "/letters/x"}[service]
		res := f.do(f.request("POST", path, "x"))
		assert.NilError(t, res.err)
		assert.Assert(t, res.status >= 500 && res.status != 503, "status %d", res.status)
		f.owner.post(func(*state) { panic("task") })
		time.Sleep(500 * time.Millisecond) // the upstream is excluded from placement for a moment
		assert.Equal(t, f.do(f.request("POST", path, "x")).status, 200)
	}
}
