package limit

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand"
	"net/rpc"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const org = "org"

// fleet simulates entries and owners whose messages are lost, duplicated and
// delivered in any order.
type fleet struct {
	limit           Limit
	cost            Amount
	now             time.Time
	entries         []*Limiter
	created         int
	owners          []*Owner // the last one is the current owner
	requests        []LeaseRequest
	grants          []Grant
	newAllowances   Amount // sum of the allowances of all entries created
	admitted        Amount
	largestHeadroom Amount // largest headroom so far, see check
}

func (f *fleet) addEntry(at int, n int) {
	f.created++
	f.newAllowances = f.newAllowances.Add(maxAllowance)
	f.entries[at] = NewLimiter(fmt.Sprint("entry/", f.created), n)
}

// leasedTo returns what all owners have leased to an entry, without returned and
// expired leases.
func (f *fleet) leasedTo(id string) Amount {
	var sum Amount
	for _, o := range f.owners {
		if b := o.buckets[org]; b != nil && b.entries[id] != nil {
			for _, l := range b.entries[id].leases {
				if f.now.Before(l.expires) {
					sum = sum.Add(l.amount)
				}
			}
		}
	}
	return sum
}

// outstanding returns the leases and allowances that entries may still use. It
// includes the leases of entries that have been replaced, because they are not
// known to be unused.
func (f *fleet) outstanding() Amount {
	var sum Amount
	for i := range f.created {
		sum = sum.Add(f.leasedTo(fmt.Sprint("entry/", i+1)))
	}
	for _, e := range f.entries {
		sum = sum.Add(e.organisation(f.now, org, f.limit).allowance.Min(maxAllowance))
	}
	return sum
}

// check asserts that no entry holds more than was leased to it, and that the
// work admitted since any earlier check is within the bound of the package
// comment.
func (f *fleet) check(t *rapid.T) {
	for _, e := range f.entries {
		state := e.organisation(f.now, org, f.limit)
		held := difference(state.available(), state.allowance)
		assert.Assert(t, f.leasedTo(e.id).Covers(held), "%s holds %v, leased to it: %v", e.id, held, f.leasedTo(e.id))
	}
	budget := f.limit.Rate.Scale(f.now.Sub(start).Seconds()).Add(f.newAllowances)
	used := f.limit.limitedPart(f.admitted)
	headroom := difference(budget, used.Add(f.outstanding()))
	f.largestHeadroom = f.largestHeadroom.Max(headroom)
	excess := difference(used, budget).Add(f.largestHeadroom)
	assert.Assert(t, f.limit.Burst.Add(Amount{1e-6, 1e-6}).Covers(excess), "admitted %v above rate and leases, want at most %v", excess, f.limit.Burst)
}

func difference(a, b Amount) Amount { return Amount{a.Tokens - b.Tokens, a.Requests - b.Requests} }

// spend sends up to maximum requests to an entry, until one is rejected.
func (f *fleet) spend(e *Limiter, maximum int) {
	for range maximum {
		if !e.Admit(f.now, org, f.limit, f.cost).Admitted {
			return
		}
		f.admitted = f.admitted.Add(f.cost)
	}
}

// roundTrip encodes and decodes a message.
func roundTrip[M any, P interface {
	*M
	UnmarshalBinary([]byte) error
}](m interface{ MarshalBinary() ([]byte, error) }) M {
	var out M
	b, err := m.MarshalBinary()
	if err == nil {
		err = P(&out).UnmarshalBinary(b)
	}
	if err != nil {
		panic(err)
	}
	return out
}

func (f *fleet) handle(original LeaseRequest) {
	req := roundTrip[LeaseRequest](original)
	if req != original {
		panic(fmt.Sprintf("%+v was received as %+v", original, req))
	}
	if g, ok := f.owners[len(f.owners)-1].Handle(f.now, f.limit, req); ok {
		f.grants = append(f.grants, g)
	}
}

func (f *fleet) apply(original Grant) {
	g := roundTrip[Grant](original)
	if g.Amount != original.Amount || g.Wait < original.Wait {
		panic(fmt.Sprintf("%+v was received as %+v", original, g))
	}
	for _, e := range f.entries {
		e.Apply(f.now, g)
	}
}

// exhaust spends everything that the entries can get while no message is lost.
func (f *fleet) exhaust() {
	for range 8 {
		for _, e := range f.entries {
			f.spend(e, 40)
			for _, req := range e.LeaseRequests(f.now) {
				f.handle(req)
				f.apply(f.grants[len(f.grants)-1])
			}
			f.spend(e, 40)
		}
		f.now = f.now.Add(minWait)
	}
}

// accumulateUnused leaves an entry with unused leases that expire soon.
func (f *fleet) accumulateUnused(e *Limiter) {
	f.spend(e, 40)
	for range 3 {
		for _, req := range e.LeaseRequests(f.now) {
			f.handle(req)
			f.apply(f.grants[len(f.grants)-1])
		}
		f.now = f.now.Add(time.Second)
	}
	f.now = f.now.Add(LeaseDuration - 3*time.Second - returnWindow/2)
}

func (f *fleet) step(t *rapid.T) {
	i := rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")
	e := f.entries[i]
	switch rapid.IntRange(0, 12).Draw(t, "event") {
	case 0, 1:
		f.spend(e, rapid.SampledFrom([]int{1, 3, 40}).Draw(t, "requests"))
	case 2, 3:
		f.requests = append(f.requests, e.LeaseRequests(f.now)...)
	case 4, 5:
		if len(f.requests) > 0 {
			f.handle(takeMessage(t, &f.requests))
		}
	case 6, 7:
		if len(f.grants) > 0 {
			f.apply(takeMessage(t, &f.grants))
		}
	case 8, 9:
		ms := rapid.SampledFrom([]int{1, 100, 600, 1200, 4600, 6000, 20000, 100000}).Draw(t, "ms")
		f.now = f.now.Add(time.Duration(ms) * time.Millisecond)
	case 10:
		f.exhaust()
	case 11:
		f.accumulateUnused(e)
	case 12:
		if rapid.Bool().Draw(t, "owner") {
			f.owners = append(f.owners, NewOwner(f.now))
		} else {
			f.addEntry(i, len(f.entries))
		}
	}
}

// takeMessage returns a message and removes it, leaves it in place to be
// delivered again, or removes the one after it as well.
func takeMessage[T any](t *rapid.T, from *[]T) T {
	i := max(0, len(*from)-1-rapid.IntRange(0, 6).Draw(t, "message"))
	m := (*from)[i]
	removed := rapid.SampledFrom([]int{0, 1, 1, 2}).Draw(t, "gone")
	*from = append((*from)[:i], (*from)[min(i+removed, len(*from)):]...)
	return m
}

// Guards against an organisation that gets more than its limit when entries or
// owners are replaced, or when messages are lost, duplicated, delayed or
// reordered.
func TestAdmittedWorkStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start, entries: make([]*Limiter, 2), owners: []*Owner{NewOwner(start.Add(-time.Hour))}}
		f.cost = Amount{1024, 1}
		if rapid.Bool().Draw(t, "tokens") {
			f.limit = Limit{Rate: Amount{1024, 0}, Burst: Amount{2048, 1}, UnleasedShare: smallUnleasedShare}
		} else {
			f.limit = Limit{Rate: Amount{0, 1}, Burst: Amount{8192, 2}, UnleasedShare: smallUnleasedShare}
		}
		for i := range f.entries {
			f.addEntry(i, len(f.entries))
		}
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			f.step(t)
			f.check(t)
		}
	})
}

// Guards against the return of a lease that is in use, because the answer to a
// later LeaseRequest was lost.
func TestUnappliedReturnsOnlyThatLease(t *testing.T) {
	l := NewLimit(0, 10, 1)
	for _, c := range []struct {
		unapplied uint64
		left      float64
	}{{1, 10}, {2, 6}} {
		o := NewOwner(start)
		one := LeaseRequest{Organisation: org, Entry: "a", Number: 1, Want: Amount{0, 4}}
		g, _ := o.Handle(start.Add(time.Hour), l, one)
		assert.Equal(t, g.Amount.Requests, 4.0)
		o.buckets[org].level.Requests = 6
		three := LeaseRequest{Organisation: org, Entry: "a", Number: 3, Unapplied: c.unapplied}
		o.Handle(start.Add(time.Hour), l, three)
		assert.Equal(t, o.buckets[org].level.Requests, c.left)
	}
}

// Guards against unused tokens that are returned twice because a duplicate of
// the message arrives after a newer one.
func TestStaleRequestIsDropped(t *testing.T) {
	o, l, now := NewOwner(start), NewLimit(0, 10, 1), start.Add(time.Hour)
	for number := range uint64(3) {
		req := LeaseRequest{Organisation: org, Entry: "a", Number: number + 1, Want: Amount{0, 4}, Lease: number, Unused: Amount{0, 1}}
		_, ok := o.Handle(now, l, req)
		assert.Assert(t, ok)
	}
	level := o.buckets[org].level
	_, ok := o.Handle(now, l, LeaseRequest{Organisation: org, Entry: "a", Number: 2, Lease: 1, Unused: Amount{0, 1}})
	assert.Assert(t, !ok)
	assert.Equal(t, o.buckets[org].level, level)
}

// Guards against malformed bytes from a peer that crash the process, and against
// a truncated message that decodes without an error.
func TestMalformedMessages(t *testing.T) {
	whole, _ := LeaseRequest{Organisation: org, Entry: "a", Number: 300, Want: Amount{5, 1}, Lease: 2}.MarshalBinary()
	for n := range whole {
		assert.Assert(t, new(LeaseRequest).UnmarshalBinary(whole[:n]) != nil)
	}
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "bytes")
		var a LeaseRequest
		if a.UnmarshalBinary(b) == nil {
			assert.Equal(t, roundTrip[LeaseRequest](a), a)
		}
		_ = new(Grant).UnmarshalBinary(b)
	})
}

// Guards against messages that are larger than the expected control traffic
// allows.
func TestLeaseRequestSize(t *testing.T) {
	var b bytes.Buffer
	e, before := gob.NewEncoder(&b), 0
	for i := range uint64(3) { // the first gob message also contains the type definitions
		before = b.Len()
		assert.NilError(t, e.Encode(rpc.Request{ServiceMethod: "Control.Lease", Seq: 1000 + i}))
		assert.NilError(t, e.Encode(LeaseRequest{
			Organisation: "organisation-1234", Entry: "entry-0042/19aa51c0f3b21c4d", Number: 123456 + i,
			Demand: Amount{1234.5, 1.25}, Want: Amount{1851.5, 1.5}, Need: Amount{1000, 1},
		}))
	}
	assert.Assert(t, b.Len()-before <= messageBytes, "%d bytes", b.Len()-before)
}

// exchange delivers an entry's messages to the owner and the answers back,
// without loss. It returns the number of messages.
func exchange(now time.Time, o *Owner, e *Limiter, limit func(string) Limit) int {
	requests := e.LeaseRequests(now)
	for _, req := range requests {
		if g, ok := o.Handle(now, limit(req.Organisation), req); ok {
			e.Apply(now, g)
		}
	}
	return len(requests)
}

// serve sends a request to an entry, with a round trip to the owner if the entry
// awaits a lease.
func serve(now time.Time, o *Owner, e *Limiter, name string, limit func(string) Limit, cost Amount) (admitted bool, messages int) {
	v := e.Admit(now, name, limit(name), cost)
	if v.Admitted || !v.AwaitLease {
		return v.Admitted, 0
	}
	messages = exchange(now, o, e, limit)
	return e.Recheck(now, name, limit(name), cost).Admitted, messages
}

// run sends requests to each entry at its rate for a time, and returns the rates
// admitted in the second half.
func run(l Limit, rates []float64, length time.Duration) []float64 {
	rng, o := rand.New(rand.NewSource(1)), NewOwner(start)
	limit := func(string) Limit { return l }
	admitted := make([]float64, len(rates))
	var entries []*Limiter
	for i := range rates {
		entries = append(entries, NewLimiter(fmt.Sprint(i), len(rates)))
	}
	const tick = 100 * time.Millisecond
	for at := time.Duration(0); at < length; at += tick {
		for i, e := range entries {
			now := start.Add(at + time.Duration(i))
			for n := rates[i] * tick.Seconds(); n > 0; n-- {
				if rng.Float64() >= n {
					break
				}
				if ok, _ := serve(now, o, e, org, limit, Amount{100, 1}); ok && at >= length/2 {
					admitted[i]++
				}
			}
			exchange(now, o, e, limit)
		}
	}
	for i := range admitted {
		admitted[i] /= length.Seconds() / 2
	}
	return admitted
}

// Guards against a flooded entry that takes the share of one whose demand is
// below its own share, and against a limit that cannot be used up because of
// unused leases.
func TestFairSplitAndUse(t *testing.T) {
	got := run(NewLimit(0, 20, 1), []float64{100, 4}, time.Minute)
	assert.Assert(t, got[1] >= 3.6, "entry with low demand gets %.1f of 4/s", got[1])
	assert.Assert(t, got[0]+got[1] >= 18 && got[0]+got[1] <= 20.5, "%.1f of 20/s", got)
	var rates []float64
	for range 100 { // each share is 0.1 requests/s
		rates = append(rates, 0.3)
	}
	sum := 0.0
	for _, g := range run(NewLimit(0, 10, 1), rates, time.Minute) {
		sum += g
	}
	assert.Assert(t, sum >= 8.5 && sum <= 10.5, "%.1f of 10/s", sum)
}

// Guards against unused tokens that an entry keeps after its demand has ended.
func TestUnusedLeaseReturns(t *testing.T) {
	o, e, now := NewOwner(start.Add(-time.Hour)), NewLimiter("a", 1), start
	l := NewLimit(0, 100, 1)
	limit := func(string) Limit { return l }
	for range 200 {
		serve(now, o, e, org, limit, Amount{0, 1})
		now = now.Add(10 * time.Millisecond)
		exchange(now, o, e, limit)
	}
	held := e.organisations[org].available().Requests - AllowanceRequests
	assert.Assert(t, held > 10, "holds %v", held)
	returned := 0.0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		for _, a := range e.LeaseRequests(now) {
			returned += a.Unused.Requests
			before := o.bucket(now, org, l).level.Requests
			g, _ := o.Handle(now, l, a)
			assert.Assert(t, o.buckets[org].level.Requests >= min(before+a.Unused.Requests-g.Amount.Requests, l.Burst.Requests)-1e-9)
			e.Apply(now, g)
		}
	}
	assert.Assert(t, returned > 0.5*held, "returned %v of %v", returned, held)
	assert.Equal(t, len(e.organisations[org].leases), 0)
}

// Guards against limits of remaining instances that move when another instance
// is lost.
func TestOwnerMovesOnlyFromLostInstance(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	moved := 0
	for i := range 1000 {
		name := fmt.Sprint(i)
		was, is := OwnerOf(name, all), OwnerOf(name, all[:4])
		assert.Assert(t, was == is || was == "e")
		if was != is {
			moved++
		}
	}
	assert.Assert(t, math.Abs(float64(moved)-200) < 60, "%d moved", moved)
}

// BenchmarkMessages prints the message rate of an entry by the number of
// entries: go test ./core/limit -run NONE -bench Messages -benchtime 1x
func BenchmarkMessages(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| entries | utilisation of other organisations | messages/s per entry: mean | max | bytes/s | messages/s with a call per request | messages/s with a broadcast per second | admitted for flooding organisations, of their limit | rejected below limit | rejected with fixed shares |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, utilisation := range []float64{0.5, 0.25} {
			for _, n := range []int{10, 100, 1000, 3000} {
				fmt.Println(newWorkload(n, utilisation).measure())
			}
		}
	}
}

// workload is 26 requests/s at each entry from 18,000 organisations with a Zipf
// distribution, of which the first 10 send a quarter more than their limit.
type workload struct {
	entries     int
	utilisation float64 // fraction of the limit used by all but the first 10
	limits      map[string]Limit
	rate        map[string]float64 // requests/s at one entry
	names       []string
	cumulative  []float64 // cumulative distribution over names
}

const (
	organisations, floodingOrganisations, requestsPerSecond = 18000, 10, 26.0
	runSeconds, zipfExponent, messageBytes                  = 20, 1.05, 104 // messageBytes as in TestLeaseRequestSize
)

func newWorkload(entries int, utilisation float64) *workload {
	w := &workload{entries: entries, utilisation: utilisation, limits: map[string]Limit{}, rate: map[string]float64{}}
	total := 0.0
	for i := range organisations {
		total += math.Pow(float64(i+1), -zipfExponent)
	}
	sum := 0.0
	for i := range organisations {
		name, share, over := fmt.Sprint(i), math.Pow(float64(i+1), -zipfExponent)/total, 1.25
		if i >= floodingOrganisations {
			over = utilisation
		}
		sum += share
		w.names, w.cumulative = append(w.names, name), append(w.cumulative, sum)
		w.rate[name] = share * requestsPerSecond
		w.limits[name] = NewLimit(0, share*requestsPerSecond*float64(entries)/over, organisations)
	}
	return w
}

// steadyLevel returns the level of a bucket after many requests; requests that
// it does not cover take nothing from it. Most organisations send a request to
// an entry once in ten minutes, so a short run that starts with full buckets
// would mostly measure the initial levels.
func (d *workload) steadyLevel(rng *rand.Rand, name string, refill, maximum float64) float64 {
	level := maximum * rng.Float64()
	for range 30 {
		if level >= 1 {
			level--
		}
		level = min(maximum, level+refill*rng.ExpFloat64()/d.rate[name])
	}
	return level
}

// measure simulates 20 s and returns a table row for the second half.
func (d *workload) measure() string {
	const tick = 100 * time.Millisecond
	rng, o := rand.New(rand.NewSource(1)), NewOwner(start.Add(-time.Minute))
	limit := func(name string) Limit { return d.limits[name] }
	sent := make([]int, d.entries)
	fixed := make([]map[string]Amount, d.entries) // baseline buckets: Requests is the level, Tokens the time
	entries := make([]*Limiter, d.entries)
	for i := range entries {
		entries[i], fixed[i] = NewLimiter(fmt.Sprint(i), d.entries), map[string]Amount{}
	}
	var flood, floodLimit, below, refused, fixedRefused float64
	for _, name := range d.names[:floodingOrganisations] {
		floodLimit += d.limits[name].Rate.Requests * runSeconds / 2
	}
	for at := time.Duration(0); at < runSeconds*time.Second; at += tick {
		now, measured := start.Add(at), at >= runSeconds*time.Second/2
		for i, e := range entries {
			used := 0
			for r := requestsPerSecond * tick.Seconds(); r > 0 && rng.Float64() < r; r-- {
				k := min(sort.SearchFloat64s(d.cumulative, rng.Float64()), organisations-1)
				name := d.names[k]
				share := d.limits[name].Rate.Requests / float64(d.entries)
				if e.organisations[name] == nil && k >= floodingOrganisations {
					level := d.steadyLevel(rng, name, share*largeUnleasedShare, AllowanceRequests)
					e.organisation(now, name, d.limits[name]).allowance.Requests = level
				}
				ok, m := serve(now, o, e, name, limit, Amount{1000, 1})
				used += m
				fixedOK := d.fixedShare(rng, fixed[i], name, at.Seconds(), share)
				switch {
				case measured && k < floodingOrganisations:
					flood += count(ok)
				case measured:
					below++
					refused += count(!ok)
					fixedRefused += count(!fixedOK)
				}
			}
			used += exchange(now, o, e, limit)
			if measured {
				sent[i] += used
			}
		}
	}
	all := 0
	for _, s := range sent {
		all += s
	}
	mean := float64(all) / float64(d.entries) / (runSeconds / 2)
	return fmt.Sprintf("| %d | %.0f%% | %.2f | %.1f | %.0f | %.0f | %d | %.0f%% | %.2f%% | %.1f%% |", d.entries, 100*d.utilisation, mean,
		float64(slices.Max(sent))/(runSeconds/2), mean*messageBytes, requestsPerSecond, d.entries-1, 100*flood/floodLimit,
		100*refused/below, 100*fixedRefused/below)
}

// fixedShare is the baseline: each entry has a bucket with an equal part of the
// limit. It reports whether the bucket admits a request.
func (d *workload) fixedShare(rng *rand.Rand, levels map[string]Amount, name string, at, share float64) bool {
	maximum := max(share*burstSeconds, 1)
	b, ok := levels[name]
	if !ok {
		b = Amount{at, d.steadyLevel(rng, name, share, maximum)}
	}
	level := min(maximum, b.Requests+(at-b.Tokens)*share)
	admitted := level >= 1
	levels[name] = Amount{at, level - count(admitted)}
	return admitted
}

func count(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
