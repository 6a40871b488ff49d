package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/fault"
)

// order has a stand-in fail in a way, now.
func (cl *cluster) injectFault(e engine, k fault.Kind) {
	res, err := http.Post("http://"+e.Addr+fault.Path, "application/json", strings.NewReader(fmt.Sprintf(`{"kind":%q}`, k)))
	if err != nil {
		cl.t.Error(err)
		return
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusAccepted {
		cl.t.Errorf("%s: status %d", k, res.StatusCode)
	}
}

// Guards against callers who are turned away, and streams that are cut, when one engine
// says that it leaves and another asks for backoff.
func TestEnginesThatLeaveOrAskForBackoff(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 3, decodeStep: "10ms"})
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	leaving, busy := cl.Engines[0], cl.Engines[1]
	injectOnce := onceAfterTokens(20, func() {
		cl.injectFault(leaving, fault.Leave)
		cl.injectFault(busy, fault.Busy)
	})
	generateOne := func(i int, c *generation) error {
		if err := c.stream(ctx, cl.Entries[i%len(cl.Entries)], injectOnce); err != nil {
			return err
		}
		return c.verify()
	}
	cl.generate(12, 60, generateOne)
	cl.generate(12, 30, generateOne)
	for i := range cl.Entries {
		eventually(t, startTimeout, "entries know what engines have said", func() error {
			r, err := cl.entryStatus(i)
			if err != nil {
				return err
			}
			for _, u := range r.Upstreams {
				want := wire.UpstreamUp
				if u.ID == leaving.Name {
					want = wire.UpstreamLeaving
				}
				if u.State != want {
					return fmt.Errorf("entry %d: %s is %v, want %v", i, u.ID, u.State, want)
				}
			}
			return nil
		})
	}
	engine := cl.processes[busy.Name+"-engine"]
	time.Sleep(2 * time.Second) // a health check finds it busy, if no request has
	engine.kill()               // its log is whole then
	log := engine.log.String()
	var first time.Time
	for _, line := range strings.Split(log, "\n") {
		if !strings.Contains(line, "turned away while busy") {
			continue
		}
		var l struct{ Time time.Time }
		assert.NilError(t, json.Unmarshal([]byte(line), &l))
		if first.IsZero() {
			first = l.Time
		}
		// What was sent before the first answer was in may still arrive.
		assert.Assert(t, l.Time.Sub(first) < inFlightTime, "the backoff was not kept:\n%s", log)
	}
	assert.Assert(t, !first.IsZero(), "nothing reached the busy engine")
}

// underWay is how long after the first answer requests may arrive that were sent before.
const inFlightTime = 500 * time.Millisecond
