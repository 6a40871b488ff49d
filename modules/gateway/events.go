package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/buffers"
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
	// hasData is set if the event has a data field. Clients ignore events without one,
	// such as comments that keep the connection open.
	hasData bool
	// reserved is the number of bytes that the event has reserved.
	reserved int64
}

var (
	errEventTooLarge = errors.New("an event of the stream exceeds its size limit")
	errNoEvent       = errors.New("the stream contains a line that is no part of an event")
)

// readEvent reads one event up to and including its empty line. It returns
// io.ErrUnexpectedEOF if the stream ends within an event, and errNoEvent if it contains
// something else, such as the response head or the text of an error. The bytes that a
// large event has reserved are released by its receiver. isPlatformField reports whether a
// line is a field that the platform adds to the format.
func readEvent(r *bufio.Reader, reservation *buffers.Reservation, isPlatformField func(name, value string) bool) (event, error) {
	e := event{id: -1}
	for lineStart := true; ; {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
		}
		if more := int64(len(e.raw)) - unreservedEventBytes - e.reserved; more > 0 {
			if !reservation.Reserve(more) {
				return e, errBuffersFull
			}
			e.reserved += more
		}
		field := bytes.TrimRight(line, "\r\n")
		endsEvent := lineStart && len(field) == 0
		if lineStart && !endsEvent && !e.addField(field, isPlatformField) && (err == nil || errors.Is(err, bufio.ErrBufferFull)) {
			return e, errNoEvent
		}
		lineStart = err == nil
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return e, err
		}
		if endsEvent {
			return e, nil
		}
	}
}

// addField adds a line to an event. It returns false if the line is neither a comment nor
// one of the fields that the format of event streams or the platform defines.
func (e *event) addField(line []byte, isPlatformField func(name, value string) bool) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "event", "retry":
	case "data":
		e.hasData = true
	case "id":
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			e.id = id
		}
	default:
		return isPlatformField(string(name), string(value))
	}
	return true
}
