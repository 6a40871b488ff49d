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

// fleet is a set of entries and owners whose messages are lost, repeated and
// delivered in any order.
type fleet struct {
	limit           Limit
	cost            Amount
	now             time.Time
	entries         []*Limiter
	created         int
	owners          []*Owner // the last one is in charge
	requests        []LeaseRequest
	grants          []Grant
	newAllowances   Amount // allowances of new entries
	admitted        Amount
	largestHeadroom Amount // largest value of base so far, see check
}

func (f *fleet) addEntry(at int, n int) {
	f.created++
	f.newAllowances = f.newAllowances.Add(maxAllowance)
	f.entries[at] = NewLimiter(fmt.Sprint("entry/", f.created), n)
}

// leased is what all owners have leased to an entry and neither got back nor
// seen end.
func (f *fleet) leasedTo(id string) Amount {
	var sum Amount
	for _, o := range f.owners {
		if a := o.buckets[org]; a != nil && a.entries[id] != nil {
			for _, l := range a.entries[id].leases {
				if f.now.Before(l.expires) {
					sum = sum.Add(l.amount)
				}
			}
		}
	}
	return sum
}

// outstanding is what the entries may hold, with their allowances. Leases of
// entries that have died count as well, as they are not known to be unused.
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

// check compares what an entry holds with what it was leased, and the work
// admitted since every earlier check with the bound.
func (f *fleet) check(t *rapid.T) {
	for _, e := range f.entries {
		org := e.organisation(f.now, org, f.limit)
		held := difference(org.available(), org.allowance)
		assert.Assert(t, f.leasedTo(e.id).Covers(held), "%s holds %v of %v", e.id, held, f.leasedTo(e.id))
	}
	budget := f.limit.Rate.Scale(f.now.Sub(start).Seconds()).Add(f.newAllowances)
	used := f.limit.limitedPart(f.admitted)
	headroom := difference(budget, used.Add(f.outstanding()))
	f.largestHeadroom = f.largestHeadroom.Max(headroom)
	excess := difference(used, budget).Add(f.largestHeadroom)
	assert.Assert(t, f.limit.Burst.Add(Amount{1e-6, 1e-6}).Covers(excess), "%v over rate and leases, at most %v", excess, f.limit.Burst)
}

func difference(a, b Amount) Amount { return Amount{a.Tokens - b.Tokens, a.Requests - b.Requests} }

// spend sends requests to an entry until one is refused.
func (f *fleet) spend(e *Limiter, maximum int) {
	for range maximum {
		if !e.Admit(f.now, org, f.limit, f.cost).Admitted {
			return
		}
		f.admitted = f.admitted.Add(f.cost)
	}
}

// recode sends a message through its compact form, which has to keep amounts.
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

// rush spends everything that the entries can get while no message is lost.
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

// stock leaves an entry with leases that it does not use and that end soon.
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

// take removes a message, or leaves it in place to be delivered again, or
// drops the one behind it as well.
func takeMessage[T any](t *rapid.T, from *[]T) T {
	i := max(0, len(*from)-1-rapid.IntRange(0, 6).Draw(t, "message"))
	m := (*from)[i]
	removed := rapid.SampledFrom([]int{0, 1, 1, 2}).Draw(t, "gone")
	*from = append((*from)[:i], (*from)[min(i+removed, len(*from)):]...)
	return m
}

// Guards against an organisation that gets more than its limit when entries or
// owners die, or when messages are lost, repeated, late or out of order.
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

// Guards against a lease in use being returned because a later Ask was lost.
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

// Guards against a return that counts twice because its message came again
// after a newer one.
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

// Guards against a peer that crashes this process with malformed bytes, and
// against a cut message that reads like a whole one.
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

// Guards against messages that outgrow the control traffic of a node.
func TestLeaseRequestSize(t *testing.T) {
	var b bytes.Buffer
	e, before := gob.NewEncoder(&b), 0
	for i := range uint64(3) { // the first message carries the types
		before = b.Len()
		assert.NilError(t, e.Encode(rpc.Request{ServiceMethod: "Control.Lease", Seq: 1000 + i}))
		assert.NilError(t, e.Encode(LeaseRequest{
			Organisation: "organisation-1234", Entry: "entry-0042/19aa51c0f3b21c4d", Number: 123456 + i,
			Demand: Amount{1234.5, 1.25}, Want: Amount{1851.5, 1.5}, Need: Amount{1000, 1},
		}))
	}
	assert.Assert(t, b.Len()-before <= messageBytes, "%d bytes", b.Len()-before)
}

// exchange carries an entry's messages to the owner and back without loss.
func exchange(now time.Time, o *Owner, e *Limiter, limit func(string) Limit) int {
	requests := e.LeaseRequests(now)
	for _, a := range requests {
		if g, ok := o.Handle(now, limit(a.Organisation), a); ok {
			e.Apply(now, g)
		}
	}
	return len(requests)
}

// serve admits a request, with a round trip to the owner if that may help.
func serve(now time.Time, o *Owner, e *Limiter, name string, limit func(string) Limit, cost Amount) (admitted bool, messages int) {
	v := e.Admit(now, name, limit(name), cost)
	if v.Admitted || !v.AwaitLease {
		return v.Admitted, 0
	}
	messages = exchange(now, o, e, limit)
	return e.Recheck(now, name, limit(name), cost).Admitted, messages
}

// run sends each entry its requests a second for a time, and returns those
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

// Guards against an entry that floods and takes the share of one that asks for
// less than its own, and against a limit of which a part is lost to leases.
func TestFairSplitAndUse(t *testing.T) {
	got := run(NewLimit(0, 20, 1), []float64{100, 4}, time.Minute)
	assert.Assert(t, got[1] >= 3.6, "small entry gets %.1f of 4/s", got[1])
	assert.Assert(t, got[0]+got[1] >= 18 && got[0]+got[1] <= 20.5, "%.1f of 20/s", got)
	var rates []float64
	for range 100 { // each share is a tenth of a request a second
		rates = append(rates, 0.3)
	}
	sum := 0.0
	for _, g := range run(NewLimit(0, 10, 1), rates, time.Minute) {
		sum += g
	}
	assert.Assert(t, sum >= 8.5 && sum <= 10.5, "%.1f of 10/s", sum)
}

// Guards against tokens that stay with an entry whose demand has ended.
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

// Guards against most limits moving when one instance of many is lost.
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

// BenchmarkMessages prints the messages of an entry against the number of
// entries: go test ./core/limit -run NONE -bench Messages -benchtime 1x
func BenchmarkMessages(b *testing.B) {
	for b.Loop() {
		fmt.Println("\n| entries | others use of their limit | messages/s an entry: mean | highest | bytes/s | ask for each request | tell all others each second | flooding organisations get of their limit | refused below limit | refused with fixed shares |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, use := range []float64{0.5, 0.25} {
			for _, n := range []int{10, 100, 1000, 3000} {
				fmt.Println(newWorkload(n, use).measure())
			}
		}
	}
}

// demand is 26 requests/s at each entry from 18,000 organisations with Zipf
// popularity, of which the first 10 send a quarter more than their limit.
type workload struct {
	entries     int
	utilisation float64 // of the limit, by all but the first 10
	limits      map[string]Limit
	rate        map[string]float64 // requests a second at one entry
	names       []string
	cumulative  []float64 // cumulative
}

const (
	organisations, floodingOrganisations, requestsPerSecond = 18000, 10, 26.0
	runSeconds, zipfExponent, messageBytes                  = 20, 1.05, 104 // as in TestAskIsSmall
)

func newWorkload(entries int, use float64) *workload {
	d := &workload{entries: entries, utilisation: use, limits: map[string]Limit{}, rate: map[string]float64{}}
	total := 0.0
	for i := range organisations {
		total += math.Pow(float64(i+1), -zipfExponent)
	}
	sum := 0.0
	for i := range organisations {
		name, share, over := fmt.Sprint(i), math.Pow(float64(i+1), -zipfExponent)/total, 1.25
		if i >= floodingOrganisations {
			over = use
		}
		sum += share
		d.names, d.cumulative = append(d.names, name), append(d.cumulative, sum)
		d.rate[name] = share * requestsPerSecond
		d.limits[name] = NewLimit(0, share*requestsPerSecond*float64(entries)/over, organisations)
	}
	return d
}

// warm returns a bucket's level after many requests, of which those it cannot
// pay are served otherwise. Most organisations reach an entry once in ten
// minutes, so a short trace that starts with full buckets would measure those.
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

// measure runs for 20 s and measures the second half.
func (d *workload) measure() string {
	const tick = 100 * time.Millisecond
	rng, o := rand.New(rand.NewSource(1)), NewOwner(start.Add(-time.Minute))
	limit := func(name string) Limit { return d.limits[name] }
	sent := make([]int, d.entries)
	fixed := make([]map[string]Amount, d.entries) // level and time of baseline buckets
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

// fixedShare is the baseline: a bucket with an equal part of the limit.
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
