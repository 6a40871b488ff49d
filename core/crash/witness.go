package crash

import "time"

// ConcurrentRun is another run on the upstream of an interrupted run.
type ConcurrentRun struct {
	Started     time.Time
	Interrupted bool
}

// UpstreamSurvived reports whether a run that started before another was interrupted is
// still in progress. In that case only a connection was lost and the upstream has not
// ended. Without such a run the upstream may have restarted, even if it answers again.
func UpstreamSurvived(interruptedAt time.Time, others []ConcurrentRun) bool {
	for _, run := range others {
		if !run.Interrupted && run.Started.Before(interruptedAt) {
			return true
		}
	}
	return false
}
