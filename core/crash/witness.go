package crash

import "time"

// ConcurrentRun is another run at the upstream at which a run broke off.
type ConcurrentRun struct {
	Started     time.Time
	Interrupted bool
}

// UpstreamSurvived tells whether a run that had begun before another one broke off goes on: a
// connection has been lost then, and the upstream has not ended. Without such a run the
// upstream may have ended, though it answers again.
func UpstreamSurvived(broke time.Time, neighbours []ConcurrentRun) bool {
	for _, n := range neighbours {
		if !n.Interrupted && n.Started.Before(broke) {
			return true
		}
	}
	return false
}
