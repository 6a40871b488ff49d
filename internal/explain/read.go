// Package explain finds in the JSON logs of many processes what happened to one request
// and what its processes believed when they decided.
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

// maxLine bounds a line of a log in bytes; longer ones count as damaged.
const maxLine = 256 << 10

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Role     string
	Message  string
	// Fields are all fields of the line, the above included.
	Fields map[string]any
}

// text returns a field that is text, or nothing.
func (l *Line) textField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// number returns a field that is a number, or zero.
func (l *Line) numberField(name string) float64 {
	n, _ := l.Fields[name].(json.Number)
	f, err := n.Float64()
	if err != nil {
		return 0
	}
	return f
}

// texts returns a field that is a list of texts.
func (l *Line) textList(name string) (out []string) {
	list, _ := l.Fields[name].([]any)
	for _, v := range list {
		if s, ok := v.(string); ok {
			out = append(out, s)
		}
	}
	return out
}

// Counts tells what a log held.
type Counts struct{ Lines, Damaged int }

// read passes the lines of a log that contain one of the texts to visit, all if there is
// no text. It holds one line at a time. A line that is torn, too long or no JSON is
// counted and passed over.
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

// take decodes a line and returns false if it is damaged.
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
		return false // JSON, but no object
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
