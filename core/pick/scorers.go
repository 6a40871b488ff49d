package pick

import (
	"math"
	"time"
)

const (
	// defaultServiceTime is used until a request from this entry has ended.
	defaultServiceTime = 2 * time.Second
	// reportDecay is the time constant with which the estimate moves from the
	// last report to the mean load. An entry that avoids an upstream receives
	// no reports from it; without the decay, an upstream that was busy once
	// would be avoided indefinitely.
	reportDecay = 2 * time.Second
	// fullBatchMS is the cost of joining a full batch instead of an empty one:
	// decoding slows down as the batch of an engine fills.
	fullBatchMS = 20.0
	// blockMS is the cost of prefilling one block: its 256 characters are about
	// 64 tokens, which prefill at about 5,000 tokens/s.
	blockMS = 13.0
	// otherZoneMS and otherRegionMS are network round-trip times.
	otherZoneMS   = 2.0
	otherRegionMS = 30.0
	// probationMS approximates the duration of one suspect's probation: a
	// prefill and two tokens. An agent runs suspects one at a time.
	probationMS = 200.0
)

func init() {
	RegisterScorer("wait", expectedWait)
	RegisterScorer("prefix", missingPrefix)
	RegisterScorer("zone", distance)
	RegisterScorer("suspects", probations)
}

// expectedWait estimates how long a new request of the class would wait. It
// discounts the last report by its age and corrects it for the requests of this
// entry that started and ended since.
func expectedWait(r *Request, u *Candidate) float64 {
	slots := float64(max(u.Load.Slots, u.Slots, 1))
	reported := queuedAhead(r, u) + float64(u.Load.Running)
	reportWeight := math.Exp(-u.Age.Seconds() / reportDecay.Seconds())
	busy := reportWeight*(reported-float64(u.EndedSinceReport)) + (1-reportWeight)*u.MeanLoad*slots
	busy = max(busy, 0) + float64(u.SentSinceReport)
	wait := max(busy+1-slots, 0) * slotWaitMS(r, u, reported, slots)
	return wait + fullBatchMS*min(busy/slots, 1)
}

func queuedAhead(r *Request, u *Candidate) float64 {
	n := 0.0
	for c := range r.Class + 1 {
		n += float64(u.Load.Queued[c])
	}
	return n
}

// slotWaitMS returns the mean time until one of the upstream's slots becomes
// free, taken from the agent's own estimate if there is one.
func slotWaitMS(r *Request, u *Candidate, reported, slots float64) float64 {
	if ahead := reported + 1 - slots; ahead >= 1 && u.Load.WaitMS[r.Class] > 0 {
		return float64(u.Load.WaitMS[r.Class]) / ahead
	}
	service := u.ServiceTime
	if service <= 0 {
		service = defaultServiceTime
	}
	return float64(service) / float64(time.Millisecond) / slots
}

func missingPrefix(r *Request, u *Candidate) float64 {
	return blockMS * float64(len(r.Blocks)-u.CachedBlocks)
}

// probations spreads the requests suspected of a crash over the upstreams, so that
// they complete their probation sooner and another crash implicates fewer of them.
func probations(r *Request, u *Candidate) float64 {
	if !r.Suspect {
		return 0
	}
	return probationMS * float64(u.Suspects)
}

func distance(r *Request, u *Candidate) float64 {
	switch {
	case u.Region != r.Region:
		return otherRegionMS
	case u.Zone != r.Zone:
		return otherZoneMS
	}
	return 0
}
