package queue

import "time"

// expire moves requests that have missed their aim behind those that can still make theirs.
func (q *Queue) expire(now time.Time) {
	for _, c := range q.classes {
		for lv := &c.levels[onTime]; len(lv.targets) > 0 && !lv.targets[0].due.After(now); {
			r := lv.targets[0]
			c.remove(r)
			c.push(r, late)
		}
	}
}

// next returns the request that goes next.
func (q *Queue) next(now time.Time) *request {
	for _, c := range q.classes {
		for l := range levels {
			if r := c.head(l); r != nil {
				return r
			}
		}
	}
	return nil
}
