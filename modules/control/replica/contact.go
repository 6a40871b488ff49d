package replica

import (
	"heatherway.dev/core/raft"
)

// contacts records when this instance last heard from each disk of another instance. It is
// kept by followers too, so that a new leader knows for how long a member has been silent.
type contacts map[raft.DiskID]uint64

// silentTicks returns the time since a member was last heard. A member that was never heard
// has been silent since this instance started, at tick 0.
func (c contacts) silentTicks(m raft.Member, now uint64) uint64 { return now - c[m.Disk] }

// hear records a raft message or an identity from a disk.
func (r *Replica) hear(disk raft.DiskID) {
	if disk != "" { // instances without a disk are no members
		r.contacts[disk] = r.ticks
	}
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
