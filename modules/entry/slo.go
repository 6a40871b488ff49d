package entry

import (
	"context"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/slo"
	"heatherway.dev/kernel/result"
)

// reportTimeout bounds the wait for the owner's answer to an operator's request.
const reportTimeout = time.Second

// objective returns the service-level objective of a series. It is called only
// by the owner's goroutine.
func (o *owner) objective(k slo.SeriesKey) slo.Objective {
	if o.next.config == nil {
		return slo.Objective{}
	}
	at, now := config.Scope{Organisation: k.Organisation}, time.Now()
	name := "class." + k.Class.String()
	return slo.Objective{
		Target: o.next.config.Duration(name+".target", at, now),
		Share:  o.next.config.Float(name+".objective", at, now),
	}
}

// requestFinished reports a finished request of a known organisation.
type requestFinished struct{ sample slo.Sample }

func (f requestFinished) apply(o *owner, now time.Time) { o.slo.Record(now, f.sample) }

// sloSnapshotRequest asks the owner for the service-level counts.
type sloSnapshotRequest struct{ reply chan slo.Snapshot }

func (a sloSnapshotRequest) apply(o *owner, now time.Time) { a.reply <- o.slo.Snapshot(now) }

// sloSnapshot returns the service-level counts.
func (o *owner) sloSnapshot() (slo.Snapshot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	reply := make(chan slo.Snapshot, 1)
	if s, ok := query(ctx, o, sloSnapshotRequest{reply}, reply); ok {
		return s, nil
	}
	return slo.Snapshot{}, result.New(result.Internal, "the entry did not answer in time")
}

// query sends a query to the owner and waits for the answer until ctx ends.
func query[T any](ctx context.Context, o *owner, q input, reply <-chan T) (answer T, ok bool) {
	select {
	case o.queue <- q:
	case <-ctx.Done():
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}
