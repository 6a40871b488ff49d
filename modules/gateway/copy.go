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
	copyTimeout = time.Second
	// copyRetry is the pause after a copy that failed.
	copyRetryDelay = 500 * time.Millisecond
	// defaultCopyTTL is taken where the service does not say how long a copy is
	// kept.
	defaultCopyTTL = 4 * time.Second
)

// copies keeps a copy of the KV cache of an attempt at another upstream. The
// first one grows with the run. When its holder is lost, another one is asked
// for and brought up to date until the attempt ends.
type cacheBackup struct {
	stream  *streamRequest
	attempt *attempt
	holder  registration.Upstream
	// from names the copy; its zero value means that there is none.
	source       dialect.Copy
	holderEvents *subscription
	// refresh fires when the copy is to be brought up to date.
	refresh   *time.Timer
	results   chan copyResult
	updating  bool
	requested bool
	// wanted is set while a copy waits for the run to begin: there is nothing to
	// copy before the first event.
	awaitingStart bool
}

type copyResult struct {
	holder registration.Upstream
	handle string
	err    error
}

func newCacheBackup(s *streamRequest, a *attempt) *cacheBackup {
	c := &cacheBackup{stream: s, attempt: a, results: make(chan copyResult, 1), refresh: time.NewTimer(time.Hour)}
	c.refresh.Stop()
	c.setHolder(a.choice.Backup)
	c.source = dialect.Copy{Addr: c.holder.Addr, Key: s.req.ID}
	return c
}

func (c *cacheBackup) setHolder(holder registration.Upstream) {
	if c.holderEvents != nil {
		c.holderEvents.close()
		c.holderEvents = nil
	}
	c.holder = holder
	if holder.ID != "" {
		c.holderEvents = c.stream.g.follower.notifier.subscribe(holder)
	}
}

// ended is closed when the holder is lost.
func (c *cacheBackup) holderReplaced() <-chan struct{} {
	if c.holderEvents == nil {
		return nil
	}
	return c.holderEvents.replaced
}

// renew asks for a copy at another upstream.
func (c *cacheBackup) replaceHolder(ctx context.Context) {
	c.setHolder(registration.Upstream{})
	c.source = dialect.Copy{}
	if !c.attempt.started {
		c.awaitingStart = true
		return
	}
	var holder registration.Upstream
	var ok bool
	w := c.stream.dispatchRequest()
	w.Backup = true
	c.stream.g.owner.call(func(st *state) { holder, ok = st.fleet.ReplaceBackup(time.Now(), c.attempt.choice.Ticket, w) })
	if !ok {
		c.refresh.Reset(copyRetryDelay)
		return
	}
	c.setHolder(holder)
	c.update(ctx)
}

// began asks for the copy that has waited for the first event.
func (c *cacheBackup) runStarted() {
	if c.awaitingStart {
		c.awaitingStart = false
		c.refresh.Reset(0)
	}
}

// update brings the copy at the holder up to date.
func (c *cacheBackup) update(ctx context.Context) {
	if c.updating {
		return
	}
	if c.holder.ID == "" {
		c.replaceHolder(ctx)
		return
	}
	if left := c.stream.g.remainingBackoff(c.attempt.choice.Upstream); left > 0 {
		c.refresh.Reset(max(left, copyRetryDelay))
		return
	}
	c.updating, c.requested = true, true
	holder := c.holder
	go func() {
		out := copyResult{holder: holder}
		if err := recovery.Run(c.stream.g.log, "copy of a KV cache", func() {
			out.handle, out.err = c.stream.copyTo(ctx, c.attempt.choice.Upstream, holder.Addr)
		}); err != nil {
			out.err = err
		}
		c.results <- out
	}()
}

// take records the outcome of an update.
func (c *cacheBackup) recordResult(r copyResult) {
	c.updating = false
	if r.holder.ID != c.holder.ID {
		c.refresh.Reset(0)
		return
	}
	if r.err != nil {
		c.stream.g.log.Info("copy not made", "request", c.stream.req.ID, "upstream", c.attempt.choice.Upstream.ID, "holder", r.holder.ID, "error", r.err.Error())
		c.setHolder(registration.Upstream{})
		c.source = dialect.Copy{}
		c.refresh.Reset(copyRetryDelay)
		return
	}
	c.stream.g.metrics.copies.Inc()
	c.source = dialect.Copy{Addr: c.attempt.choice.Upstream.Addr, Key: r.handle}
	c.refresh.Reset(c.interval())
}

// interval is the time between updates: half of what a copy is kept for.
func (c *cacheBackup) interval() time.Duration {
	if e := c.stream.service.Engine; e != nil && e.BackupTTL > 0 {
		return e.BackupTTL / 2
	}
	return defaultCopyTTL / 2
}

// close ends the updates. A copy that was asked for is freed when the stream is
// complete; one that grows with the run is freed by the upstream itself.
func (c *cacheBackup) close() {
	c.refresh.Stop()
	if c.holderEvents != nil {
		c.holderEvents.close()
	}
	if c.attempt.complete && c.requested && c.source.Key != "" {
		from := c.source.Key
		c.stream.g.spawn(func() { c.stream.dropCopy(c.attempt.choice.Upstream, from) })
	}
}

// copyTo copies the KV cache of the run at an upstream to another one.
func (s *streamRequest) copyTo(ctx context.Context, u registration.Upstream, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	body, err := s.g.callUpstream(ctx, u, s.g.dialect.CopyCall(s.req.ID, addr))
	if err != nil {
		return "", err
	}
	return s.g.dialect.CopyHandle(body)
}

func (s *streamRequest) dropCopy(u registration.Upstream, handle string) {
	ctx, cancel := context.WithTimeout(s.g.ctx, copyTimeout)
	defer cancel()
	if _, err := s.g.callUpstream(ctx, u, s.g.dialect.DropCopyCall(handle)); err != nil {
		// The holder frees the copy by itself a little later.
		s.g.log.Debug("copy not freed", "request", s.req.ID, "upstream", u.ID, "error", err)
	}
}
