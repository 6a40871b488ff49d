package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/member"
	"heatherway.dev/core/quarantine"
	"heatherway.dev/core/wire"
)

func (c *Control) announce(t *testing.T, u wire.Upstream, seq uint64) {
	t.Helper()
	_, err := query(t.Context(), c.membership, func(ch chan<- bool) memberEvent {
		return announceEvent{wire.AnnounceArgs{Upstream: u, Seq: seq}, ch}
	})
	assert.NilError(t, err)
}

func (c *Control) applyChange(t *testing.T, change config.Change) config.ChangeResult {
	t.Helper()
	change.Author, change.Reason = "a", "r"
	r, err := c.applyFleet(t.Context(), fleetCommand{Change: &change})
	assert.NilError(t, err)
	return *r.ChangeResult
}

// Guards against an entry that applies deltas and ends up with another
// configuration or subset than one that asks for the whole state.
func TestWatchDeltas(t *testing.T) {
	c := newRunningControl(t)
	s := &service{c: c}
	c.announce(t, newUpstream("a1", "z1"), 1)
	c.announce(t, newUpstream("a2", "z2"), 1)
	waitFor(t, func() bool { return len(c.membership.view().Index.Members()) == 2 })
	edit := config.Edit{Kind: config.SetDefault, Name: "queue.limit", Value: "9"}
	org := config.Edit{Kind: config.PutOrganisation, Name: "o", Organisation: &config.Organisation{KeyHashes: []string{config.KeyHash("k")}}}
	second := org
	second.Name, second.Organisation = "p", &config.Organisation{KeyHashes: []string{config.KeyHash("l")}}
	c.applyChange(t, config.Change{ChangeID: "1", Edits: []config.Edit{edit, org, second}})
	args := wire.WatchArgs{Instance: "e1", Role: "entry", Zone: "z1", Deltas: true}
	var first wire.WatchReply
	assert.NilError(t, s.Watch(args, &first))
	assert.Assert(t, first.Config != nil && first.Step == nil, "revision zero asks for the whole document")
	assert.Assert(t, len(first.Upstreams) == 2 && !first.MembersDelta)
	doc, err := config.ApplyUpdate(nil, first.Config, first.Step)
	assert.NilError(t, err)

	edit.Value = "10"
	c.applyChange(t, config.Change{ChangeID: "2", BaseRevision: doc.Revision, Edits: []config.Edit{edit}})
	leaving := newUpstream("a2", "z2")
	leaving.State = wire.UpstreamLeaving
	c.announce(t, leaving, 2)
	waitFor(t, func() bool { return c.membership.view().Index.Members()[1].State == wire.UpstreamLeaving })
	args.Revision, args.Members = first.Revision, first.Members
	var next wire.WatchReply
	assert.NilError(t, s.Watch(args, &next))
	assert.Assert(t, next.Config == nil && next.MembersDelta && len(next.Upstreams) == 1)
	after, err := config.ApplyUpdate(doc, next.Config, next.Step)
	assert.NilError(t, err)
	assert.Equal(t, after.Revision, next.Revision)
	_, err = config.ApplyUpdate(nil, nil, next.Step)
	assert.Assert(t, err != nil)
	subset, ok := member.ApplyWatchReply(first.Upstreams, &next)
	assert.Assert(t, ok && subset[1].State == wire.UpstreamLeaving)
}

// Guards against a version that decreases when a process moves to an instance
// that is behind the one it asked before.
func TestWatchVersionsNeverDecrease(t *testing.T) {
	c := newRunningControl(t)
	args := wire.WatchArgs{Instance: "e1", Role: "entry", Revision: 77, Suspects: 78, Members: 79, WaitMS: 1}
	var r wire.WatchReply
	assert.NilError(t, (&service{c: c}).Watch(args, &r))
	assert.DeepEqual(t, r, wire.WatchReply{Revision: 77, Suspects: 78, Members: 79})
}

// Guards against a key that is looked up in another group after record_groups
// was changed, and whose request would run again.
func TestRecordGroupsAreFixed(t *testing.T) {
	c := newRunningControl(t)
	waitFor(t, func() bool { return c.fleet.view().RecordGroups == defaultRecordGroups })
	c.propose(t.Context(), fleetCommand{RecordGroups: 7})
	assert.Equal(t, c.fleet.view().RecordGroups, defaultRecordGroups)
	next := newFleetMachine()
	assert.NilError(t, next.Restore(c.fleet.Snapshot()))
	assert.Equal(t, next.view().RecordGroups, defaultRecordGroups)
	other := &Control{fleet: next, Settings: Settings{RecordGroups: 7}}
	assert.ErrorContains(t, other.checkRecordGroups(), "5033")
}

// Guards against sending the whole list to every process for each suspect that
// is cleared.
func TestWatchSendsSuspectDeltas(t *testing.T) {
	c := newRunningControl(t)
	s := &service{c: c}
	crash := func(n uint64, fingerprints ...string) {
		args := wire.CrashArgs{Upstream: "u", Incarnation: 1, CrashNumber: n, Fingerprints: fingerprints}
		assert.NilError(t, s.Crash(args, &wire.CrashReply{}))
	}
	crash(1, "f1", "f2", "f3")
	watch := agentWatch()
	watch.Suspects, watch.Deltas = 0, true
	var first, next wire.WatchReply
	assert.NilError(t, s.Watch(watch, &first))
	assert.Assert(t, len(first.Suspect) == 3 && !first.SuspectsDelta, "version zero asks for the whole list")
	crash(2, "f3", "f4")
	watch.Suspects = first.Suspects
	assert.NilError(t, s.Watch(watch, &next))
	assert.Assert(t, next.SuspectsDelta && len(next.Suspect) == 2)
	list := quarantine.ApplyReply(quarantine.ApplyReply(nil, &first), &next)
	assert.Equal(t, len(list), 4)
	assert.Assert(t, list[2].Quarantined && list[2].LeftMS > 0)

	var permit wire.PermitReply
	assert.NilError(t, s.Permit(wire.PermitArgs{Fingerprint: "f1", Holder: "h"}, &permit))
	returned := wire.PermitArgs{Fingerprint: "f1", Permit: permit.Permit, Done: true, Finished: true}
	assert.NilError(t, s.Permit(returned, &wire.PermitReply{}))
	view := c.fleet.view()
	assert.Assert(t, !view.onlyCleared(watch, &next), "a new suspect is not delayed")
	watch.Suspects = next.Suspects
	next = wire.WatchReply{}
	assert.NilError(t, s.Watch(watch, &next))
	assert.DeepEqual(t, next.Cleared, []string{"f1"})
	assert.Assert(t, view.onlyCleared(watch, &next))
}
