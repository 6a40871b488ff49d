package control

import (
	"context"
	"time"

	"heatherway.dev/core/member"
	"heatherway.dev/kernel/peer"
)

// Agents announce themselves to one control instance; the instances tell each
// other what they heard. Announcing to all would cost an upstream as many
// messages as there are control instances (docs/notes/membership.md).
const (
	digestInterval = 500 * time.Millisecond
	digestTimeout  = time.Second
	membersService = "Members"
)

// memberService is the net/rpc service between control instances.
type memberService struct{ c *Control }

// Merge takes over another instance's digest.
func (s *memberService) Merge(d member.Digest, r *member.DigestReply) error {
	unknown, err := ask(s.c.ctx, s.c.members, func(ch chan<- []uint64) memberEvent { return merged{d, ch} })
	r.Unknown = unknown
	return peer.EncodeError(err)
}

// sendDigests tells one other instance what this one hears, until ctx ends.
func (c *Control) sendDigests(ctx context.Context, id string, to *peer.Client) {
	defer to.Close()
	tick := time.NewTicker(digestInterval)
	defer tick.Stop()
	var since int64
	failed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		upTo, err := c.sendDigest(ctx, to, since)
		if err == nil {
			since = upTo
			c.alive.note(id, time.Now())
		}
		if (err != nil) != failed {
			failed = err != nil
			c.logger.Info("exchange of members", "peer", to.Addr(), "failing", failed, "error", err)
		}
	}
}

// sendDigest sends what was heard after a time and returns the time up to which
// the other instance now knows everything.
func (c *Control) sendDigest(ctx context.Context, to *peer.Client, since int64) (upTo int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	list, err := ask(ctx, c.members, func(ch chan<- heardList) memberEvent { return heardAfter{since, ch} })
	if err != nil {
		return 0, err
	}
	var r member.DigestReply
	d := member.Digest{From: c.instance.ID, Heard: list.heard}
	if err := to.Call(ctx, membersService+".Merge", d, &r); err != nil || len(r.Unknown) == 0 {
		return list.upToMS, err
	}
	full, err := ask(ctx, c.members, func(ch chan<- []member.Announcement) memberEvent { return fullOf{r.Unknown, ch} })
	if err != nil {
		return 0, err
	}
	d = member.Digest{From: c.instance.ID, Full: full}
	return list.upToMS, to.Call(ctx, membersService+".Merge", d, &r)
}
