package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/buffers"
	"heatherway.dev/kernel/result"
)

const (
	// defaultBufferBytes limits the bodies and events that a process holds in memory.
	// On the smallest instances of the deployments, which have 88 MB, it leaves two
	// thirds for the rest of the process.
	defaultBufferBytes = 32 << 20
	// maxBodyDivisor limits one body to a quarter of the buffers. A body that has been
	// read reserves twice its size while its parts are joined.
	maxBodyDivisor = 4
	// maxInternalCallBytes limits the responses to the gateway's own calls to
	// upstreams. The longest is the list of cached prompts of a model server, with at
	// most about ten thousand entries.
	maxInternalCallBytes = 1 << 20
	// decodedSizeFactor is the memory that a byte of such a response takes when it is decoded:
	// its shortest entries have ten bytes and become 40, in a list that is copied as it grows.
	decodedSizeFactor = 8
	// initialBufferBytes is the initial size of a read buffer; it holds the usual
	// response of a call.
	initialBufferBytes = 2 << 10
	// blockBytes is the size of the parts in which the rest of a longer body is collected. Most
	// requests and responses are shorter.
	blockBytes = 32 << 10
	// unreservedBodyBytes is the size up to which a body reserves nothing in the buffer
	// budget, so that small requests are served while others exhaust it.
	unreservedBodyBytes = 4 << 10
)

var (
	errAnswerTooLarge = result.New(result.AnswerTooLarge, "the answer exceeds its limit")
	errBuffersFull    = result.New(result.BuffersFull, "the buffers of this gateway are full")
	errBodyTooLarge   = result.New(result.BodyTooLarge, "the body exceeds its limit")
)

// maxBodyBytes is the limit for one body.
func maxBodyBytes(b *buffers.Budget) int64 { return b.Limit() / maxBodyDivisor }

// reservedBodyBytes returns the number of bytes that a buffer of a capacity reserves.
func reservedBodyBytes(capacity int64) int64 {
	if capacity <= unreservedBodyBytes {
		return 0
	}
	return capacity
}

// decodedBytes returns the memory that decoding the response to a call may take beside it. A
// short response reserves nothing, so that usual calls are made while others exhaust the budget.
func decodedBytes(size int) int64 {
	if size <= unreservedBodyBytes {
		return 0
	}
	return int64(size) * decodedSizeFactor
}

// block is a part of a body that is being read.
type block [blockBytes]byte

// freeBlocks holds blocks for reuse. Buffers that grew, or were abandoned, would become garbage
// faster than a collection under load ends, beyond what the budget counts.
var freeBlocks = sync.Pool{New: func() any { return new(block) }}

// bodyBuffer collects a body: in one buffer up to blockBytes, then in blocks.
type bodyBuffer struct {
	reservation *buffers.Reservation
	reserved    int64
	first       []byte
	blocks      []*block
	// last is the number of bytes in the last block.
	last int
}

// reserve reserves n bytes for the buffer.
func (b *bodyBuffer) reserve(n int64) bool {
	if !b.reservation.Reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// release returns what is reserved beyond n bytes to the budget.
func (b *bodyBuffer) release(n int64) {
	b.reservation.Release(b.reserved - n)
	b.reserved = n
}

func (b *bodyBuffer) size() int64 {
	if len(b.blocks) == 0 {
		return int64(len(b.first))
	}
	return int64(len(b.first)) + int64(len(b.blocks)-1)*blockBytes + int64(b.last)
}

// space returns where the next bytes are read to, at least one. It returns nil when the budget is
// exhausted.
func (b *bodyBuffer) space() []byte {
	capacity := cap(b.first)
	switch {
	case len(b.first) < capacity:
		return b.first[len(b.first):capacity]
	case capacity < blockBytes:
		larger := max(2*capacity, initialBufferBytes)
		if !b.reserve(reservedBodyBytes(int64(larger))) {
			return nil
		}
		b.first = append(make([]byte, 0, larger), b.first...)
		b.release(reservedBodyBytes(int64(larger)))
		return b.first[len(b.first):larger]
	case len(b.blocks) == 0 || b.last == blockBytes:
		if !b.reserve(blockBytes) {
			return nil
		}
		b.blocks, b.last = append(b.blocks, freeBlocks.Get().(*block)), 0
	}
	return b.blocks[len(b.blocks)-1][b.last:]
}

// grow adds the n bytes that were read into space.
func (b *bodyBuffer) grow(n int) {
	if len(b.blocks) > 0 {
		b.last += n
		return
	}
	b.first = b.first[:len(b.first)+n]
}

// bytes returns the body, which stays reserved, or nil when the budget is exhausted.
func (b *bodyBuffer) bytes() []byte {
	size := b.size()
	if len(b.blocks) == 0 {
		return b.first
	}
	if !b.reserve(size) {
		return nil
	}
	body := append(make([]byte, 0, size), b.first...)
	for _, block := range b.blocks {
		body = append(body, block[:min(size-int64(len(body)), blockBytes)]...)
	}
	b.freeBlocks()
	b.release(size)
	return body
}

// freeBlocks makes the blocks available to other bodies.
func (b *bodyBuffer) freeBlocks() {
	for _, block := range b.blocks {
		freeBlocks.Put(block)
	}
	b.blocks = nil
}

// discard returns everything.
func (b *bodyBuffer) discard() {
	b.freeBlocks()
	b.first = nil
	b.release(0)
}

// readAll reads src to its end. If there are more than maxBytes bytes it returns
// tooLarge and no data, so that a truncated body is never taken for a complete one.
func readAll(src io.Reader, r *buffers.Reservation, maxBytes int64, tooLarge error) ([]byte, error) {
	buf := &bodyBuffer{reservation: r}
	if err := buf.readFrom(src, maxBytes, tooLarge); err != nil {
		buf.discard()
		return nil, err
	}
	body := buf.bytes()
	if body == nil {
		buf.discard()
		return nil, errBuffersFull
	}
	return body, nil
}

// readFrom reads src to its end.
func (b *bodyBuffer) readFrom(src io.Reader, maxBytes int64, tooLarge error) error {
	for {
		space := b.space()
		if space == nil {
			return errBuffersFull
		}
		n, err := src.Read(space[:min(int64(len(space)), maxBytes+1-b.size())])
		b.grow(n)
		switch {
		case b.size() > maxBytes:
			return tooLarge
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readResponse reads a response body that is buffered completely before it is passed
// on.
func (c *callerRequest) readResponse(res *http.Response) ([]byte, error) {
	maxBytes := maxBodyBytes(c.g.buffers)
	if res.ContentLength > maxBytes {
		return nil, errAnswerTooLarge
	}
	return readAll(res.Body, c.reservation, maxBytes, errAnswerTooLarge)
}

const (
	// maxResponseHeaderBytes limits the header of a response, including the
	// informational (1xx) responses before it.
	maxResponseHeaderBytes = 64 << 10
	// maxResponseHeaderLines limits the lines of such a header. A parsed field takes a
	// hundred bytes and more, however short its line is.
	maxResponseHeaderLines = 256
	// unreservedHeaderBytes is the size up to which a header reserves nothing in the buffer
	// budget.
	unreservedHeaderBytes = 4 << 10
	// headerMemoryFactor is the memory that a byte of a header takes: its line is assembled
	// in one buffer and copied to the parsed field.
	headerMemoryFactor = 2
	// maxSkippedBytes limits the bodies of responses to other requests that are skipped
	// on a connection before the response that belongs to the request.
	maxSkippedBytes = 1 << 20
)

var errReadLimitExceeded = errors.New("a response header or skipped response exceeds its size limit")

// limitedReader limits the bytes that are read from a connection while a limit is set.
type limitedReader struct {
	source    io.Reader
	remaining int64
	limited   bool
	// reservation and the two fields below apply while a header is read: its memory beyond
	// the unreserved bytes is reserved, and its lines are limited.
	reservation    *buffers.Reservation
	unreserved     int64
	remainingLines int
}

// setLimit limits the bytes of a body.
func (l *limitedReader) setLimit(n int64) { l.remaining, l.limited, l.reservation = n, true, nil }

// setHeaderLimit limits the bytes and lines of a header. It stays reserved until the
// reservation is closed, since the parsed header is kept as long as the response.
func (l *limitedReader) setHeaderLimit(r *buffers.Reservation) {
	l.remaining, l.limited, l.reservation = maxResponseHeaderBytes, true, r
	l.unreserved, l.remainingLines = unreservedHeaderBytes, maxResponseHeaderLines
}

func (l *limitedReader) clearLimit() { l.limited, l.reservation = false, nil }

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.limited {
		return l.source.Read(b)
	}
	// The bytes behind a complete header may contain any number of lines, so the limit for
	// lines applies only when more bytes are needed.
	if l.remaining <= 0 || l.reservation != nil && l.remainingLines < 0 {
		return 0, errReadLimitExceeded
	}
	n, err := l.source.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	if l.reservation != nil && !l.countHeader(b[:n]) {
		return 0, errBuffersFull
	}
	return n, err
}

// countHeader counts the lines of a part of a header and reserves its memory. It returns
// false if the budget is exhausted.
func (l *limitedReader) countHeader(part []byte) bool {
	l.remainingLines -= bytes.Count(part, []byte{'\n'})
	l.unreserved -= int64(len(part))
	if l.unreserved >= 0 {
		return true
	}
	excess := -l.unreserved
	l.unreserved = 0
	return l.reservation.Reserve(excess * headerMemoryFactor)
}
