package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/dispatch"
	"heatherway.dev/core/registration"
	"heatherway.dev/core/relay"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/recovery"
)

const (
	// loadReportsPerRound is the number of upstreams whose reports are fetched before a
	// stream is placed: choosing between two avoids most queues that a single choice
	// would join.
	loadReportsPerRound = 2
	// loadReportTimeout limits the wait for reports; it is short compared with the second
	// that a typical prompt takes to process.
	loadReportTimeout = 30 * time.Millisecond
)

// locatePrompt asks the affinity upstreams of a resumed stream which of them still has
// its prompt cached. The gateway that knew has lost the connection to the caller, or
// has stopped. Upstreams in other availability zones are asked only if none in this
// zone has it.
func (s *streamRequest) locatePrompt(request *dispatch.Request) {
	var sameZone, otherZones []registration.Upstream
	s.g.owner.call(func(st *state) { sameZone, otherZones = st.fleet.AffinityUpstreams(time.Now(), request) })
	cached, tokens := s.queryCaches(sameZone)
	if tokens == 0 {
		cached, tokens = s.queryCaches(otherZones)
	}
	request.CachedAt = cached
	s.logEvent("stream resumed by its caller", "resumes", s.req.Resumes, "last_event", s.req.LastEventID,
		"prompt_at", request.CachedAt, "cached_tokens", tokens)
}

// queryCaches returns the upstream that has most of the prompt cached, and the number
// of cached tokens.
func (s *streamRequest) queryCaches(upstreams []registration.Upstream) (id string, tokens int) {
	ctx, cancel := context.WithTimeout(s.ctx, loadReportTimeout)
	defer cancel()
	cachedTokens := make([]int, len(upstreams))
	var wg sync.WaitGroup
	for i, u := range upstreams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = recovery.Run(s.g.log, "list of cached prompts", func() { cachedTokens[i] = s.queryCache(ctx, u) })
		}()
	}
	wg.Wait()
	for i, u := range upstreams {
		if cachedTokens[i] > tokens {
			id, tokens = u.ID, cachedTokens[i]
		}
	}
	return id, tokens
}

// queryCache returns how many tokens of the prompt an upstream has cached.
func (s *streamRequest) queryCache(ctx context.Context, u registration.Upstream) int {
	tokens := 0
	err := s.g.callUpstream(ctx, u, s.g.dialect.CacheCall(), func(body []byte) (err error) {
		if tokens, err = s.g.dialect.CachedTokens(body, s.req.PromptKey); err != nil {
			s.g.log.Warn("malformed list of cached prompts", "upstream", u.ID, "error", fmt.Sprintf("%.256s", err))
		}
		return nil
	})
	if err != nil { // the prompt is processed again if necessary
		s.g.log.Debug("list of cached prompts not received", "request", s.req.ID, "upstream", u.ID, "error", err)
	}
	return tokens
}

// refreshLoadReports fetches and records the load reports of the best candidates for a
// stream. Other
// gateways send requests to the same upstreams, and an upstream processes its prompts
// one after another. If the first candidates are loaded, others are asked.
func (s *streamRequest) refreshLoadReports(request *dispatch.Request) {
	for range dispatch.MaxReportRounds {
		var candidates []registration.Upstream
		s.g.owner.call(func(st *state) { candidates = st.fleet.ReportCandidates(time.Now(), request, loadReportsPerRound) })
		if len(candidates) == 0 {
			return
		}
		s.refreshReportsOf(candidates)
	}
}

func (s *streamRequest) refreshReportsOf(candidates []registration.Upstream) {
	ctx, cancel := context.WithTimeout(s.ctx, loadReportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, u := range candidates {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = recovery.Run(s.g.log, "load report", func() { s.refreshReportOf(ctx, u) })
		}()
	}
	wg.Wait()
}

// queryProgress asks a silent upstream about the progress of the attempt. An answer of the same
// incarnation shows that the attempt has not ended it.
func (s *streamRequest) queryProgress(ctx context.Context, a *attempt) relay.Progress {
	u := a.choice.Upstream
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	r, err := s.fetchLoadReport(ctx, u)
	if err != nil {
		s.g.log.Debug("load report not received", "request", s.req.ID, "upstream", u.ID, "error", err)
		return relay.Unknown
	}
	a.alive = r.StartedMS != 0 && r.StartedMS == u.StartedMS
	report := relay.Report{RequestsWithoutEvents: r.Queued + max(r.Running-len(r.Runs), 0), WorkCounter: r.UsedTokens}
	for _, run := range r.Runs {
		report.WorkCounter += run.Events
		if run.ID == s.req.ID {
			report.HasEvents, report.Events = true, run.Events
		}
	}
	progress := s.relay.EvaluateReport(report)
	last, _ := s.relay.LastEvent()
	s.g.log.Info("progress of silent upstream checked", "request", s.req.ID, "upstream", u.ID, "listed", report.HasEvents, "events_made", report.Events,
		"unlisted", report.RequestsWithoutEvents, "last_event", last, "progress", progress.String())
	return progress
}

// fetchLoadReport fetches the load report of an upstream, which describes its queue, its
// KV cache and its running requests.
func (s *streamRequest) fetchLoadReport(ctx context.Context, u registration.Upstream) (dialect.Report, error) {
	var r dialect.Report
	err := s.g.callUpstream(ctx, u, s.g.dialect.ReportCall(), func(body []byte) (err error) {
		if r, err = s.g.dialect.Report(body); err != nil {
			s.g.log.Warn("malformed load report", "upstream", u.ID, "error", fmt.Sprintf("%.256s", err))
		}
		return err
	})
	return r, err
}

func (s *streamRequest) refreshReportOf(ctx context.Context, u registration.Upstream) {
	r, err := s.fetchLoadReport(ctx, u)
	if err != nil {
		// The placement uses the load that is already known.
		s.g.log.Debug("load report not received", "request", s.req.ID, "upstream", u.ID, "error", err)
		if errors.Is(err, errNotSent) {
			s.g.owner.post(func(st *state) { st.fleet.RecordUnreachable(time.Now(), u.ID) })
		}
		return
	}
	s.g.metrics.reports.Inc()
	report := dispatch.LoadReport{Queued: r.Queued, Running: r.Running, UsedTokens: r.UsedTokens, BackupTokens: r.CopiedTokens,
		Decoding: make([]dispatch.DecodingRequest, 0, len(r.Runs))}
	for _, run := range r.Runs {
		report.Decoding = append(report.Decoding, dispatch.DecodingRequest{ID: run.ID, Tokens: run.Tokens})
	}
	s.g.owner.post(func(st *state) { st.fleet.RecordReport(time.Now(), u.ID, report) })
}
