package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Settings are the bounds of the canary share. The zero value lets no request reach an untrusted version.
type Settings struct {
	// Share is the largest part of a service's requests that may reach a version before it is trusted,
	// and Slack the number of requests beyond it.
	Share float64
	Slack int64
}

const (
	// ceilingStep is the number of permits by which the ceiling in the log exceeds those granted. The rest of a
	// step is lost when the leader changes.
	ceilingStep = 16
	// grantMargin is how many times the permits that a gateway needs on average until its next report it gets.
	grantMargin = 2
	// maxRouteShare bounds the share of a route's requests that the target gets, so that the old version's
	// answers remain for comparison.
	maxRouteShare = 0.5
	// spendTime is the time in which permits that are left over are planned to be used.
	spendTime = time.Second
	// rateConstant is the time constant of the measured rates of requests.
	rateConstant = 2 * time.Second
)

// Owner grants permits for the roll-outs that run and judges their targets. It is the soft state of the leader: a new
// leader begins with a new Owner.
type Owner struct {
	settings Settings
	rollouts map[uint64]*owned
}

// owned is the state of one roll-out.
type owned struct {
	*Rollout
	// granted is the number of permits that earlier leaders may have granted.
	granted int64
	runs    map[runKey]*run
	judge   *Judge
	// requests counts the requests of all gateways, on each route.
	requests map[string]int64
	rates    map[string]float64 // a second
	ratedAt  time.Duration
	rated    map[string]int64
}

type runKey struct {
	gateway string
	run     uint64
}

// run is a process of a gateway.
type run struct {
	seq uint64
	// baseline is the number of permits that it had used when it reported first to this leader; earlier leaders
	// granted them.
	baseline, used, holds int64
	totals                map[string]RouteCounts
	heardAt               time.Duration
	revision              uint64
	otherRunning          int
	open                  bool
}

// NewOwner returns the owner for a view of the log's state.
func NewOwner(s Settings) *Owner { return &Owner{settings: s, rollouts: map[uint64]*owned{}} }

// Update takes in the state of the log. Roll-outs that have ended are forgotten.
func (o *Owner) Update(v View) {
	running := map[uint64]bool{}
	for _, s := range v.Services {
		r := s.Running()
		if r == nil {
			continue
		}
		running[r.ID] = true
		if known := o.rollouts[r.ID]; known != nil {
			known.Rollout = r
			continue
		}
		o.rollouts[r.ID] = &owned{Rollout: r, granted: r.Ceiling, runs: map[runKey]*run{}, judge: NewJudge(),
			requests: map[string]int64{}, rates: map[string]float64{}, rated: map[string]int64{}}
	}
	maps.DeleteFunc(o.rollouts, func(id uint64, _ *owned) bool { return !running[id] })
}

// Handle takes in a report and returns the permits for the gateway, in the order of the roll-outs in the report. elapsed
// returns the time since a roll-out was ordered. Without mayGrant, when no majority has confirmed the
// leader lately, it grants none.
func (o *Owner) Handle(r Report, mayGrant bool, elapsed func(*Rollout) time.Duration) Answer {
	var a Answer
	for _, part := range r.Rollouts {
		s := o.rollouts[part.ID]
		if s == nil || s.Service != part.Service {
			continue
		}
		at := elapsed(s.Rollout)
		if !s.takeIn(at, r, part) {
			continue
		}
		if s.Phase == Shifting && mayGrant {
			a.Grants = append(a.Grants, Grant{Service: s.Service, ID: s.ID, Open: true})
			continue
		}
		if g := s.grant(runKey{r.Gateway, r.Run}, o.settings); mayGrant && s.Phase == Canary && g.Permits > 0 {
			s.runs[runKey{r.Gateway, r.Run}].holds = g.Permits
			a.Grants = append(a.Grants, g)
		}
	}
	return a
}

// takeIn merges a report. It returns false if the report is a repeated or late one.
func (s *owned) takeIn(at time.Duration, r Report, part RolloutReport) bool {
	key := runKey{r.Gateway, r.Run}
	g := s.runs[key]
	if g == nil {
		g = &run{baseline: part.Used, totals: map[string]RouteCounts{}}
		s.runs[key] = g
	}
	if r.Seq <= g.seq {
		return false
	}
	g.seq, g.heardAt, g.revision, g.otherRunning, g.open = r.Seq, at, r.Revision, part.OtherRunning, part.Open
	g.used, g.holds = max(g.used, part.Used), 0
	for _, route := range slices.Sorted(maps.Keys(part.Routes)) {
		total := part.Routes[route]
		d := total.since(g.totals[route])
		g.totals[route] = total
		s.requests[route] += d.Requests
		s.judge.Observe(at, route, d.Target, d.Other)
	}
	s.updateRates(at)
	return true
}

// updateRates measures the rates of requests about once in ReportInterval.
func (s *owned) updateRates(at time.Duration) {
	took := at - s.ratedAt
	if took < ReportInterval {
		return
	}
	f := math.Exp(-took.Seconds() / rateConstant.Seconds())
	for route, n := range s.requests {
		s.rates[route] = s.rates[route]*f + (1-f)*float64(n-s.rated[route])/took.Seconds()
		s.rated[route] = n
	}
	s.ratedAt = at
}

// charged returns the number of permits that may have been used.
func (s *owned) charged() int64 {
	sum := s.granted
	for _, g := range s.runs {
		sum += max(g.used-g.baseline, 0) + g.holds
	}
	return sum
}

// budget returns the number of permits that the requests so far allow.
func (s *owned) budget(b Settings) int64 {
	requests := int64(0)
	for _, n := range s.requests {
		requests += n
	}
	return int64(b.Share*float64(requests)) + b.Slack
}

// grant returns what a gateway gets.
func (s *owned) grant(key runKey, b Settings) Grant {
	available := min(s.budget(b), s.Ceiling) - s.charged()
	if available <= 0 {
		return Grant{}
	}
	planned := float64(s.budget(b)-s.charged()) / spendTime.Seconds()
	shares, sent := s.shares(planned)
	rate, own := 0.0, 0.0
	for _, r := range s.rates {
		rate += r
	}
	total, mine := int64(0), int64(0)
	for _, n := range s.requests {
		total += n
	}
	for _, c := range s.runs[key].totals {
		mine += c.Requests
	}
	if total > 0 {
		own = float64(mine) / float64(total)
	}
	need := int64(math.Ceil(grantMargin * sent * own * ReportInterval.Seconds()))
	if rate == 0 { // nothing is measured yet
		need = 1
	}
	return Grant{Service: s.Service, ID: s.ID, Permits: max(min(need, (available+1)/2), 0), Shares: shares}
}

// shares returns the share of each route's requests that is to be sent to the target, and how many requests a second
// that are. Routes get the same number of requests, as far as their traffic goes, and those on which something
// speaks against the target get more.
func (s *owned) shares(planned float64) (map[string]float64, float64) {
	weights, all := map[string]float64{}, 0.0
	for route := range s.rates {
		weights[route] = s.judge.weight(route)
		all += weights[route]
	}
	routes := slices.SortedFunc(maps.Keys(s.rates), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.rates[a]/weights[a], s.rates[b]/weights[b]), cmp.Compare(a, b))
	})
	out, left, sent := map[string]float64{}, planned, 0.0
	for _, route := range routes {
		rate := min(maxRouteShare*s.rates[route], left*weights[route]/all)
		left, all, sent = left-rate, all-weights[route], sent+rate
		if s.rates[route] > 0 {
			out[route] = rate / s.rates[route]
		}
	}
	out[""] = max(out[""], maxRouteShare) // a route of which nothing is known yet; the permits bound it
	return out, sent
}

// Ceilings returns the commands that let the owner grant further permits. They are written to the log before it does.
func (o *Owner) Ceilings() (out []Command) {
	for _, s := range o.rollouts {
		next := min(s.budget(o.settings), s.charged()+ceilingStep)
		if s.Phase == Canary && next > s.Ceiling && s.Ceiling-s.charged() < ceilingStep/2 {
			out = append(out, Command{Ceiling: &Ceiling{s.Service, s.ID, next}})
		}
	}
	return out
}
