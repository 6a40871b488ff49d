package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// keptConnections are callers that send their next request on a kept connection after a
// random time, and note what became of each.
type keptConnections struct {
	mu         sync.Mutex
	answered   int
	unanswered []string // ids of requests whose connection ended without a response
}

// send sends a request and reports whether the connection may carry another one.
func (k *keptConnections) send(c net.Conn, r *bufio.Reader, id string) bool {
	_, err := io.WriteString(c, "POST /look/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nAttempt-Id: "+id+"\r\nAuthorization: Bearer secret\r\nDeadline-Ms: 5000\r\n\r\nbody")
	var res *http.Response
	if err == nil {
		res, err = http.ReadResponse(r, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.unanswered = append(k.unanswered, id)
		return false
	}
	k.answered++
	return !res.Close
}

// run keeps one connection after another open until the end, with pause() between
// the response and the next request.
func (k *keptConnections) run(addr, name string, end time.Time, pause func() time.Duration) {
	for n := 0; time.Now().Before(end); {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		for r, open := bufio.NewReader(c), true; open && time.Now().Before(end); n++ {
			open = k.send(c, r, fmt.Sprint(name, "-", n))
			time.Sleep(pause())
		}
		_ = c.Close()
	}
}

// lost returns the requests that reached an upstream but got no response.
func (k *keptConnections) lost(u *upstream) (ids []string) {
	ran := map[string]bool{}
	for _, r := range u.requests() {
		ran[r.header.Get("Attempt-Id")] = true
	}
	for _, id := range k.unanswered {
		if ran[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against a connection that is closed as idle while a request arrives on it: the
// request reaches an upstream and its caller gets no response.
func TestIdleTimeoutLosesNoRequest(t *testing.T) {
	const callers, seed, limit = 64, 28, 5 * time.Millisecond
	c := configuration()
	c.Limits.IdleTimeout = limit
	u := startUpstream(t, "u1", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "ok") })
	f := newFixture(t, c, u)
	k := &keptConnections{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			k.run(f.addr, fmt.Sprint("caller-", i), time.Now().Add(2*time.Second), func() time.Duration {
				return limit - time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Millisecond)))
			})
		})
	}
	wg.Wait()
	lost := k.lost(u)
	t.Logf("%d requests answered, %d without a response, %d of those had reached the upstream", k.answered, len(k.unanswered), len(lost))
	t.Logf("gateway: %d responses not delivered, %d connections closed under a request", f.metrics.undelivered.Value(), f.metrics.cutRequests.Value())
	assert.Assert(t, k.answered > callers)
	assert.Equal(t, len(lost), 0, "%v", lost)
}

// splitRequest sends the first bytes of a request on a kept connection, calls between, and
// sends the rest; it returns the response.
func splitRequest(t *testing.T, c net.Conn, r *bufio.Reader, between func()) *http.Response {
	t.Helper()
	const request = "GET /look/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: split\r\nAuthorization: Bearer secret\r\n\r\n"
	_, err := io.WriteString(c, request[:20])
	assert.NilError(t, err)
	between()
	_, err = io.WriteString(c, request[20:])
	assert.NilError(t, err)
	res, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)
	return res
}

// keptConnection returns a connection that has carried one request.
func keptConnection(t *testing.T, f *fixture) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	r := bufio.NewReader(c)
	assert.Assert(t, (&keptConnections{}).send(c, r, "first"))
	return c, r
}

// Guards against a connection that is closed as idle although the first bytes of a request
// have arrived in time.
func TestFirstByteEndsTheIdleTime(t *testing.T) {
	c := configuration()
	c.Limits.IdleTimeout = 50 * time.Millisecond
	u := startUpstream(t, "u1", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "ok") })
	f := newFixture(t, c, u)
	conn, r := keptConnection(t, f)
	res := splitRequest(t, conn, r, func() { time.Sleep(4 * c.Limits.IdleTimeout) })
	assert.Equal(t, res.StatusCode, http.StatusOK)
}

// Guards against a stop that closes a kept connection on which a request has begun to
// arrive.
func TestStopAnswersRequestsThatHaveBegunToArrive(t *testing.T) {
	u := startUpstream(t, "u1", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "ok") })
	f := newFixture(t, configuration(), u)
	f.Grace, f.DrainDelay = 3*time.Second, 50*time.Millisecond
	conn, r := keptConnection(t, f)
	stopped := make(chan error, 1)
	res := splitRequest(t, conn, r, func() {
		go func() { stopped <- f.Stop(t.Context()) }()
		time.Sleep(6 * f.DrainDelay)
	})
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Assert(t, res.Close)
	assert.NilError(t, <-stopped)
}
