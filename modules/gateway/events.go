package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

const (
	// maxEventBytes limits one event of a stream. A typical one carries a few tokens in
	// less than a kilobyte.
	maxEventBytes = 256 << 10
	// unreservedEventBytes is the size up to which an event reserves nothing in the
	// buffer budget; a stream reads only a few events ahead.
	unreservedEventBytes = 4 << 10
)

// event is one server-sent event in the bytes that the upstream sent.
type event struct {
	raw []byte
	// id is -1 if the event has none.
	id int64
	// reserved is the number of bytes that the event has reserved.
	reserved int64
}

var errEventTooLarge = errors.New("an event of the stream exceeds its size limit")

// readEvent reads one event up to and including its empty line. It returns
// io.ErrUnexpectedEOF if the stream ends within an event. The bytes that a large event
// has reserved are released by its receiver.
func readEvent(r *bufio.Reader, reservation *reservation) (event, error) {
	e := event{id: -1}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
		}
		if more := int64(len(e.raw)) - unreservedEventBytes - e.reserved; more > 0 {
			if !reservation.reserve(more) {
				return e, errBuffersFull
			}
			e.reserved += more
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return e, err
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			return e, nil
		}
		if v, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err == nil {
				e.id = id
			}
		}
	}
}
