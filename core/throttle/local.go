package throttle

import "time"

// Local keeps the limit of an upstream for a process through which all requests for it pass. The
// zero value has no limit.
type Local struct {
	statement *Statement // nil if the upstream has named no limit
	bucket    bucket
}

// Observe takes in what the answer to a request that was sent at a time says about the limit: nil
// for none. It reports whether the limit has changed.
func (l *Local) Observe(sentAt, now time.Time, named *float64) bool {
	l.fill(now)
	s, changed := observe(l.statement, sentAt, now, named)
	if l.statement == nil && s != nil {
		l.bucket = bucket{filled: now}
	}
	l.statement = s
	return changed
}

// fill adds the tokens of the time since the last call, and forgets a limit some time after its
// end.
func (l *Local) fill(now time.Time) {
	if l.statement == nil {
		return
	}
	rate, limited := l.statement.rate(now)
	if !limited {
		l.statement = nil
		return
	}
	l.bucket.fill(now, rate, maxDepth(rate))
}

// Limited reports whether the upstream has named a limit.
func (l *Local) Limited(now time.Time) bool {
	l.fill(now)
	return l.statement != nil
}

// Rate returns the limit that the upstream has named last, and whether it still names one.
func (l *Local) Rate() (rate float64, named bool) {
	if l.statement == nil {
		return 0, false
	}
	return l.statement.Rate, !l.statement.Ended
}

// Wait returns the time until a request of a priority may be sent behind a number of others; zero
// is now.
func (l *Local) Wait(now time.Time, priority, ahead int) time.Duration {
	if !l.Limited(now) {
		return 0
	}
	missing := neededTokens(priority) + float64(ahead) - l.bucket.level
	if missing <= 0 {
		return 0
	}
	rate, _ := l.statement.rate(now)
	return time.Duration(min(max(missing/rate, minWait.Seconds()), maxWait.Seconds()) * float64(time.Second))
}

// Take uses up one request.
func (l *Local) Take(now time.Time) {
	if l.Limited(now) {
		l.bucket.level--
	}
}
