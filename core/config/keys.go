package config

import (
	"sort"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Kind is the type of a key's value.
type Kind uint8

// The kinds of value.
const (
	Float Kind = iota
	Int
	Duration
	Bool
	Text
)

// String returns the name of the kind shown to operators.
func (k Kind) String() string {
	return [...]string{"number", "integer", "duration", "boolean", "text"}[k]
}

// Key describes one configuration key.
type Key struct {
	Name string
	Kind Kind
	// Unit is shown to operators, such as "share", "tokens" or "requests".
	Unit    string
	Default string
	// Min and Max bound numbers; durations are bounded in seconds.
	Min, Max float64
	// AllowedValues lists the allowed values of a text key; empty allows any.
	AllowedValues []string
	// Scopes lists the selector fields that an exception to the key may set.
	Scopes      []string
	Description string
}

// Names of the selector fields, used in Key.Scopes.
const (
	ByOrganisation = "organisation"
	ByModel        = "model"
	ByZone         = "zone"
	ByUpstream     = "upstream"
	ByService      = "service"
)

var perOrganisation = []string{ByOrganisation}

var keyList = []Key{
	{"class.urgent.target", Duration, "", "720ms", 0.01, 600, nil, perOrganisation, "Time to first token (or whole answer of a service call) that urgent work should meet."},
	{"class.standard.target", Duration, "", "2s", 0.01, 600, nil, perOrganisation, "Time to first token that standard work should meet."},
	{"class.batch.target", Duration, "", "30s", 0.01, 3600, nil, perOrganisation, "Time to first token that batch work should meet."},
	{"class.urgent.floor", Float, "share", "0.5", 0, 1, nil, []string{ByModel, ByUpstream}, "Least share of an upstream's slot time for urgent work that waits."},
	{"class.standard.floor", Float, "share", "0.2", 0, 1, nil, []string{ByModel, ByUpstream}, "Least share of an upstream's slot time for standard work that waits."},
	{"class.batch.floor", Float, "share", "0.1", 0, 1, nil, []string{ByModel, ByUpstream}, "Least share of an upstream's slot time for batch work that waits."},
	{"class.urgent.worth", Float, "points", "100", 0, 1e6, nil, nil, "Worth of a finished urgent request in reports."},
	{"class.standard.worth", Float, "points", "10", 0, 1e6, nil, nil, "Worth of a finished standard request in reports."},
	{"class.batch.worth", Float, "points", "1", 0, 1e6, nil, nil, "Worth of a finished batch request in reports."},
	{"class.urgent.objective", Float, "share", "0.99", 0, 0.99999, nil, perOrganisation, "Share of urgent requests that should meet the target."},
	{"class.standard.objective", Float, "share", "0.95", 0, 0.99999, nil, perOrganisation, "Share of standard requests that should meet the target."},
	{"class.batch.objective", Float, "share", "0.9", 0, 0.99999, nil, perOrganisation, "Share of batch requests that should meet the target."},
	{"queue.limit", Int, "requests", "256", 1, 100000, nil, []string{ByUpstream, ByModel}, "Most requests of one class that wait at one upstream."},
	{"organisation.weight", Float, "share", "1", 0.001, 1000, nil, perOrganisation, "Share of an organisation in fair queueing."},
	{"organisation.rate", Float, "tokens/s", "0", 0, 1e9, nil, perOrganisation, "Most prompt and output tokens a second; 0 sets no limit."},
	{"organisation.requests", Float, "requests/s", "0", 0, 1e6, nil, perOrganisation, "Most requests a second; 0 sets no limit."},
	{"organisation.class", Text, "", "standard", 0, 0, []string{"urgent", "standard", "batch"}, perOrganisation, "Priority class of requests that name none."},
	{"organisation.class_limit", Text, "", "urgent", 0, 0, []string{"urgent", "standard", "batch"}, perOrganisation, "Most urgent priority class that the organisation may ask for."},
	{"request.deadline", Duration, "", "10m", 0.1, 86400, nil, []string{ByOrganisation, ByModel}, "Time limit of requests that name none."},
	{"request.body_limit", Int, "bytes", "1048576", 1024, 16777216, nil, []string{ByOrganisation}, "Largest request body."},
	{"service.timeout", Duration, "", "5s", 0.01, 600, nil, []string{ByService, ByOrganisation}, "Time limit of service calls that name none."},
	{"service.answer_limit", Int, "bytes", "1048576", 1024, 16777216, nil, []string{ByService}, "Largest answer of a plain service."},
	{"service.repeat", Bool, "", "false", 0, 0, nil, []string{ByService}, "Whether calls other than GET and HEAD may be repeated."},
	{"service.hedge", Bool, "", "true", 0, 0, nil, []string{ByService}, "Whether idempotent lookups may be hedged."},
	{"retry.share", Float, "share", "0.1", 0, 1, nil, nil, "Retries and hedges allowed for each first attempt."},
	{"retry.attempts", Int, "attempts", "3", 1, 10, nil, nil, "Most attempts of a request that has not started."},
	{"resume.attempts", Int, "attempts", "8", 1, 100, nil, nil, "Most attempts of a generation that has started."},
	{"breaker.failures", Int, "failures", "5", 1, 1000, nil, []string{ByUpstream}, "Failures in a row that open the circuit breaker."},
	{"breaker.pause", Duration, "", "1s", 0.05, 600, nil, []string{ByUpstream}, "First pause of an open circuit breaker; it doubles up to 30 s."},
	{"quarantine.crashes", Int, "crashes", "2", 1, 10, nil, nil, "Crashes after which a request is quarantined."},
	{"quarantine.period", Duration, "", "10m", 1, 86400, nil, nil, "First length of a quarantine; it doubles up to 1 h."},
	{"weights.loads", Int, "loads", "2", 1, 1000, nil, nil, "Most engines that load from the weight store at once."},
	{"sample.rate", Float, "share", "0", 0, 1, nil, perOrganisation, "Share of requests logged in full detail, without prompts."},
}

var keys = func() map[string]Key {
	m := make(map[string]Key, len(keyList))
	for _, k := range keyList {
		m[k.Name] = k
	}
	return m
}()

// Keys returns all keys, sorted by name.
func Keys() []Key {
	out := append([]Key(nil), keyList...)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// LookupKey returns the key with the name.
func LookupKey(name string) (Key, bool) {
	k, ok := keys[name]
	return k, ok
}

// Check validates the text as a value of the key.
func (k Key) Check(text string) error {
	switch k.Kind {
	case Bool:
		if _, err := strconv.ParseBool(text); err != nil {
			return errors.Errorf("%s: %q is not true or false", k.Name, text)
		}
		return nil
	case Text:
		return k.checkText(text)
	}
	v, err := k.number(text)
	if err != nil {
		return err
	}
	if v < k.Min || v > k.Max {
		return errors.Errorf("%s: %s is outside %v to %v%s", k.Name, text, k.Min, k.Max, k.unitSuffix())
	}
	return nil
}

func (k Key) unitSuffix() string {
	if k.Kind == Duration {
		return " seconds"
	}
	if k.Unit == "" {
		return ""
	}
	return " " + k.Unit
}

func (k Key) checkText(text string) error {
	for _, v := range k.AllowedValues {
		if v == text {
			return nil
		}
	}
	if len(k.AllowedValues) == 0 {
		return nil
	}
	return errors.Errorf("%s: %q is none of %v", k.Name, text, k.AllowedValues)
}

func (k Key) number(text string) (float64, error) {
	switch k.Kind {
	case Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, errors.Errorf("%s: %q is not a duration such as 250ms or 2s", k.Name, text)
		}
		return d.Seconds(), nil
	case Int:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, errors.Errorf("%s: %q is not an integer", k.Name, text)
		}
		return float64(n), nil
	default:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || f != f {
			return 0, errors.Errorf("%s: %q is not a number", k.Name, text)
		}
		return f, nil
	}
}
