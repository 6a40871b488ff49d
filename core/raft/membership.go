package raft

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Membership is the set of members, sorted by ID.
type Membership struct {
	Members []Member `json:"members"`
}

// Find returns the member with an ID, and whether it exists.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, v := range m.Members {
		if v.ID == id {
			return v, true
		}
	}
	return Member{}, false
}

// Voters returns the voting members.
func (m Membership) Voters() []Member {
	var out []Member
	for _, v := range m.Members {
		if !v.Learner {
			out = append(out, v)
		}
	}
	return out
}

func (m Membership) without(id MemberID) Membership {
	out := make([]Member, 0, len(m.Members)+1)
	for _, v := range m.Members {
		if v.ID != id {
			out = append(out, v)
		}
	}
	return Membership{out}
}

func (m Membership) with(v Member) Membership {
	out := m.without(v.ID)
	out.Members = append(out.Members, v)
	slices.SortFunc(out.Members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Membership change kinds.
const (
	// AddLearner adds a non-voting member. It replaces a member that has the same ID and
	// another disk identity. If the disk identity is the same, only the address changes.
	AddLearner ChangeKind = iota
	// Promote turns a learner that has caught up into a voter.
	Promote
	// Remove removes a member.
	Remove
)

// String returns the kind's name as shown to operators.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add_learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	default:
		return "unknown"
	}
}

// Change is a membership change. It affects the vote of at most one member, so that any
// quorum before it overlaps any quorum after it.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// apply returns the membership after a change.
func (m Membership) apply(c Change) (Membership, error) {
	old, known := m.Find(c.Member.ID)
	switch c.Kind {
	case AddLearner:
		return m.addLearner(c.Member, old, known)
	case Promote:
		if !known || old.Disk != c.Member.Disk {
			return m, ErrUnknownMember
		}
		old.Learner = false
		return m.with(old), nil
	case Remove:
		if !known {
			return m, ErrUnknownMember
		}
		return m.without(old.ID).validated()
	default:
		return m, ErrInvalidChange
	}
}

func (m Membership) addLearner(v, old Member, known bool) (Membership, error) {
	if v.ID == "" || v.Disk == "" {
		return m, errors.Wrap(ErrInvalidChange, "member has no id or no disk identity")
	}
	if known && old.Disk == v.Disk {
		old.Addr = v.Addr
		return m.with(old), nil
	}
	v.Learner = true
	return m.with(v).validated()
}

func (m Membership) validated() (Membership, error) {
	if len(m.Voters()) == 0 {
		return m, errors.Wrap(ErrInvalidChange, "the group would have no voter")
	}
	return m, nil
}

func (m Membership) encode() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic("raft: encode membership: " + err.Error()) // can't happen: strings and bools only
	}
	return b
}

func decodeMembership(b []byte) (Membership, error) {
	var m Membership
	if err := json.Unmarshal(b, &m); err != nil {
		return m, errors.Wrap(err, "raft: decode membership entry")
	}
	return m, nil
}

// Bootstrap returns the initial persistent state of a new group with a single voter. Other
// members join it as learners.
func Bootstrap(first Member) PersistentState {
	first.Learner = false
	m := Membership{Members: []Member{first}}
	return PersistentState{
		Hard:    HardState{Term: 1, Commit: 1},
		Entries: []Entry{{Index: 1, Term: 1, Kind: ChangeEntry, Data: m.encode()}},
	}
}

// indexedMembership is a membership with the index of the entry that set it.
type indexedMembership struct {
	index uint64
	value Membership
}

// membershipHistory holds the membership of the last snapshot and those set by later
// entries. The newest takes effect as soon as it is in the log, committed or not.
type membershipHistory []indexedMembership

func (s membershipHistory) newest() indexedMembership { return s[len(s)-1] }

// at returns the membership in effect at an index.
func (s membershipHistory) at(index uint64) indexedMembership {
	for i := len(s) - 1; i > 0; i-- {
		if s[i].index <= index {
			return s[i]
		}
	}
	return s[0]
}

// truncate removes the memberships set by entries from an index on.
func (s membershipHistory) truncate(from uint64) membershipHistory {
	for len(s) > 1 && s.newest().index >= from {
		s = s[:len(s)-1]
	}
	return s
}

// compact removes memberships that were superseded at or before an index.
func (s membershipHistory) compact(index uint64) membershipHistory {
	for len(s) > 1 && s[1].index <= index {
		s = s[1:]
	}
	return s
}
