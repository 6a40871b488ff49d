package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

func (c *cluster) status(t *testing.T) wire.StatusReply {
	t.Helper()
	var st wire.StatusReply
	assert.NilError(t, c.clients[0].Call(t.Context(), "Admin.Status", wire.StatusArgs{}, &st))
	return st
}

// awaitVoters waits until all three instances answer and are voters in each
// group.
func (c *cluster) awaitVoters(t *testing.T) {
	t.Helper()
	waitFor(t, func() bool {
		for _, m := range c.status(t).Members {
			if m.Error != "" || len(m.Groups) != 3 {
				return false
			}
			for _, g := range m.Groups {
				if g.Leader == "" || g.Voters != 3 {
					return false
				}
			}
		}
		return true
	})
}

// Guards against a replaced member that does not rejoin, a leader that cannot
// be replaced, and a removal that leaves no majority.
func TestReplaceMember(t *testing.T) {
	c := startCluster(t)
	entry := wire.WatchArgs{Instance: "e1", Role: "entry", Zone: "z0", Fresh: true}
	waitFor(t, func() bool { return callUntilSuccess[wire.WatchReply](t, c.clients[0], "Watch", entry).Revision > 0 })
	c.awaitVoters(t)
	leader := c.status(t).Members[0].Groups[0].Leader
	operator := wire.Operator{Operator: "anna", Reason: "disk"}
	var r wire.ReplaceMemberReply
	assert.ErrorContains(t, c.clients[0].Call(t.Context(), "Admin.ReplaceMember", wire.ReplaceMemberArgs{Instance: leader}, &r), "4001")
	assert.NilError(t, c.clients[0].Call(t.Context(), "Admin.ReplaceMember", wire.ReplaceMemberArgs{Operator: operator, Instance: leader}, &r))
	assert.Equal(t, r.Groups, 3)
	c.awaitVoters(t)
	assert.ErrorContains(t, c.clients[0].Call(t.Context(), "Admin.ReplaceMember", wire.ReplaceMemberArgs{Operator: operator, Instance: "c9"}, &r), "4043")
	c.stop(2)
	c.start(t, 2)
	waitFor(t, func() bool {
		err := c.clients[0].Call(t.Context(), "Admin.ReplaceMember", wire.ReplaceMemberArgs{Operator: operator, Instance: "c1"}, &r)
		return err == nil
	})
	c.awaitVoters(t)
	c.stop(2)
	waitFor(t, func() bool {
		err := c.clients[0].Call(t.Context(), "Admin.ReplaceMember", wire.ReplaceMemberArgs{Operator: operator, Instance: "c1"}, &r)
		assert.Assert(t, err != nil)
		return result.Is(err, result.ChangeRefused)
	})
}
