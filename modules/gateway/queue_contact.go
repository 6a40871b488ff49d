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

// follow records the leader that an instance has named.
func (o *ownerContact) follow(now time.Time, leader string) {
	if leader != "" && leader != o.addr {
		o.addr = leader
	}
	o.retryAt = now
}

// answered records an answer of the owner.
func (o *ownerContact) answered(addr string) {
	o.addr, o.failedSince, o.lost, o.retryAt = addr, time.Time{}, false, time.Time{}
}
