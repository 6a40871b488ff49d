// Package logs writes log lines asynchronously, so that a slow output never blocks
// the code that logs. Lines wait in a bounded queue; when it is full, further lines
// are dropped and counted.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the capacity of the queue.
	maxQueuedLines = 512
	// flushTimeout is how long Flush waits for a slow output.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an asynchronous io.Writer for a slog handler, which calls Write once
// per line.
type Writer struct {
	lines chan []byte
	// pending counts the lines that are queued or being written.
	pending atomic.Int64
	dropped atomic.Int64
}

// NewWriter returns a writer that writes to out in a goroutine of its own.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines)}
	go w.run(out)
	return w
}

// Write queues a copy of the line. It never returns an error, since a logger can't
// report one.
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

// Dropped returns the number of lines that were dropped because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until all queued lines are written, but at most flushTimeout.
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
		_, _ = out.Write(line) // a failure of the log output can't be logged
		w.pending.Add(-1)
	}
}
