package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/fault"
)

const (
	// bytesWindow is how long the traffic is counted.
	bytesWindow = 30 * time.Second
	// agentLimit and entryLimit bound the bytes a minute without packet headers:
	// one announcement and one watch every 2 s with room for half as much again,
	// and four changes of the configuration.
	agentLimit = 15000
	entryLimit = 8000
)

// countControl puts proxies before the control instances for one process, and
// returns a function that sums their bytes.
func (f *fleet) countControl(p *ports, name string) func() int64 {
	var all []*fault.Proxy
	for _, target := range f.Control {
		addr := p.addr(f.t)
		p.release()
		all = append(all, newProxy(f.t, addr, target))
		f.controlVia[name] = append(f.controlVia[name], addr)
	}
	return func() (sum int64) {
		for _, one := range all {
			sum += one.BytesReceived()
		}
		return sum
	}
}

// Guards against control traffic of a process that grows with the number of
// control instances, or that carries whole documents for each change.
func TestControlBytes(t *testing.T) {
	if testing.Short() {
		t.Skip("counts for half a minute")
	}
	s := shape{control: 3, entries: 1, engines: 25}
	f := emptyFleet(t, s)
	f.controlVia = map[string][]string{}
	var p ports
	agent, entry := f.countControl(&p, f.Engines[0].Name), f.countControl(&p, "entry-0")
	f.startAll(s)
	time.Sleep(5 * time.Second) // the members settle
	agentBefore, entryBefore := agent(), entry()
	begin := time.Now()
	for i := range 4 {
		assert.NilError(t, f.changeUntilAccepted(fmt.Sprintf("change-%d", i), i+1))
	}
	time.Sleep(bytesWindow - time.Since(begin))
	perMinute := func(n int64) float64 { return float64(n) / time.Since(begin).Minutes() }
	agentBytes, entryBytes := perMinute(agent()-agentBefore), perMinute(entry()-entryBefore)
	t.Logf("bytes a minute: agent %.0f, entry %.0f", agentBytes, entryBytes)
	assert.Assert(t, agentBytes < agentLimit)
	assert.Assert(t, entryBytes < entryLimit)
}
