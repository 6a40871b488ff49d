package failure

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request without an answer because its handler panics, and against a part of
// a response that looks complete.
func TestPanickingHandlerIsAnswered(t *testing.T) {
	server := httptest.NewServer(WithRecovery(slog.New(slog.DiscardHandler), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		panic("handler")
	})))
	defer server.Close()
	res, err := http.Get(server.URL + "/early")
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusInternalServerError)
	res, err = http.Get(server.URL + "/late")
	assert.NilError(t, err)
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
