package queue

import (
	"cmp"
	"slices"
	"time"
)

// Status describes a queue for operators.
type Status struct {
	Classes   []ClassStatus
	Upstreams []UpstreamStatus
	// Resuming is the number of waiting streams that have already sent events.
	Resuming int
	// Lost counts the placed requests that were dropped because their end was not reported.
	Lost int
	// Requests are the first waiting requests, in their order.
	Requests []RequestStatus
}

// ClassStatus describes the waiting requests of one class.
type ClassStatus struct {
	Priority, RoutePriority         int
	Waiting, Late, Returned, Tokens int
	// OldestWait is the longest time that a request of the class waits, ExpectedWait the expected
	// time to the first event of a new one.
	OldestWait, ExpectedWait time.Duration
}

// UpstreamStatus describes the account of one upstream.
type UpstreamStatus struct {
	ID, Zone                       string
	UnreadTokens, Unread, Running  int
	UsedTokens, CopyTokens, Copies int
	MemoryTokens, Slots            int
	TokensPerMS                    float64
	Accepts                        bool
}

// RequestStatus describes a waiting request.
type RequestStatus struct {
	Key
	RequestID, Organisation string
	Priority, Position      int
	Late, Returned          bool
	Waited, Expected        time.Duration
}

// Status returns the state of the queue.
func (q *Queue) Status(now time.Time) Status {
	s := Status{Resuming: len(q.resumes), Lost: q.lost}
	for p, c := range q.classes {
		if c.count > 0 {
			s.Classes = append(s.Classes, q.classStatus(now, p, c))
		}
	}
	for _, u := range q.list {
		s.Upstreams = append(s.Upstreams, UpstreamStatus{ID: u.ID, Zone: u.Zone, UnreadTokens: u.unreadTokens, Unread: len(u.unread),
			Running: u.requests - len(u.unread), UsedTokens: u.usedTokens, CopyTokens: u.copyTokens, Copies: len(u.copies),
			MemoryTokens: u.MemoryTokens, Slots: u.Slots, TokensPerMS: 1 / u.msPerToken, Accepts: u.accepts(now)})
	}
	s.Requests = q.firstWaiting(now)
	return s
}

func (q *Queue) classStatus(now time.Time, p int, c *class) ClassStatus {
	s := ClassStatus{Priority: p / priorityLevels, RoutePriority: p % priorityLevels, Waiting: c.count, Late: c.levels[late].count, Returned: c.levels[returned].count}
	typical := &request{Request: Request{Priority: s.Priority, RoutePriority: s.RoutePriority}, prompt: int(q.meanPrompt)}
	s.ExpectedWait, _ = q.expectedWait(now, typical, onTime)
	for _, f := range c.flows {
		for l := range f.lists {
			s.Tokens += f.tokens[l]
			for _, r := range f.lists[l] {
				s.OldestWait = max(s.OldestWait, now.Sub(r.submittedAt))
			}
		}
	}
	return s
}

// firstWaiting lists waiting requests in their order, as it would be without later arrivals and
// without passing.
func (q *Queue) firstWaiting(now time.Time) (out []RequestStatus) {
	for _, r := range q.resumes {
		out = q.appendStatus(now, out, r)
	}
	for _, p := range q.places(now, q.throughput(now)) {
		for _, r := range p.class.inOrder(p.level) {
			out = q.appendStatus(now, out, r)
		}
	}
	return out
}

// inOrder returns the requests of a level in the order of their start tags.
func (c *class) inOrder(l levelIndex) []*request {
	type tagged struct {
		tag float64
		r   *request
	}
	var list []tagged
	for _, f := range c.levels[l].flows.list {
		tag := f.startTag
		for _, r := range f.lists[l] {
			list = append(list, tagged{tag, r})
			tag += float64(r.tokens)
		}
	}
	slices.SortFunc(list, func(a, b tagged) int { return cmp.Or(cmp.Compare(a.tag, b.tag), earlier(a.r, b.r)) })
	out := make([]*request, len(list))
	for i := range list {
		out[i] = list[i].r
	}
	return out
}

func (q *Queue) appendStatus(now time.Time, out []RequestStatus, r *request) []RequestStatus {
	if len(out) >= q.settings.StatusRequests {
		return out
	}
	return append(out, RequestStatus{Key: r.key, RequestID: r.RequestID, Organisation: r.Organisation, Priority: r.Priority, Position: len(out),
		Late: r.level == late, Returned: r.returned, Waited: now.Sub(r.submittedAt), Expected: r.expected})
}
