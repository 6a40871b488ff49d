package retry

import (
	"math/rand"
	"time"

	"heatherway.dev/kernel/result"
)

// Decision is what an entry does after a failed attempt.
type Decision uint8

const (
	// Stop returns the failure to the caller.
	Stop Decision = iota
	// RetryElsewhere makes another attempt at another upstream, if the budget allows it.
	RetryElsewhere
)

// retryableElsewhere lists the codes after which an attempt at another upstream may
// succeed. Codes such as rate_limited, quarantined or records_unavailable apply to the
// whole fleet, so another attempt would only add load.
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

// Failure describes a failed attempt.
type Failure struct {
	Code result.Code
	// Ran tells whether the request was run, as returned with the failure. It may be more
	// precise than the default of the code.
	Ran result.Ran
	// Idempotent is set for lookups, and for generations, since output of an earlier
	// attempt is never mixed with that of a new one.
	Idempotent bool
	// Attempts is the number of attempts made, and MaxAttempts the number allowed.
	Attempts, MaxAttempts int
	// TimeLeft is the time left until the caller's deadline, if HasDeadline is set.
	TimeLeft    time.Duration
	HasDeadline bool
}

// Decide decides whether a failed attempt may be followed by another one. The caller then
// asks the Budget.
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

// MinRetryAfter is the shortest Retry-After of a refusal. With less, callers without a
// delay of their own retry in a tight loop.
const MinRetryAfter = 100 * time.Millisecond

// RetryAfter returns the Retry-After of a refusal: the estimated time until there is room,
// times a random factor of 1 to 2, so that callers refused together do not retry at the
// same time.
func RetryAfter(estimate time.Duration, rng *rand.Rand) time.Duration {
	estimate = max(estimate, MinRetryAfter)
	return time.Duration(float64(estimate) * (1 + rng.Float64()))
}

// HeaderSeconds rounds a delay up to whole seconds for the Retry-After header, since a
// caller that returns earlier would be refused again.
func HeaderSeconds(wait time.Duration) int64 {
	return int64((max(wait, 1) + time.Second - 1) / time.Second)
}
