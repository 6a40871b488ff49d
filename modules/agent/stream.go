package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

const (
	// heartbeatInterval is the longest time without a frame; the entry counts
	// 750 ms of silence as a failure.
	heartbeatInterval = 250 * time.Millisecond
	// writeLimit ends a stream whose entry takes nothing any more.
	writeLimit = 10 * time.Second
	// maxRequest bounds a generation request: the largest body and prefix.
	maxRequest = 24 << 20
	// readLimit bounds how long an entry may take to send a request.
	readLimit = 10 * time.Second
)

// stream writes the frames of one generation to an entry.
type stream struct {
	a    *Agent
	w    http.ResponseWriter
	rc   *http.ResponseController
	buf  []byte
	dead bool
}

func (a *Agent) serveGenerate(w http.ResponseWriter, r *http.Request) {
	if err := a.security.Allow(peer.RolesOf(r.TLS), peer.Name(r.TLS), wire.GeneratePath, roleEntry); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	a.work.Add(1)
	defer a.work.Add(-1)
	s := &stream{a: a, w: w, rc: http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/octet-stream")
	req, err := s.decode(r)
	if err != nil {
		s.fail(0, err)
		return
	}
	ev := openEvent{req: req, reply: make(chan opened, 1)}
	o, ok := ask(a, ev, ev.reply)
	if !ok {
		s.fail(req.Attempt, result.New(result.Leaving, "the agent has stopped"))
		return
	}
	if o.err != nil {
		s.fail(req.Attempt, o.err)
		return
	}
	s.follow(r, o.gen, o.reader, req.Attach && req.Prefix)
	a.post(detachEvent{o.gen, o.reader})
}

func (s *stream) decode(r *http.Request) (*wire.GenerateRequest, error) {
	_ = s.rc.SetReadDeadline(time.Now().Add(readLimit))
	defer func() { _ = s.rc.SetReadDeadline(time.Time{}) }()
	var req wire.GenerateRequest
	err := json.NewDecoder(http.MaxBytesReader(s.w, r.Body, maxRequest)).Decode(&req)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, result.New(result.BodyTooLarge, "the request exceeds %d bytes", maxRequest)
	case err != nil:
		return nil, result.Wrap(result.MalformedBody, err, "generation request")
	case !req.Generation.Valid():
		return nil, result.New(result.InvalidField, "generation: not an id")
	case req.Class >= wire.ClassCount:
		return nil, result.New(result.InvalidField, "class: %d", req.Class)
	}
	return &req, nil
}

// follow sends frames until the generation ends, another reader takes over, or
// the entry is gone. With prefix, the first frame carries the text before the
// reader's offset.
func (s *stream) follow(r *http.Request, g *generation, rd *reader, prefix bool) {
	first := wire.Frame{Kind: wire.FrameQueued, Attempt: g.out.attempt, Generation: g.id}
	if prefix {
		first.Text, first.Tokens = g.out.before(rd)
	}
	s.send(first)
	beat := time.NewTimer(heartbeatInterval)
	defer beat.Stop()
	for !s.dead {
		b := g.out.take(rd)
		if s.sendBatch(g, b) {
			return
		}
		if b.tokens != nil || b.started {
			s.flush()
			beat.Reset(heartbeatInterval)
			continue
		}
		s.flush()
		select {
		case <-rd.wake:
		case <-beat.C:
			s.send(wire.Frame{Kind: wire.FrameHeartbeat, Attempt: g.out.attempt})
			beat.Reset(heartbeatInterval)
		case <-r.Context().Done():
			return
		}
	}
}

// sendBatch writes what is ready and tells whether the stream has ended.
func (s *stream) sendBatch(g *generation, b batch) bool {
	if b.superseded {
		s.fail(g.out.attempt, result.New(result.Superseded, "another reader or a newer attempt has taken over"))
		return true
	}
	if b.started {
		s.send(wire.Frame{Kind: wire.FrameStarted, Attempt: g.out.attempt})
	}
	if b.tokens != nil {
		s.send(*b.tokens)
	}
	if b.last == nil {
		return false
	}
	last := *b.last
	last.Attempt = g.out.attempt
	s.send(last)
	s.flush()
	return true
}

func (s *stream) fail(attempt uint32, err error) {
	f := failFrame(err)
	f.Attempt = attempt
	s.send(f)
	s.flush()
}

// send buffers a frame; flush writes it.
func (s *stream) send(f wire.Frame) {
	if f.Kind != wire.FrameToken {
		now := s.a.snapshot.Load()
		f.Load, f.Revision = now.load, now.revision
	}
	s.buf = wire.AppendFrame(s.buf, &f)
}

func (s *stream) flush() {
	if len(s.buf) == 0 || s.dead {
		return
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err := s.w.Write(s.buf)
	if err == nil {
		err = s.rc.Flush()
	}
	s.dead = err != nil
	s.buf = s.buf[:0]
}
