package retry

import (
	"math/rand"
	"time"

	"heatherway.dev/kernel/result"
)

// Decision is what an entry does with a failed attempt.
type Decision uint8

// The verdicts.
const (
	// Stop gives the failure to the caller.
	Stop Decision = iota
	// RetryElsewhere makes another attempt on another upstream, within the budget.
	RetryElsewhere
)

// elsewhere lists the codes that another upstream may not give. Codes such as
// rate_limited, quarantined or records_unavailable hold for the whole fleet, so
// another attempt would only add load.
var retryableElsewhere = map[result.Code]bool{
	result.QueueFull:            true,
	result.DeadlineUnreachable:  true,
	result.UpstreamFailed:       true,
	result.UpstreamStalled:      true,
	result.Leaving:              true,
	result.ConfigurationBehind:  true,
	result.GenerationNotHeld:    true,
	result.UpstreamNotReachable: true,
}

// Failure is a failed attempt.
type Failure struct {
	Code result.Code
	// Ran is the value that came with the failure, which may be more exact than
	// the code's own.
	Ran result.Ran
	// Idempotent is set for lookups and for generations, whose earlier output
	// is never mixed with that of a new attempt.
	Idempotent bool
	// Attempts is the number of attempts made, and MaxAttempts the most allowed.
	Attempts, MaxAttempts int
	// TimeLeft is the time left before the caller's deadline; HasDeadline tells
	// whether there is one.
	TimeLeft    time.Duration
	HasDeadline bool
}

// Decide decides whether a failed attempt may be followed by another. The caller
// then asks the Budget.
func Decide(f Failure) Decision {
	switch {
	case !retryableElsewhere[f.Code]:
		return Stop
	case f.Ran != result.NotRun && !f.Idempotent:
		return Stop
	case f.Attempts >= f.MaxAttempts:
		return Stop
	case f.HasDeadline && f.TimeLeft <= 0:
		return Stop
	}
	return RetryElsewhere
}

// MinRetryAfter is the least time that a refused caller is told to wait; less
// makes callers without a pause of their own ask again in a tight loop.
const MinRetryAfter = 100 * time.Millisecond

// RetryAfter returns the Retry-RetryAfter of a refusal: the estimated time until there
// is room, times a random factor of 1 to 2, so that callers refused together
// do not return together.
func RetryAfter(estimate time.Duration, rng *rand.Rand) time.Duration {
	estimate = max(estimate, MinRetryAfter)
	return time.Duration(float64(estimate) * (1 + rng.Float64()))
}

// HeaderSeconds rounds a wait up to the whole seconds of the Retry-After
// header, as an earlier return would be refused again.
func HeaderSeconds(wait time.Duration) int64 {
	return int64((max(wait, 1) + time.Second - 1) / time.Second)
}
