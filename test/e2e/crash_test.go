package e2e

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/result"
)

// crashPrompt is the text in a prompt that makes the stand-in engine exit.
const crashPrompt = "CRASH-THE-ENGINE"

func (cl *cluster) runningEngines() int {
	n := 0
	for _, e := range cl.Engines {
		if cl.processes[e.Name+"-engine"].running() {
			n++
		}
	}
	return n
}

// Guards against a request that crashes one upstream after the other, and
// against blaming the requests that run beside it. The caller retries the
// request through every entry; at most two of five engines may crash, and all
// other generations must finish.
func TestCrashingRequestKillsTwoAtMost(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 5, decodeStep: "10ms"})
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var sent atomic.Bool
	wg.Add(1)
	sendOnce := onceAfterTokens(10, func() {
		defer wg.Done()
		sent.Store(true)
		cl.sendCrashing(ctx, t)
	})
	cl.generate(40, 120, func(i int, g *generation) error {
		if err := g.stream(ctx, cl.Entries[i%2], sendOnce); err != nil {
			return err
		}
		return g.verify()
	})
	assert.Assert(t, sent.Load(), "no stream reached 10 tokens, so the crashing request was never sent")
	wg.Wait()
	assert.Assert(t, cl.runningEngines() >= len(cl.Engines)-2, "%d of %d engines are still running", cl.runningEngines(), len(cl.Engines))
}

// sendCrashing sends the request that crashes its engine six times, alternating
// between the entries.
func (cl *cluster) sendCrashing(ctx context.Context, t *testing.T) {
	for i := range 6 {
		g := &generation{prompt: "reminder " + crashPrompt, tokens: 20}
		err := g.stream(ctx, cl.Entries[i%len(cl.Entries)], nil)
		var p *apiError
		if !errors.As(err, &p) {
			t.Errorf("attempt %d: %v", i, err)
			continue
		}
		if i > 0 && p.Code != int(result.Quarantined) {
			t.Errorf("attempt %d was answered with %v, want quarantined", i, p)
		}
	}
}

// hangPrompt is the text in a prompt that makes the stand-in engine stop
// processing and answering.
const hangPrompt = "HANG-THE-ENGINE"

// stopAndCountFaults kills all engines and returns how often they crashed or
// hung before.
func (cl *cluster) stopAndCountFaults() (n int) {
	for _, e := range cl.Engines {
		p := cl.processes[e.Name+"-engine"]
		p.kill() // the log is complete once the process has ended
		n += strings.Count(p.log.String(), `"kind":"die"`) + strings.Count(p.log.String(), `"kind":"pause"`)
	}
	return n
}

// sendRepeatedly sends a request whose prompt contains the marker, alternating
// between the entries, and ignores the responses.
func (cl *cluster) sendRepeatedly(marker string, times int) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	for i := range times {
		g := &generation{prompt: "reminder " + marker, tokens: 20}
		cl.t.Logf("attempt %d: %v", i, g.stream(ctx, cl.Entries[i%len(cl.Entries)], nil))
	}
}

// Guards against a request that crashes one engine after the other because each
// engine listens again before its agent checks it. Such a crash is not confirmed,
// so three of them are needed until the request is quarantined.
func TestCrashingRequestAtEnginesThatReturnAtOnce(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 3, engineRestartDelay: time.Nanosecond})
	cl.sendRepeatedly(crashPrompt, 8)
	n := cl.stopAndCountFaults()
	assert.Assert(t, n <= 3, "engines crashed %d times, want at most 3", n)
}

// Guards against a request that hangs one engine after the other. A silent
// engine is weaker evidence than a crash, so three of them are needed until the
// request is quarantined.
func TestHangingRequestStopsThreeAtMost(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 6})
	cl.sendRepeatedly(hangPrompt, 6)
	n := cl.stopAndCountFaults()
	assert.Assert(t, n <= 3, "%d engines hung, want at most 3", n)
}
