package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/registry"
	"heatherway.dev/kernel/result"
)

// beginningEvents is the number of events up to which a stream counts as
// beginning: a request that crashes upstreams does so when it begins to run.
const beginningEvents = 1

// fingerprint names the request whoever sends it again: organisation, method,
// target and body.
func (c *call) fingerprint() string {
	h := sha256.New()
	name := ""
	if c.owner != nil {
		name = c.owner.Name
	}
	for _, part := range []string{name, c.out.method, c.out.target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.out.body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// blocked returns the refusal of a request that has crashed too many upstreams.
// It ran there, so the answer must not say that it has not.
func (c *call) blocked() error {
	if c.g.crashes.Load() < crash.Threshold {
		return nil
	}
	var blocked bool
	fingerprint := c.fingerprint()
	c.g.owner.ask(func(s *state) { blocked = s.crashes.Blocked(time.Now(), fingerprint) })
	if !blocked {
		return nil
	}
	return result.New(result.UpstreamFailed, "the request has crashed %d upstreams", crash.Threshold)
}

// noteBroken notes that the connection to an upstream broke while the stream was
// beginning there. Plain calls are left out: many callers make the same one, and
// each crash of a plain upstream meets some of them.
func (c *call) noteBroken(u registration.Upstream) {
	r := crash.Record{Fingerprint: c.fingerprint(), Addr: u.Addr, StartedMS: u.StartedMS}
	c.logBroken(r, true)
	c.g.owner.tell(func(s *state) { s.crashes.Broken(time.Now(), r) })
}

// logBroken writes that a run ended without an answer, and whether it is held against
// the request if the upstream's incarnation has ended.
func (c *call) logBroken(r crash.Record, noted bool) {
	c.g.metrics.brokenRuns.Inc()
	c.g.log.Info("run broke off", "request", c.req.ID, "fingerprint", r.Fingerprint, "address", r.Addr, "started_ms", r.StartedMS, "noted", noted)
}

// noteWhole notes that the stream was answered whole.
func (c *call) noteWhole() {
	if c.g.crashes.Load() == 0 {
		return
	}
	fingerprint := c.fingerprint()
	c.g.owner.tell(func(s *state) {
		before := s.crashes.Len()
		s.crashes.Clear(fingerprint)
		if before > s.crashes.Len() {
			c.g.log.Info("crashes cleared by a whole answer", "request", c.req.ID, "fingerprint", fingerprint, "count", before-s.crashes.Len())
		}
		c.g.crashes.Store(int64(s.crashes.Len()))
	})
}

// incarnationEnded confirms the crashes at an address once a later incarnation
// has announced itself there.
func (g *Gateway) incarnationEnded(addr string, startedMS int64) {
	g.owner.tell(func(s *state) {
		before := s.crashes.Pending()
		confirmed := s.crashes.Ended(time.Now(), addr, startedMS)
		g.crashes.Store(int64(s.crashes.Len()))
		for _, r := range confirmed {
			g.log.Info("crash confirmed", "fingerprint", r.Fingerprint, "address", addr, "started_ms", r.StartedMS, "next_started_ms", startedMS)
		}
		if dropped := before - s.crashes.Pending() - len(confirmed); dropped > 0 {
			g.log.Info("broken runs dropped without the news that their upstreams have ended", "count", dropped)
		}
		if len(confirmed) > 0 {
			g.run(func() { g.reportCrashes(confirmed) })
		}
	})
}

func (g *Gateway) reportCrashes(list []crash.Record) {
	if err := g.notify("Crash", &registry.CrashArgs{Crashes: list}, &registry.CrashReply{}); err != nil {
		g.log.Warn("crash not reported", "records", len(list), "error", err)
	}
}

// takeCrashes takes over what other gateways have reported.
func (g *Gateway) takeCrashes(list []crash.Record) {
	g.owner.tell(func(s *state) {
		for _, r := range list {
			if s.crashes.Add(time.Now(), r) {
				g.log.Info("crash learned", "fingerprint", r.Fingerprint, "address", r.Addr, "started_ms", r.StartedMS)
			}
		}
		g.crashes.Store(int64(s.crashes.Len()))
	})
}
