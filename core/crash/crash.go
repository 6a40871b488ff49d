// Package crash recognises requests that crash the upstreams which begin to run
// them. Gateways note which requests were beginning at an upstream when its
// connections broke; once the upstream's incarnation has ended, each becomes a
// Record that all gateways share. The package holds no clock and no lock.
package crash

import (
	"slices"
	"time"
)

const (
	// Threshold is the number of crashed incarnations from which on a request is
	// blocked. The loss of an availability zone meets a request once, and hardly
	// one twice.
	Threshold = 3
	// blockTime is how long a request is blocked after its last crash.
	blockTime = 10 * time.Minute
	// confirmTime is the longest time between a broken connection and the news
	// that the incarnation has ended.
	confirmTime = 10 * time.Second
	// maxPending and maxRecords bound the memory; the oldest ones yield.
	maxPending = 1024
	maxRecords = 1024
)

// Record says that a request was beginning at an incarnation that crashed.
type Record struct {
	// Fingerprint names the request, whoever sends it again.
	Fingerprint string
	// Addr and StartedMS name the incarnation.
	Addr      string
	StartedMS int64
}

type timed struct {
	Record
	at time.Time
}

// Ledger is what one gateway knows of crashes.
type Ledger struct {
	pending []timed
	records []timed
}

// Broken notes that the connection to an upstream broke while a request was
// beginning there.
func (l *Ledger) Broken(now time.Time, r Record) {
	if len(l.pending) >= maxPending {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, timed{r, now})
}

// Ended takes the news that incarnations at an address that started before a
// time have ended. It returns the records that this confirms.
func (l *Ledger) Ended(now time.Time, addr string, beforeMS int64) []Record {
	var out []Record
	l.pending = slices.DeleteFunc(l.pending, func(p timed) bool {
		if now.Sub(p.at) > confirmTime {
			return true
		}
		if p.Addr != addr || p.StartedMS >= beforeMS {
			return false
		}
		if l.Add(now, p.Record) {
			out = append(out, p.Record)
		}
		return true
	})
	return out
}

// Add takes a confirmed record in and tells whether it is new.
func (l *Ledger) Add(now time.Time, r Record) bool {
	l.records = slices.DeleteFunc(l.records, func(t timed) bool { return now.Sub(t.at) > blockTime })
	if slices.ContainsFunc(l.records, func(t timed) bool { return t.Record == r }) {
		return false
	}
	if len(l.records) >= maxRecords {
		l.records = l.records[1:]
	}
	l.records = append(l.records, timed{r, now})
	return true
}

// Clear forgets the records of a request that has been answered whole: it does not
// crash what runs it.
func (l *Ledger) Clear(fingerprint string) {
	of := func(t timed) bool { return t.Fingerprint == fingerprint }
	l.pending = slices.DeleteFunc(l.pending, of)
	l.records = slices.DeleteFunc(l.records, of)
}

// Pending returns the number of broken runs whose upstreams are not known to have
// ended.
func (l *Ledger) Pending() int { return len(l.pending) }

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Blocked tells whether a request has crashed so many upstreams that it must not
// run again.
func (l *Ledger) Blocked(now time.Time, fingerprint string) bool {
	n := 0
	for _, t := range l.records {
		if t.Fingerprint == fingerprint && now.Sub(t.at) <= blockTime {
			n++
		}
	}
	return n >= Threshold
}
