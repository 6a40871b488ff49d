package raft

// campaign starts an election. A pre-candidate requests votes without increasing its term,
// so that a member that can't win doesn't depose the leader.
func (n *Node) campaign(role Role, transfer bool) {
	if !n.isVoter() || n.role == Leader {
		return
	}
	n.role, n.leader, n.votes = role, "", map[MemberID]bool{n.cfg.Self: true}
	n.peers = nil
	kind, term := PreVote, n.term+1
	if role == Candidate {
		kind = Vote
		n.term = term
		n.vote, n.voteDisk = n.cfg.Self, n.cfg.Disk
		n.resetTimer()
	}
	if n.countVotes() {
		return
	}
	for _, m := range n.Membership().Voters() {
		if m.ID == n.cfg.Self {
			continue
		}
		n.send(Message{Kind: kind, To: m.ID, ToDisk: m.Disk, Term: term,
			Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer})
	}
}

// handleVote replies to PreVote and Vote requests. It may grant a vote even if this member is
// a learner in its own membership: the request is addressed to this disk identity, so the
// candidate's membership has it as a voter, and a disk that replaced a lost one had caught up
// before that promotion.
func (n *Node) handleVote(m Message) {
	if n.heardFromLeader() && !m.Transfer {
		return
	}
	reply, term := VoteReply, n.term
	free := n.vote == "" || n.vote == m.From && n.voteDisk == m.Disk
	if m.Kind == PreVote {
		reply, term, free = PreVoteReply, m.Term, m.Term > n.term
	}
	granted := free && (n.log.upToDate(m.Index, m.LogTerm) || n.cfg.faults.skipLogCheck)
	if !granted {
		n.send(Message{Kind: reply, To: m.From, ToDisk: m.Disk, Reject: true})
		return
	}
	if m.Kind == Vote {
		n.vote, n.voteDisk = m.From, m.Disk
		n.elapsed = 0
	}
	n.send(Message{Kind: reply, To: m.From, ToDisk: m.Disk, Term: term})
}

func (n *Node) handleVoteReply(m Message) {
	switch {
	case m.Kind == PreVoteReply && n.role == PreCandidate && (m.Reject || m.Term == n.term+1):
	case m.Kind == VoteReply && n.role == Candidate:
	default:
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// countVotes ends the current phase of the election once a majority has granted or rejected
// the vote, and reports whether it was granted.
func (n *Node) countVotes() bool {
	won := n.isMajority(func(m Member) bool { return n.votes[m.ID] })
	lost := n.isMajority(func(m Member) bool { granted, ok := n.votes[m.ID]; return ok && !granted })
	switch {
	case won && n.role == PreCandidate:
		n.campaign(Candidate, false)
	case won:
		n.becomeLeader()
	case lost:
		n.becomeFollower(n.term, "")
	}
	return won
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.Self, nil
	n.elapsed, n.heartbeatElapsed, n.transferTarget = 0, 0, ""
	n.peers = map[MemberID]*progress{}
	n.trackPeers()
	n.uncommitted = 0
	for _, e := range n.log.slice(n.log.commit+1, n.log.last()) {
		n.uncommitted += e.size()
	}
	n.appendAsLeader(Entry{Kind: Empty})
	n.broadcastHeartbeat()
}

// trackPeers keeps a progress for every other member. The progress of a member with a new
// disk identity is reset.
func (n *Node) trackPeers() {
	if n.role != Leader {
		return
	}
	kept := make(map[MemberID]*progress, len(n.peers))
	for _, m := range n.Membership().Members {
		if m.ID == n.cfg.Self {
			continue
		}
		p := n.peers[m.ID]
		if p == nil || p.disk != m.Disk && !n.cfg.faults.skipDiskCheck {
			p = &progress{disk: m.Disk, next: n.log.last() + 1, active: true}
		}
		kept[m.ID] = p
	}
	n.peers = kept
}

// Transfer starts a leadership transfer to a voter, which takes over as soon as it has the
// whole log. Until then, but for at most an election timeout, proposals are rejected.
func (n *Node) Transfer(to MemberID) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	m, ok := n.Membership().Find(to)
	if !ok || m.Learner || n.peers[to] == nil {
		return ErrUnknownMember
	}
	n.transferTarget, n.transferTicks = to, 0
	n.sendTimeoutNow()
	return nil
}

func (n *Node) sendTimeoutNow() {
	p := n.peers[n.transferTarget]
	if n.transferTarget == "" || p == nil || p.match < n.log.last() {
		return
	}
	n.send(Message{Kind: TimeoutNow, To: n.transferTarget, ToDisk: p.disk})
}

func (n *Node) tickTransfer() {
	n.transferTicks++
	if n.transferTicks >= n.cfg.ElectionTicks {
		n.transferTarget = ""
	}
}
