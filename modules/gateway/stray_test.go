package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

const emptyReport = `{"Queued":0,"Running":0,"KvUsed":0,"Runs":[]}`

// modelResponse returns a model server's response to a request: a report, or a stream
// of three events.
func modelResponse(request *http.Request) string {
	if request.URL.Path == "/v1/report" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(emptyReport), emptyReport)
	}
	body := "id: 0\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Attempt-Id"), len(body), body)
}

// repeatPreviousResponse responds to each request; before each further response on the
// connection it sends the previous one again.
func repeatPreviousResponse(streams *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for previous := ""; ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.URL.Path != "/v1/report" {
				streams.Add(1)
			}
			response := modelResponse(request)
			_, _ = io.WriteString(c, previous+response)
			previous = response
		}
	}
}

// Guards against a duplicate response on a reused connection when one of the two
// responses belongs to a call of the gateway itself and has no request ID: it was taken
// for the response to the next caller, and the prompt was processed again.
func TestLateResponsesAmongReports(t *testing.T) {
	var streams atomic.Int64
	u := startRawUpstream(t, repeatPreviousResponse(&streams))
	u.Service = "model"
	other := startRawUpstream(t, repeatPreviousResponse(&streams))
	other.Service, other.ID = "model", "u2"
	f := newFixture(t, configuration(), u, other)
	const requests = 30
	for i := range requests {
		res := f.doStream()
		assert.Equal(t, res.status, 200, "request %d", i)
		assert.DeepEqual(t, receivedIDs(res.body), []string{"0", "1", "2"})
	}
	assert.Equal(t, streams.Load(), int64(requests), "each request was sent once")
}

// Guards against mishandling a lost response of an at-most-once call: the call has run
// or may have, so it must neither be sent again nor be reported as not run.
func TestLostResponseOfAtMostOnceCall(t *testing.T) {
	sealed := "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: s\r\n"
	for name, response := range map[string]string{
		"nothing, closed":           "",
		"part of the status line":   "HTTP/1.",
		"part of the header":        sealed,
		"part of the body":          sealed + "Content-Length: 100\r\n\r\nhalf",
		"open end of a chunk":       sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo",
		"another's response":        "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok",
		"another's refusal":         "HTTP/1.1 503 Busy\r\nAttempt-Id: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"no seal":                   "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"a refusal without Not-Run": "HTTP/1.1 503 Busy\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n",
		"too many without Not-Run":  "HTTP/1.1 429 Busy\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", silent=", silent), func(t *testing.T) {
				var sent atomic.Int64
				var ups []*upstream
				for i := range 3 {
					u := startRawUpstream(t, func(c net.Conn) {
						defer c.Close()
						request, err := http.ReadRequest(bufio.NewReader(c))
						if err != nil {
							return
						}
						sent.Add(1)
						_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", request.Header.Get("Attempt-Id")))
						if silent {
							time.Sleep(time.Second)
						}
					})
					u.ID = fmt.Sprint("u", i)
					ups = append(ups, u)
				}
				conf := configuration()
				conf.Routes[1].MaxAttempts, conf.Routes[1].Timeout = 3, 300*time.Millisecond
				f := newFixture(t, conf, ups...)
				res := f.do(f.request("POST", "/book/x", "order"))
				assert.NilError(t, res.err)
				assert.Assert(t, res.status == 502 || res.status == 504, "status %d", res.status)
				assert.Equal(t, res.header.Get("Response-Seal"), "")
				assert.Equal(t, sent.Load(), int64(1))
			})
		}
	}
}

// Guards against requests that are restarted elsewhere or aborted because their
// upstream did not reach the control instances for a while.
func TestRequestsContinueAtUpstreamReportedLost(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request, _ int) {
		for i := range 6 {
			if r.URL.Path == "/letters/x" {
				writeEvent(w, i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	model, desk := startUpstream(t, "u1", "model", "z0", slow), startUpstream(t, "u2", "desk", "z0", slow)
	otherModel, otherDesk := startUpstream(t, "u3", "model", "z1", slow), startUpstream(t, "u4", "desk", "z1", slow)
	f := newFixture(t, configuration(), model, desk)
	responses := make(chan callerResponse, 3)
	for _, path := range []string{"/letters/x", "/book/x", "/look/x"} {
		r := f.request("POST", path, "x")
		go func() { responses <- f.do(r) }()
	}
	time.Sleep(100 * time.Millisecond)
	for _, u := range []*upstream{model, desk} {
		lost := u.Upstream
		lost.Seq, lost.State = 2, registration.Lost
		f.announce(lost)
	}
	f.announce(otherModel.Upstream)
	f.announce(otherDesk.Upstream)
	for range 3 {
		res := <-responses
		assert.NilError(t, res.err)
		assert.Equal(t, res.status, 200)
	}
	assert.Equal(t, len(model.requests()), 1)
	assert.Equal(t, len(desk.requests())+len(otherDesk.requests()), 3, "an at-most-once call, an idempotent call and its hedge")
	assert.Equal(t, len(otherModel.requests()), 0)
}
