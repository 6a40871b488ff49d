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
	// heartbeatInterval is the longest time without a frame. An entry considers a
	// stream failed after 750 ms without one.
	heartbeatInterval = 250 * time.Millisecond
	// writeTimeout ends a stream whose entry no longer reads.
	writeTimeout = 10 * time.Second
	// maxRequestBytes bounds a generation request, including its body and prefix.
	maxRequestBytes = 24 << 20
	// readTimeout bounds how long an entry may take to send a request.
	readTimeout = 10 * time.Second
)

// stream sends the frames of one generation to an entry.
type stream struct {
	a      *Agent
	w      http.ResponseWriter
	rc     *http.ResponseController
	buf    []byte
	failed bool
}

func (a *Agent) serveGenerate(w http.ResponseWriter, r *http.Request) {
	if err := a.security.Allow(peer.RolesOf(r.TLS), peer.CommonName(r.TLS), wire.GeneratePath, roleEntry); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	a.activeWork.Add(1)
	defer a.activeWork.Add(-1)
	s := &stream{a: a, w: w, rc: http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/octet-stream")
	if a.snapshot.Load().load.Leaving {
		w.Header().Set("Connection", "close")
	}
	req, err := s.decode(r)
	if err != nil {
		s.fail("", 0, err)
		return
	}
	ev := openEvent{req: req, reply: make(chan openResult, 1)}
	o, ok := ask(a, ev, ev.reply)
	if !ok {
		s.fail(req.Generation, req.Attempt, result.New(result.Leaving, "the agent has stopped"))
		return
	}
	if o.err != nil {
		s.fail(req.Generation, req.Attempt, o.err)
		return
	}
	s.follow(r, o.gen, o.reader, req.Attach && req.Prefix)
	a.post(detachEvent{o.gen, o.reader})
}

func (s *stream) decode(r *http.Request) (*wire.GenerateRequest, error) {
	_ = s.rc.SetReadDeadline(time.Now().Add(readTimeout))
	defer func() { _ = s.rc.SetReadDeadline(time.Time{}) }()
	var req wire.GenerateRequest
	err := json.NewDecoder(http.MaxBytesReader(s.w, r.Body, maxRequestBytes)).Decode(&req)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, result.New(result.BodyTooLarge, "the request exceeds %d bytes", maxRequestBytes)
	case err != nil:
		return nil, result.Wrap(result.MalformedBody, err, "generation request")
	case !req.Generation.Valid():
		return nil, result.New(result.InvalidField, "generation: not an id")
	case req.Class >= wire.ClassCount:
		return nil, result.New(result.InvalidField, "class: %d", req.Class)
	}
	return &req, nil
}

// follow sends frames until the generation ends, another reader replaces this one, or
// the entry disconnects. With prefix, the first frame carries the text before the
// reader's offset.
func (s *stream) follow(r *http.Request, g *generation, rd *reader, prefix bool) {
	first := wire.Frame{Kind: wire.FrameQueued, Attempt: g.out.attempt, Generation: g.id}
	if prefix {
		first.Text, first.Tokens = g.out.textBefore(rd)
	}
	s.send(first)
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for !s.failed {
		b := g.out.next(rd)
		if s.sendBatch(g, b) {
			return
		}
		if b.tokens != nil || b.started {
			s.flush()
			heartbeat.Reset(heartbeatInterval)
			continue
		}
		s.flush()
		select {
		case <-rd.wake:
		case <-heartbeat.C:
			s.send(wire.Frame{Kind: wire.FrameHeartbeat, Attempt: g.out.attempt})
			heartbeat.Reset(heartbeatInterval)
		case <-r.Context().Done():
			return
		}
	}
}

// sendBatch sends a batch and reports whether the stream has ended.
func (s *stream) sendBatch(g *generation, b batch) bool {
	if b.superseded {
		s.fail(g.id, g.out.attempt, result.New(result.Superseded, "another reader or a newer attempt has taken over"))
		return true
	}
	if b.started {
		s.send(wire.Frame{Kind: wire.FrameStarted, Attempt: g.out.attempt})
	}
	if b.tokens != nil {
		s.send(*b.tokens)
	}
	if b.final == nil {
		return false
	}
	last := *b.final
	last.Attempt = g.out.attempt
	s.send(last)
	s.flush()
	return true
}

func (s *stream) fail(generation wire.ID, attempt uint32, err error) {
	f := failFrame(err)
	f.Generation, f.Attempt = generation, attempt
	s.send(f)
	s.flush()
}

// send buffers a frame until the next flush.
func (s *stream) send(f wire.Frame) {
	if f.Kind != wire.FrameToken {
		now := s.a.snapshot.Load()
		f.Load, f.Revision = now.load, now.revision
	}
	s.buf = wire.AppendFrame(s.buf, &f)
}

func (s *stream) flush() {
	if len(s.buf) == 0 || s.failed {
		return
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.w.Write(s.buf)
	if err == nil {
		err = s.rc.Flush()
	}
	s.failed = err != nil
	s.buf = s.buf[:0]
}
