package replica

import (
	"log/slog"
	"slices"
	"strconv"

	"heatherway.dev/core/raft"
	"heatherway.dev/kernel/stats"
)

// This file logs and measures what this instance believes about the voters of a group, so
// that the cause of a group without a leader can be read from any one of its members.

const (
	// leaderlessWarnTicks is the time without a leader after which the voters are logged. It
	// is longer than an election that fails once.
	leaderlessWarnTicks = 40
	// leaderlessRepeatTicks is the time after which they are logged again if others answer.
	leaderlessRepeatTicks = 100
)

// voterContact is a voter as shown in a log line.
type voterContact struct {
	Voter    raft.MemberID `json:"voter"`
	SilentMS int64         `json:"silent_ms"`
}

// groupWatch is what was last logged of a group.
type groupWatch struct {
	membership raft.Membership
	// counts are the voters, and those that answer.
	counts [2]int
	// leaderlessSince is the tick since which no leader is known, 0 while there is one.
	leaderlessSince uint64
	// warnedAt is the tick of the last warning, 0 if there was none since leaderlessSince.
	warnedAt  uint64
	answering []raft.MemberID
}

// ticksMS converts ticks to milliseconds.
func (r *Replica) ticksMS(ticks uint64) int64 {
	return int64(ticks) * r.options.Tick.Milliseconds()
}

// voterContacts returns the voters with the time since each was last heard, and those that
// answer.
func (g *group) voterContacts() (all []voterContact, answering []raft.MemberID) {
	r := g.replica
	for _, m := range g.node.Membership().Voters() {
		all = append(all, voterContact{m.ID, r.ticksMS(r.silentTicks(m))})
		if r.inContact(m) {
			answering = append(answering, m.ID)
		}
	}
	return all, answering
}

// watchMembers logs a changed membership, and the voters of a group that has had no leader
// for some time.
func (g *group) watchMembers() {
	m := g.node.Membership()
	voters, answering := g.voterContacts()
	if !slices.Equal(m.Members, g.watch.membership.Members) {
		g.watch.membership = m
		g.replica.log.Info("members changed", append(g.quorumAttrs(voters, answering), "learners", len(m.Members)-len(voters))...)
	}
	if counts := [2]int{len(voters), len(answering)}; counts != g.watch.counts {
		g.watch.counts = counts
		g.replica.metrics.setVoters(g.id, len(voters), len(answering))
	}
	g.watchLeader(voters, answering)
}

func (g *group) watchLeader(voters []voterContact, answering []raft.MemberID) {
	r, w := g.replica, &g.watch
	if g.node.Leader() != "" {
		if w.warnedAt != 0 {
			r.log.Info("group has a leader again", "group", g.id, "leader", g.node.Leader(), "leaderless_ms", r.ticksMS(r.ticks-w.leaderlessSince))
		}
		w.leaderlessSince, w.warnedAt = 0, 0
		return
	}
	if w.leaderlessSince == 0 {
		w.leaderlessSince = r.ticks
	}
	due := w.warnedAt == 0 && r.ticks-w.leaderlessSince >= leaderlessWarnTicks ||
		w.warnedAt != 0 && r.ticks-w.warnedAt >= leaderlessRepeatTicks && !slices.Equal(answering, w.answering)
	if !due || g.empty() {
		return
	}
	w.warnedAt, w.answering = r.ticks, answering
	r.log.Warn("group has no leader", append(g.quorumAttrs(voters, answering), "leaderless_ms", r.ticksMS(r.ticks-w.leaderlessSince), "term", g.node.Term())...)
}

// quorumAttrs returns the log attributes that tell whether the voters that answer are enough.
func (g *group) quorumAttrs(voters []voterContact, answering []raft.MemberID) []any {
	return []any{slog.Any("group", g.id), slog.Any("voters", voters), slog.Int("answering", len(answering)), slog.Int("needed", len(voters)/2+1)}
}

func (m metrics) setVoters(g Group, voters, answering int) {
	label := groupLabel(g)
	m.registry.Gauge("control_voters", label).Set(int64(voters))
	m.registry.Gauge("control_voters_answering", label).Set(int64(answering))
}

func groupLabel(g Group) stats.Label { return stats.Label{Key: "group", Value: strconv.Itoa(int(g))} }
