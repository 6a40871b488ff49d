// Package load is a load generator. It sends generations and calls of plain
// services to heatherway, or generations directly to an engine, checks every
// token against tokentext, and measures latency and throughput by class and
// organisation.
package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
)

// Options configure a run.
type Options struct {
	// URLs are the entries, or the engines with Direct. Requests are sent to them
	// in turn, and a broken stream is resumed at the next one.
	URLs []string
	// Model is the model of every generation.
	Model string
	// Rate is the mean rate of Poisson arrivals per second. At zero, Concurrency
	// callers each send a request when the one before has ended.
	Rate        float64
	Concurrency int
	// Duration and Requests limit the sending, whichever is reached first; zero
	// is no limit.
	Duration time.Duration
	Requests int
	// Drain is how long requests may still run after the sending has ended.
	Drain time.Duration
	// SilenceTimeout is the time without a line after which a stream counts as
	// broken; zero waits without limit.
	SilenceTimeout time.Duration
	Classes        []Weighted[wire.Class]
	Organisations  []Weighted[Organisation]
	PromptChars    Range
	// SharedPrefixChars is the length of the prefix that all prompts of an
	// organisation share.
	SharedPrefixChars int
	OutputTokens      Range
	Seed              uint64
	Stream            bool
	// Direct omits heatherway's headers and doesn't resume broken streams.
	Direct bool
	// ServiceShare is the share of requests that are calls of the plain service
	// Service.
	ServiceShare float64
	Service      string
	// OnTime is the time to the first token within which a request counts as on
	// time in the report; zero counts none.
	OnTime time.Duration
	// OnDone, if set, is called at the end of each generation. It may be called
	// concurrently.
	OnDone func(Timing)
}

// Organisation is an organisation that sends requests, with its key.
type Organisation struct {
	Name string
	Key  string
}

// Timing holds the times at which one generation received its tokens.
type Timing struct {
	Organisation string
	// First is the time to the first token, or zero if there was none.
	First time.Duration
	// Gaps are the times between events with tokens.
	Gaps []time.Duration
}

// Weighted is a value with its weight in a mix.
type Weighted[T any] struct {
	Value  T
	Weight float64
}

// Range is a range of integers, including both ends.
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
