package explain

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/result"
)

// Outcome is the category under which a timeline counts a log line.
type Outcome uint8

// The outcomes.
const (
	// Answered requests got an answer from an upstream.
	Answered Outcome = iota
	// Refused requests have not run: they got 4xx or 503 from heatherway itself.
	Refused
	// Failed requests ended with another failure of heatherway itself.
	Failed
	// Broken streams ended in the middle.
	Broken
	// Resumed streams were continued on another upstream.
	Resumed
	// DependencyLost and DependencyRegained count upstreams, control instances and leaders.
	DependencyLost
	DependencyRegained
	// Started counts starts of processes.
	Started
	outcomeCount
)

// String returns the name that is printed.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "failed", "broken off", "resumed", "dependencies lost", "dependencies regained", "starts"}[min(o, Started)]
}

// Outcomes returns all outcomes in the order in which they are printed.
func Outcomes() (list []Outcome) {
	for o := range outcomeCount {
		list = append(list, o)
	}
	return list
}

// outcomeByMessage maps messages to outcomes. Lines at the end of a request and changes of
// the leader are missing, since their outcome depends on other fields.
var outcomeByMessage = map[string]Outcome{
	"stream broken off": Broken, "stream resumed": Resumed,
	"upstream lost": DependencyLost, "control instance lost": DependencyLost, "control instance knows no leader": DependencyLost, "the upstream has crashed": DependencyLost,
	"control instance followed": DependencyRegained,
	"gateway starts":            Started, "registry starts": Started, "started": Started,
}

// outcome returns the category of a line, and false if the line is not counted.
func (l *Line) outcome() (Outcome, bool) {
	switch l.Message {
	case "request answered":
		return Answered, true
	case "request failed":
		return failureOutcome(int(l.numberField("status"))), true
	case "leader changed":
		if l.textField("leader") == "" {
			return DependencyLost, true
		}
		return DependencyRegained, true
	case "request": // of an entry
		code := result.Code(l.numberField("code"))
		if code == 0 {
			return Answered, true
		}
		return failureOutcome(code.Info().HTTP), true
	}
	o, ok := outcomeByMessage[l.Message]
	return o, ok
}

// failureOutcome returns the outcome of a request that heatherway itself ended with an
// HTTP status.
func failureOutcome(status int) Outcome {
	if status < http.StatusInternalServerError || status == http.StatusServiceUnavailable {
		return Refused
	}
	return Failed
}

// latencyFields are the fields with the latency of an answer. The first one present is
// used, so that the time to the first event takes precedence.
var latencyFields = []string{"first_event_ms", "first_token_ms", "took_ms", "duration_ms"}

const (
	// maxSteps bounds the steps of a timeline; about as many points fit on a page.
	maxSteps = 300
	// latencySteps and latencyBase are the number of buckets of the latency histogram of a
	// step and the ratio of their bounds: each bound is a quarter above the one before,
	// from a millisecond to more than an hour.
	latencySteps = 70
	latencyBase  = 1.25
)

// Step is one interval of a timeline.
type Step struct {
	Counts [outcomeCount]int `json:"counts"`
	// P50MS and P99MS are quantiles of the latency of answers, measured to the first event
	// of a stream.
	P50MS, P99MS float64
	latencies    [latencySteps]int
}

func (s *Step) recordLatency(ms float64) {
	i, bound := 0, 1.0
	for ; ms > bound && i < latencySteps-1; i++ {
		bound *= latencyBase
	}
	s.latencies[i]++
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (s *Step) quantile(share float64) float64 {
	all := 0
	for _, n := range s.latencies {
		all += n
	}
	if all == 0 {
		return 0
	}
	seen, bound := 0, 1.0
	for _, n := range s.latencies {
		if seen += n; float64(seen) >= share*float64(all) {
			break
		}
		bound *= latencyBase
	}
	return bound
}

// Group counts the requests of one class in one availability zone.
type Group struct {
	Zone, Class string
	Counts      [outcomeCount]int
}

// Timeline counts the outcomes in a set of logs by time, and by availability zone and class.
type Timeline struct {
	Start  time.Time
	Step   time.Duration
	Steps  []Step
	Groups []Group
	Read   Counts
}

// BuildTimeline reads the logs twice: once for their time span and once to count. It keeps
// only counts in memory, however long the logs are.
func BuildTimeline(sources []Source) (*Timeline, error) {
	var first, last time.Time
	_, err := readAll(sources, nil, func(l *Line) {
		if _, ok := l.outcome(); !ok {
			return
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	})
	if err != nil {
		return nil, err
	}
	if first.IsZero() {
		return nil, errors.New("no line on a request, a dependency or a start; requests are logged at level info")
	}
	t := &Timeline{Start: first, Step: stepLength(last.Sub(first))}
	t.Steps = make([]Step, int(last.Sub(first)/t.Step)+1)
	groups := map[[2]string]*Group{}
	if t.Read, err = readAll(sources, nil, func(l *Line) { t.count(l, groups) }); err != nil {
		return nil, err
	}
	for i := range t.Steps {
		t.Steps[i].P50MS, t.Steps[i].P99MS = t.Steps[i].quantile(0.5), t.Steps[i].quantile(0.99)
	}
	for _, key := range slices.SortedFunc(maps.Keys(groups), func(a, b [2]string) int {
		return cmp.Or(strings.Compare(a[0], b[0]), strings.Compare(a[1], b[1]))
	}) {
		t.Groups = append(t.Groups, *groups[key])
	}
	return t, nil
}

// steps are the lengths that a step may have, so that steps begin at round times.
var steps = []time.Duration{
	100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute, time.Hour,
}

func stepLength(span time.Duration) time.Duration {
	for _, s := range steps {
		if span/s < maxSteps {
			return s
		}
	}
	return span/maxSteps + 1
}

func (t *Timeline) count(l *Line, groups map[[2]string]*Group) {
	o, ok := l.outcome()
	if !ok {
		return
	}
	i := int(l.Time.Sub(t.Start) / t.Step)
	if i < 0 || i >= len(t.Steps) {
		return // written between the two passes
	}
	t.Steps[i].Counts[o]++
	if o == Answered {
		for _, name := range latencyFields {
			if ms := l.numberField(name); ms > 0 {
				t.Steps[i].recordLatency(ms)
				break
			}
		}
	}
	if o > Resumed {
		return
	}
	key := [2]string{l.textField("zone"), l.class()}
	if groups[key] == nil {
		groups[key] = &Group{Zone: key[0], Class: key[1]}
	}
	groups[key].Counts[o]++
}

// class returns the priority class of the request, or its route or priority if the line has
// no class.
func (l *Line) class() string {
	if c := l.textField("class"); c != "" {
		return c
	}
	if r := l.textField("route"); r != "" {
		return r
	}
	if _, ok := l.Fields["priority"]; ok {
		return "priority " + strconv.Itoa(int(l.numberField("priority")))
	}
	return "unknown"
}
