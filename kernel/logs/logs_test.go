package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is an output that takes nothing until it is opened.
type blockedWriter struct {
	open chan struct{}
	buf  bytes.Buffer
}

func (g *blockedWriter) Write(b []byte) (int, error) {
	<-g.open
	return g.buf.Write(b)
}

// waitUntilWritten waits until every line is written.
func waitUntilWritten(t *testing.T, w *Writer) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); w.pending.Load() > 0; w.Flush() {
		assert.Assert(t, time.Now().Before(end), "lines are left")
	}
}

// Guards against code that waits for a log output which takes nothing, and
// against lines that are lost without a trace.
func TestSlowOutputDoesNotBlock(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := NewWriter(out)
	begin := time.Now()
	for range 3 * maxQueuedLines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begin) < time.Second)
	assert.Assert(t, w.Dropped() >= maxQueuedLines)
	close(out.open)
	waitUntilWritten(t, w)
	assert.Assert(t, strings.Contains(out.buf.String(), "log lines dropped"))
}

// Guards against a line that changes after it was handed over: slog reuses its
// buffer.
func TestLinesAreCopied(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := NewWriter(out)
	b := []byte("first\n")
	_, _ = w.Write(b)
	copy(b, "other\n")
	close(out.open)
	waitUntilWritten(t, w)
	assert.Equal(t, out.buf.String(), "first\n")
}
