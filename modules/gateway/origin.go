package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/origin"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// This file keeps a stream whose caller takes it up again at the software version that began it. The
// version is recorded at the control instances before the caller receives anything, unless it is
// the default version of the service.

const (
	// originCallTimeout limits one call about the version of a stream: a few syncs of a disk and
	// round trips between availability zones.
	originCallTimeout = 250 * time.Millisecond
	// originWait is how long such calls are repeated. A new leader is elected within it, and a
	// prompt is usually still being read.
	originWait = 1500 * time.Millisecond
	// originRetryDelay is the time between two calls.
	originRetryDelay = 50 * time.Millisecond
	// unknownVersionRetryAfter is the Retry-After for a stream whose version the control instances
	// could not tell; another gateway may reach them.
	unknownVersionRetryAfter = 300 * time.Millisecond
	// goneVersionRetryAfter is the Retry-After for a stream whose version no longer serves. Its
	// caller may begin it anew at once.
	goneVersionRetryAfter = 50 * time.Millisecond
)

var errVersionNotRecorded = errors.New("the version of the upstream could not be recorded, and others can take the stream")

// versionRecord is the record of the version that is about to begin a stream.
type versionRecord struct {
	version string
	done    chan struct{}
	err     error // set before done is closed
}

// failed reports whether the record was not written as far as this gateway knows.
func (r *versionRecord) failed() bool {
	select {
	case <-r.done:
		return r.err != nil
	default:
		return false
	}
}

// mayBeWritten reports whether the ledger may hold the record, now or later.
func (r *versionRecord) mayBeWritten() bool {
	select {
	case <-r.done:
		return r.err == nil || result.From(r.err).Ran != result.NotRun
	default:
		return true
	}
}

// lastRecord returns the newest record of the stream, nil if there is none.
func (s *streamRequest) lastRecord() *versionRecord {
	if len(s.records) == 0 {
		return nil
	}
	return s.records[len(s.records)-1]
}

// callOriginOwner repeats a call to the owner of the ledger until it succeeds or ctx ends. The error
// says whether one of the calls may have run.
func callOriginOwner[R any, P interface {
	*R
	Addr() string
}](ctx context.Context, g *Gateway, method string, args any) (P, error) {
	mayHaveRun := false
	for {
		reply, err := callOwner[R, P](ctx, g, &g.originOwner, originCallTimeout, method, args)
		if err == nil {
			return reply, nil
		}
		failure := result.From(err)
		mayHaveRun = mayHaveRun || failure.Ran != result.NotRun
		select {
		case <-time.After(originRetryDelay):
		case <-ctx.Done():
			g.owner.call(func(s *state) { s.origins.Failed(time.Now()) })
			if mayHaveRun {
				failure = failure.WithRan(result.Unknown)
			}
			return nil, failure
		}
	}
}

// isTakeUp reports whether the caller takes up a stream of which it has events.
func (s *streamRequest) isTakeUp() bool {
	return s.route.Resumable && s.req.LastEventID != dialect.NoEvent
}

// streamKey identifies the stream to the control instances and to other gateways.
func (s *streamRequest) streamKey() origin.Key {
	id := s.req.ID
	if s.isTakeUp() {
		id = s.req.Resumes
	}
	return origin.KeyOf(s.service.Name, id)
}

// findVersion finds the version that began a stream that the caller takes up. It returns an error if
// that is not known: the stream must not go on then. If this gateway did not begin it, only the owner
// of the ledger knows: another version may have joined since this gateway last heard of any.
func (s *streamRequest) findVersion() error {
	version, known, unversioned := "", false, false
	wait := originWait
	s.g.owner.call(func(st *state) {
		if s.req.Resumes != "" {
			version, known = st.origins.Version(s.streamKey())
		}
		unversioned = st.fleet.Unversioned(s.service.Name)
		if st.origins.Down(time.Now()) {
			wait = originCallTimeout
		}
	})
	if known || unversioned {
		s.version = version
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	args := &registry.StreamVersionArgs{Service: s.service.Name, Key: s.streamKey(), Unnamed: s.req.Resumes == "", Forward: true}
	reply, err := callOriginOwner[registry.StreamVersionReply](ctx, s.g, "StreamVersion", args)
	if err == nil {
		version, known = reply.Version, reply.Known
	}
	s.logEvent("version of a resumed stream looked up", "resumes", s.req.Resumes, "upstream_version", version, "known", known, "error", err)
	if !known {
		return result.New(result.VersionUnavailable, "the software version that began the stream is not known").After(unknownVersionRetryAfter)
	}
	s.version = version
	return nil
}

// goneVersionError is the error for a stream whose version no longer serves.
func (s *streamRequest) goneVersionError() error {
	return result.New(result.VersionUnavailable, "no upstream runs the software version that began the stream").After(goneVersionRetryAfter)
}

// restrictVersion restricts a new stream to the default version while the control instances can't
// record another one.
func (s *streamRequest) restrictVersion(request *dispatch.Request) {
	if s.isTakeUp() || !s.route.Resumable || s.responseStarted {
		return
	}
	s.g.owner.call(func(st *state) {
		if d := st.origins.LastDefault(s.service.Name); st.origins.Down(time.Now()) && d != "" && st.fleet.HasReady(s.service.Name, d) {
			request.Version = d
		}
	})
}

// startRecord begins to record the version of an attempt that may begin the stream, if it has to be
// recorded and an earlier attempt has not begun to. The upstream reads the prompt meanwhile.
func (s *streamRequest) startRecord(a *attempt) {
	s.record = nil
	if s.isTakeUp() || !s.route.Resumable || s.responseStarted || a.choice.Version == "" {
		return
	}
	service, version := s.service.Name, a.choice.Version
	recorded, needed, wait := "", false, originWait // a record may exist whatever the outcome
	if last := s.lastRecord(); last != nil {
		recorded, needed = last.version, last.version == version
		if needed && !last.failed() {
			s.record = last
			return
		}
	}
	s.g.owner.call(func(st *state) {
		now := time.Now()
		needed = needed || st.origins.NeedsRecord(now, service, version, recorded)
		if st.origins.Down(now) {
			wait = originCallTimeout
		}
	})
	if !needed {
		return
	}
	record := &versionRecord{version: version, done: make(chan struct{})}
	s.record, s.records = record, append(s.records, record)
	args := &registry.RecordStreamArgs{Replace: recorded != "", Forward: true, Record: origin.Record{
		Service: service, Version: version, Key: s.streamKey(), Retention: origin.Retention(s.route.Timeout), Attempt: len(s.records)}}
	go func() {
		defer close(record.done)
		defer recovery.Into(s.g.log, "record of a stream", &record.err)
		ctx, cancel := context.WithTimeout(s.ctx, wait)
		defer cancel()
		reply, err := callOriginOwner[registry.RecordStreamReply](ctx, s.g, "RecordStream", args)
		if record.err = err; err == nil {
			s.g.owner.call(func(st *state) { st.origins.Told(time.Now(), service, reply.Default) })
		}
	}()
}

// awaitRecord waits until the version of the attempt is recorded. It returns an error if the stream
// must not begin there. An unrecorded stream begins only if no upstream of the default version is
// there, since it is then refused when it is taken up elsewhere as one of that version, and if the
// ledger holds no other version for it.
func (s *streamRequest) awaitRecord(a *attempt) error {
	if s.record == nil {
		return nil
	}
	select {
	case <-s.record.done:
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	err := s.record.err
	if err == nil {
		return nil
	}
	other := ""
	s.g.owner.call(func(st *state) {
		if d := st.origins.LastDefault(s.service.Name); d != a.choice.Version && st.fleet.HasReady(s.service.Name, d) {
			other = d
		}
	})
	otherRecorded := slices.ContainsFunc(s.records, func(r *versionRecord) bool { return r.version != a.choice.Version && r.mayBeWritten() })
	s.g.log.Warn("version of a stream not recorded", "request", s.req.ID, "upstream_version", a.choice.Version, "default", other,
		"other_may_be_recorded", otherRecorded, "error", err)
	if other != "" || otherRecorded {
		return errVersionNotRecorded
	}
	return nil
}
