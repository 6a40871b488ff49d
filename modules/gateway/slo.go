package gateway

import (
	"net/http"
	"time"

	"heatherway.dev/core/slo"
	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/internal/sloreport"
	"heatherway.dev/kernel/result"
)

// maxOffenders is the number of worst series listed in the report.
const maxOffenders = 10

// recordSample counts a finished request of a known route against its objective.
// longestPause is the longest pause between events of a stream.
func (c *callerRequest) recordSample(timeToFirstEvent, longestPause time.Duration, code result.Code) {
	if c.route == nil {
		return
	}
	sample := slo.Sample{
		Class: wire.Class(min(max(c.priority, 0), wire.ClassCount-1)), FirstToken: timeToFirstEvent, Target: c.route.Objective,
		Late: c.route.MaxEventGap > 0 && longestPause > c.route.MaxEventGap, Code: code,
	}
	if c.organisation != nil {
		sample.Organisation = c.organisation.Name
	}
	c.g.owner.post(func(s *state) { s.slo.Record(time.Now(), sample) })
}

// serveSLOReport serves the report on error budget burn; the query parameter format is
// text, json or html.
func (g *Gateway) serveSLOReport(w http.ResponseWriter, r *http.Request) {
	var snapshot slo.Snapshot
	if !g.owner.call(func(s *state) { snapshot = s.slo.Snapshot(time.Now()) }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	format := sloreport.Format(r.URL.Query().Get("format"))
	if err := sloreport.Write(w, slo.BuildReport(snapshot, maxOffenders), format); err != nil {
		g.log.Debug("SLO report not written", "error", err)
	}
}
