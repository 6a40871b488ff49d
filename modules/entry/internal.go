package entry

import (
	"context"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
)

// service is the net/rpc service Entry.
type service struct{ m *Module }

// Status reports the state of the entry.
func (s *service) Status(_ wire.EntryStatusArgs, r *wire.EntryStatusReply) error {
	snap := s.m.owner.current()
	*r = wire.EntryStatusReply{
		Instance:  s.m.instance.ID,
		Zone:      s.m.instance.Zone,
		Ready:     s.m.isReady(),
		Leaving:   s.m.leaving.Load(),
		Revision:  snap.revision(),
		Behind:    snap.behind,
		Open:      int(s.m.open.Load()),
		Upstreams: s.m.owner.views(),
	}
	return nil
}

// Drain makes the readiness check fail, so that the load balancer sends no new
// requests. Running answers go on.
func (s *service) Drain(a wire.DrainArgs, r *wire.DrainReply) error {
	s.m.log.Info("drain", "reason", a.Reason, "undo", a.Undo)
	s.m.leaving.Store(!a.Undo)
	r.Running = int(s.m.open.Load())
	return nil
}

// Report returns the service-level counts.
func (s *service) Report(_ wire.EntryReportArgs, r *wire.EntryReportReply) error {
	snap, err := s.m.owner.report()
	if err == nil {
		r.Report, err = snap.Encode()
	}
	return peer.EncodeError(err)
}

// views returns what the owner knows about the upstreams.
func (o *owner) views() []wire.UpstreamView {
	ctx, cancel := context.WithTimeout(context.Background(), reportPatience)
	defer cancel()
	reply := make(chan []wire.UpstreamView, 1)
	v, _ := ask(ctx, o, look{reply}, reply)
	return v
}
