package load

import (
	"bufio"
	"io"
	"strings"
)

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 16 << 20

// event is a server-sent event.
type event struct{ id, data string }

// eventReader reads an event stream. It calls onLine for every line, including
// comments.
type eventReader struct {
	lines  *bufio.Scanner
	onLine func()
}

func newEventReader(r io.Reader, onLine func()) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	return &eventReader{lines: s, onLine: onLine}
}

// next returns the next event with data. An event that is incomplete at the end
// of the connection is discarded.
func (r *eventReader) next() (event, error) {
	var e event
	for r.lines.Scan() {
		r.onLine()
		line := r.lines.Text()
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "" && e.data != "":
			return e, nil
		case field == "id":
			e.id = value
		case field == "data" && e.data != "":
			e.data += "\n" + value
		case field == "data":
			e.data = value
		}
	}
	if err := r.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}
