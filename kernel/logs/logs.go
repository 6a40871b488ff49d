// Package logs writes log lines without ever blocking the code that logs: lines
// wait in a bounded queue, and those that find it full are dropped and counted.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for the output.
	maxQueuedLines = 512
	// flushTimeout bounds how long Flush waits for a slow output.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer for a slog handler; each call to Write is one line.
type Writer struct {
	lines chan []byte
	// pending counts the lines that are not written yet.
	pending atomic.Int64
	dropped atomic.Int64
}

// NewWriter returns a writer that passes lines on to out in the background.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines)}
	go w.run(out)
	return w
}

// Write queues one line. It never fails: there is nowhere to report it.
func (w *Writer) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found the queue full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the lines queued so far are written, for a short while.
func (w *Writer) Flush() {
	for end := time.Now().Add(flushTimeout); w.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

func (w *Writer) run(out io.Writer) {
	reported := int64(0)
	for line := range w.lines {
		if n := w.dropped.Load(); n > reported {
			line = append(line, fmt.Sprintf("{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n-reported)...)
			reported = n
		}
		_, _ = out.Write(line) // there is nowhere to report a failure
		w.pending.Add(-1)
	}
}
