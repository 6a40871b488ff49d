package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var rolloutFilter = flag.String("soak.rollouts", "", "roll-outs to play: part of their names, or all; by default the short list")

const (
	rolloutShare    = 0.1
	rolloutSlack    = 50
	rolloutRollback = 5 * time.Second
	rolloutSettings = "{canary_share: 0.1, canary_slack: 50, rollback: 5s, settle: 5s}"
	rolloutDuration = 12 * time.Second
	// rolloutRate is the number of requests a second. It gives the target about 170 answers before the decision.
	rolloutRate = 150
	// badAnswers is the number of bad answers from which the time for a reversal counts.
	badAnswers = 50
)

// rolloutCase is a roll-out of the plain service.
type rolloutCase struct {
	name string
	// answer says what the target does at a time since the order.
	answer func(rng *rand.Rand, at time.Duration, path string) (fails bool, delay time.Duration)
	bad    bool
	// fault is injected beside the load.
	fault func(p *rolloutPlay)
	// streams is set for a roll-out of the model servers.
	streams bool
	// queue lets streams wait in a queue across gateways, whose owner knows nothing of roll-outs.
	queue       bool
	inShortList bool
}

func (c rolloutCase) service() string {
	if c.streams {
		return "model"
	}
	return "desk"
}

func sound(*rand.Rand, time.Duration, string) (bool, time.Duration) { return false, 0 }

func failsAtOnce(rng *rand.Rand, _ time.Duration, _ string) (bool, time.Duration) {
	return rng.Float64() < 0.3, 0
}

var rolloutCases = []rolloutCase{
	{name: "good", answer: sound, inShortList: true},
	{name: "bad at once", answer: failsAtOnce, bad: true, inShortList: true},
	{name: "bad later", answer: func(rng *rand.Rand, at time.Duration, _ string) (bool, time.Duration) {
		return at > 4*time.Second && rng.Float64() < 0.4, 0
	}, bad: true},
	{name: "bad on one route", answer: func(rng *rand.Rand, _ time.Duration, path string) (bool, time.Duration) {
		return strings.HasPrefix(path, "/book/") && rng.Float64() < 0.4, 0
	}, bad: true},
	{name: "slow", answer: func(rng *rand.Rand, _ time.Duration, _ string) (bool, time.Duration) {
		if rng.Float64() < 0.4 {
			return false, 40 * time.Millisecond // sound answers take about 6 ms
		}
		return false, 0
	}, bad: true},
	{name: "good with leader killed", answer: sound, fault: killRolloutLeader},
	{name: "bad with leader killed", answer: failsAtOnce, bad: true, fault: killRolloutLeader, inShortList: true},
	{name: "good with all control killed", answer: sound, fault: killAllControl},
	{name: "bad with all control killed", answer: failsAtOnce, bad: true, fault: killAllControl},
	{name: "good with two operators", answer: sound, fault: orderAnotherVersion},
	{name: "good streams", answer: sound, streams: true, inShortList: true},
	{name: "bad streams", answer: failsAtOnce, bad: true, streams: true},
	{name: "bad with a gateway frozen", answer: failsAtOnce, bad: true, fault: func(p *rolloutPlay) {
		time.Sleep(time.Second)
		p.sys.gateways[0].signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		p.sys.gateways[0].signal(syscall.SIGCONT)
	}},
	{name: "good with upstreams of both crashed", answer: sound, fault: func(p *rolloutPlay) {
		for range 3 {
			time.Sleep(2 * time.Second)
			crashed := []*server{p.old[0], p.targets[0]}
			for _, s := range crashed {
				s.crash(false)
			}
			time.Sleep(500 * time.Millisecond)
			for _, s := range crashed {
				s.restart()
			}
		}
	}},
	{name: "bad with gateways restart", answer: failsAtOnce, bad: true, fault: func(p *rolloutPlay) {
		for _, g := range p.sys.gateways[:2] {
			time.Sleep(time.Second)
			g.kill()
			g.start()
		}
	}},
	{name: "good streams in a queue", answer: sound, streams: true, queue: true, inShortList: true},
	{name: "bad streams in a queue", answer: failsAtOnce, bad: true, streams: true, queue: true},
}

// rolloutPlay is one run of a case.
type rolloutPlay struct {
	rolloutCase
	sys     *testSystem
	ordered time.Time
	// old and targets are the servers of the two versions.
	old, targets []*server

	mu sync.Mutex
	// runs are the times at which servers ran requests, by version.
	runs map[string][]time.Time
	bad  []time.Time
	// ended is when an operator first read the final state, which is state.
	ended time.Time
	state string
	// statuses are the answers by status, 0 for none, and broken the number of answers that broke off.
	statuses map[int]int
	broken   int
}

// Guards against a bad version that gets more requests than the canary share allows, is trusted or gets requests after it
// is reverted; against a good one that is not complete by the deadline; and against requests to the old version
// once the roll-out is complete.
func TestRollouts(t *testing.T) {
	for i, c := range rolloutCases {
		if !isSelected(*rolloutFilter, c.name, c.inShortList) {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playRollout(t, c, 700+uint64(i))
		})
	}
}

func playRollout(t *testing.T, c rolloutCase, seed uint64) {
	sys := newTestSystemWith(t, seed, controlSettings{rollouts: rolloutSettings, queue: c.queue}, 3, 4, 6)
	sys.waitUntilReady()
	sys.faultsEnded.Store(true) // servers refuse nothing at random
	p := &rolloutPlay{rolloutCase: c, sys: sys, runs: map[string][]time.Time{}, statuses: map[int]int{}}
	for _, s := range sys.servers {
		if s.service == c.service() {
			s.answerAs = p.answerOf("v1", sound)
			p.old = append(p.old, s)
		}
	}
	sys.eventually("answers before the order", 10*time.Second, func() bool { return p.send(0, p.path(0)) == http.StatusOK })
	p.ordered = time.Now()
	sys.eventually("order", 5*time.Second, func() bool { return p.order("v2") == http.StatusOK })
	for i := range len(p.old) {
		p.targets = append(p.targets, sys.newServerOf(c.service(), fmt.Sprint("z", i%3), "v2", p.answerOf("v2", c.answer)))
	}
	t.Cleanup(func() {
		for _, s := range p.targets {
			s.proxy.Close()
			s.backend.CloseClientConnections()
		}
	})
	var wg sync.WaitGroup
	wg.Go(p.sendRequests)
	wg.Go(p.watchState)
	if c.fault != nil {
		wg.Go(func() { c.fault(p) })
	}
	wg.Wait()
	p.check()
}

// answerOf records the runs of a version and answers as a case says.
func (p *rolloutPlay) answerOf(version string, answer func(*rand.Rand, time.Duration, string) (bool, time.Duration)) func(string) bool {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(p.sys.seed, 11))
	return func(path string) bool {
		now := time.Now()
		mu.Lock()
		fails, delay := answer(rng, now.Sub(p.ordered), path)
		mu.Unlock()
		p.mu.Lock()
		p.runs[version] = append(p.runs[version], now)
		if fails || delay > 0 {
			p.bad = append(p.bad, now)
		}
		p.mu.Unlock()
		time.Sleep(delay)
		return fails
	}
}

// order sends the order of a version to a random control instance and returns the status.
func (p *rolloutPlay) order(target string) int {
	client := &http.Client{Timeout: time.Second}
	body := fmt.Sprintf(`{"Service":%q,"Target":%q,"DurationS":%v}`, p.service(), target, rolloutDuration.Seconds())
	registries := p.sys.instances()
	res, err := client.Post("http://"+registries[rand.IntN(len(registries))].addr(operatorPort)+"/v1/rollouts/start", "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// read returns the state that a random control instance tells, empty if there is no answer.
func (p *rolloutPlay) read() string {
	client := &http.Client{Timeout: time.Second}
	registries := p.sys.instances()
	res, err := client.Get("http://" + registries[rand.IntN(len(registries))].addr(operatorPort) + "/v1/rollouts/" + p.service() + "/get")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var got struct{ State, Target string }
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&got) != nil {
		return ""
	}
	if got.Target != "v2" {
		p.sys.reportViolation("CONFIG: the roll-out has target %q", got.Target)
	}
	return got.State
}

// watchState reads the state until it is final. Once it is complete, the old servers stop.
func (p *rolloutPlay) watchState() {
	for time.Since(p.ordered) < rolloutDuration+10*time.Second {
		if state := p.read(); state != "" && state != "running" {
			p.mu.Lock()
			p.ended, p.state = time.Now(), state
			p.mu.Unlock()
			if state == "complete" {
				p.stopOldServers()
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *rolloutPlay) stopOldServers() {
	for _, s := range p.old {
		s.crash(false)
	}
}

// path returns the path of the n-th request.
func (p *rolloutPlay) path(n int) string {
	switch {
	case p.streams:
		return "letters"
	case n%4 == 0:
		return "book"
	}
	return "look"
}

// sendRequests sends requests until a few seconds after the deadline.
func (p *rolloutPlay) sendRequests() {
	rng := rand.New(rand.NewPCG(p.sys.seed, 5))
	var wg sync.WaitGroup
	for time.Since(p.ordered) < rolloutDuration+3*time.Second {
		path, gateway := p.path(rng.IntN(4)), rng.IntN(len(p.sys.gateways))
		wg.Go(func() {
			status := p.send(gateway, path)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.statuses[status]++
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / rolloutRate * float64(time.Second)))
	}
	wg.Wait()
}

var rolloutClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends a request and returns the status, or 0.
func (p *rolloutPlay) send(gateway int, path string) int {
	id := fmt.Sprintf("%d-%d", p.sys.seed, p.sys.attempts.Add(1))
	res, err := rolloutClient.Do(newCallerRequest(p.sys.gateways[gateway].addr(callerPort), path, id, bodyOf(id)))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		p.mu.Lock()
		p.broken++
		p.mu.Unlock()
	}
	return res.StatusCode
}

func countBetween(times []time.Time, from, until time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

func (p *rolloutPlay) check() {
	t, deadline := p.sys.t, p.ordered.Add(rolloutDuration)
	end := deadline.Add(time.Hour)
	target, old := p.runs["v2"], p.runs["v1"]
	requests := countBetween(target, p.ordered, deadline) + countBetween(old, p.ordered, deadline)
	t.Logf("%s after %v: %d of %d requests at the target, %d bad answers, answers to callers %v, %d broke off", p.state, p.ended.Sub(p.ordered).Round(time.Millisecond),
		countBetween(target, p.ordered, deadline), requests, len(p.bad), p.statuses, p.broken)
	want := "complete"
	if p.bad != nil && p.rolloutCase.bad {
		want = "reverted"
	}
	assert.Equal(t, p.state, want)
	if p.state == "reverted" {
		assert.Assert(t, float64(countBetween(target, p.ordered, deadline)) <= rolloutShare*float64(requests)+rolloutSlack, "canary share exceeded")
		late := p.ended.Add(rolloutRollback)
		if len(p.bad) >= badAnswers {
			late = p.bad[badAnswers-1].Add(rolloutRollback)
		}
		assert.Equal(t, countBetween(target, late, end), 0, "requests to the reverted version")
	} else {
		assert.Equal(t, countBetween(old, p.ended, end), 0, "requests to the old version after completion")
		if p.fault == nil {
			assert.Equal(t, len(p.statuses), 1, "requests refused or failed: %v", p.statuses)
			assert.Equal(t, p.broken, 0, "answers broke off")
		}
	}
	if p.fault == nil || p.name != "good with all control killed" && p.name != "bad with all control killed" {
		assert.Assert(t, p.ended.Before(deadline), "decided %v after the order", p.ended.Sub(p.ordered))
	}
	assert.Equal(t, len(p.sys.violations), 0, "%v", p.sys.violations)
}

func killRolloutLeader(p *rolloutPlay) {
	time.Sleep(time.Second) // bad versions are reverted after two to three seconds
	leader := p.sys.leaderOf(2)
	p.sys.registries[leader].kill()
	time.Sleep(3 * time.Second)
	p.sys.registries[leader].start()
}

func killAllControl(p *rolloutPlay) {
	time.Sleep(time.Second)
	for _, r := range p.sys.registries {
		r.kill()
	}
	time.Sleep(time.Second)
	for _, r := range p.sys.registries {
		r.start()
	}
}

func orderAnotherVersion(p *rolloutPlay) {
	for _, target := range []string{"v3", "v1", "v2"} {
		time.Sleep(time.Second)
		want := http.StatusConflict
		if target == "v2" {
			want = http.StatusOK
		}
		if status := p.order(target); status != want {
			p.sys.reportViolation("order of %s: status %d", target, status)
		}
	}
}
