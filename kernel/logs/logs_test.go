package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is an output whose Write blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	buf  bytes.Buffer
}

func (g *blockedWriter) Write(b []byte) (int, error) {
	<-g.open
	return g.buf.Write(b)
}

// waitUntilWritten waits until all queued lines are written.
func waitUntilWritten(t *testing.T, w *Writer) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); w.pending.Load() > 0; w.Flush() {
		assert.Assert(t, time.Now().Before(end), "lines are still pending")
	}
}

// Guards against logging that blocks on a stalled output, and against dropped lines
// that are not reported.
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

// Guards against queued lines that are overwritten because slog reuses its buffer.
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
