package main

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/load"
	"heatherway.dev/heatherway/modules/standinengine"
	"heatherway.dev/kernel/stats"
)

func runCommand(t *testing.T, out io.Writer, args ...string) int {
	t.Helper()
	return exitStatus(run(t.Context(), command(outputs{out, io.Discard}), args), io.Discard)
}

// Guards against a direct run that can't parse the answers of an engine.
func TestLoadDirect(t *testing.T) {
	e := standinengine.New()
	e.Step = time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.Bind(l, slog.New(slog.DiscardHandler), stats.New())
	assert.NilError(t, e.Start(t.Context()))
	defer func() { assert.NilError(t, e.Stop(t.Context())) }()
	for _, stream := range []string{"--stream=true", "--stream=false"} {
		var out bytes.Buffer
		status := runCommand(t, &out, "load", "--url", "http://"+e.Addr(), "--direct", stream, "--rate", "100",
			"--requests", "20", "--output-tokens", "10", "--output", "json")
		assert.Equal(t, status, exitOK)
		var r load.Report
		assert.NilError(t, json.Unmarshal(out.Bytes(), &r))
		assert.Equal(t, r.Total.Finished, int64(20))
		assert.Equal(t, r.Total.Tokens, int64(200))
	}
}

// Guards against exit status 0 for a run with a wrong token.
func TestLoadFailsOnWrongToken(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"text\":\" 0-other\"}]}\n\ndata: [DONE]\n\n")
	}))
	defer srv.Close()
	assert.Equal(t, runCommand(t, io.Discard, "load", "--url", srv.URL, "--requests", "1", "--output-tokens", "1"), exitFailed)
	assert.Equal(t, runCommand(t, io.Discard, "load"), exitUsage)
}
