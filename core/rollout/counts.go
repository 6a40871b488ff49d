package rollout

import (
	"maps"
	"math"
	"time"
)

const (
	// bucketsPerOctave is the resolution of the counted times: each bucket is a fifth wider than the one before.
	bucketsPerOctave = 4
	// bucketCount covers times from one millisecond to a minute.
	bucketCount = 64
	// MaxRoutes bounds the routes that are counted apart. The others are counted together under an empty name.
	MaxRoutes = 64
)

// Counts are the answers of one version on one route since the order. Only answers that upstreams gave
// count: broken connections speak about instances and links.
type Counts struct {
	// Answers counts the answers, Failed those with the status of a failure.
	Answers, Failed int64
	// Times counts the answers whose time tells the speed of the version, by bucket of their time.
	Times map[uint8]int64
}

// bucket returns the bucket of a time.
func bucket(took time.Duration) uint8 {
	ms := float64(took) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return uint8(min(bucketsPerOctave*math.Log2(ms), bucketCount-1))
}

// add counts an answer. A time of zero is not counted.
func (c *Counts) add(failed bool, took time.Duration) {
	c.Answers++
	if failed {
		c.Failed++
	}
	if took > 0 && !failed {
		if c.Times == nil {
			c.Times = map[uint8]int64{}
		}
		c.Times[bucket(took)]++
	}
}

// since returns what was counted after earlier totals.
func (c Counts) since(earlier Counts) Counts {
	d := Counts{Answers: max(c.Answers-earlier.Answers, 0), Failed: max(c.Failed-earlier.Failed, 0), Times: map[uint8]int64{}}
	for b, n := range c.Times {
		if n -= earlier.Times[b]; n > 0 && b < bucketCount {
			d.Times[b] = n
		}
	}
	d.Failed = min(d.Failed, d.Answers)
	return d
}

// RouteCounts are the counts of one route.
type RouteCounts struct {
	// Requests counts the requests of callers that were sent to any version.
	Requests      int64
	Target, Other Counts
}

// since returns what was counted after earlier totals.
func (c RouteCounts) since(earlier RouteCounts) RouteCounts {
	return RouteCounts{max(c.Requests-earlier.Requests, 0), c.Target.since(earlier.Target), c.Other.since(earlier.Other)}
}

// clone returns a copy that shares nothing.
func (c Counts) clone() Counts {
	c.Times = maps.Clone(c.Times)
	return c
}

// Merge adds other counts.
func (c *Counts) Merge(o Counts) {
	c.Answers, c.Failed = c.Answers+o.Answers, c.Failed+o.Failed
	if c.Times == nil && len(o.Times) > 0 {
		c.Times = map[uint8]int64{}
	}
	for b, n := range o.Times {
		c.Times[b] += n
	}
}

// beyond returns the number of times, and of those beyond a bucket.
func (c Counts) beyond(limit int) (n, above int64) {
	for b, count := range c.Times {
		n += count
		if int(b) > limit {
			above += count
		}
	}
	return n, above
}

// Median returns the middle of the times, to the width of a bucket; zero if there are none.
func (c Counts) Median() time.Duration {
	all, sum := int64(0), int64(0)
	for _, n := range c.Times {
		all += n
	}
	for b := range uint8(bucketCount) {
		if sum += c.Times[b]; 2*sum > all {
			return time.Duration(math.Exp2((float64(b)+0.5)/bucketsPerOctave) * float64(time.Millisecond))
		}
	}
	return 0
}
