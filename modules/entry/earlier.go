package entry

import (
	"context"
	"net/http"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// A caller that repeats a request with its Idempotency-Key takes "not run" for an answer about the key. This file
// makes sure that a refusal says so only if no earlier request with the key may have run.

const (
	// earlierRunTimeout bounds the lookup of a refused request's record, with the wait for its turn.
	earlierRunTimeout = 250 * time.Millisecond
	// maxEarlierRunLookups is the number of lookups at the same time. Each costs the control instances a read
	// through a quorum, and refusals come in bursts, for example over a rate limit.
	maxEarlierRunLookups = 8
)

// lookupEarlierRun returns the record of the key of a refused request, the zero value if there is none. It returns
// false if the record cannot be read in time.
func (m *Module) lookupEarlierRun(ctx context.Context, r *request) (wire.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, earlierRunTimeout)
	defer cancel()
	select {
	case m.earlierRunLookups <- struct{}{}:
		defer func() { <-m.earlierRunLookups }()
	case <-ctx.Done():
		return wire.Record{}, false
	}
	var lookup wire.LookupReply
	if err := m.control(ctx, "Lookup", &wire.LookupArgs{Key: r.key}, &lookup); err != nil {
		m.log.Warn("record of a refused request not read", "request_id", r.id, "error", err)
		return wire.Record{}, false
	}
	return lookup.Record, true
}

// checkEarlierRun returns the outcome of a refused call with a caller's key: the stored answer if an earlier call
// with the key has one, an error if that is malformed, and otherwise the refusal, which says "not run" only if no earlier call has begun.
func (m *Module) checkEarlierRun(ctx context.Context, c *call, err *result.Error) (*wire.CallReply, *result.Error) {
	record, known := m.lookupEarlierRun(ctx, c.request)
	if !known {
		return nil, err.WithRan(result.Unknown)
	}
	resolver := outcomeResolver{module: m, call: c, args: wire.AbortArgs{Key: c.key}}
	if reply, found, done := resolver.interpretRecord(&record); done && (reply != nil || found.Code == result.KeyReused || found.Ran == result.Unknown) {
		return reply, found
	}
	if resolver.claimed {
		return nil, err.WithRan(result.Unknown)
	}
	return nil, err
}

// checkEarlierGeneration corrects what the refusal of a generation says of its run: an earlier request with the same
// key, or the one that a caller resumes, may have run.
func (m *Module) checkEarlierGeneration(ctx context.Context, r *request, err *result.Error) {
	if err.Ran != result.NotRun || r == nil {
		return
	}
	if r.resume != nil {
		err.Ran = result.DidRun
		return
	}
	if r.key == "" {
		return
	}
	record, known := m.lookupEarlierRun(ctx, r)
	switch {
	case !known:
		err.Ran = result.Unknown
	case record.BodyHash != "" && record.BodyHash != r.fingerprint: // the key belongs to another request
	case record.State == wire.RecordFinished:
		err.Ran = result.DidRun
	case record.State == wire.RecordStarted && record.Generation != r.generation: // the attempts of this request have not run
		err.Ran = result.Unknown
	}
}

// ranUnchecked is what a refusal says of the run of a request that comes before the record of its key can be looked
// up.
func ranUnchecked(r *http.Request) result.Ran {
	if r.Header.Get("Idempotency-Key") != "" {
		return result.Unknown
	}
	return result.NotRun
}
