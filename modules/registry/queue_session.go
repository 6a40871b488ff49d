package registry

import "time"

// queueSession is what the owner of the queues knows about the exchange with one gateway.
type queueSession struct {
	gateway string
	number  uint64
	heardAt time.Time
	// applied is the number of the last event applied.
	applied uint64
	// unacked are the decisions that the gateway has not acknowledged, oldest first; lastDecision
	// is the number of the last one.
	unacked      []QueueDecision
	lastDecision uint64
	// waiting receives the reply to the call that waits for decisions, at replyAt at the latest.
	waiting chan ExchangeReply
	reply   ExchangeReply
	replyAt time.Time
}

func (s *queueSession) add(d QueueDecision) {
	s.unacked = append(s.unacked, d)
	s.lastDecision++
}

// acknowledge forgets the decisions that the gateway has received.
func (s *queueSession) acknowledge(number uint64) {
	first := s.lastDecision - uint64(len(s.unacked)) + 1
	if number < first {
		return
	}
	s.unacked = s.unacked[min(number-first+1, uint64(len(s.unacked))):]
}

// hold keeps a call until there are decisions for its gateway. It replaces an earlier one, whose
// reply the gateway has stopped waiting for.
func (s *queueSession) hold(now time.Time, waiting chan ExchangeReply, reply ExchangeReply) {
	s.release(reply)
	s.waiting, s.reply, s.replyAt = waiting, reply, now.Add(MaxExchangeWait)
}

// release answers the call that waits, if any.
func (s *queueSession) release(reply ExchangeReply) {
	if s.waiting != nil {
		s.waiting <- reply // has room
		s.waiting = nil
	}
}

// flush answers the call that waits if there are decisions or if it has waited long enough. It
// returns the time until the next call.
func (s *queueSession) flush(now time.Time, epoch uint64) time.Duration {
	if s.waiting == nil {
		return MaxExchangeWait
	}
	if left := s.replyAt.Sub(now); len(s.unacked) == 0 && left > 0 {
		return left
	}
	s.reply.Epoch, s.reply.Applied = epoch, s.applied
	s.reply.FirstDecision = s.lastDecision - uint64(len(s.unacked)) + 1
	s.reply.Decisions = append([]QueueDecision(nil), s.unacked...) // encoded by another goroutine
	s.release(s.reply)
	return MaxExchangeWait
}
