package soak

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	stepFilter = flag.String("soak.step", "", "prefix of the names of the cases of a gateway out of step to run, or all; the short list by default")
	stepSeeds  = flag.Uint64("soak.step.seeds", 1, "seeds of each case of a gateway out of step, from soak.first on")
)

const (
	// stepTime is how long the gateway is out of step, and stepRest how long callers go on after it.
	stepTime = 5 * time.Second
	stepRest = 2500 * time.Millisecond
	// maxRefusalTime bounds the refusal of a take-up at a gateway that runs: an election, and the
	// time in which a caller gives a stream up.
	maxRefusalTime = 2 * time.Second
	// versionUnavailable is the code of a take-up whose version is not known or gone.
	versionUnavailable = 5044
)

// stepCase describes how gateway 0 falls out of step while servers of a newer version join.
type stepCase struct {
	name string
	// cut and cutLeader disconnect the gateway from all control instances or from the leader of the
	// ledger of versions only.
	cut, cutLeader bool
	// freeze stops the gateway for a time, again and again with a pause between.
	freeze, pause time.Duration
	// inPlace restarts the servers without notice, under their IDs.
	inPlace     bool
	inShortList bool
}

var stepCases = []stepCase{
	{name: "frozen", freeze: stepTime, inShortList: true},
	{name: "cut off", cut: true, inShortList: true},
	{name: "cut off from the leader", cutLeader: true},
	{name: "frozen and cut off", cut: true, freeze: 1500 * time.Millisecond, pause: stepTime},
	{name: "restarted in place", inPlace: true, inShortList: true},
	{name: "frozen in turns", freeze: 600 * time.Millisecond, pause: 100 * time.Millisecond},
	{name: "frozen in turns and cut off from the leader", cutLeader: true, freeze: 600 * time.Millisecond, pause: 100 * time.Millisecond},
}

// registryLink forwards the connections of one gateway to one control instance. It replaces the
// addresses that replies name by those of links, so that the gateway reaches no instance directly.
type registryLink struct {
	target string
	cut    atomic.Bool
}

// linkAddr returns the address of the link to an address. Both are equally long, since replies state
// the length of a text.
func linkAddr(addr string) string { return strings.Replace(addr, directPrefix(), linkPrefix(), 1) }

func directPrefix() string { return fmt.Sprintf("127.%d.5", network()) }
func linkPrefix() string   { return fmt.Sprintf("127.%d.9", network()) }

func newRegistryLink(t *testing.T, p *process) *registryLink {
	r := &registryLink{target: p.addr(peerPort)}
	l, err := net.Listen("tcp", linkAddr(r.target))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.connect(c)
		}
	}()
	return r
}

func (r *registryLink) connect(c net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go r.forward(c, target, "", "")
	r.forward(target, c, directPrefix(), linkPrefix())
}

// forward copies one direction. While the link is cut, bytes are late, as those that TCP sends again.
func (r *registryLink) forward(from, to net.Conn, old, replacement string) {
	defer from.Close()
	defer to.Close()
	b, held := make([]byte, 64<<10), 0
	for {
		if held > 0 { // the beginning of an address may be another text that ends here
			_ = from.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		}
		n, err := from.Read(b[held:])
		_ = from.SetReadDeadline(time.Time{})
		for r.cut.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		out := b[:held+n]
		if old != "" {
			copy(out, bytes.ReplaceAll(out, []byte(old), []byte(replacement)))
		}
		held = 0
		if err == nil {
			held = heldBytes(out, old)
		}
		if _, writeErr := to.Write(out[:len(out)-held]); writeErr != nil || err != nil && !os.IsTimeout(err) {
			return
		}
		copy(b, out[len(out)-held:])
	}
}

// heldBytes returns how many bytes at the end of b may begin an address that continues in the next read.
func heldBytes(b []byte, address string) int {
	for n := min(len(address)-1, len(b)); n > 0; n-- {
		if strings.HasPrefix(address, string(b[len(b)-n:])) {
			return n
		}
	}
	return 0
}

// linkGateway restarts a gateway behind links to the control instances.
func (sys *testSystem) linkGateway(g *process) []*registryLink {
	var links []*registryLink
	var seeds []string
	for _, p := range sys.registries {
		links = append(links, newRegistryLink(sys.t, p))
		seeds = append(seeds, linkAddr(p.addr(operatorPort)))
	}
	g.writeSettings("z0", seeds, false)
	g.kill()
	g.start()
	sys.eventually("linked gateway ready", 10*time.Second, sys.gatewaysReady)
	return links
}

// ledgerLeader returns the index of the control instance that leads the ledger of versions, by the
// newest line of the logs.
func (sys *testSystem) ledgerLeader() int { return sys.leaderOf(1) }

// leaderOf is ledgerLeader for any group of the log.
func (sys *testSystem) leaderOf(group int) int {
	leader, newest := 0, uint64(0)
	for i, p := range sys.registries {
		b, err := os.ReadFile(filepath.Join(p.folder, "log.jsonl"))
		assert.NilError(sys.t, err)
		for line := range bytes.Lines(b) {
			var entry struct {
				Msg, Leader string
				Group       int
				Term        uint64
			}
			if json.Unmarshal(line, &entry) == nil && entry.Msg == "leader changed" && entry.Group == group && entry.Leader == p.addr(peerPort) && entry.Term > newest {
				leader, newest = i, entry.Term
			}
		}
	}
	assert.Check(sys.t, newest > 0, "no line names the leader")
	return leader
}

// restartInPlace restarts a server without notice at another version, with the ID that it had.
func (s *server) restartInPlace(version string) {
	s.crash(false)
	s.mu.Lock()
	s.version, s.keepsID = version, true
	s.mu.Unlock()
	s.restart()
}

// putOutOfStep lets gateway 0 fall out of step until stop.
func (sys *testSystem) putOutOfStep(c stepCase, links []*registryLink, stop time.Time) {
	leader := sys.ledgerLeader()
	for i, l := range links {
		l.cut.Store(c.cut || c.cutLeader && i == leader)
	}
	for c.freeze > 0 && time.Now().Before(stop) {
		sys.gateways[0].signal(syscall.SIGSTOP)
		time.Sleep(min(c.freeze, time.Until(stop)))
		sys.gateways[0].signal(syscall.SIGCONT)
		time.Sleep(min(c.pause, time.Until(stop)))
	}
	time.Sleep(time.Until(stop))
	for _, l := range links {
		l.cut.Store(false)
	}
}

// Guards against a take-up that goes on at another version at a gateway that does not know of the join
// of the version that began the stream, and against refusals that are late or name no cause.
func TestGatewayOutOfStepDuringARelease(t *testing.T) {
	for _, c := range stepCases {
		if *stepFilter == "" && !c.inShortList || *stepFilter != "all" && !strings.HasPrefix(c.name, *stepFilter) {
			continue
		}
		for i := range *stepSeeds {
			t.Run(fmt.Sprint(c.name, " seed ", *firstSeed+i), func(t *testing.T) {
				t.Parallel()
				runStepCase(t, c, *firstSeed+i)
			})
		}
	}
}

// stepPlay is one run of a case.
type stepPlay struct {
	versionPlay
	freezes   bool
	outOfStep atomic.Bool
	// there and thereGoneOn count the take-ups at gateway 0 while it is out of step.
	there, thereGoneOn atomic.Int64
}

func runStepCase(t *testing.T, c stepCase, seed uint64) {
	sys := newTestSystem(t, seed, 3, 4, versionModelServers)
	sys.eventInterval.Store(int64(50 * time.Millisecond))
	sys.waitUntilReady()
	sys.faultsEnded.Store(true) // servers refuse nothing at random
	links := sys.linkGateway(sys.gateways[0])
	p := &stepPlay{versionPlay: versionPlay{versionCase: versionCase{name: c.name}, sys: sys}, freezes: c.freeze > 0}
	begin := time.Now().Add(1500 * time.Millisecond)
	end := begin.Add(stepTime + stepRest)
	var wg sync.WaitGroup
	for i := range 16 {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
		wg.Go(func() {
			for time.Now().Before(end) {
				p.stream(rng)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(begin))
	p.outOfStep.Store(true)
	wg.Go(func() {
		time.Sleep(200 * time.Millisecond)
		if !c.inPlace {
			sys.updateAll(1, 2, "v2")
			return
		}
		for i := 1; i < versionModelServers; i += 2 {
			sys.servers[i].restartInPlace("v2")
		}
	})
	sys.putOutOfStep(c, links, begin.Add(stepTime))
	p.outOfStep.Store(false)
	wg.Wait()
	t.Logf("%s | seed %d | two versions %d, whole %d | new %d, begun %d | taken up %d, gone on %d | there meanwhile %d, gone on %d | %v",
		p.name, seed, p.mixed, p.whole, p.newStreams, p.begun, p.takeUps, p.goneOn, p.there.Load(), p.thereGoneOn.Load(), p.examples)
	assert.Check(t, p.mixed == 0, "%d streams hold events of two versions, for example %v", p.mixed, p.examples)
	assert.Check(t, p.whole > 0)
	assert.Check(t, p.takeUps >= minTakeUps)
	assert.Check(t, 2*p.goneOn*p.newStreams >= p.begun*p.takeUps, "%d of %d take-ups went on, %d of %d new streams began", p.goneOn, p.takeUps, p.begun, p.newStreams)
	sys.checkRefusedNotRun()
	assert.Check(t, len(sys.violations) == 0, "%v", sys.violations[:min(len(sys.violations), 10)])
}

// stream plays one stream of a caller whose connection breaks after some events, and who takes the
// stream up, half of the time at gateway 0.
func (p *stepPlay) stream(rng *rand.Rand) {
	first := fmt.Sprintf("%d-%d", p.sys.seed, p.sys.attempts.Add(1))
	gateway, last, versions := rng.IntN(len(p.sys.gateways)), -1, map[string]bool{}
	for try := range maxTakeUps + 1 {
		id, until := first, 1+rng.IntN(6)
		if try > 0 {
			id, until = fmt.Sprint(first, retrySuffix, try), eventCount(first)
			gateway = rng.IntN(len(p.sys.gateways)) * rng.IntN(2)
		}
		before := last
		there := try > 0 && gateway == 0 && p.outOfStep.Load()
		complete := p.attempt(p.newClient(id), gateway, first, id, &last, versions, until)
		goneOn := last > before || complete
		if there {
			p.there.Add(1)
			if goneOn {
				p.thereGoneOn.Add(1)
			}
		}
		p.count(try, goneOn)
		if complete || last < 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.end(first, last, versions)
}

// newClient returns a client with a connection of its own, which checks refusals.
func (p *stepPlay) newClient(id string) *http.Client {
	transport := &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: 2500 * time.Millisecond}
	return &http.Client{Timeout: 9 * time.Second, Transport: refusalChecker{p, transport, id}}
}

// refusalChecker checks that a refused take-up names its cause and a time to come back in.
type refusalChecker struct {
	play *stepPlay
	next http.RoundTripper
	id   string
}

// RoundTrip implements http.RoundTripper.
func (c refusalChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	start, frozen := time.Now(), c.play.freezes && c.play.outOfStep.Load()
	res, err := c.next.RoundTrip(r)
	if err != nil || res.StatusCode == http.StatusOK || r.Header.Get("Resumes") == "" {
		return res, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !strings.Contains(string(body), fmt.Sprint(versionUnavailable)) {
		c.play.sys.reportViolation("REFUSAL: %s got %d, Retry-After %q: %s", c.id, res.StatusCode, res.Header.Get("Retry-After"), body)
	}
	if took := time.Since(start); took > maxRefusalTime && !frozen {
		c.play.sys.reportViolation("REFUSAL: %s was refused after %v", c.id, took)
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res, nil
}
