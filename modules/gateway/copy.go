package gateway

import (
	"context"
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/dialect"
	"heatherway.dev/kernel/recovery"
)

const (
	// copyTimeout limits the time of one copy of a KV cache; between availability zones
	// a typical copy takes 20 ms when the links are idle.
	copyTimeout = time.Second
	// copyRetryDelay is the delay after a failed copy.
	copyRetryDelay = 500 * time.Millisecond
	// defaultCopyTTL applies to services that do not configure how long a copy is kept.
	defaultCopyTTL = 4 * time.Second
)

// cacheBackup maintains the backup of an attempt: a copy of its KV cache at another
// upstream, the holder, from which the next attempt can resume. The first copy is
// requested together with the attempt and grows with the run. If its holder is lost, a
// copy at another upstream is requested and refreshed until the attempt ends.
type cacheBackup struct {
	stream  *streamRequest
	attempt *attempt
	holder  registration.Upstream
	// backupCopy identifies the copy; the zero value means that there is none.
	backupCopy   dialect.CacheCopy
	holderEvents *subscription
	// refresh fires when the copy has to be refreshed.
	refresh *time.Timer
	results chan copyResult
	// updating is set while a copy call is in flight, requested once a copy was requested
	// by such a call.
	updating  bool
	requested bool
	// awaitingStart is set while a new copy waits for the run to start: before the
	// first event there is nothing to copy.
	awaitingStart bool
	// suspended is set while the owner of the queue wants no copy. reported is the holder that it
	// was told.
	suspended bool
	reported  string
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
	c.backupCopy = dialect.CacheCopy{Addr: c.holder.Addr, Key: s.req.ID}
	c.reported = c.holder.ID
	if s.explicitCopy {
		c.backupCopy, c.awaitingStart = dialect.CacheCopy{}, c.holder.ID != ""
	}
	return c
}

func (c *cacheBackup) setHolder(holder registration.Upstream) {
	if c.holderEvents != nil {
		c.holderEvents.close()
		c.holderEvents = nil
	}
	c.holder = holder
	if holder.ID != "" {
		c.holderEvents = c.stream.g.follower.subscribe(holder)
	}
}

// holderReplaced returns a channel that is closed when the holder of the copy has been
// replaced by a newer incarnation.
func (c *cacheBackup) holderReplaced() <-chan struct{} {
	if c.holderEvents == nil {
		return nil
	}
	return c.holderEvents.replaced
}

// replaceHolder requests a copy at another upstream.
func (c *cacheBackup) replaceHolder(ctx context.Context) {
	if c.suspended {
		return
	}
	c.setHolder(registration.Upstream{})
	c.backupCopy = dialect.CacheCopy{}
	if !c.attempt.started {
		c.awaitingStart = true
		return
	}
	var holder registration.Upstream
	var ok bool
	request := c.stream.dispatchRequest()
	request.Backup = true
	c.stream.g.owner.call(func(st *state) { holder, ok = st.fleet.ReplaceBackup(time.Now(), c.attempt.choice.Ticket, request) })
	if !ok {
		c.refresh.Reset(copyRetryDelay)
		return
	}
	c.setHolder(holder)
	c.update(ctx)
}

// runStarted requests the copy that was deferred until the first event.
func (c *cacheBackup) runStarted() {
	if c.awaitingStart {
		c.awaitingStart = false
		c.refresh.Reset(0)
	}
}

// update refreshes the copy at the holder.
func (c *cacheBackup) update(ctx context.Context) {
	if c.updating {
		return
	}
	if c.holder.ID == "" {
		c.replaceHolder(ctx)
		return
	}
	if wait := c.stream.g.remainingBackoff(c.attempt.choice.Upstream); wait > 0 {
		c.refresh.Reset(max(wait, copyRetryDelay))
		return
	}
	c.updating, c.requested = true, true
	holder := c.holder
	ctx = context.WithoutCancel(ctx) // the upstream may have made the copy although nobody waits
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

// recordResult records the outcome of an update.
func (c *cacheBackup) recordResult(result copyResult) {
	c.updating = false
	if c.suspended {
		if result.err == nil {
			c.stream.g.spawn(func() { c.stream.dropCopy(c.attempt.choice.Upstream, result.handle) })
		}
		return
	}
	if result.holder.ID != c.holder.ID { // the holder was replaced during the call
		if result.err == nil {
			c.stream.g.spawn(func() { c.stream.dropCopy(c.attempt.choice.Upstream, result.handle) })
		}
		c.refresh.Reset(0)
		return
	}
	if result.err != nil {
		c.stream.g.log.Info("copy not made", "request", c.stream.req.ID, "upstream", c.attempt.choice.Upstream.ID, "holder", result.holder.ID, "error", result.err.Error())
		c.setHolder(registration.Upstream{})
		c.backupCopy = dialect.CacheCopy{}
		c.refresh.Reset(copyRetryDelay)
		return
	}
	c.stream.g.metrics.copies.Inc()
	c.backupCopy = dialect.CacheCopy{Addr: c.attempt.choice.Upstream.Addr, Key: result.handle}
	c.refresh.Reset(c.interval())
}

// interval is the time between updates: half of the time for which a copy is kept, but no
// less than after a failure.
func (c *cacheBackup) interval() time.Duration {
	if e := c.stream.service.Engine; e != nil && e.BackupTTL > 0 {
		return max(e.BackupTTL/2, copyRetryDelay)
	}
	return defaultCopyTTL / 2
}

// close stops the updates. When the stream is complete or its caller has left, a copy that was
// requested explicitly is released; the upstream itself releases the one that grows with the run.
func (c *cacheBackup) close() {
	c.refresh.Stop()
	if c.holderEvents != nil {
		c.holderEvents.close()
	}
	if !c.attempt.complete && c.stream.ctx.Err() == nil || !c.requested {
		return
	}
	handle, updating := c.backupCopy.Key, c.updating
	if handle == "" && !updating {
		return
	}
	c.stream.g.spawn(func() {
		if updating { // it may end with a copy
			if last := <-c.results; last.err == nil {
				handle = last.handle
			}
		}
		if handle != "" {
			c.stream.dropCopy(c.attempt.choice.Upstream, handle)
		}
	})
}

// copyTo copies the KV cache of the run from u to the upstream at addr and returns the
// handle of the copy.
func (s *streamRequest) copyTo(ctx context.Context, u registration.Upstream, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	handle := ""
	err := s.g.callUpstream(ctx, u, s.g.dialect.CopyCall(s.req.ID, addr), func(body []byte) (err error) {
		handle, err = s.g.dialect.CopyHandle(body)
		return err
	})
	return handle, err
}

func (s *streamRequest) dropCopy(u registration.Upstream, handle string) {
	ctx, cancel := context.WithTimeout(s.g.ctx, copyTimeout)
	defer cancel()
	if err := s.g.callUpstream(ctx, u, s.g.dialect.DropCopyCall(handle), nil); err != nil {
		// The copy expires at its holder.
		s.g.log.Debug("copy of a KV cache not released", "request", s.req.ID, "upstream", u.ID, "error", err)
	}
}
