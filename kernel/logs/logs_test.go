package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	buf  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	return g.buf.Write(b)
}

// settle waits until every line is written.
func settle(t *testing.T, w *Writer) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); w.pending.Load() > 0; w.Flush() {
		assert.Assert(t, time.Now().Before(end), "lines are left")
	}
}

// Guards against code that waits for a log output which takes nothing, and
// against lines that are lost without a trace.
func TestSlowOutputBlocksNobody(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	w := NewWriter(out)
	begin := time.Now()
	for range 3 * queuedLines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begin) < time.Second)
	assert.Assert(t, w.Dropped() >= queuedLines)
	close(out.open)
	settle(t, w)
	assert.Assert(t, strings.Contains(out.buf.String(), "log lines dropped"))
}

// Guards against a line that changes after it was handed over: slog reuses its
// buffer.
func TestLinesAreCopied(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	w := NewWriter(out)
	b := []byte("first\n")
	_, _ = w.Write(b)
	copy(b, "other\n")
	close(out.open)
	settle(t, w)
	assert.Equal(t, out.buf.String(), "first\n")
}
