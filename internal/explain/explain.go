package explain

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLines bounds the lines that are kept in memory for one request.
	maxLines = 5000
	// maxCrashAge is how long before the end of a request a line about a crash by the same
	// request is still shown.
	maxCrashAge = 10 * time.Minute
)

// Source is one log. Open is called twice, since each log is read twice.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Kind is the reason why a line is shown.
type Kind uint8

// The kinds of line.
const (
	// RequestLine is a line that names the request.
	RequestLine Kind = iota
	// StateLine is a line with the state on which a process of the request based its
	// decisions, such as the state of an upstream.
	StateLine
	// CrashLine is a line about crashes that runs of the same request caused.
	CrashLine
)

// String returns the name that is printed.
func (k Kind) String() string { return [...]string{"request", "belief", "crash"}[min(k, CrashLine)] }

// ReportLine is a log line with its place in a report.
type ReportLine struct {
	*Line
	Kind Kind
	// Age is the time from the line to the end of the request.
	Age time.Duration
}

// Report is what the logs say about one request.
type Report struct {
	ID     string
	Lines  []ReportLine
	Counts Counts
	// Why says in one line how the request ended and why.
	Why string
	// Left is the number of lines left out because of maxLines.
	Left int
}

// search holds what is known about a request after the lines that name it have been read.
type search struct {
	id           string
	requestLines []*Line
	omitted      int
	start, end   time.Time
	instances    map[string]bool
	upstreams    map[string]bool
	fingerprints map[string]bool
}

// idFields are the fields that hold the request id in the lines of gateways, entries and
// agents, in this order.
var idFields = []string{"request", "request_id", "generation"}

// Request reports what happened to a request. A first pass over the logs finds the lines
// that name it, a second one the state that its processes knew.
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

// readAll reads all sources in order and adds up their counts.
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

// setTimeSpan derives the start and the end of the request from its lines. A line with a
// duration marks the start that much earlier.
func (s *search) setTimeSpan() {
	s.start, s.end = s.requestLines[0].Time, s.requestLines[len(s.requestLines)-1].Time
	for _, l := range s.requestLines {
		took := time.Duration(max(l.numberField("took_ms"), l.numberField("duration_ms"))) * time.Millisecond
		if at := l.Time.Add(-took); at.Before(s.start) {
			s.start = at
		}
	}
}

// processMessages are the messages about a process that affect all of its requests.
var processMessages = []string{
	"configuration in force", "control instance followed", "control instance lost", "gateway starts", "draining",
	"requests cut off at the end of the grace period", "log lines dropped",
}

// searchTexts returns the texts of which every line of the second pass contains one.
func (s *search) searchTexts() []string {
	out := slices.Clone(processMessages)
	for _, set := range []map[string]bool{s.upstreams, s.fingerprints} {
		for name := range set {
			out = append(out, name)
		}
	}
	return out
}
