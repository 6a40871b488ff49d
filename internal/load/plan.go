package load

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"heatherway.dev/core/wire"
)

// Kind is a kind of request.
type Kind string

// The kinds of request.
const (
	Generation Kind = "generation"
	Lookup     Kind = "lookup"
	Order      Kind = "order"
)

// orderFraction is the share of plain calls that are orders, which must not be
// executed twice.
const orderFraction = 0.5

// request is one request of the run.
type request struct {
	index        int
	kind         Kind
	class        wire.Class
	organisation Organisation
	prompt       string
	seed         int64
	tokens       int
}

// plan returns request i. It depends only on the options and i, so that a run
// can be reproduced.
func (o *Options) plan(i int) request {
	r := rand.New(rand.NewPCG(o.Seed, uint64(i)))
	q := request{
		index: i, kind: Generation,
		class: draw(r, o.Classes), organisation: draw(r, o.Organisations),
		seed: r.Int64(), tokens: o.OutputTokens.draw(r),
	}
	q.prompt = o.prompt(r, q)
	if r.Float64() < o.ServiceShare {
		q.kind = Lookup
		if r.Float64() < orderFraction {
			q.kind = Order
		}
	}
	return q
}

func draw[T any](r *rand.Rand, mix []Weighted[T]) T {
	var sum float64
	for _, s := range mix {
		sum += s.Weight
	}
	at := r.Float64() * sum
	for _, s := range mix {
		if at -= s.Weight; at < 0 {
			return s.Value
		}
	}
	return mix[len(mix)-1].Value
}

func (g Range) draw(r *rand.Rand) int { return g.Min + r.IntN(g.Max-g.Min+1) }

const wordLength = 7 // length of a word of a prompt, including the space after it

// prompt returns a random text of a length in PromptChars, with the shared
// prefix of the organisation.
func (o *Options) prompt(r *rand.Rand, q request) string {
	n := o.PromptChars.draw(r)
	shared := randomWords(rand.New(rand.NewPCG(o.Seed, hashString(q.organisation.Name))), min(o.SharedPrefixChars, n))
	return shared + randomWords(r, n-len(shared))
}

func hashString(s string) uint64 {
	var h uint64
	for _, c := range []byte(s) {
		h = h*31 + uint64(c)
	}
	return h
}

func randomWords(r *rand.Rand, n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%0*x ", wordLength-1, r.IntN(1<<(4*(wordLength-1))))
	}
	return b.String()[:n]
}
