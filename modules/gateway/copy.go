package gateway

import (
	"context"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/recovery"
)

const (
	// copyLimit bounds one copy of a KV cache; the usual one takes 20 ms between
	// availability zones when the links are free.
	copyLimit = time.Second
	// copyRetry is the pause after a copy that failed.
	copyRetry = 500 * time.Millisecond
	// defaultCopyTTL is taken where the service does not say how long a copy is
	// kept.
	defaultCopyTTL = 4 * time.Second
)

// copies keeps a copy of the KV cache of an attempt at another upstream. The
// first one grows with the run. When its holder is lost, another one is asked
// for and brought up to date until the attempt ends.
type copies struct {
	s      *streaming
	a      *attempt
	holder registration.Upstream
	// from names the copy; its zero value means that there is none.
	from dialect.CacheCopy
	lost *subscription
	// refresh fires when the copy is to be brought up to date.
	refresh *time.Timer
	results chan copied
	busy    bool
	asked   bool
	// wanted is set while a copy waits for the run to begin: there is nothing to
	// copy before the first event.
	wanted bool
}

type copied struct {
	holder registration.Upstream
	handle string
	err    error
}

func newCopies(s *streaming, a *attempt) *copies {
	c := &copies{s: s, a: a, results: make(chan copied, 1), refresh: time.NewTimer(time.Hour)}
	c.refresh.Stop()
	c.watch(a.choice.Backup)
	c.from = dialect.CacheCopy{Addr: c.holder.Addr, Key: s.req.ID}
	return c
}

func (c *copies) watch(holder registration.Upstream) {
	if c.lost != nil {
		c.lost.close()
		c.lost = nil
	}
	c.holder = holder
	if holder.ID != "" {
		c.lost = c.s.g.follower.replaced.watch(holder)
	}
}

// ended is closed when the holder is lost.
func (c *copies) ended() <-chan struct{} {
	if c.lost == nil {
		return nil
	}
	return c.lost.ended
}

// renew asks for a copy at another upstream.
func (c *copies) renew(ctx context.Context) {
	c.watch(registration.Upstream{})
	c.from = dialect.CacheCopy{}
	if !c.a.started {
		c.wanted = true
		return
	}
	var holder registration.Upstream
	var ok bool
	w := c.s.work()
	w.Backup = true
	c.s.g.owner.ask(func(st *state) { holder, ok = st.fleet.ReplaceBackup(time.Now(), c.a.choice.Ticket, w) })
	if !ok {
		c.refresh.Reset(copyRetry)
		return
	}
	c.watch(holder)
	c.update(ctx)
}

// began asks for the copy that has waited for the first event.
func (c *copies) began() {
	if c.wanted {
		c.wanted = false
		c.refresh.Reset(0)
	}
}

// update brings the copy at the holder up to date.
func (c *copies) update(ctx context.Context) {
	if c.busy {
		return
	}
	if c.holder.ID == "" {
		c.renew(ctx)
		return
	}
	if left := c.s.g.backoff(c.a.choice.Upstream); left > 0 {
		c.refresh.Reset(max(left, copyRetry))
		return
	}
	c.busy, c.asked = true, true
	holder := c.holder
	go func() {
		out := copied{holder: holder}
		if err := recovery.Run(c.s.g.log, "copy of a KV cache", func() {
			out.handle, out.err = c.s.copyTo(ctx, c.a.choice.Upstream, holder.Addr)
		}); err != nil {
			out.err = err
		}
		c.results <- out
	}()
}

// take records the outcome of an update.
func (c *copies) take(r copied) {
	c.busy = false
	if r.holder.ID != c.holder.ID {
		c.refresh.Reset(0)
		return
	}
	if r.err != nil {
		c.s.g.log.Info("copy not made", "request", c.s.req.ID, "upstream", c.a.choice.Upstream.ID, "holder", r.holder.ID, "error", r.err.Error())
		c.watch(registration.Upstream{})
		c.from = dialect.CacheCopy{}
		c.refresh.Reset(copyRetry)
		return
	}
	c.s.g.metrics.copies.Inc()
	c.from = dialect.CacheCopy{Addr: c.a.choice.Upstream.Addr, Key: r.handle}
	c.refresh.Reset(c.interval())
}

// interval is the time between updates: half of what a copy is kept for.
func (c *copies) interval() time.Duration {
	if e := c.s.service.Engine; e != nil && e.BackupTTL > 0 {
		return e.BackupTTL / 2
	}
	return defaultCopyTTL / 2
}

// close ends the updates. A copy that was asked for is freed when the stream is
// complete; one that grows with the run is freed by the upstream itself.
func (c *copies) close() {
	c.refresh.Stop()
	if c.lost != nil {
		c.lost.close()
	}
	if c.a.complete && c.asked && c.from.Key != "" {
		from := c.from.Key
		c.s.g.run(func() { c.s.dropCopy(c.a.choice.Upstream, from) })
	}
}

// copyTo copies the KV cache of the run at an upstream to another one.
func (s *streaming) copyTo(ctx context.Context, u registration.Upstream, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	body, err := s.g.call(ctx, u, s.g.dialect.CopyCall(s.req.ID, addr))
	if err != nil {
		return "", err
	}
	return s.g.dialect.CopyHandle(body)
}

func (s *streaming) dropCopy(u registration.Upstream, handle string) {
	ctx, cancel := context.WithTimeout(s.g.ctx, copyLimit)
	defer cancel()
	if _, err := s.g.call(ctx, u, s.g.dialect.DropCopyCall(handle)); err != nil {
		// The holder frees the copy by itself a little later.
		s.g.log.Debug("copy not freed", "request", s.req.ID, "upstream", u.ID, "error", err)
	}
}
