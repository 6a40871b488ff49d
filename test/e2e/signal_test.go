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

// injectFault makes a stand-in fail in the given way immediately.
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

// Guards against refused requests and broken streams when one engine announces
// that it leaves and another one asks for backoff.
func TestEnginesThatLeaveOrAskForBackoff(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 3, decodeStep: "10ms"})
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	leaving, busy := cl.Engines[0], cl.Engines[1]
	injectOnce := onceAfterTokens(20, func() {
		cl.injectFault(leaving, fault.Leave)
		cl.injectFault(busy, fault.Busy)
	})
	generateOne := func(i int, g *generation) error {
		if err := g.stream(ctx, cl.Entries[i%len(cl.Entries)], injectOnce); err != nil {
			return err
		}
		return g.verify()
	}
	cl.generate(12, 60, generateOne)
	cl.generate(12, 30, generateOne)
	for i := range cl.Entries {
		eventually(t, startTimeout, "entries know the state of the engines", func() error {
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
	time.Sleep(2 * time.Second) // a health check gets the busy response even if no request does
	engine.kill()               // the log is complete once the process has ended
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
		// Requests sent before the first busy response arrived may still come in.
		assert.Assert(t, l.Time.Sub(first) < inFlightTime, "the engine got requests during its backoff:\n%s", log)
	}
	assert.Assert(t, !first.IsZero(), "no request reached the busy engine")
}

// inFlightTime is how long after the first busy response requests may arrive
// that were sent before it.
const inFlightTime = 500 * time.Millisecond
