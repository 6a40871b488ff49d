package crash

import "time"

// Times of requests that gateways and entries hold.
const (
	// UndecidedRetryAfter is the Retry-After of a request that may not run until the state of
	// its earlier upstreams is known, or that of a part of its prompt. Upstreams announce
	// themselves about once a second.
	UndecidedRetryAfter = time.Second
	// BlockedPartRetryAfter is the Retry-After of a request with a blocked part, which may run
	// again at the earliest after a trial.
	BlockedPartRetryAfter = 10 * time.Second
	// PartDecisionWait is how long a request waits while a part of its prompt is undecided,
	// and PartDecisionInterval the time between two looks. A probe takes about two seconds,
	// and a caller that is refused has only one more try.
	PartDecisionWait     = 2500 * time.Millisecond
	PartDecisionInterval = 100 * time.Millisecond
)
