package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/response/responsetest"
)

// startStatusUpstream starts an upstream whose responses begin with the given line. Its reports
// are as usual. It counts the requests of callers.
func startStatusUpstream(t *testing.T, service, line, framing string, sent *atomic.Int64) *upstream {
	u := startRawUpstream(t, func(c net.Conn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.URL.Path == "/v1/report" || strings.HasSuffix(request.URL.Path, "warm") {
				_, _ = io.WriteString(c, strings.Replace(modelResponse(request), "text/event-stream", "text/plain", 1))
				continue
			}
			sent.Add(1)
			body := "id: 0\ndata: x\n\n"
			_, _ = fmt.Fprintf(c, "%s\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n%s\r\n%s", line, request.Header.Get("Attempt-Id"), framing, body)
			if framing == "" {
				return
			}
		}
	})
	u.Service = service
	return u
}

// Guards against a response whose status is not a final one, or that is no response of HTTP/1,
// which reaches the caller as an answer, or after which a call that may run once is repeated.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for line, valid := range responsetest.StatusLines {
		for _, framing := range []string{"Content-Length: 15\r\n", ""} {
			for path, service := range map[string]string{"/book/": "desk", "/look/": "desk", "/letters/": "model"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%q%s%q/kept=%v", line, path, framing, kept), func(t *testing.T) {
						t.Parallel()
						var sent atomic.Int64
						conf := configuration()
						conf.Routes[0].Timeout, conf.Routes[1].MaxAttempts = time.Second, 3
						first := startStatusUpstream(t, service, line, framing, &sent)
						second := startStatusUpstream(t, service, line, framing, &sent)
						second.ID = "u2"
						f := newFixture(t, conf, first, second)
						if kept {
							assert.Equal(t, f.do(f.request("POST", path+"warm", "x", "Token-Count", "800,80")).status, 200)
						}
						res := f.do(f.request("POST", path+"x", "x", "Token-Count", "800,80"))
						assert.NilError(t, res.err)
						if path == "/book/" {
							assert.Equal(t, sent.Load(), int64(1))
						}
						if valid && (path != "/letters/" || !strings.Contains(line, " 5")) { // a stream is repeated after a 5xx
							assert.Equal(t, res.header.Get("Response-Seal"), "s", "status %d, body %q", res.status, res.body)
							return
						}
						assert.Equal(t, res.header.Get("Response-Seal"), "", "status %d, body %q", res.status, res.body)
						assert.Equal(t, res.status, 502, "body %q", res.body)
					})
				}
			}
		}
	}
}

// Guards against a report with a status that is not a final one, from which a load would be
// recorded.
func TestMalformedStatusOfReport(t *testing.T) {
	for line, valid := range responsetest.StatusLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			u := startRawUpstream(t, func(c net.Conn) {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = fmt.Fprintf(c, "%s\r\nContent-Length: %d\r\n\r\n%s", line, len(emptyReport), emptyReport)
				}
			})
			f := newFixture(t, configuration(), u)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err := f.callUpstream(ctx, u.Upstream, f.dialect.ReportCall(), nil)
			if valid && strings.Contains(line, " 200") {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, err != nil)
		})
	}
}
