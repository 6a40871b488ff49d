package slo

import (
	"slices"
	"sort"

	"heatherway.dev/kernel/result"
)

// OK is the result code of a request that was answered completely.
const OK result.Code = 0

// CodeCount is the number of requests that ended with a result code.
type CodeCount struct {
	Code  result.Code `json:"code"`
	Count uint64      `json:"count"`
}

// Counts are the request counts of a series, either since its start or within a window.
type Counts struct {
	// Total does not include requests that failed because of the caller.
	Total uint64 `json:"total"`
	// Late counts requests that were answered completely, but later than the target.
	Late uint64 `json:"late"`
	// Failed is ordered by code.
	Failed []CodeCount `json:"failed,omitempty"`
}

// Bad returns the number of requests that missed the objective.
func (c Counts) Bad() uint64 {
	n := c.Late
	for _, f := range c.Failed {
		n += f.Count
	}
	return n
}

// plus returns the sum of two counts.
func (c Counts) plus(o Counts) Counts {
	out := Counts{Total: c.Total + o.Total, Late: c.Late + o.Late, Failed: slices.Clone(c.Failed)}
	for _, f := range o.Failed {
		out.fail(f.Code, f.Count)
	}
	return out
}

// minus returns the difference to an earlier state of the same counts.
func (c Counts) minus(earlier Counts) Counts {
	out := Counts{Total: c.Total - earlier.Total, Late: c.Late - earlier.Late}
	for _, f := range c.Failed {
		if n := f.Count - earlier.failed(f.Code); n > 0 {
			out.Failed = append(out.Failed, CodeCount{f.Code, n})
		}
	}
	return out
}

func (c Counts) failed(code result.Code) uint64 {
	if i, ok := c.find(code); ok {
		return c.Failed[i].Count
	}
	return 0
}

func (c Counts) find(code result.Code) (int, bool) {
	i := sort.Search(len(c.Failed), func(i int) bool { return c.Failed[i].Code >= code })
	return i, i < len(c.Failed) && c.Failed[i].Code == code
}

func (c *Counts) fail(code result.Code, n uint64) {
	i, ok := c.find(code)
	if !ok {
		c.Failed = slices.Insert(c.Failed, i, CodeCount{Code: code})
	}
	c.Failed[i].Count += n
}

// clone returns a copy that shares no memory with c.
func (c Counts) clone() Counts {
	c.Failed = slices.Clone(c.Failed)
	return c
}

// firstServerStatus is the lowest HTTP status of server errors.
const firstServerStatus = 500

// CountsAgainstBudget reports whether a failure counts against the error budget. Failures
// caused by the caller do not; otherwise a caller could exhaust the budget at will.
func CountsAgainstBudget(c result.Code) bool {
	switch c {
	case result.QueueFull, result.DeadlineUnreachable, result.GenerationLost:
		return true
	}
	return c.Info().HTTP >= firstServerStatus
}
