package gateway

import (
	"context"
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
	// askedUpstreams is how many upstreams are asked for a report before a stream
	// is placed: two choices avoid most of the queues that one choice meets.
	reportsPerRound = 2
	// reportLimit bounds the wait for reports; it is small against the second that
	// the usual prompt takes.
	reportTimeout = 30 * time.Millisecond
)

// findPrompt asks the homes of a stream whose caller has come back which of them
// holds its prompt. The gateway that knew has lost the caller, or has ended. The
// homes in other availability zones are asked only if no other has it.
func (s *streamRequest) locatePrompt(w *dispatch.Request) {
	var own, others []registration.Upstream
	s.g.owner.call(func(st *state) { own, others = st.fleet.AffinityUpstreams(time.Now(), w) })
	cached, most := s.queryCaches(own)
	if most == 0 {
		cached, most = s.queryCaches(others)
	}
	w.CachedAt = cached
	s.logOutcome("caller has come back", "last_event", s.req.LastEvent,
		"prompt_at", w.CachedAt, "cached_tokens", most)
}

// askCaches returns which of the upstreams keeps most of the prompt, and how many
// tokens of it.
func (s *streamRequest) queryCaches(homes []registration.Upstream) (id string, most int) {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	kept := make([]int, len(homes))
	var wait sync.WaitGroup
	for i, u := range homes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_ = recovery.Run(s.g.log, "list of cached prompts", func() { kept[i] = s.queryCache(ctx, u) })
		}()
	}
	wait.Wait()
	for i, u := range homes {
		if kept[i] > most {
			id, most = u.ID, kept[i]
		}
	}
	return id, most
}

// askCache returns how many tokens of the prompt an upstream keeps.
func (s *streamRequest) queryCache(ctx context.Context, u registration.Upstream) int {
	body, err := s.g.callUpstream(ctx, u, s.g.dialect.CacheCall())
	if err != nil {
		s.g.log.Debug("no list of cached prompts", "request", s.req.ID, "upstream", u.ID, "error", err)
		return 0 // the prompt is read anew if need be
	}
	tokens, err := s.g.dialect.CachedTokens(body, s.req.PromptKey)
	if err != nil {
		s.g.log.Warn("list of cached prompts not understood", "upstream", u.ID, "error", err)
	}
	return tokens
}

// askReports asks the best candidates of a stream for their state. Other
// gateways send work to the same upstreams, and prompts that meet at one are
// read one after the other. When the first ones are loaded, others are asked.
func (s *streamRequest) collectReports(w *dispatch.Request) {
	for range dispatch.MaxReportRounds {
		var candidates []registration.Upstream
		s.g.owner.call(func(st *state) { candidates = st.fleet.ReportCandidates(time.Now(), w, reportsPerRound) })
		if len(candidates) == 0 {
			return
		}
		s.recordReports(candidates)
	}
}

func (s *streamRequest) recordReports(candidates []registration.Upstream) {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, u := range candidates {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_ = recovery.Run(s.g.log, "report", func() { s.recordReport(ctx, u) })
		}()
	}
	wait.Wait()
}

// askProgress asks a silent upstream how the attempt there stands.
func (s *streamRequest) queryProgress(ctx context.Context, u registration.Upstream) relay.Progress {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := s.fetchReport(ctx, u)
	if err != nil {
		s.g.log.Debug("no report", "request", s.req.ID, "upstream", u.ID, "error", err)
		return relay.Unknown
	}
	about := relay.Report{RequestsWithoutEvents: r.Queued + max(r.Running-len(r.Runs), 0), WorkCounter: r.UsedTokens}
	for _, run := range r.Runs {
		about.WorkCounter += run.Events
		if run.ID == s.req.ID {
			about.HasEvents, about.Events = true, run.Events
		}
	}
	progress := s.relay.EvaluateReport(about)
	last, _ := s.relay.LastEvent()
	s.g.log.Info("silent upstream asked", "request", s.req.ID, "upstream", u.ID, "listed", about.HasEvents, "events_made", about.Events,
		"unlisted", about.RequestsWithoutEvents, "last_event", last, "progress", progress.String())
	return progress
}

// fetchReport asks an upstream for the state of its work.
func (s *streamRequest) fetchReport(ctx context.Context, u registration.Upstream) (dialect.Report, error) {
	body, err := s.g.callUpstream(ctx, u, s.g.dialect.ReportCall())
	if err != nil {
		return dialect.Report{}, err
	}
	r, err := s.g.dialect.Report(body)
	if err != nil {
		s.g.log.Warn("report not understood", "upstream", u.ID, "error", err)
	}
	return r, err
}

func (s *streamRequest) recordReport(ctx context.Context, u registration.Upstream) {
	r, err := s.fetchReport(ctx, u)
	if err != nil {
		// The placement goes by what is known.
		s.g.log.Debug("no report", "request", s.req.ID, "upstream", u.ID, "error", err)
		if errors.Is(err, errNotSent) {
			s.g.owner.post(func(st *state) { st.fleet.RecordUnreachable(time.Now(), u.ID) })
		}
		return
	}
	s.g.metrics.reports.Inc()
	seen := dispatch.LoadReport{Queued: r.Queued, Running: r.Running, UsedTokens: r.UsedTokens, BackupTokens: r.CopiedTokens,
		Decoding: make([]dispatch.DecodingRequest, 0, len(r.Runs))}
	for _, run := range r.Runs {
		seen.Decoding = append(seen.Decoding, dispatch.DecodingRequest{ID: run.ID, Tokens: run.Tokens})
	}
	s.g.owner.post(func(st *state) { st.fleet.RecordReport(time.Now(), u.ID, seen) })
}
