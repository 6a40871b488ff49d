package registry

import (
	"heatherway.dev/core/queue"
	"heatherway.dev/kernel/stats"
)

// queueMetrics counts the decisions of the queues that this instance owns.
type queueMetrics struct {
	placed, refused, moved, copiesDropped, copiesMade stats.Counter
}

func newQueueMetrics(r *stats.Registry) queueMetrics {
	return queueMetrics{
		placed: r.Counter("queue_placed_total"), refused: r.Counter("queue_refused_total"), moved: r.Counter("queue_moved_total"),
		copiesDropped: r.Counter("queue_copies_dropped_total"), copiesMade: r.Counter("queue_copies_made_total"),
	}
}

func (m queueMetrics) count(d queue.Decision) {
	switch d.Action {
	case queue.Place:
		m.placed.Inc()
	case queue.Refuse:
		m.refused.Inc()
	case queue.Move:
		m.moved.Inc()
	case queue.DropCopy:
		m.copiesDropped.Inc()
	case queue.MakeCopy:
		m.copiesMade.Inc()
	}
}
