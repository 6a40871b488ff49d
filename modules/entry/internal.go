package entry

import (
	"context"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// rpcService is the net/rpc service Entry.
type rpcService struct{ m *Module }

// Status reports the state of the entry.
func (s *rpcService) Status(_ wire.EntryStatusArgs, r *wire.EntryStatusReply) error {
	snap := s.m.owner.current()
	*r = wire.EntryStatusReply{
		Instance:  s.m.instance.ID,
		Zone:      s.m.instance.Zone,
		Ready:     s.m.isReady(),
		Leaving:   s.m.draining.Load(),
		Revision:  snap.revision(),
		Behind:    snap.behind,
		Open:      int(s.m.openRequests.Load()),
		Upstreams: s.m.owner.views(),
	}
	return nil
}

// Drain makes the readiness check fail, so that the load balancer sends no new
// requests, or undoes that. Open requests continue. A stop cannot be undone.
func (s *rpcService) Drain(a wire.DrainArgs, r *wire.DrainReply) error {
	s.m.log.Info("drain requested", "reason", a.Reason, "undo", a.Undo)
	if a.Undo && s.m.stopping.Load() {
		return peer.EncodeError(result.New(result.Leaving, "this entry stops"))
	}
	s.m.draining.Store(!a.Undo)
	r.Running = int(s.m.openRequests.Load())
	return nil
}

// Report returns the service-level counts.
func (s *rpcService) Report(_ wire.EntryReportArgs, r *wire.EntryReportReply) error {
	snap, err := s.m.owner.sloSnapshot()
	if err == nil {
		r.Report, err = snap.Encode()
	}
	return peer.EncodeError(err)
}

// views returns the owner's view of the upstreams, nil if it does not answer
// within reportTimeout.
func (o *owner) views() []wire.UpstreamView {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	reply := make(chan []wire.UpstreamView, 1)
	v, _ := query(ctx, o, viewsRequest{reply}, reply)
	return v
}
