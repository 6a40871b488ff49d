package pick

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/breaker"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

var start = time.Unix(1_000_000, 0)

func upstreams(n int) []wire.Upstream {
	var out []wire.Upstream
	for i := range n {
		out = append(out, wire.Upstream{
			ID: fmt.Sprintf("u%03d", i), Incarnation: 1, Zone: fmt.Sprint("z", i%3), Region: "r",
			Models: []string{"m"}, Slots: 8,
		})
	}
	return out
}

func chooser(t testing.TB, p Policy) *Chooser {
	c, err := New(p)
	assert.NilError(t, err)
	return c
}

func drawCandidate(t *rapid.T, i int) Candidate {
	u := Candidate{Upstream: upstreams(i + 1)[i]}
	u.State = wire.UpstreamState(rapid.IntRange(0, 2).Draw(t, "state"))
	u.Load.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	u.Ready = rapid.IntRange(0, 3).Draw(t, "ready") > 0
	u.Suspects = rapid.IntRange(0, 1).Draw(t, "suspects")
	u.Models = rapid.SampledFrom([][]string{nil, {"m"}, {"x", "m"}}).Draw(t, "models")
	u.Adapters = rapid.SampledFrom([][]string{nil, {"a"}}).Draw(t, "adapters")
	u.Services = rapid.SampledFrom([][]string{nil, {"s"}}).Draw(t, "services")
	u.Load.Running = rapid.Uint32Range(0, 9).Draw(t, "running")
	u.SentSinceReport, u.EndedSinceReport = rapid.IntRange(0, 3).Draw(t, "sent"), rapid.IntRange(0, 3).Draw(t, "ended")
	return u
}

// Guards against a picker that selects an upstream which a filter must exclude,
// and against a refusal although an upstream is eligible.
func TestChoiceRespectsEveryFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.Picker = rapid.SampledFrom([]string{"best-of-two", "random", "least-reported-load"}).Draw(t, "picker")
		c, err := New(p)
		assert.NilError(t, err)
		r := &Request{
			Model:   rapid.SampledFrom([]string{"", "m"}).Draw(t, "model"),
			Adapter: rapid.SampledFrom([]string{"", "a"}).Draw(t, "adapter"),
			Service: rapid.SampledFrom([]string{"", "s"}).Draw(t, "service"),
			Suspect: rapid.Bool().Draw(t, "suspect"),
			Tried:   []string{"u000"},
		}
		eligible := map[string]bool{}
		var known []Candidate
		for i := range rapid.IntRange(0, 6).Draw(t, "upstreams") {
			u := drawCandidate(t, i)
			known = append(known, u)
			eligible[u.ID] = u.ID != "u000" && u.State == wire.UpstreamUp && !u.Load.Leaving && u.Ready &&
				(r.Model == "" || len(u.Models) > 0) && (r.Adapter == "" || len(u.Adapters) > 0) &&
				(r.Service == "" || len(u.Services) > 0)
			if !eligible[u.ID] {
				delete(eligible, u.ID)
			}
		}
		choice, err := c.Choose(rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), r, known)
		if len(eligible) == 0 {
			assert.Assert(t, err != nil && result.From(err).Ran == result.NotRun)
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, eligible[choice.Upstream.ID], "%v", choice.Explanation)
		assert.Equal(t, choice.Explanation.Eligible, len(eligible))
	})
}

// Guards against an error code that points an operator to the wrong fault.
func TestRefusalNamesTheReason(t *testing.T) {
	c, rng := chooser(t, DefaultPolicy()), rand.New(rand.NewSource(1))
	busy := Candidate{Upstream: upstreams(1)[0]}
	for _, k := range []struct {
		r     Request
		known []Candidate
		want  result.Code
	}{
		{Request{Model: "m"}, nil, result.NoUpstream},
		{Request{Model: "x"}, []Candidate{busy}, result.ModelUnknown},
		{Request{Service: "s"}, []Candidate{busy}, result.ServiceUnknown},
		{Request{Model: "m"}, []Candidate{busy}, result.NoUpstream},
	} {
		_, err := c.Choose(rng, &k.r, k.known)
		assert.Equal(t, result.From(err).Code, k.want, "%v", err)
	}
	_, err := New(Policy{Picker: "none"})
	assert.Assert(t, result.Is(err, result.SettingInvalid))
}

// Guards against requests of this entry that are counted twice or not at all
// when load reports are delayed. The estimate may exceed the true value by at
// most the requests sent within the lag before the last report, may fall short
// of it by at most those ended within that lag, and is exact afterwards.
func TestReportsCoverOnlyEarlierRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(Settings{}), start
		table.SetUpstreams(upstreams(1))
		r, running := &Request{Model: "m"}, []uint64{}
		var sent, ended []time.Time
		next, above, below := uint64(0), 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			switch event := rapid.IntRange(0, 2).Draw(t, "event"); {
			case event == 0:
				next++
				table.RequestSent(now, "u000", next, r)
				running = append(running, next)
				sent = append(sent, now)
			case event == 1 && len(running) > 0:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				table.RequestEnded(now, "u000", running[i])
				running = append(running[:i], running[i+1:]...)
				ended = append(ended, now)
			case event == 2:
				asOf := now.Add(-time.Duration(rapid.IntRange(0, 49).Draw(t, "lag")) * time.Millisecond)
				seen := len(running) - since(sent, asOf) + since(ended, asOf)
				table.ApplyReport(now, "u000", 0, wire.Load{Slots: 8, Running: uint32(seen)})
				above, below = since(sent, now.Add(-DefaultReportLag)), since(ended, now.Add(-DefaultReportLag))
			}
			u := table.Candidates(now, r)[0]
			off := int(u.Load.Running) + u.SentSinceReport - u.EndedSinceReport - len(running)
			assert.Assert(t, -below <= off && off <= above, "off by %d, want %d to %d", off, -below, above)
		}
	})
}

func since(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}

// Guards against cache affinity to blocks that the engine has evicted (after
// lost events or expiry), and against unbounded memory growth.
func TestEvictedPrefixesDoNotMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now, sequence := NewPrefixIndex(), start, uint64(0)
		held := map[uint64]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			block := rapid.Uint64Range(1, 8).Draw(t, "block")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				p.Add(now, []uint64{block})
				held[block] = now
			case 1:
				sequence++
				p.Apply(now, CacheEvent{Sequence: sequence, Stored: []uint64{block}})
				held[block] = now
			case 2:
				sequence++
				p.Apply(now, CacheEvent{Sequence: sequence, Dropped: []uint64{block}})
				delete(held, block)
			case 3: // the lost event may have evicted every block
				if sequence > 0 {
					sequence += 2
					p.Apply(now, CacheEvent{Sequence: sequence})
					clear(held)
				}
			case 4:
				if sequence > 0 {
					p.Apply(now, CacheEvent{Sequence: sequence, Stored: []uint64{99}})
					assert.Equal(t, p.Match(now, []uint64{99}), 0, "a duplicate event was applied")
				}
			}
			for b := uint64(1); b <= 8; b++ {
				at, ok := held[b]
				want := ok && now.Sub(at) < PrefixTTL
				assert.Equal(t, p.Match(now, []uint64{b}) == 1, want, "block %d", b)
			}
		}
	})
	p := NewPrefixIndex()
	for b := range uint64(3 * MaxIndexedBlocks) {
		p.Add(start, []uint64{b, b / 2})
		assert.Assert(t, p.Len() <= MaxIndexedBlocks && len(p.byExpiry) <= 4*MaxIndexedBlocks)
	}
}

// Guards against equal hashes for prompts that do not share a prefix.
func TestBlocksChain(t *testing.T) {
	a, b := strings.Repeat("a", BlockSize), strings.Repeat("b", BlockSize)
	x, y := BlockHashes("m", "", a+b+a), BlockHashes("m", "", a+a+a+"tail")
	assert.Equal(t, len(x), 3)
	assert.Equal(t, len(y), 3)
	assert.Assert(t, x[0] == y[0] && x[1] != y[1] && x[2] != y[2])
	assert.Assert(t, BlockHashes("m", "adapter", a)[0] != x[0])
}

// Guards against applying the history of an earlier incarnation to a restarted
// upstream.
func TestNewIncarnationStartsFresh(t *testing.T) {
	table, list := NewTable(Settings{}), upstreams(1)
	table.SetUpstreams(list)
	for range breaker.DefaultConsecutiveFailures {
		p, _ := table.Breaker("u000").Allow(start)
		table.Breaker("u000").Record(start, p, breaker.ConnectFailed)
	}
	table.RequestSent(start, "u000", 1, &Request{Suspect: true})
	assert.Assert(t, !table.Candidates(start, &Request{})[0].Ready)
	list[0].Incarnation++
	table.SetUpstreams(list)
	u := table.Candidates(start, &Request{})[0]
	assert.Assert(t, u.Ready && u.SentSinceReport == 0 && u.Suspects == 0)
}

// Guards against sending two suspects of one crash to the same upstream while
// another upstream runs none.
func TestSuspectsAreSpread(t *testing.T) {
	c, rng := chooser(t, DefaultPolicy()), rand.New(rand.NewSource(1))
	with, without := Candidate{Upstream: upstreams(2)[0], Ready: true, Suspects: 1}, Candidate{Upstream: upstreams(2)[1], Ready: true}
	for range 100 {
		choice, err := c.Choose(rng, &Request{Model: "m", Suspect: true}, []Candidate{with, without})
		assert.NilError(t, err)
		assert.Equal(t, choice.Upstream.ID, without.ID)
	}
}
