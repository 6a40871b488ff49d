package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// harm is the rise of the share of bad answers that a test tells from none.
	harm = 0.1
	// minShare is the lowest share of bad answers that is assumed of the old version, so that a few
	// failures do not revert a version which the old one happened not to show.
	minShare = 0.01
	// maxShare bounds the assumed share; harm above it must remain a share.
	maxShare = 0.85
	// alarm is the log likelihood ratio at which a version is reverted, for one route; the logarithm of the
	// number of tests is added. TestJudgement measures the errors at it.
	alarm = 9.0
	// leaning is the part of the alarm that reverts a version when the decision is due, and leaningSum the log
	// likelihood ratio of all answers together that does.
	leaning    = 0.8
	leaningSum = 4.0
	// accepted is the log likelihood ratio below which a route needs few further answers.
	accepted = -5.0
	// longWindow is the time constant of the window for the old version. A route with a request or two a second needs
	// half a minute to show its usual share of failures.
	longWindow = 30 * time.Second
	// doubt is the number of good answers that count before the first one.
	doubt = 5
	// span is the time over which answers are gathered. Those of the target are compared with the old version's of
	// the same span and its two neighbours, so that the beginning of a burst or of a loss of packets speaks against neither.
	span = ReportInterval
	// shrinkage is the number of answers by which the shares of spans are drawn to that of the long window.
	shrinkage = 20
	// acceptedWeight, suspicionFactor and maxWeight shift requests from routes on which the target has shown itself sound
	// to those on which something speaks against it, by the log likelihood ratio.
	acceptedWeight, suspicionFactor, maxWeight = 0.25, 2, 16
	// minTimes is the number of recent times of the old version below which times are not compared.
	minTimes = 20
	// slowFactor is how many times the old version's median a slow answer takes.
	slowFactor = 2
	// slowQuantile is the quantile of the old version's times that a slow answer exceeds too.
	slowQuantile = 0.95
)

// window is a decaying histogram of recent answers of the old version.
type window struct {
	constant        time.Duration
	at              time.Duration
	answers, failed float64
	times           [bucketCount]float64
	timed           float64
}

func (w *window) add(at time.Duration, c Counts) {
	if at > w.at {
		f := math.Exp(-float64(at-w.at) / float64(w.constant))
		w.answers, w.failed, w.timed, w.at = w.answers*f, w.failed*f, w.timed*f, at
		for i := range w.times {
			w.times[i] *= f
		}
	}
	w.answers, w.failed = w.answers+float64(c.Answers), w.failed+float64(c.Failed)
	for b, n := range c.Times {
		w.times[b] += float64(n)
		w.timed += float64(n)
	}
}

// quantile returns the bucket that contains a quantile of the times.
func (w *window) quantile(q float64) int {
	sum := 0.0
	for b, n := range w.times {
		if sum += n; sum >= q*w.timed {
			return b
		}
	}
	return bucketCount - 1
}

// above returns the number of times beyond a bucket.
func (w *window) above(limit int) (n float64) {
	for _, t := range w.times[limit+1:] {
		n += t
	}
	return n
}

// test is a sequential test of a share of bad answers.
type test struct {
	// ratio is the log likelihood ratio, kept at zero or above, so that a version that turns bad is seen as soon
	// as one that was bad from the beginning. sum is the same without the bound.
	ratio, sum float64
	n, bad     int64
	// expected is the sum of the shares that the old version let expect.
	expected float64
}

// add adds answers of which a part was bad, where a share of them is expected to be.
func (t *test) add(n, bad int64, share float64) {
	if n == 0 {
		return
	}
	ratio := float64(bad)*math.Log((share+harm)/share) + float64(n-bad)*math.Log((1-share-harm)/(1-share))
	t.ratio, t.sum = max(t.ratio+ratio, 0), t.sum+ratio
	t.n, t.bad, t.expected = t.n+n, t.bad+bad, t.expected+float64(n)*share
}

// comparison compares the two versions on one route, or on all together.
type comparison struct {
	long           window
	failures, slow test
	// spans are the answers that are not compared yet, oldest first. before are the old version's of the span before them.
	spans  []spanCounts
	before Counts
}

// spanCounts are the answers of one span.
type spanCounts struct {
	number        int
	target, other Counts
}

// Judge tells a bad version from a good one. It needs no fixed number of answers.
type Judge struct {
	routes map[string]*comparison
	all    comparison
	// answers counts the answers of the target.
	answers int64
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge { return &Judge{routes: map[string]*comparison{}} }

// Observe takes in further answers on a route, at a time since the order.
func (j *Judge) Observe(at time.Duration, route string, target, other Counts) {
	c := j.routes[route]
	if c == nil {
		c = &comparison{long: window{constant: longWindow}}
		j.routes[route] = c
	}
	j.answers += target.Answers
	number := int(at / span)
	if n := len(c.spans); n == 0 || c.spans[n-1].number < number {
		c.spans = append(c.spans, spanCounts{number: number})
	}
	last := &c.spans[len(c.spans)-1]
	last.target.Merge(target)
	last.other.Merge(other)
	for len(c.spans) > 2 {
		j.compare(c)
	}
}

// flush compares all answers.
func (j *Judge) flush() {
	for _, c := range j.routes {
		for len(c.spans) > 0 {
			j.compare(c)
		}
	}
}

// compare compares the oldest span of a route.
func (j *Judge) compare(c *comparison) {
	s, near := c.spans[0], c.before.clone()
	near.Merge(s.other)
	if len(c.spans) > 1 {
		near.Merge(c.spans[1].other)
	}
	c.long.add(time.Duration(s.number)*span, s.other)
	j.judge(c, s, near)
	c.before, c.spans = s.other, c.spans[1:]
}

// judge adds answers of the target in a span to the tests. near are the old version's in it and its neighbours.
func (j *Judge) judge(c *comparison, s spanCounts, near Counts) {
	target := s.target
	share := expectedShare(part{c.long.failed, c.long.answers}, partOf(near.Failed, near.Answers), partOf(s.other.Failed, s.other.Answers))
	c.failures.add(target.Answers, target.Failed, share)
	j.all.failures.add(target.Answers, target.Failed, share)
	if c.long.timed < minTimes {
		return
	}
	limit := min(max(c.long.quantile(0.5)+bucketsPerOctave*int(math.Log2(slowFactor)), c.long.quantile(slowQuantile)), bucketCount-2)
	nearTimes, nearSlow := near.beyond(limit)
	sameTimes, sameSlow := s.other.beyond(limit)
	share = expectedShare(part{c.long.above(limit), c.long.timed}, partOf(nearSlow, nearTimes), partOf(sameSlow, sameTimes))
	n, slow := target.beyond(limit)
	c.slow.add(n, slow, share)
	j.all.slow.add(n, slow, share)
}

// part is a number of bad answers and that of all.
type part struct{ bad, all float64 }

func partOf(bad, all int64) part { return part{float64(bad), float64(all)} }

// expectedShare returns the share of bad answers to expect by the old version's recent answers and by those of shorter times
// around the answers that are judged. The largest counts: a disturbance of both versions may begin or end between them.
func expectedShare(recent part, around ...part) float64 {
	long := max((recent.bad+minShare*doubt)/(recent.all+doubt), minShare)
	p := long
	for _, a := range around {
		p = max(p, (a.bad+long*shrinkage)/(a.all+shrinkage))
	}
	return min(p+math.Sqrt(p*(1-p)/(recent.all+doubt)), maxShare)
}

// weight returns how many requests of a route are to be sent to the target, relative to a route of which nothing is known.
func (j *Judge) weight(route string) float64 {
	c := j.routes[route]
	switch {
	case c == nil:
		return 1
	case c.failures.sum < accepted && c.failures.ratio+c.slow.ratio == 0:
		return acceptedWeight
	}
	return 1 + min(suspicionFactor*max(c.failures.ratio, c.slow.ratio), maxWeight)
}

// Finding is what the tests say, with the figures behind it.
type Finding struct {
	Bad bool
	// Answers counts the answers of the target on all routes.
	Answers int64
	// Kind and Route name the test that speaks most against the target; the route is empty for all together.
	Kind, Route string
	// Of is the number of answers in that test, Seen that of the bad ones, Expected the number of bad ones that the
	// old version let expect.
	Of, Seen int64
	Expected float64
	// Ratio is the log likelihood ratio, Limit the one at which the version is reverted.
	Ratio, Limit float64
}

// String returns the finding as a phrase for logs and operators.
func (f Finding) String() string {
	if f.Kind == "" {
		return fmt.Sprintf("%d answers of the new version, none of them bad beyond the old version's", f.Answers)
	}
	where := "all routes"
	if f.Route != "" {
		where = "route " + f.Route
	}
	return fmt.Sprintf("%s answers on %s: %d of %d, %.1f expected by the old version (ratio %.1f, limit %.1f; %d answers in all)",
		f.Kind, where, f.Seen, f.Of, f.Expected, f.Ratio, f.Limit, f.Answers)
}

func (j *Judge) limit() float64 { return alarm + math.Log(float64(2*(len(j.routes)+1))) }

// Now returns whether the target is bad by now.
func (j *Judge) Now() Finding {
	f := Finding{Answers: j.answers, Limit: j.limit()}
	consider := func(kind, route string, t *test) {
		if t.ratio > f.Ratio {
			f.Kind, f.Route, f.Of, f.Seen, f.Expected, f.Ratio = kind, route, t.n, t.bad, t.expected, t.ratio
		}
	}
	for route, c := range j.routes {
		consider("failed", route, &c.failures)
		consider("slow", route, &c.slow)
	}
	consider("failed", "", &j.all.failures)
	consider("slow", "", &j.all.slow)
	f.Bad = f.Ratio >= f.Limit
	return f
}

// Due returns whether the target counts as bad when no further answers can be awaited. A target
// without any answer does.
func (j *Judge) Due() Finding {
	j.flush()
	f := j.Now()
	f.Limit *= leaning
	f.Bad = f.Ratio >= f.Limit || j.all.failures.sum > leaningSum || j.all.slow.sum > leaningSum || j.answers == 0
	return f
}
