// Package load sends generations and plain calls to heatherway, or to an
// engine directly, checks every token against tokentext and measures service
// by class and organisation.
package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
)

// Options say what to send.
type Options struct {
	// URLs are the entries, or the engines with Direct. Requests go to them in
	// turn, and a broken one is followed at the next.
	URLs []string
	// Model is asked for in every generation.
	Model string
	// Rate is the mean of the Poisson arrivals per second; zero sends from
	// Concurrency callers that each wait for their answer.
	Rate        float64
	Concurrency int
	// Duration and Requests end the sending, whichever comes first; zero sets
	// no limit.
	Duration time.Duration
	Requests int
	// Drain is how long requests may run on after the sending has ended.
	Drain time.Duration
	// SilenceTimeout is the time without a byte after which a stream counts as broken;
	// zero waits for ever.
	SilenceTimeout time.Duration
	Classes        []Weighted[wire.Class]
	Organisations  []Weighted[Organisation]
	PromptChars    Range
	// SharedPrefixChars at the start of a prompt are the same for an organisation.
	SharedPrefixChars int
	OutputTokens      Range
	Seed              uint64
	Stream            bool
	// Direct leaves out heatherway's headers and does not follow broken streams.
	Direct bool
	// ServiceShare of the requests are calls of the plain service Service.
	ServiceShare float64
	Service      string
	// OnTime is the time to the first token within which a request counts as on
	// time in the report; zero counts none.
	OnTime time.Duration
	// OnDone, if set, gets each generation at its end. Several calls may come at
	// once.
	OnDone func(Timing)
}

// Organisation is a caller.
type Organisation struct {
	Name string
	Key  string
}

// Timing is when one generation had its tokens.
type Timing struct {
	Organisation string
	// First is the time to the first token, zero without one.
	First time.Duration
	// Gaps are the times between events with tokens.
	Gaps []time.Duration
}

// Weighted is a value with its weight in a mix.
type Weighted[T any] struct {
	Value  T
	Weight float64
}

// Range is a range of integers, both ends included.
type Range struct{ Min, Max int }

// ParseRange reads "200" or "100-400".
func ParseRange(s string) (Range, error) {
	low, high, found := strings.Cut(s, "-")
	if !found {
		high = low
	}
	a, errLow := strconv.Atoi(low)
	b, errHigh := strconv.Atoi(high)
	if errLow != nil || errHigh != nil || a < 0 || b < a {
		return Range{}, errors.Errorf("%q is not a range such as 200 or 100-400", s)
	}
	return Range{a, b}, nil
}

// ParseClasses reads "urgent=1,standard=2,batch=7".
func ParseClasses(s string) ([]Weighted[wire.Class], error) {
	var out []Weighted[wire.Class]
	for part := range strings.SplitSeq(s, ",") {
		name, weight, _ := strings.Cut(part, "=")
		class, err := wire.ParseClass(name)
		if err != nil {
			return nil, err
		}
		w, err := parseWeight(weight)
		if err != nil {
			return nil, err
		}
		out = append(out, Weighted[wire.Class]{class, w})
	}
	return out, nil
}

// ParseOrganisations reads "name:key:weight,...".
func ParseOrganisations(s string) ([]Weighted[Organisation], error) {
	var out []Weighted[Organisation]
	for part := range strings.SplitSeq(s, ",") {
		f := strings.Split(part, ":")
		if len(f) != 3 {
			return nil, errors.Errorf("%q is not name:key:weight", part)
		}
		w, err := parseWeight(f[2])
		if err != nil {
			return nil, err
		}
		out = append(out, Weighted[Organisation]{Organisation{f[0], f[1]}, w})
	}
	return out, nil
}

func parseWeight(s string) (float64, error) {
	w, err := strconv.ParseFloat(s, 64)
	if err != nil || !(w > 0) {
		return 0, errors.Errorf("%q is not a weight above 0", s)
	}
	return w, nil
}

// Validate returns an error for options that cannot be run.
func (o Options) Validate() error {
	switch {
	case len(o.URLs) == 0:
		return errors.New("set --url")
	case o.Rate < 0 || o.Rate == 0 && o.Concurrency < 1:
		return errors.New("set --rate or --concurrency above 0")
	case o.Duration <= 0 && o.Requests <= 0:
		return errors.New("set --duration or --requests above 0")
	case len(o.Classes) == 0 || len(o.Organisations) == 0:
		return errors.New("set at least one class and one organisation")
	case o.OutputTokens.Min < 1:
		return errors.New("--output-tokens must be above 0")
	case o.ServiceShare < 0 || o.ServiceShare > 1:
		return errors.New("--service must be a share from 0 to 1")
	case o.Direct && o.ServiceShare > 0:
		return errors.New("--direct talks to an engine, which has no plain calls")
	}
	return nil
}
