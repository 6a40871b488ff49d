package pick

import (
	"math"
	"time"
)

const (
	// defaultServiceTime is used before any own request has ended.
	defaultServiceTime = 2 * time.Second
	// reportDecay is the time constant by which a report gives way to what is
	// typical. An upstream that was busy once sends no news to an entry that
	// avoids it, and would be avoided for good.
	reportDecay = 2 * time.Second
	// fullBatchMS is the cost of a full batch against an empty one: decoding slows
	// as the batch of an engine fills.
	fullBatchMS = 20.0
	// blockMS is the cost of prefilling one block: 256 characters are about 64
	// tokens, prefilled at about 5,000 tokens/s.
	blockMS = 13.0
	// otherZoneMS and otherRegionMS are round trips.
	otherZoneMS   = 2.0
	otherRegionMS = 30.0
	// probationMS is about the time of one suspect's probation: a prefill and
	// two tokens. An agent runs suspects one after the other.
	probationMS = 200.0
)

func init() {
	RegisterScorer("wait", expectedWait)
	RegisterScorer("prefix", missingPrefix)
	RegisterScorer("zone", distance)
	RegisterScorer("suspects", probations)
}

// expectedWait corrects the last report by its age and by the own requests sent
// and ended since it was made, and estimates the wait of a new request of the
// class.
func expectedWait(r *Request, u *Candidate) float64 {
	slots := float64(max(u.Load.Slots, u.Slots, 1))
	reported := queuedAhead(r, u) + float64(u.Load.Running)
	trust := math.Exp(-u.Age.Seconds() / reportDecay.Seconds())
	busy := trust*(reported-float64(u.EndedSinceReport)) + (1-trust)*u.MeanLoad*slots
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

// slotWaitMS is the mean time until one of the upstream's slots becomes free. The
// agent's own estimate is used where it has one.
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

// probations spreads the suspects of a crash over upstreams, so that they run
// sooner and a further crash names fewer of them.
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
