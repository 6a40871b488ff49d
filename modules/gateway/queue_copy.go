package gateway

import (
	"time"

	"heatherway.dev/core/registration"
	"heatherway.dev/heatherway/modules/dialect"
)

// This file carries out the decisions of the owner of the queue about copies of KV caches.

// grows reports whether the upstream makes the copy by itself. It would send such a copy anew after
// a release.
func (c *cacheBackup) grows() bool {
	return c.holder.ID != "" && !c.stream.explicitCopy && !c.requested
}

// drop releases the copy at a holder. No other one is made until the owner decides so.
func (c *cacheBackup) drop(holderID string) {
	if c.grows() || c.holder.ID == "" || holderID != "" && holderID != c.holder.ID {
		return
	}
	handle, holder := c.backupCopy.Key, c.holder.ID
	c.forget()
	c.suspended = true
	c.stream.g.metrics.copiesDropped.Inc()
	c.stream.logEvent("copy of a KV cache dropped by the queue", "upstream", c.attempt.choice.Upstream.ID, "holder", holder, "requested", c.requested)
	if handle != "" {
		c.stream.g.spawn(func() { c.stream.dropCopy(c.attempt.choice.Upstream, handle) })
	}
	c.requested = false
}

// forget releases what is reserved here for the copy and stops its updates.
func (c *cacheBackup) forget() {
	ticket := c.attempt.choice.Ticket
	c.stream.g.owner.post(func(st *state) { st.fleet.ReleaseBackup(ticket) })
	c.setHolder(registration.Upstream{})
	c.backupCopy = dialect.CacheCopy{}
	c.awaitingStart = false
	c.refresh.Stop()
}

// moveTo requests a copy at a holder in place of an earlier one.
func (c *cacheBackup) moveTo(holderID string) {
	if holderID == c.holder.ID {
		return
	}
	if c.grows() {
		c.reported = holderID // the owner believes so; the report corrects it
		return
	}
	if c.holder.ID != "" {
		c.drop(c.holder.ID)
	}
	var holder registration.Upstream
	var ok bool
	request, ticket := c.stream.dispatchRequest(), c.attempt.choice.Ticket
	c.stream.g.owner.call(func(st *state) { holder, ok = st.fleet.AssignBackup(time.Now(), ticket, request, holderID) })
	if !ok {
		c.reported = holderID // the owner believes so; the report corrects it
		return
	}
	c.suspended = false
	c.setHolder(holder)
	c.awaitingStart = !c.attempt.started
	if c.attempt.started {
		c.refresh.Reset(0)
	}
	c.stream.g.metrics.copiesMade.Inc()
}

// report tells the owner of the queue where the copy is, if that has changed.
func (c *cacheBackup) report() {
	if c.stream.ticket == nil || c.holder.ID == c.reported {
		return
	}
	c.reported = c.holder.ID
	c.stream.ticket.recordCopy(c.holder.ID)
}

// backupTo returns the address of the upstream to which the upstream of an attempt copies its KV
// cache by itself.
func (s *streamRequest) backupTo(a *attempt) string {
	if s.explicitCopy {
		return ""
	}
	return a.choice.Backup.Addr
}
