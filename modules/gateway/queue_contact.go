package gateway

import "time"

// ownerContact is what the queue client knows about the owner of the queues.
type ownerContact struct {
	// addr is the address of the owner, empty if it is not known.
	addr  string
	epoch uint64
	// sending and polling are set while a call is under way.
	sending, polling bool
	// failedSince is when the first of the calls that have failed since the last answer began;
	// reason is the last failure. lost is set once the owner counts as lost.
	failedSince time.Time
	reason      string
	lost        bool
	retryAt     time.Time
	// redirects counts the instances that have named another one since the last answer.
	redirects int
	// asked is the last instance that was asked whether it leads.
	asked string
}

// choose returns the instance to call: the owner, or the next one of those that are followed.
func (o *ownerContact) choose(followed []string) string {
	if o.addr != "" {
		return o.addr
	}
	if len(followed) == 0 {
		return ""
	}
	next := followed[0]
	for _, addr := range followed {
		if addr != o.asked {
			next = addr
			break
		}
	}
	o.asked = next
	return next
}

// maxRedirects is how often in a row an instance may name another one that is called at once. While
// a leader is elected, two instances may name each other.
const maxRedirects = 2

// follow records the leader that an instance has named, if any. It is called at once, so that the
// streams that have been submitted meanwhile need not be placed without it.
func (o *ownerContact) follow(now time.Time, leader string) {
	if leader == "" {
		return
	}
	o.addr = leader
	if o.redirects++; o.redirects <= maxRedirects {
		o.retryAt = now
	}
}

// answered records an answer of the owner.
func (o *ownerContact) answered(addr string) {
	o.addr, o.failedSince, o.lost, o.retryAt, o.redirects = addr, time.Time{}, false, time.Time{}, 0
}
