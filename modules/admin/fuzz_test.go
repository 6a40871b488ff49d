package admin

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/kernel/peer"
)

// Guards against a request body that causes a panic or a response without a result
// code. There is no control instance, so no request succeeds.
func FuzzBodies(f *testing.F) {
	quiet := slog.New(slog.DiscardHandler)
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, quiet)
	assert.NilError(f, err)
	h := (&Module{log: quiet, audit: quiet, security: security}).handler()
	f.Add(true, `{"id":"o","author":"a","reason":"r","upstream":"u","kind":"load_model","model":"m"}`)
	f.Add(false, `{"change_id":"c","base_revision":1,"author":"a","reason":"r","edits":[{"kind":"set_default","name":"k","value":"v"}]}`)
	f.Add(false, `{"change_id":"c","base_revision":1,"author":"a","reason":"r","edits":[{"kind":"put_exception","exception":{"id":"x","key":"k","value":"v","reason":"r","selector":{}}}]}`)
	f.Fuzz(func(t *testing.T, order bool, body string) {
		path := "/admin/v1/configuration/changes"
		if order {
			path = "/admin/v1/orders"
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		var answer failure.Failure
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer), w.Body.String())
		assert.Assert(t, answer.Problem.Code >= 4000 && answer.Problem.Code != 5000, w.Body.String())
	})
}
