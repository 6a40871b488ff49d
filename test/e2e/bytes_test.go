package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/fault"
)

const (
	// measureTime is the period over which the traffic is counted.
	measureTime = 30 * time.Second
	// maxAgentBytesPerMinute and maxEntryBytesPerMinute limit the control traffic
	// of one process, packet headers not counted: one announcement and one watch
	// every 2 s plus half as much for headroom, and four configuration changes.
	maxAgentBytesPerMinute = 15000
	maxEntryBytesPerMinute = 8000
)

// proxyControl places a proxy between one process and each control instance,
// and returns a function that sums the bytes transferred through them.
func (cl *cluster) proxyControl(p *ports, name string) func() int64 {
	var proxies []*fault.Proxy
	for _, target := range cl.Control {
		addr := p.addr(cl.t)
		p.release()
		proxies = append(proxies, newProxy(cl.t, addr, target))
		cl.controlProxyAddrs[name] = append(cl.controlProxyAddrs[name], addr)
	}
	return func() (sum int64) {
		for _, proxy := range proxies {
			sum += proxy.BytesReceived()
		}
		return sum
	}
}

// Guards against control traffic per process that grows with the number of
// control instances, or that sends the whole configuration for each change.
func TestControlBytes(t *testing.T) {
	if testing.Short() {
		t.Skip("measures traffic for 30 s")
	}
	spec := clusterSpec{control: 3, entries: 1, engines: 25}
	cl := newCluster(t, spec)
	cl.controlProxyAddrs = map[string][]string{}
	var reserved ports
	agentBytesTotal, entryBytesTotal := cl.proxyControl(&reserved, cl.Engines[0].Name), cl.proxyControl(&reserved, "entry-0")
	cl.startProcesses(spec)
	time.Sleep(5 * time.Second) // membership must be stable before the measurement
	agentBefore, entryBefore := agentBytesTotal(), entryBytesTotal()
	begin := time.Now()
	for i := range 4 {
		assert.NilError(t, cl.changeUntilAccepted(fmt.Sprintf("change-%d", i), i+1))
	}
	time.Sleep(measureTime - time.Since(begin))
	perMinute := func(n int64) float64 { return float64(n) / time.Since(begin).Minutes() }
	agentRate, entryRate := perMinute(agentBytesTotal()-agentBefore), perMinute(entryBytesTotal()-entryBefore)
	t.Logf("control traffic in bytes per minute: agent %.0f, entry %.0f", agentRate, entryRate)
	assert.Assert(t, agentRate < maxAgentBytesPerMinute)
	assert.Assert(t, entryRate < maxEntryBytesPerMinute)
}
