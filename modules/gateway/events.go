package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

const (
	// maxEventBytes bounds one event of a stream. The usual one has some tokens and
	// less than a kilobyte.
	maxEventBytes = 256 << 10
	// smallEvent is the size up to which an event takes no room in the buffers; a
	// stream reads a few ahead only.
	unreservedEventBytes = 4 << 10
)

// event is one event of a stream as the upstream sent it.
type event struct {
	raw []byte
	// id is negative when the event has none.
	id int64
	// held is what the event has taken of the buffers.
	reserved int64
}

var errEventTooLarge = errors.New("an event of the stream is too large")

// readEvent reads one event, up to its empty line. An end in the middle of an
// event is io.ErrUnexpectedEOF. What a large event takes of the buffers is returned
// by whoever passes it on.
func readEvent(r *bufio.Reader, l *reservation) (event, error) {
	e := event{id: -1}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
		}
		if more := int64(len(e.raw)) - unreservedEventBytes - e.reserved; more > 0 {
			if !l.reserve(more) {
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
