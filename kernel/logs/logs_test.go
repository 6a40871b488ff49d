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
	for end := time.Now().Add(5 * time.Second); len(w.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	w.Flush()
	time.Sleep(20 * time.Millisecond) // the last line has left the queue and is being written
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
	w.Flush()
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, out.buf.String(), "first\n")
}
