// Package buffers limits the bytes that a process holds in memory for others: bodies,
// events and messages that arrive over its connections.
package buffers

import (
	"sync"
	"sync/atomic"
)

// Budget limits the bytes that its reservations hold together. It is safe for concurrent
// use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// take adds n bytes to those in use if they fit. A larger value is never visible, since others
// would be refused on it.
func (b *Budget) take(n int64) bool {
	for {
		used := b.used.Load()
		if n > b.limit-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// NewReservation returns an empty reservation.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Reservation is the part of a budget that one request or connection uses. It is safe for
// concurrent use.
type Reservation struct {
	budget   *Budget
	mu       sync.Mutex
	reserved int64
	closed   bool
}

// Reserve reserves n bytes. It returns false when the budget is exhausted or the
// reservation is closed.
func (r *Reservation) Reserve(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if !r.budget.take(n) {
		return false
	}
	r.reserved += n
	return true
}

// Release returns n bytes to the budget.
func (r *Reservation) Release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.reserved -= n
		r.budget.used.Add(-n)
	}
}

// Close returns all bytes to the budget; later calls of Reserve fail.
func (r *Reservation) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		r.budget.used.Add(-r.reserved)
	}
}
