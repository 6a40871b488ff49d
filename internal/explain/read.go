// Package explain reads the JSON logs of several processes. It reports what happened to
// one request with the state that its processes acted on, and counts outcomes over time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLine bounds a log line in bytes; longer ones count as damaged.
const maxLine = 256 << 10

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Role     string
	Message  string
	// Fields holds all fields of the line, including those above.
	Fields map[string]any
}

// textField returns a string field, or "" if there is none.
func (l *Line) textField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// numberField returns a numeric field, or zero if there is none.
func (l *Line) numberField(name string) float64 {
	n, _ := l.Fields[name].(json.Number)
	f, err := n.Float64()
	if err != nil {
		return 0
	}
	return f
}

// textList returns the strings of a list field.
func (l *Line) textList(name string) (out []string) {
	list, _ := l.Fields[name].([]any)
	for _, v := range list {
		if s, ok := v.(string); ok {
			out = append(out, s)
		}
	}
	return out
}

// Counts is the number of lines read, and how many of them were damaged.
type Counts struct{ Lines, Damaged int }

// read calls visit for the lines of a log that contain one of the patterns, or for all
// lines if there are no patterns. It keeps one line in memory at a time. A line that is
// truncated, too long or not JSON is counted as damaged and skipped.
func read(r io.Reader, patterns []string, visit func(*Line)) (c Counts, err error) {
	in := bufio.NewReaderSize(r, maxLine)
	for {
		raw, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			c.Lines, c.Damaged = c.Lines+1, c.Damaged+1
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = in.ReadSlice('\n')
			}
			raw = nil
		}
		if len(raw) > 0 {
			c.Lines++
			if !c.decode(raw, patterns, visit) {
				c.Damaged++
			}
		}
		if errors.Is(err, io.EOF) {
			return c, nil
		}
		if err != nil {
			return c, errors.Wrap(err, "log")
		}
	}
}

// decode decodes a line, passes it to visit if it contains a pattern, and returns false if
// it is damaged.
func (c *Counts) decode(raw []byte, patterns []string, visit func(*Line)) bool {
	if !json.Valid(raw) {
		return len(strings.TrimSpace(string(raw))) == 0
	}
	if !containsAny(raw, patterns) {
		return true
	}
	l := &Line{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if decoder.Decode(&l.Fields) != nil {
		return false // JSON, but not an object
	}
	l.Instance, l.Role, l.Message = l.textField("instance"), l.textField("role"), l.textField("msg")
	at, err := time.Parse(time.RFC3339Nano, l.textField("time"))
	if err != nil {
		return false
	}
	l.Time = at
	visit(l)
	return true
}

func containsAny(raw []byte, patterns []string) bool {
	for _, t := range patterns {
		if strings.Contains(string(raw), t) {
			return true
		}
	}
	return len(patterns) == 0
}
