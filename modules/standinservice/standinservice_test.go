package standinservice

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a journal that misses the second execution of the same call,
// which would hide duplicate executions from the tests that rely on it.
func TestJournalCountsEveryRun(t *testing.T) {
	s := New()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Bind(l, slog.New(slog.DiscardHandler))
	assert.NilError(t, s.Start(t.Context()))
	defer func() { assert.NilError(t, s.Stop(t.Context())) }()
	url := "http://" + s.Addr()
	for _, key := range []string{"k1", "k1", "k2"} {
		req, err := http.NewRequest(http.MethodPost, url+"/orders", strings.NewReader(`{"item":1}`))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusCreated)
		assert.NilError(t, resp.Body.Close())
	}
	resp, err := http.Get(url + "/journal")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var runs []Run
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&runs))
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, runs[0].Count, 2)
	assert.Equal(t, runs[1].Key, "k2")
}
