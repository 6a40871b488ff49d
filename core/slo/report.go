package slo

import (
	"cmp"
	"slices"
	"time"

	"heatherway.dev/core/wire"
)

// Level is the urgency of the burn of an error budget.
type Level string

// The levels.
const (
	// WithinBudget means that the budget is spent no faster than it accrues.
	WithinBudget Level = "fine"
	// SlowBurn means that the budget is overspent over days.
	SlowBurn Level = "slow burn"
	// FastBurn means that the budget is spent within hours.
	FastBurn Level = "fast burn"
)

// Burn rates above which a level applies. Both a long and a short window must exceed the
// rate, so that the level is cleared soon after a burn has ended.
const (
	fastBurnHourRate     = 14.4 // 2% of a 30 d budget in 1 h
	fastBurnSixHoursRate = 6    // 5% of a 30 d budget in 6 h
	slowBurnRate         = 1
)

// minBudgetRatio keeps burn rates finite for an objective of 1.
const minBudgetRatio = 1e-9

// Row summarises a group of series.
type Row struct {
	Class        string `json:"class,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	// Objective is set if all series of the row have the same one.
	Objective Objective `json:"objective"`
	// Total and Bad are the counts of the longest window.
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
	// BudgetLeft is the fraction of the error budget of the longest window that is left.
	// It is below 0 if more was spent.
	BudgetLeft float64 `json:"budget_left"`
	// Burn is the burn rate of each window: at 1, exactly the budget of the window is
	// spent.
	Burn  [WindowCount]float64 `json:"burn"`
	Level Level                `json:"level"`
	// P50, P95 and P99 are measured since the start of the entries.
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
	// Causes are the counts of the last hour or, if the last hour has no bad requests, of
	// the longest window.
	Causes  Counts    `json:"causes"`
	Latency Histogram `json:"-"`
}

// Report summarises a snapshot.
type Report struct {
	AtMS    int64 `json:"at_ms"`
	Classes []Row `json:"classes"`
	// Organisations are ordered by the budget left, lowest first.
	Organisations []Row `json:"organisations"`
	// Offenders are the series with the most bad requests in the last hour, then in the
	// longest window.
	Offenders []Row `json:"offenders"`
}

// BuildReport summarises a snapshot and lists at most the given number of offenders.
func BuildReport(s Snapshot, offenders int) Report {
	out := Report{AtMS: s.AtMS}
	classes := aggregateBy(s, func(e Series) string { return e.Class })
	for _, c := range wire.Classes() {
		if all, ok := classes[c.String()]; ok {
			r := all.row()
			r.Class = c.String()
			out.Classes = append(out.Classes, r)
		}
	}
	for name, all := range aggregateBy(s, func(e Series) string { return e.Organisation }) {
		r := all.row()
		r.Organisation = name
		out.Organisations = append(out.Organisations, r)
	}
	slices.SortFunc(out.Organisations, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.BudgetLeft, b.BudgetLeft), cmp.Compare(a.Organisation, b.Organisation))
	})
	out.Offenders = worstSeries(s, offenders)
	return out
}

func aggregateBy(s Snapshot, group func(Series) string) map[string]*aggregate {
	out := map[string]*aggregate{}
	for _, e := range s.Series {
		name := group(e)
		if out[name] == nil {
			out[name] = &aggregate{}
		}
		out[name].add(e)
	}
	return out
}

func worstSeries(s Snapshot, limit int) []Row {
	var bad []Series
	for _, e := range s.Series {
		if e.Windows[ThreeDays].Bad() > 0 {
			bad = append(bad, e)
		}
	}
	slices.SortStableFunc(bad, func(a, b Series) int {
		return cmp.Or(
			cmp.Compare(b.Windows[Hour].Bad(), a.Windows[Hour].Bad()),
			cmp.Compare(b.Windows[ThreeDays].Bad(), a.Windows[ThreeDays].Bad()),
		)
	})
	var out []Row
	for _, e := range bad[:min(limit, len(bad))] {
		var single aggregate
		single.add(e)
		r := single.row()
		r.Class, r.Organisation = e.Class, e.Organisation
		out = append(out, r)
	}
	return out
}

// aggregate sums up series that may have different objectives.
type aggregate struct {
	series    int
	objective Objective // zero if two series differ
	windows   [WindowCount]Counts
	budgets   [WindowCount]float64 // number of requests that may be bad
	latency   Histogram
}

func (s *aggregate) add(e Series) {
	if s.series == 0 {
		s.objective = e.Objective
	} else if s.objective != e.Objective {
		s.objective = Objective{}
	}
	s.series++
	for w := range s.windows {
		s.windows[w] = s.windows[w].plus(e.Windows[w])
		s.budgets[w] += Budget(e.Objective, e.Windows[w].Total)
	}
	s.latency.Add(&e.Latency)
}

// Budget returns how many requests of the total may be bad.
func Budget(o Objective, total uint64) float64 {
	return max(1-o.Share, minBudgetRatio) * float64(total)
}

// BurnRate returns the ratio of bad requests to the budget.
func BurnRate(bad uint64, budget float64) float64 {
	if bad == 0 {
		return 0
	}
	return float64(bad) / budget
}

func (s *aggregate) row() Row {
	r := Row{
		Objective: s.objective,
		Total:     s.windows[ThreeDays].Total, Bad: s.windows[ThreeDays].Bad(),
		P50: s.latency.Quantile(0.5), P95: s.latency.Quantile(0.95), P99: s.latency.Quantile(0.99),
		Causes: s.windows[Hour], Latency: s.latency,
	}
	if r.Causes.Bad() == 0 {
		r.Causes = s.windows[ThreeDays]
	}
	for w := range r.Burn {
		r.Burn[w] = BurnRate(s.windows[w].Bad(), s.budgets[w])
	}
	r.BudgetLeft = 1 - r.Burn[ThreeDays]
	r.Level = level(r.Burn)
	return r
}

func level(burn [WindowCount]float64) Level {
	switch {
	case burn[Hour] > fastBurnHourRate && burn[FiveMinutes] > fastBurnHourRate,
		burn[SixHours] > fastBurnSixHoursRate && burn[FiveMinutes] > fastBurnSixHoursRate:
		return FastBurn
	case burn[ThreeDays] > slowBurnRate && burn[SixHours] > slowBurnRate:
		return SlowBurn
	default:
		return WithinBudget
	}
}
