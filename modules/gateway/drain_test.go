package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are dropped without a response during a planned stop
// under load: on connections that were briefly idle when the stop signal came, and on
// connections that were opened before the load balancer took the gateway out.
func TestStopUnderLoadDropsNoRequest(t *testing.T) {
	const callers = 60
	u := startUpstream(t, "u1", "desk", "z0", func(w http.ResponseWriter, _ *http.Request, _ int) {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	f := newFixture(t, configuration(), u)
	f.Grace, f.DrainDelay = 2*time.Second, 500*time.Millisecond
	var succeeded, dropped atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The load balancer takes the gateway out before its listener closes.
			for n := 0; time.Since(begin) < 500*time.Millisecond; n++ {
				c, err := net.Dial("tcp", f.addr)
				if err != nil {
					dropped.Add(1)
					return
				}
				for sendLookup(c, fmt.Sprint("a-", i, "-", n), &succeeded, &dropped) {
					time.Sleep(time.Duration(i%7) * time.Millisecond)
				}
				_ = c.Close()
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, f.Stop(context.Background()))
	wg.Wait()
	assert.Assert(t, succeeded.Load() > callers)
	assert.Equal(t, dropped.Load(), int64(0), "of %d", succeeded.Load())
}

// sendLookup sends one request on a connection and reports whether another may follow.
func sendLookup(c net.Conn, id string, succeeded, dropped *atomic.Int64) bool {
	_, err := io.WriteString(c, "GET /look/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: "+id+"\r\nAuthorization: Bearer secret\r\nDeadline-Ms: 1000\r\n\r\n")
	if err != nil {
		dropped.Add(1)
		return false
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		dropped.Add(1)
		return false
	}
	succeeded.Add(1)
	return !res.Close
}
