package pick

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"

	"heatherway.dev/kernel/result"
)

// Filter reports whether an upstream can serve a request.
type Filter func(*Request, *Candidate) bool

// Scorer estimates the cost of running a request on an upstream, in
// milliseconds until its first token.
type Scorer func(*Request, *Candidate) float64

// Picker selects one of the candidates that passed the filters; there is always
// at least one. It returns the index of the selected candidate, and the index
// of the one it was compared with, or -1 if there was none.
type Picker interface {
	Pick(*rand.Rand, *Request, []Scored) (chosen, runnerUp int)
}

// PickerFunc is a function that implements Picker.
type PickerFunc func(*rand.Rand, *Request, []Scored) (chosen, runnerUp int)

// Pick implements Picker.
func (f PickerFunc) Pick(rng *rand.Rand, r *Request, s []Scored) (int, int) { return f(rng, r, s) }

// The registries are written only by init functions and are read-only afterwards.
var (
	filters = map[string]Filter{}
	scorers = map[string]Scorer{}
	pickers = map[string]Picker{}
)

// RegisterFilter adds a filter. It must be called from init, and panics if the
// name is already registered.
func RegisterFilter(name string, f Filter) { register(filters, "filter", name, f) }

// RegisterScorer adds a scorer. It must be called from init, and panics if the
// name is already registered.
func RegisterScorer(name string, s Scorer) { register(scorers, "scorer", name, s) }

// RegisterPicker adds a picker. It must be called from init, and panics if the
// name is already registered.
func RegisterPicker(name string, p Picker) { register(pickers, "picker", name, p) }

func register[T any](in map[string]T, kind, name string, v T) {
	if _, dup := in[name]; dup {
		panic(fmt.Sprintf("pick: %s %q is registered twice", kind, name))
	}
	in[name] = v
}

// WeightedScorer names a scorer and the weight of its cost.
type WeightedScorer struct {
	// Name is the name of the scorer: wait, prefix, zone or suspects.
	Name string `yaml:"name"`
	// Weight is the factor by which the cost in milliseconds is multiplied.
	Weight float64 `yaml:"weight"`
}

// Policy lists the plug-ins of a Chooser.
type Policy struct {
	// Filters names the filters that an upstream must pass.
	Filters []string `yaml:"filters"`
	// Scorers lists the scorers with their weights.
	Scorers []WeightedScorer `yaml:"scorers"`
	// Picker names the picker.
	Picker string `yaml:"picker"`
}

// RequiredFilters returns the names of the filters that every policy must
// contain to be correct.
func RequiredFilters() []string {
	return []string{"model", "adapter", "service", "leaving", "breaker", "tried"}
}

// DefaultPolicy returns the policy of the entry role.
func DefaultPolicy() Policy {
	return Policy{
		Filters: RequiredFilters(),
		Scorers: []WeightedScorer{{"wait", 1}, {"prefix", 1}, {"zone", 1}, {"suspects", 1}},
		Picker:  "best-of-two",
	}
}

// New returns a chooser for the policy. It fails if the policy names an unknown
// plug-in.
func New(p Policy) (*Chooser, error) {
	c := &Chooser{}
	for _, name := range p.Filters {
		f, err := find(filters, "filter", name)
		if err != nil {
			return nil, err
		}
		c.filters = append(c.filters, namedPlugin[Filter]{name, f})
	}
	for _, w := range p.Scorers {
		s, err := find(scorers, "scorer", w.Name)
		if err != nil {
			return nil, err
		}
		if !(w.Weight >= 0) {
			return nil, result.New(result.SettingInvalid, "weight %v of scorer %q is below 0", w.Weight, w.Name)
		}
		c.scorers = append(c.scorers, weightedScorer{namedPlugin[Scorer]{w.Name, s}, w.Weight})
	}
	var err error
	c.picker, err = find(pickers, "picker", p.Picker)
	return c, err
}

func find[T any](in map[string]T, kind, name string) (T, error) {
	v, ok := in[name]
	if !ok {
		return v, result.New(result.SettingInvalid, "unknown %s %q, want one of %v", kind, name, slices.Sorted(maps.Keys(in)))
	}
	return v, nil
}
