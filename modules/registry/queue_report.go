package registry

import (
	"encoding/json"
	"net/http"
	"time"

	"heatherway.dev/core/queue"
)

// QueuesPath is the path of the state of the queues on the metrics endpoint.
const QueuesPath = "/queues"

// QueueReport is what an instance reports about the queues of streams.
type QueueReport struct {
	// Instance is the peer address of the instance. Owner is set if it owns the queues.
	Instance string
	Owner    bool
	// Gateways are the gateways that take part, by ID and start.
	Gateways []QueueGateway
	// Services are the queues by service.
	Services map[string]queue.Status
}

// QueueGateway is a gateway that takes part in the queues.
type QueueGateway struct {
	Gateway string
	// Silent is the time since its last call, Unread the number of decisions that it has not
	// acknowledged.
	Silent time.Duration
	Unread int
}

// serveQueues serves the state of the queues as JSON.
func (r *Registry) serveQueues(w http.ResponseWriter, q *http.Request) {
	report := QueueReport{Instance: r.PeerListen}
	if r.queues != nil {
		reply := make(chan QueueReport, 1)
		select {
		case r.queues.reports <- reply:
			report = <-reply
		case <-q.Context().Done():
			return
		case <-r.ctx.Done():
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		r.log.Debug("report of the queues not written", "error", err)
	}
}

// report returns the state of the queues.
func (o *queueOwner) report(now time.Time) QueueReport {
	out := QueueReport{Instance: o.registry.PeerListen, Owner: o.leads()}
	if !out.Owner {
		return out
	}
	for _, s := range o.sessions {
		out.Gateways = append(out.Gateways, QueueGateway{s.gateway, now.Sub(s.heardAt), len(s.unacked)})
	}
	out.Services = map[string]queue.Status{}
	for service, q := range o.services {
		out.Services[service] = q.Status(now)
	}
	return out
}
