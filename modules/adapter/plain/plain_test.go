package plain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// startService starts a raw TCP service. handle writes the response to a request;
// earlier lists the paths that the connection has carried before.
func startService(t *testing.T, handle func(c net.Conn, path string, earlier []string)) *Service {
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
				r, earlier := bufio.NewReader(c), []string(nil)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					handle(c, request.URL.Path, earlier)
					earlier = append(earlier, request.URL.Path)
				}
			}()
		}
	}()
	s := &Service{URL: "http://" + l.Addr().String(), Services: []string{"desk"}, Slots: 4, AnswerLimit: 1 << 10}
	assert.NilError(t, s.Validate())
	assert.NilError(t, s.Provision(nil))
	return s
}

func response(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against the response to an earlier call, a refusal or another caller's answer,
// that is taken for the response to the next one: the responses of plain services do not
// name their request.
func TestRepeatedResponses(t *testing.T) {
	for _, status := range []string{"503 Busy", "200 OK"} {
		for _, repeatable := range []bool{true, false} {
			for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
				t.Run(fmt.Sprint(status, repeatable, delay), func(t *testing.T) {
					s := startService(t, func(c net.Conn, path string, earlier []string) {
						for _, p := range earlier {
							_, _ = io.WriteString(c, response(status, p))
						}
						time.Sleep(delay)
						if path == "/first" {
							_, _ = io.WriteString(c, response(status, path))
							return
						}
						_, _ = io.WriteString(c, response("200 OK", path))
					})
					for i, path := range []string{"/first", "/second", "/third", "/fourth"} {
						reply, err := s.Call(t.Context(), &wire.CallArgs{Method: "POST", Path: path, Body: []byte("x"), Idempotent: repeatable})
						assert.NilError(t, err)
						assert.Equal(t, string(reply.Body), path)
						if i > 0 {
							assert.Equal(t, reply.Status, http.StatusOK)
						}
					}
				})
			}
		}
	}
}

// Guards against an incomplete response that is taken for a whole one, and against a
// failed call that is reported as not run.
func TestIncompleteResponses(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":                 "",
		"a part of the head":      "HTTP/1.1 200 OK\r\nContent-Le",
		"no response":             "hello\r\n\r\n",
		"informational only":      "HTTP/1.1 103 Early Hints\r\n\r\n",
		"a part of the body":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"a part of a chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nha",
		"chunks without an end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"a head instead of chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nHTTP/1.1 500 Error\r\n\r\n",
		"reset without a length":  "HTTP/1.1 200 OK\r\n\r\nhalf",
	} {
		for _, repeatable := range []bool{true, false} {
			t.Run(fmt.Sprint(name, repeatable), func(t *testing.T) {
				s := startService(t, func(c net.Conn, _ string, _ []string) {
					_, _ = io.WriteString(c, text)
					time.Sleep(10 * time.Millisecond)
					if strings.HasPrefix(name, "reset") {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				})
				_, err := s.Call(t.Context(), &wire.CallArgs{Method: "POST", Path: "/x", Body: []byte("x"), Idempotent: repeatable})
				assert.Assert(t, err != nil)
				assert.Assert(t, result.From(err).Ran != result.NotRun, "%v", err)
			})
		}
	}
}

// Guards against a success with an empty or short body after a service has stopped in the middle of
// its response's head, for each place at which it may stop.
func TestServiceStopsWithinItsHead(t *testing.T) {
	for _, framing := range []string{"Content-Length: 16\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + framing + "X-Last: 1\r\n\r\n"
		for cut := range len(head) {
			s := startService(t, func(c net.Conn, _ string, _ []string) {
				_, _ = io.WriteString(c, head[:cut])
				_ = c.Close()
			})
			reply, err := s.Call(t.Context(), &wire.CallArgs{Method: "POST", Path: "/x", Body: []byte("x")})
			assert.Check(t, err != nil, "%+v after %q", reply, head[:cut])
		}
	}
}
