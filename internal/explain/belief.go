package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// contextCollector collects the state that the processes of a request knew: for each
// upstream or kind of event the last line before the request started, and all lines
// logged while it ran.
type contextCollector struct {
	*search
	latest map[string]*Line
	during []ReportLine
}

func (b *contextCollector) collect(l *Line) {
	if slices.ContainsFunc(idFields, func(f string) bool { return l.textField(f) == b.id }) || l.Time.After(b.end) {
		return
	}
	if f := l.textField("fingerprint"); f != "" {
		if b.fingerprints[f] && b.end.Sub(l.Time) <= maxCrashAge {
			b.add(ReportLine{Line: l, Kind: CrashLine})
		}
		return
	}
	subject := ""
	switch u := l.textField("upstream"); {
	case hasRequest(l):
		return // belongs to another request
	case b.upstreams[u] && (b.instances[l.Instance] || l.Message == "upstream lost"):
		subject = u
	case b.instances[l.Instance] && slices.Contains(processMessages, l.Message):
		subject = l.Message
	default:
		return
	}
	if !l.Time.Before(b.start) {
		b.add(ReportLine{Line: l, Kind: StateLine})
		return
	}
	key := l.Instance + " " + subject
	if old := b.latest[key]; old == nil || !l.Time.Before(old.Time) {
		b.latest[key] = l
	}
}

func hasRequest(l *Line) bool {
	return slices.ContainsFunc(idFields, func(f string) bool { return l.textField(f) != "" })
}

func (b *contextCollector) add(s ReportLine) {
	if len(b.during) >= maxLines {
		b.omitted++
		return
	}
	b.during = append(b.during, s)
}

// report returns the lines of the request and its context, ordered by time.
func (b *contextCollector) report() []ReportLine {
	out := slices.Clone(b.during)
	for _, l := range b.requestLines {
		out = append(out, ReportLine{Line: l, Kind: RequestLine})
	}
	for _, l := range b.latest {
		out = append(out, ReportLine{Line: l, Kind: StateLine})
	}
	for i := range out {
		out[i].Age = b.end.Sub(out[i].Time)
	}
	slices.SortStableFunc(out, func(x, y ReportLine) int {
		if c := x.Time.Compare(y.Time); c != 0 {
			return c
		}
		return strings.Compare(x.Instance+x.Message, y.Instance+y.Message)
	})
	return out
}

// requestEndMessages are logged when a request ends: the first one by entries, the others
// by gateways.
var requestEndMessages = []string{"request", "request failed", "request answered", "stream broken off", "caller gone", "request cut off", "unexpected failure"}

// describeEnd says in one line how the request ended.
func describeEnd(lines []ReportLine) string {
	var end *Line
	var failed []string
	resumed, stopped := 0, false
	for _, s := range lines {
		switch {
		case s.Kind == RequestLine && slices.Contains(requestEndMessages, s.Message):
			end = s.Line
		case s.Kind == RequestLine && s.Message == "attempt failed":
			failed = append(failed, fmt.Sprintf("%s (%s)", s.textField("upstream"), s.textField("error")))
		case s.Kind == RequestLine && s.Message == "stream resumed":
			resumed++
		case s.Message == "requests cut off at the end of the grace period":
			stopped = true
		}
	}
	if end == nil && stopped {
		return "no line tells its end: its gateway was stopped, and cut it off at the end of the grace period"
	}
	if end == nil {
		return "no line tells its end: it is under way, its process was killed, or its line was dropped" + describeAttempts(failed, resumed)
	}
	took := time.Duration(end.numberField("took_ms")) * time.Millisecond
	switch end.Message {
	case "request answered":
		return fmt.Sprintf("answered after %v by %s%s", took, end.textField("upstream"), describeAttempts(failed, resumed))
	case "request cut off":
		return fmt.Sprintf("the gateway closed its connection after %v%s", took, describeAttempts(failed, resumed))
	case "caller gone":
		return fmt.Sprintf("the caller left after %v%s", took, describeAttempts(failed, resumed))
	case "stream broken off":
		return fmt.Sprintf("broken off behind event %.0f after %v: %s%s", end.numberField("last_event"), took, end.textField("error"), describeAttempts(failed, resumed))
	case "request":
		ended := "answered"
		if code := end.numberField("code"); code != 0 {
			ended = fmt.Sprintf("failed with code %.0f", code)
		}
		return fmt.Sprintf("%s after %.0f ms in %.0f attempts, %.0f tokens, last upstream %q%s", ended,
			end.numberField("duration_ms"), end.numberField("attempts"), end.numberField("tokens"), end.textField("upstream"), describeAttempts(failed, resumed))
	case "unexpected failure":
		return "a fault of heatherway ended it, see the stack: report it"
	}
	ran := map[string]string{"not_run": "it has not run", "ran": "it has run", "unknown": "it may have run"}[end.textField("ran")]
	again := ""
	if ms := end.numberField("retry_after_ms"); ms > 0 {
		again = fmt.Sprintf(", to come back after %v", time.Duration(ms)*time.Millisecond)
	}
	return fmt.Sprintf("answered %.0f after %v, %s%s: %s%s", end.numberField("status"), took, ran, again, end.textField("error"), describeAttempts(failed, resumed))
}

func describeAttempts(failed []string, resumed int) string {
	out := ""
	if resumed > 0 {
		out = fmt.Sprintf("; it went on elsewhere %d times", resumed)
	}
	if len(failed) > 0 {
		out += fmt.Sprintf("; %d attempts failed: %s", len(failed), strings.Join(failed, ", "))
	}
	return out
}
