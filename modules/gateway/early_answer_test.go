package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/routing"
	"heatherway.dev/heatherway/internal/response/responsetest"
)

// earlyAnswerRuns is how often each form is played. Which side of the connection gets the error
// of a reset differs between runs.
const earlyAnswerRuns = 3

// startEarlyUpstream starts an upstream that answers uploads in the given form. It answers
// reports and requests whose path ends with warm as usual.
func startEarlyUpstream(t *testing.T, service string, answer responsetest.EarlyAnswer) (*upstream, *atomic.Int64) {
	var uploads atomic.Int64
	u := startRawUpstream(t, func(c net.Conn) {
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(responsetest.HoldTime))
		for r := bufio.NewReader(c); ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if request.URL.Path == "/v1/report" || strings.HasSuffix(request.URL.Path, "warm") {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(c, strings.Replace(modelResponse(request), "text/event-stream", "text/plain", 1))
				continue
			}
			uploads.Add(1)
			body := "part of the answer"
			if service == "model" {
				body = "id: 0\ndata: x\n\nid: 1\ndata: x\n\n"
			}
			head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Header.Get("Attempt-Id") + "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
			answer.Answer(c, request, head, body)
		}
	})
	u.Service = service
	return u, &uploads
}

// uploadConfiguration allows long bodies.
func uploadConfiguration() *routing.Configuration {
	conf := configuration()
	conf.Limits.BodyBytes = 8 << 20
	conf.Routes[0].Timeout = 2 * time.Second
	return conf
}

// Guards against a part of an answer without a length that is passed on as a complete one when
// the upstream answers a long upload early and its connection breaks, and against the loss of
// early answers that are complete.
func TestEarlyAnswersToUploads(t *testing.T) {
	for name, answer := range responsetest.EarlyAnswers(rand.New(rand.NewPCG(responsetest.Seed, 0))) {
		for _, size := range responsetest.Sizes {
			for path, service := range map[string]string{"/book/": "desk", "/look/": "desk", "/letters/": "model"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%d KB%s/kept=%v", name, size>>10, path, kept), func(t *testing.T) {
						t.Parallel()
						for range earlyAnswerRuns {
							u, uploads := startEarlyUpstream(t, service, answer)
							f := newFixture(t, uploadConfiguration(), u)
							if kept {
								assert.Equal(t, f.do(f.request("POST", path+"warm", "x", "Token-Count", "800,80")).status, 200)
							}
							res := f.do(f.request("POST", path+"x", strings.Repeat("u", size), "Token-Count", "800,80"))
							if uploads.Load() == 0 { // on a busy machine the time to connect may be exceeded
								assert.Equal(t, res.status, 503, "%s", res.body)
								continue
							}
							if answer.Whole {
								assert.NilError(t, res.err)
								assert.Equal(t, res.status, 200, "%s", res.body)
								continue
							}
							assert.Assert(t, res.err != nil || res.status == 502 || res.status == 504, "status %d, body %q", res.status, res.body)
						}
					})
				}
			}
		}
	}
}

// Guards against an answer without a length whose end arrives while the upstream takes no more
// of the upload: it must not look complete, and the caller must not wait for its deadline.
func TestEarlyEndWhileUploadStalls(t *testing.T) {
	for path, service := range map[string]string{"/book/": "desk", "/look/": "desk", "/letters/": "model"} {
		t.Run(path, func(t *testing.T) {
			conf := uploadConfiguration()
			for i := range conf.Routes {
				conf.Routes[i].Timeout, conf.Routes[i].MaxAttempts = 4*time.Second, 1
			}
			u, uploads := startEarlyUpstream(t, service, responsetest.StalledEnd())
			f := newFixture(t, conf, u)
			res := f.do(f.request("POST", path+"x", strings.Repeat("u", 7<<20), "Token-Count", "800,80"))
			assert.Equal(t, uploads.Load(), int64(1))
			assert.Assert(t, res.err != nil || res.status == 502, "status %d, body %q", res.status, res.body)
			assert.Assert(t, res.took < responsetest.HoldTime-500*time.Millisecond, "took %v", res.took)
		})
	}
}
