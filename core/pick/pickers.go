package pick

import "math/rand"

// drawScaleMS is the difference in cost from which the weights of best-of-two fall,
// with the third power. Weights that fall faster send more requests to the
// cheapest upstream, which many entries then choose at once; with the first
// power an upstream that has the prefix is seldom drawn (docs/notes/upstream-choice.md).
const drawScaleMS = 20.0

func init() {
	RegisterPicker("best-of-two", PickerFunc(bestOfTwo))
	RegisterPicker("random", PickerFunc(uniform))
	RegisterPicker("least-reported-load", PickerFunc(leastReported))
}

// bestOfTwo draws two candidates with weights that fall with their cost above
// the cheapest, and takes the cheaper of them.
func bestOfTwo(rng *rand.Rand, _ *Request, s []Scored) (int, int) {
	if len(s) == 1 {
		return 0, -1
	}
	lowest := s[0].Cost
	for i := range s {
		lowest = min(lowest, s[i].Cost)
	}
	total := 0.0
	for i := range s {
		total += drawWeight(&s[i], lowest)
	}
	a := draw(rng, s, lowest, total, -1)
	b := draw(rng, s, lowest, total-drawWeight(&s[a], lowest), a)
	if s[b].Cost < s[a].Cost {
		a, b = b, a
	}
	return a, b
}

func drawWeight(s *Scored, lowest float64) float64 {
	w := drawScaleMS / (drawScaleMS + s.Cost - lowest)
	return w * w * w
}

// draw returns a candidate other than skip with a chance in proportion to its
// weight.
func draw(rng *rand.Rand, s []Scored, lowest, total float64, skip int) int {
	at, last := rng.Float64()*total, -1
	for i := range s {
		if i == skip {
			continue
		}
		last = i
		if at -= drawWeight(&s[i], lowest); at < 0 {
			break
		}
	}
	return last
}

func uniform(rng *rand.Rand, _ *Request, s []Scored) (int, int) { return rng.Intn(len(s)), -1 }

// leastReported is the baseline that trusts reports as they are. Equal reports
// are drawn from at random.
func leastReported(rng *rand.Rand, _ *Request, s []Scored) (int, int) {
	best, ties := 0, 1
	for i := 1; i < len(s); i++ {
		d := reportedLoad(s[i].Candidate) - reportedLoad(s[best].Candidate)
		switch {
		case d < 0:
			best, ties = i, 1
		case d == 0:
			ties++
			if rng.Intn(ties) == 0 {
				best = i
			}
		}
	}
	return best, -1
}

func reportedLoad(u *Candidate) float64 {
	n := u.Load.Running
	for _, q := range u.Load.Queued {
		n += q
	}
	return float64(n) / float64(max(u.Load.Slots, u.Slots, 1))
}
