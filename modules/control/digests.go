package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"heatherway.dev/core/member"
	"heatherway.dev/kernel/peer"
)

// Each agent announces itself to one control instance, and the instances send
// each other digests of the announcements that they received. Announcing to all
// would cost an upstream as many messages as there are control instances
// (docs/notes/membership.md).
const (
	digestInterval = 500 * time.Millisecond
	digestTimeout  = time.Second
	membersService = "Members"
)

// memberService is the net/rpc service through which control instances exchange
// membership.
type memberService struct{ c *Control }

// Merge applies another instance's digest.
func (s *memberService) Merge(d member.Digest, r *member.DigestReply) error {
	s.dropInvalid(&d)
	unknown, err := query(s.c.ctx, s.c.membership, func(ch chan<- []uint64) memberEvent { return mergeEvent{d, ch} })
	r.Unknown = unknown
	return peer.EncodeError(err)
}

// dropInvalid removes announcements that cannot be used from a digest.
func (s *memberService) dropInvalid(d *member.Digest) {
	var first error
	received := len(d.Full)
	d.Full = slices.DeleteFunc(d.Full, func(a member.Announcement) bool {
		err := member.Validate(&a.Upstream)
		if first == nil {
			first = err
		}
		return err != nil
	})
	if first != nil {
		s.c.logger.Warn("announcements in a digest ignored", "from", fmt.Sprintf("%.64s", d.From), "ignored", received-len(d.Full), "error", first)
	}
}

// sendDigests periodically sends another instance the announcements that this
// one received, until ctx ends.
func (c *Control) sendDigests(ctx context.Context, instance string, client *peer.Client) {
	defer client.Close()
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
		upTo, err := c.sendDigest(ctx, client, since)
		if err == nil {
			since = upTo
			c.liveness.markAnswered(instance, time.Now())
		}
		if (err != nil) != failed {
			failed = err != nil
			c.logger.Info("sending membership digests to a control instance failed or recovered", "peer", client.Addr(), "failing", failed, "error", err)
		}
	}
}

// sendDigest sends the announcements received after a time. It returns the time
// up to which the other instance has all of them.
func (c *Control) sendDigest(ctx context.Context, client *peer.Client, since int64) (upTo int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	digest, err := query(ctx, c.membership, func(ch chan<- digestEntries) memberEvent { return digestQuery{since, ch} })
	if err != nil {
		return 0, err
	}
	var r member.DigestReply
	d := member.Digest{From: c.instance.ID, Heard: digest.entries}
	if err := client.Call(ctx, membersService+".Merge", d, &r); err != nil || len(r.Unknown) == 0 {
		return digest.upToMS, err
	}
	full, err := query(ctx, c.membership, func(ch chan<- []member.Announcement) memberEvent { return announcementsQuery{r.Unknown, ch} })
	if err != nil {
		return 0, err
	}
	d = member.Digest{From: c.instance.ID, Full: full}
	return digest.upToMS, client.Call(ctx, membersService+".Merge", d, &r)
}
