package replica

import (
	"time"

	"heatherway.dev/core/raft"
	"heatherway.dev/core/reconfig"
)

const (
	// answerTicks is the silence up to which a voter counts as answering. A leader hears
	// from each voter every raft.DefaultHeartbeatTicks.
	answerTicks = raft.DefaultElectionTicks
	// promoteTicks is the silence up to which a learner is promoted. It answers each
	// heartbeat; one may be lost.
	promoteTicks = 2 * raft.DefaultHeartbeatTicks
	// contactTicks is the silence up to which an instance that is not the leader counts
	// others as answering. Identities are exchanged twice in it.
	contactTicks = 2 * uint64(identityInterval/DefaultTick)
	// settleTicks is the time for which an instance must be in contact with a majority
	// before it takes others for silent. A leader hears from each member several times in it.
	settleTicks = raft.DefaultElectionTicks
	// minLostTicks is the shortest silence after which a voter is removed. It is longer
	// than the longest election timeout, so that a change of leader removes no voter.
	minLostTicks = 3 * raft.DefaultElectionTicks
	// A silent voter counts as lost after Discovery.Catchup / lostDivisor. The rest of that
	// time is for the changes and for elections in between.
	lostDivisor = 3
	// absentTicks is the silence after which a member is removed whose loss leaves enough
	// losses to bear. Nothing that must be done in time waits for it.
	absentTicks = 160
)

// ReplacementTime is the time that a replacement can take if as many leaders are lost one after
// the other: the shortest silence, in which a leader is elected if the lost instance led the
// group, an election for each further leader, and three changes.
func ReplacementTime(losses int) time.Duration {
	ticks := minLostTicks + losses*2*raft.DefaultElectionTicks + 3*memberCheckTicks
	return time.Duration(ticks) * DefaultTick
}

// memberLimits returns the limits of the decisions about members.
func (o Options) memberLimits() reconfig.Limits {
	l := reconfig.Limits{Losses: (len(o.Peers) - 1) / 2, AnswerWithin: answerTicks, PromoteWithin: promoteTicks, LostAfter: minLostTicks, AbsentAfter: absentTicks, KeepSilent: true}
	if d := o.Discovery; d != nil {
		l.Losses, l.KeepSilent = (d.MinVoters-1)/2, false
		l.LostAfter = max(minLostTicks, uint64(d.Catchup/o.Tick)/lostDivisor)
		l.AbsentAfter = max(absentTicks, l.LostAfter)
	}
	return l
}

// contacts records when this instance last heard from each disk of another instance. It is
// kept by followers too, so that a new leader knows for how long a member has been silent.
type contacts map[raft.DiskID]uint64

// hear records a raft message or an identity from a disk.
func (r *Replica) hear(disk raft.DiskID) {
	if disk != "" { // instances without a disk are no members
		r.contacts[disk] = r.ticks
	}
}

// silentTicks returns the time since a member was last heard. One that was never heard has
// been silent since this instance started, at tick 0.
func (r *Replica) silentTicks(m raft.Member) uint64 {
	if m.ID == r.options.Self && m.Disk == r.disk {
		return 0
	}
	return r.ticks - r.contacts[m.Disk]
}

// inContact reports whether a member was heard within contactTicks.
func (r *Replica) inContact(m raft.Member) bool {
	_, heard := r.contacts[m.Disk]
	silent := r.silentTicks(m)
	return silent <= contactTicks && (heard || silent == 0)
}

// forgetContacts removes disks that no group has as a member and that have been silent for
// linkIdleTicks.
func (r *Replica) forgetContacts() {
	members := map[raft.DiskID]bool{}
	for _, g := range r.orderedGroups {
		for _, m := range g.node.Membership().Members {
			members[m.Disk] = true
		}
	}
	for disk, heard := range r.contacts {
		if !members[disk] && r.ticks-heard >= linkIdleTicks {
			delete(r.contacts, disk)
		}
	}
}

// trackMajority records since when this instance has heard from a majority of the voters.
func (g *group) trackMajority() {
	voters, answering := 0, 0
	for _, m := range g.node.Membership().Voters() {
		voters++
		if g.replica.inContact(m) {
			answering++
		}
	}
	if answering <= voters/2 {
		g.majoritySince = g.replica.ticks
	}
}

// settled reports whether every member that runs must have been heard by now.
func (g *group) settled() bool { return g.replica.ticks-g.majoritySince >= settleTicks }
