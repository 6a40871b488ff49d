package gateway

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/result"
)

const (
	// defaultBufferBytes bounds the bodies and events that a process holds at once. It
	// leaves two thirds of the smallest instances of the deployments, 88 MB.
	defaultBufferBytes = 32 << 20
	// singleShare is the part of the buffers that one body may take; while it grows it
	// takes up to twice its size.
	maxBodyDivisor = 4
	// maxCallBytes bounds the answers to calls of heatherway itself; the list of what a
	// model server keeps has some ten thousand entries at most.
	maxInternalCallBytes = 1 << 20
	// firstBuffer is the first size of a buffer; the usual answer of a call fits.
	initialBufferBytes = 2 << 10
)

var (
	errAnswerTooLarge = result.New(result.AnswerTooLarge, "the answer exceeds its limit")
	errBuffersFull    = result.New(result.BuffersFull, "the buffers of this gateway are full")
	errBodyTooLarge   = result.New(result.BodyTooLarge, "the body exceeds its limit")
)

// buffers bounds what a process holds of bodies at once.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// single bounds one body.
func (b *bufferBudget) maxBodyBytes() int64 { return b.limit / maxBodyDivisor }

// lease returns an empty lease.
func (b *bufferBudget) newReservation() *reservation { return &reservation{budget: b} }

// lease is the part of the buffers that one request takes. It is safe for use by
// several goroutines.
type reservation struct {
	budget   *bufferBudget
	mu       sync.Mutex
	reserved int64
	closed   bool
}

// take reserves bytes. It returns false when the buffers are full or the lease has
// been closed.
func (l *reservation) reserve(n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if l.budget.used.Add(n) > l.budget.limit {
		l.budget.used.Add(-n)
		return false
	}
	l.reserved += n
	return true
}

// give returns bytes.
func (l *reservation) release(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.reserved -= n
		l.budget.used.Add(-n)
	}
}

// close returns everything; nothing can be taken afterwards.
func (l *reservation) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.budget.used.Add(-l.reserved)
	}
}

// readAll reads to the end of r. What exceeds most is tooLarge, and nothing of it is
// returned: a part must not look like the whole.
func (l *reservation) readAll(r io.Reader, most int64, tooLarge error) ([]byte, error) {
	var b []byte
	for {
		if len(b) == cap(b) {
			size := min(int64(max(2*cap(b), initialBufferBytes)), most+1)
			if !l.reserve(size) {
				return nil, errBuffersFull
			}
			l.release(int64(cap(b)))
			b = append(make([]byte, 0, size), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > most:
			return nil, tooLarge
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// readAnswer reads the body of an answer that is held until it is whole.
func (l *reservation) readResponse(res *http.Response) ([]byte, error) {
	most := l.budget.maxBodyBytes()
	if res.ContentLength > most {
		return nil, errAnswerTooLarge
	}
	return l.readAll(res.Body, most, errAnswerTooLarge)
}

const (
	// headBytes bounds the head of an answer, informational answers before it
	// included.
	maxResponseHeaderBytes = 64 << 10
	// strayBytes bounds all that is skipped on a connection before the answer.
	maxSkippedBytes = 1 << 20
)

var errResponseHeaderTooLarge = errors.New("the head of the answer exceeds its limit")

// meter bounds what is read from a connection while it is set.
type limitedReader struct {
	source    io.Reader
	remaining int64
	limited   bool
}

func (m *limitedReader) setLimit(n int64) { m.remaining, m.limited = n, true }
func (m *limitedReader) clearLimit()      { m.limited = false }

// Read implements io.Reader.
func (m *limitedReader) Read(b []byte) (int, error) {
	if !m.limited {
		return m.source.Read(b)
	}
	if m.remaining <= 0 {
		return 0, errResponseHeaderTooLarge
	}
	n, err := m.source.Read(b[:min(int64(len(b)), m.remaining)])
	m.remaining -= int64(n)
	return n, err
}
