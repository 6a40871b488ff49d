package explain

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLines bounds the lines that are held for one request.
	maxLines = 5000
	// crashTime is how long before a request broken runs of the same one count.
	maxCrashAge = 10 * time.Minute
)

// Source is one log. It is read twice.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Kind tells why a line is shown.
type Kind uint8

// The kinds of line.
const (
	// RequestLine lines name the request.
	RequestLine Kind = iota
	// StateLine lines tell what a process that decided about the request believed.
	StateLine
	// CrashLine lines are about earlier runs of the same request.
	CrashLine
)

// String returns the name shown.
func (k Kind) String() string { return [...]string{"request", "belief", "crash"}[min(k, CrashLine)] }

// ReportLine is a line of a report.
type ReportLine struct {
	*Line
	Kind Kind
	// Age is the time from a belief to the request's end.
	Age time.Duration
}

// Report is what the logs tell of one request.
type Report struct {
	ID     string
	Lines  []ReportLine
	Counts Counts
	// Why says in one line how the request ended and why.
	Why string
	// Left is the number of lines beyond the bound.
	Left int
}

// search is what is known of a request after its own lines have been read.
type search struct {
	id           string
	requestLines []*Line
	omitted      int
	start, end   time.Time
	instances    map[string]bool
	upstreams    map[string]bool
	fingerprints map[string]bool
}

// idFields name a request in the lines of gateways, entries and agents.
var idFields = []string{"request", "request_id", "generation"}

// Request explains a request from logs.
func Request(id string, sources []Source) (*Report, error) {
	s := &search{id: id, instances: map[string]bool{}, upstreams: map[string]bool{}, fingerprints: map[string]bool{}}
	counts, err := readAll(sources, []string{id}, s.addRequestLine)
	if err != nil {
		return nil, err
	}
	r := &Report{ID: id, Counts: counts}
	if len(s.requestLines) == 0 {
		r.Why = "no line names the request: it is under way, it was answered by its first upstream, or the log of its gateway is not among these"
		return r, nil
	}
	slices.SortStableFunc(s.requestLines, func(a, b *Line) int { return a.Time.Compare(b.Time) })
	s.setTimeSpan()
	b := contextCollector{search: s, latest: map[string]*Line{}}
	if _, err := readAll(sources, s.searchTexts(), b.collect); err != nil {
		return nil, err
	}
	r.Lines, r.Left = b.report(), s.omitted
	r.Why = describeEnd(r.Lines)
	return r, nil
}

// each reads all sources.
func readAll(sources []Source, patterns []string, visit func(*Line)) (all Counts, err error) {
	for _, s := range sources {
		in, err := s.Open()
		if err != nil {
			return all, errors.Wrap(err, s.Name)
		}
		c, err := read(in, patterns, visit)
		all.Lines, all.Damaged = all.Lines+c.Lines, all.Damaged+c.Damaged
		if err := cmp.Or(err, in.Close()); err != nil {
			return all, errors.Wrap(err, s.Name)
		}
	}
	return all, nil
}

func (s *search) addRequestLine(l *Line) {
	if !slices.ContainsFunc(idFields, func(f string) bool { return l.textField(f) == s.id }) {
		return
	}
	if len(s.requestLines) >= maxLines {
		s.omitted++
		return
	}
	s.requestLines = append(s.requestLines, l)
	s.instances[l.Instance] = true
	for _, field := range []string{"upstream", "backup", "holder", "prompt_at"} {
		if u := l.textField(field); u != "" {
			s.upstreams[u] = true
		}
	}
	for _, u := range l.textList("tried") {
		s.upstreams[u] = true
	}
	if f := l.textField("fingerprint"); f != "" {
		s.fingerprints[f] = true
	}
}

// bounds finds out when the request began and ended.
func (s *search) setTimeSpan() {
	s.start, s.end = s.requestLines[0].Time, s.requestLines[len(s.requestLines)-1].Time
	for _, l := range s.requestLines {
		took := time.Duration(max(l.numberField("took_ms"), l.numberField("duration_ms"))) * time.Millisecond
		if at := l.Time.Add(-took); at.Before(s.start) {
			s.start = at
		}
	}
}

// processMessages are lines about a process that touch each of its requests.
var processMessages = []string{
	"configuration in force", "control instance followed", "control instance lost", "gateway starts", "draining",
	"requests cut off at the end of the grace period", "log lines dropped",
}

// subjects are the texts of which a line about a belief contains one.
func (s *search) searchTexts() []string {
	out := slices.Clone(processMessages)
	for _, set := range []map[string]bool{s.upstreams, s.fingerprints} {
		for name := range set {
			out = append(out, name)
		}
	}
	return out
}
