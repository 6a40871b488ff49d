package pick

import "math/rand"

// drawScaleMS is the cost difference at which the draw weights of best-of-two
// start to fall noticeably; they fall with its third power. A steeper fall
// sends more requests to the cheapest upstream, which many entries then select
// at the same time; with the first power, an upstream that has the prefix
// cached is seldom drawn (docs/notes/upstream-choice.md).
const drawScaleMS = 20.0

func init() {
	RegisterPicker("best-of-two", PickerFunc(bestOfTwo))
	RegisterPicker("random", PickerFunc(uniform))
	RegisterPicker("least-reported-load", PickerFunc(leastReported))
}

// bestOfTwo draws two candidates at random, weighted by how little their cost
// exceeds the lowest cost, and selects the cheaper of the two.
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

// draw returns the index of a random candidate other than skip, with a
// probability proportional to its weight.
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

// leastReported selects the lowest reported load without corrections, as a
// baseline for comparisons. Ties are broken at random.
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
