package gateway

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
	"heatherway.dev/core/routing"
)

var (
	changeTime = flag.Duration("change.time", 1500*time.Millisecond, "how long TestChangesDuringAttempts runs")
	changeSeed = flag.Uint64("change.seed", 1, "seed of TestChangesDuringAttempts")
)

// changedConfiguration returns a configuration that lacks, adds or changes routes, services,
// keys and limits.
func changedConfiguration(rng *rand.Rand, version uint64) *routing.Configuration {
	c := configuration()
	c.Version = version
	for i := range c.Routes {
		r := &c.Routes[i]
		r.MaxAttempts = 1 + rng.IntN(4)
		r.Timeout = time.Duration(100+rng.IntN(900)) * time.Millisecond
		if r.Kind == routing.Stream {
			r.Timeout += 2 * time.Second
			r.Resumable = rng.IntN(4) > 0
		}
	}
	if rng.IntN(4) == 0 {
		c.Services = c.Services[1:] // without the service of the streams
		c.Routes = c.Routes[1:]
	}
	if rng.IntN(4) == 0 {
		i := rng.IntN(len(c.Routes))
		c.Routes = append(c.Routes[:i:i], c.Routes[i+1:]...)
	}
	if rng.IntN(12) == 0 {
		c.Organisations[0].Keys = []string{"another"}
	}
	c.Limits.BodyBytes = []int64{1 << 16, 1 << 16, 1 << 16, 1 << 16, 1 << 16, 2}[rng.IntN(6)]
	c.Limits.IdleTimeout = time.Duration(1+rng.IntN(400)) * time.Millisecond
	return c
}

// Guards against requests without a whole response because the configuration changes while they
// wait for the first configuration, for an upstream or for a retry, or are between two attempts:
// upstreams refuse, fail and break off, come and go, and are too few at times. Only a stream that
// has begun may break off.
func TestChangesDuringAttempts(t *testing.T) {
	var failing atomic.Bool
	failing.Store(true)
	fail := func(w http.ResponseWriter, r *http.Request, n int) bool {
		if !failing.Load() {
			return false
		}
		switch n % 40 {
		case 0:
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Retry-After", "0.1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			abort()
		case 2:
			w.WriteHeader(http.StatusMisdirectedRequest)
		case 3:
			time.Sleep(150 * time.Millisecond)
			return false
		default:
			return false
		}
		return true
	}
	var ups []*upstream
	for i := range 3 {
		ups = append(ups, startUpstream(t, fmt.Sprint("desk-", i), "desk", fmt.Sprint("z", i%2), func(w http.ResponseWriter, r *http.Request, n int) {
			if !fail(w, r, n) {
				_, _ = io.WriteString(w, "ok")
			}
		}))
		model := startUpstream(t, fmt.Sprint("model-", i), "model", fmt.Sprint("z", i%2), func(w http.ResponseWriter, r *http.Request, n int) {
			if fail(w, r, n) {
				return
			}
			for e := range 5 {
				if e == 3 && n%5 == 0 && failing.Load() {
					abort()
				}
				writeEvent(w, e)
				time.Sleep(2 * time.Millisecond)
			}
		})
		model.Slots = 2
		ups = append(ups, model)
	}
	f := newFixture(t, nil)
	end := time.Now().Add(*changeTime)
	var requests, complete, brokenOff atomic.Int64
	statuses := sync.Map{}
	var wg sync.WaitGroup
	for i := range 30 {
		rng := rand.New(rand.NewPCG(*changeSeed, uint64(i)))
		wg.Go(func() {
			var c *rawCaller
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					c = f.dial()
				}
				target := []string{"/letters/x", "/book/x", "/look/x"}[rng.IntN(3)]
				_, err := io.WriteString(c.conn, callerHead("POST", target, "HTTP/1.1", fmt.Sprintf("c%d-%d", i, n))+"Content-Length: 4\r\n\r\nbody")
				if err != nil {
					t.Errorf("%s: %v", target, err)
					return
				}
				requests.Add(1)
				res, body, err := c.receive()
				switch {
				case err == nil:
					complete.Add(1)
					count, _ := statuses.LoadOrStore(res.StatusCode, new(atomic.Int64))
					count.(*atomic.Int64).Add(1)
				case target == "/letters/x" && res != nil:
					brokenOff.Add(1)
				default:
					t.Errorf("%s: %v after %q", target, err, body)
				}
				if err != nil || res.Close {
					_ = c.conn.Close()
					c = nil
				}
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(*changeSeed, 1000))
	time.Sleep(100 * time.Millisecond) // requests wait for the first configuration
	for version := uint64(1); time.Now().Before(end); version++ {
		f.setConfiguration(changedConfiguration(rng, version))
		u := ups[rng.IntN(len(ups))]
		u.Seq++
		u.State = registration.Ready
		if rng.IntN(12) == 0 {
			u.State = registration.Draining
		}
		f.announce(u.Upstream)
		time.Sleep(time.Duration(rng.IntN(6)) * time.Millisecond)
	}
	wg.Wait()
	var list []string
	statuses.Range(func(status, n any) bool {
		list = append(list, fmt.Sprint(status, ": ", n.(*atomic.Int64).Load()))
		return true
	})
	t.Logf("%d requests, %d complete %v, %d streams broken off", requests.Load(), complete.Load(), list, brokenOff.Load())
	assert.Assert(t, complete.Load() > 100)
	assert.Equal(t, f.metrics.cutRequests.Value(), int64(0))
	assert.Equal(t, f.metrics.aborted.Value(), brokenOff.Load())
}
