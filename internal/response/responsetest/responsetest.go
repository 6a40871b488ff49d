// Package responsetest has forms of responses that tests play against each reader of responses.
package responsetest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// Seed makes the delays of the forms reproducible.
	Seed = 47
	// HoldTime limits how long a fake keeps a connection that it no longer reads.
	HoldTime = 2 * time.Second
	// maxPause is longer than an upload of some megabytes over the loopback interface.
	maxPause = 8 * time.Millisecond
)

// Sizes are the sizes of uploads: less than the buffers of a loopback connection, about as much,
// and more.
var Sizes = []int{64 << 10, 900 << 10, 4 << 20}

// StatusLines are the first lines of responses, and whether a response with that line is an
// answer.
var StatusLines = map[string]bool{
	"HTTP/1.1 000 OK":                        false,
	"HTTP/1.1 099 OK":                        false,
	"HTTP/1.1 600 OK":                        false,
	"HTTP/1.1 999 OK":                        false,
	"HTTP/1.1 101 Switching Protocols":       false,
	"HTTP/1.1 199 OK":                        false,
	"HTTP/1.1 20 OK":                         false,
	"HTTP/1.1 2000 OK":                       false,
	"HTTP/1.1 +20 OK":                        false,
	"HTTP/1.1 +200 OK":                       false,
	"HTTP/1.1 -20 OK":                        false,
	"HTTP/1.1 -00 OK":                        false,
	"HTTP/1.1 2e2 OK":                        false,
	"HTTP/1.1 0x2 OK":                        false,
	"HTTP/1.1 ２００ OK":                        false,
	"HTTP/1.1 OK":                            false,
	"HTTP/1.1":                               false,
	"HTTP/0.9 200 OK":                        false,
	"HTTP/2.0 200 OK":                        false,
	"HTTP/3.7 200 OK":                        false,
	"HTTP/11 200 OK":                         false,
	"http/1.1 200 OK":                        false,
	"ICY 200 OK":                             false,
	"200 OK":                                 false,
	"HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK":     false,
	"HTTP/1.1 200 OK\r\nHTTP/1.1 503 a: b":   false,
	"HTTP/1.1 200 HTTP/1.1 000 OK":           false,
	"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK": false,
	"HTTP/1.1 099 OK\r\n\r\nHTTP/1.1 200 OK": false,
	"HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK": false,
	"HTTP/1.1 101 OK\r\n\r\nHTTP/1.1 200 OK": false,
	"HTTP/1.1 102 OK\r\n\r\nHTTP/1.1 000 OK": false,

	"HTTP/1.1 200 OK":                        true,
	"HTTP/1.0 200 OK":                        true,
	"HTTP/1.1 200 ":                          true,
	"HTTP/1.1 200":                           true,
	"HTTP/1.1 299 Odd":                       true,
	"HTTP/1.1 404 Not Found":                 true,
	"HTTP/1.1 599 Odd":                       true,
	"HTTP/1.1 102 OK\r\n\r\nHTTP/1.1 200 OK": true,
	"HTTP/1.1 199 OK\r\n\r\nHTTP/1.1 200 OK": true,
}

// Serve accepts connections on the loopback interface until the test ends, and returns their
// address.
func Serve(t *testing.T, handle func(net.Conn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(HoldTime))
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Exchange is the connection of an upstream that has read only the header of a request.
type Exchange struct {
	*net.TCPConn
	// Body is the part of the request that has not been read.
	Body io.Reader
	// Size is the length of the request's body.
	Size int64
}

func (x *Exchange) reset() {
	_ = x.SetLinger(0)
	_ = x.Close()
}

func (x *Exchange) readAll() { _, _ = io.Copy(io.Discard, x.Body) }

// readSlowly reads the rest of the request with pauses.
func (x *Exchange) readSlowly() {
	for range 4 {
		_, _ = io.CopyN(io.Discard, x.Body, x.Size/4+1)
		time.Sleep(2 * time.Millisecond)
	}
}

// EarlyAnswer is a form of an answer that an upstream gives before it has read the request.
type EarlyAnswer struct {
	// Whole is set if the answer is complete. Otherwise it must not look so.
	Whole bool
	// Framing returns the end of the header and the bytes of a body.
	Framing func(body string) string
	// End ends the connection after the answer was written.
	End func(*Exchange)
}

// Answer answers a request of which only the header was read. head ends after a field.
func (a EarlyAnswer) Answer(c net.Conn, r *http.Request, head, body string) {
	_, _ = io.WriteString(c, head+a.Framing(body))
	a.End(&Exchange{c.(*net.TCPConn), r.Body, r.ContentLength})
}

// AnswerFirst reads the header of one request on a connection and answers it.
func (a EarlyAnswer) AnswerFirst(c net.Conn, head, body string) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		a.Answer(c, r, head, body)
	}
}

// UntilEnd is the framing of a body that ends with its connection.
func UntilEnd(body string) string { return "\r\n" + body }

func withLength(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func inChunks(body string) string {
	return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// EarlyAnswers returns the forms by name. The delays are at random.
func EarlyAnswers(rng *rand.Rand) map[string]EarlyAnswer {
	noBody := func(string) string { return "\r\n" }
	partOfLength := func(body string) string { return strings.TrimSuffix(withLength(body+"more"), "more") }
	partOfChunks := func(body string) string { return strings.TrimSuffix(inChunks(body), "0\r\n\r\n") }
	pause := time.Duration(rng.Int64N(int64(maxPause)))
	return map[string]EarlyAnswer{
		"head, reset":               {false, noBody, (*Exchange).reset},
		"part, reset":               {false, UntilEnd, (*Exchange).reset},
		"part, delay, reset":        {false, UntilEnd, func(x *Exchange) { time.Sleep(pause); x.reset() }},
		"part, half read, reset":    {false, UntilEnd, func(x *Exchange) { _, _ = io.CopyN(io.Discard, x.Body, x.Size/2); x.reset() }},
		"part, close unread":        {false, UntilEnd, func(x *Exchange) { time.Sleep(pause); _ = x.Close() }},
		"part of a length, reset":   {false, partOfLength, (*Exchange).reset},
		"part of the chunks, reset": {false, partOfChunks, (*Exchange).reset},

		"length, reset":            {true, withLength, func(x *Exchange) { time.Sleep(pause); x.reset() }},
		"chunks, reset":            {true, inChunks, func(x *Exchange) { time.Sleep(pause); x.reset() }},
		"read, then end":           {true, UntilEnd, func(x *Exchange) { x.readAll(); _ = x.Close() }},
		"end, then read":           {true, UntilEnd, func(x *Exchange) { _ = x.CloseWrite(); x.readAll(); _ = x.Close() }},
		"end, delay, then read":    {true, UntilEnd, func(x *Exchange) { _ = x.CloseWrite(); time.Sleep(pause); x.readAll(); _ = x.Close() }},
		"length, read on, kept":    {true, withLength, (*Exchange).readAll},
		"read in parts, then end":  {true, UntilEnd, func(x *Exchange) { x.readSlowly(); _ = x.Close() }},
		"chunks, read in the rest": {true, inChunks, (*Exchange).readSlowly},
	}
}

// StalledEnd ends its answer without a length and reads nothing of the request.
func StalledEnd() EarlyAnswer {
	return EarlyAnswer{false, UntilEnd, func(x *Exchange) { _ = x.CloseWrite(); time.Sleep(HoldTime); x.reset() }}
}
