package crash

import "fmt"

func (f *fleet) dump(key string) {
	s := fmt.Sprintf("%.2f dump", f.now)
	for _, r := range f.trackers[0].requests[key].runs {
		s += fmt.Sprintf(" [%s %s at %.2f exp %v]", r.Upstream, r.outcome, r.interruptedAt.Sub(start).Seconds(), r.expired(f.time()))
	}
	f.log = append(f.log, s)
}
