package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// event is one event of a stream as the upstream sent it.
type event struct {
	raw []byte
	// id is negative when the event has none.
	id int64
}

var errEventTooLarge = errors.New("an event of the stream is too large")

// readEvent reads one event, up to its empty line. An end in the middle of an
// event is io.ErrUnexpectedEOF.
func readEvent(r *bufio.Reader) (event, error) {
	e := event{id: -1}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
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
