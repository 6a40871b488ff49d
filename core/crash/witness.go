package crash

import "time"

// Neighbour is another run at the upstream at which a run broke off.
type Neighbour struct {
	Began time.Time
	Broke bool
}

// Outlived tells whether a run that had begun before another one broke off goes on: a
// connection has been lost then, and the upstream has not ended. Without such a run the
// upstream may have ended, though it answers again.
func Outlived(broke time.Time, neighbours []Neighbour) bool {
	for _, n := range neighbours {
		if !n.Broke && n.Began.Before(broke) {
			return true
		}
	}
	return false
}
