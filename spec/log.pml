/*
 * Model of the replicated log of core/raft with leader changes, member
 * replacement and disk loss. A step is one message exchange between two members
 * or one local action; a lost or delayed message is a step that is not taken or
 * is taken later. Each step includes the sync to disk, so a crash without disk
 * loss is a member that takes no steps.
 *
 * Not modelled: pre-vote, check-quorum and timeouts (they only decide when
 * elections start, and in the model elections may start at any time), snapshots,
 * reads.
 *
 * Broken variants, which the verifier must reject:
 *   IGNORE_DISK    votes and acknowledgements count regardless of disk identity
 *   IGNORE_LOG     candidates with an older log get votes
 *   EARLY_PROMOTE  a learner becomes a voter before it has caught up
 *   OLD_TERM       entries of older terms are committed by counting replicas
 *   REACH          claims that a full log is never committed after all losses
 *                  have been repaired; its rejection shows that the bounds leave
 *                  room for all losses and repairs
 */
#ifndef TERMS
#define TERMS 3     /* highest term */
#endif
#ifndef LENGTH
#define LENGTH 4    /* longest log */
#endif
#ifndef LOSSES
#define LOSSES 1    /* number of disks that may be lost, one at a time */
#endif
#define N 3         /* members */

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define ABSENT 0
#define LEARNER 1
#define VOTER 2

/* An entry is encoded as kind * 16 + member * 4 + disk. */
#define DATA 1
#define REPLACE 2
#define PROMOTE 3
#define ENTRY(kind, m, d) ((kind) * 16 + (m) * 4 + (d))
#define KIND(e) ((e) / 16)
#define WHO(e) (((e) / 4) % 4)
#define DISK(e) ((e) % 4)

typedef Member {
	byte disk;              /* identity of the current disk */
	byte term;
	byte vote;              /* 0 for none, or 1 + member + N * disk */
	byte role;
	byte votes;             /* candidate: bit set of the members that granted their vote */
	byte size;
	byte entry[LENGTH];
	byte eterm[LENGTH];
	byte match[N];          /* leader: length of the log replicated to each member */
	byte commit;            /* leader: length of the log committed in its own term */
};
Member m[N];

/* Ghost variables for assertions: the committed entries and the leader of each
 * term. losses counts the disks lost so far. */
byte committed;
byte centry[LENGTH];
byte cterm[LENGTH];
byte leader[TERMS + 1];
byte losses;

/* Temporary variables of one step; hidden, so not part of the state. */
hidden byte crole[N];
hidden byte cdisk[N];
hidden byte change;         /* length of the log up to its last membership change */
hidden byte pos, idx, granted, voters, yes, tmp;

/* Computes crole, cdisk and change from the first n entries of a log. */
#define FOLD(n, e) \
	change = 0; \
	for (pos : 0 .. N - 1) { crole[pos] = VOTER; cdisk[pos] = 0 } \
	pos = 0; \
	do \
	:: pos < (n) -> \
		if \
		:: KIND(e[pos]) == REPLACE -> crole[WHO(e[pos])] = LEARNER; cdisk[WHO(e[pos])] = DISK(e[pos]); change = pos + 1 \
		:: KIND(e[pos]) == PROMOTE -> crole[WHO(e[pos])] = VOTER; change = pos + 1 \
		:: else \
		fi; \
		pos++ \
	:: else -> break \
	od

#ifdef IGNORE_DISK
#define SAME_DISK(x) true
#else
#define SAME_DISK(x) (cdisk[x] == m[x].disk)
#endif

inline step_down(x, term_) {
	m[x].term = term_; m[x].vote = 0; m[x].role = FOLLOWER; m[x].votes = 0;
	m[x].commit = 0;
	for (idx : 0 .. N - 1) { m[x].match[idx] = 0 }
}

/* Sets yes to whether the set of members contains a majority of the voters. */
inline majority(set) {
	voters = 0; granted = 0;
	for (idx : 0 .. N - 1) {
		if
		:: crole[idx] == VOTER ->
			voters++;
			if :: (set) & (1 << idx) -> granted++ :: else fi
		:: else
		fi
	}
	yes = (2 * granted > voters)
}

inline campaign(c) {
	d_step {
		m[c].term++;
		m[c].vote = 1 + c + N * m[c].disk;
		m[c].role = CANDIDATE; m[c].votes = 1 << c;
		m[c].commit = 0;
		for (idx : 0 .. N - 1) { m[c].match[idx] = 0 }
		FOLD(m[c].size, m[c].entry);
		majority(m[c].votes);
		if :: yes -> lead(c) :: else fi;
		skip
	}
}

inline lead(c) {
	m[c].role = LEADER; m[c].votes = 0;
	/* Election safety. */
	assert(leader[m[c].term] == 0);
	leader[m[c].term] = 1 + c;
	/* Leader completeness. */
	idx = 0;
	do
	:: idx < committed ->
		assert(idx < m[c].size && m[c].entry[idx] == centry[idx] && m[c].eterm[idx] == cterm[idx]);
		idx++
	:: else -> break
	od
}

/* Candidate c asks member v for its vote. */
inline ask(c, v) {
	d_step {
		FOLD(m[c].size, m[c].entry);
		if
		:: crole[v] == VOTER && SAME_DISK(v) ->
			if :: m[v].term < m[c].term -> tmp = m[c].term; step_down(v, tmp) :: else fi;
			if
			:: m[v].term > m[c].term -> tmp = m[v].term; step_down(c, tmp)
			:: m[v].term == m[c].term ->
				yes = (m[v].vote == 0 || m[v].vote == 1 + c + N * m[c].disk);
#ifndef IGNORE_LOG
				if
				:: m[v].size > 0 && m[c].size == 0 -> yes = false
				:: m[v].size > 0 && m[c].size > 0 ->
					yes = yes && (m[c].eterm[m[c].size - 1] > m[v].eterm[m[v].size - 1] ||
						m[c].eterm[m[c].size - 1] == m[v].eterm[m[v].size - 1] && m[c].size >= m[v].size)
				:: else
				fi;
#endif
				if
				:: yes ->
					m[v].vote = 1 + c + N * m[c].disk;
					m[c].votes = m[c].votes | (1 << v);
					majority(m[c].votes);
					if :: yes -> lead(c) :: else fi
				:: else
				fi
			:: else
			fi
		:: else
		fi;
		skip
	}
}

/* Leader l sends its log to member f, which makes its own log match. */
inline replicate(l, f) {
	d_step {
		FOLD(m[l].size, m[l].entry);
		if
		:: crole[f] != ABSENT && SAME_DISK(f) ->
			if
			:: m[f].term > m[l].term -> tmp = m[f].term; step_down(l, tmp)
			:: else ->
				if :: m[f].term < m[l].term || m[f].role != FOLLOWER ->
					tmp = m[f].vote; yes = (m[f].term == m[l].term);
					step_down(f, m[l].term);
					if :: yes -> m[f].vote = tmp :: else fi
				:: else fi;
				copy(l, f);
				m[l].match[f] = m[l].size;
				advance(l)
			fi
		:: else
		fi;
		skip
	}
}

/* Copies the leader's log, but keeps a longer log that has it as a prefix. */
inline copy(l, f) {
	yes = (m[f].size >= m[l].size);
	idx = 0;
	do
	:: idx < m[l].size ->
		if
		:: idx >= m[f].size || m[f].eterm[idx] != m[l].eterm[idx] || m[f].entry[idx] != m[l].entry[idx] -> yes = false
		:: else
		fi;
		m[f].entry[idx] = m[l].entry[idx]; m[f].eterm[idx] = m[l].eterm[idx];
		idx++
	:: else -> break
	od;
	if
	:: !yes ->
		do
		:: idx < LENGTH -> m[f].entry[idx] = 0; m[f].eterm[idx] = 0; idx++
		:: else -> break
		od;
		m[f].size = m[l].size
	:: else
	fi
}

/* Commits up to the newest entry of the leader's term that a majority stores. */
inline advance(l) {
	pos = m[l].size;
	do
	:: pos > m[l].commit ->
		tmp = 1 << l;
		for (idx : 0 .. N - 1) {
			if :: idx != l && m[l].match[idx] >= pos -> tmp = tmp | (1 << idx) :: else fi
		}
		majority(tmp);
#ifdef OLD_TERM
		if :: yes -> note(l); break :: else -> pos-- fi
#else
		if :: yes && m[l].eterm[pos - 1] == m[l].term -> note(l); break :: else -> pos-- fi
#endif
	:: else -> break
	od
}

/* Records a commit and checks state machine safety: no two different entries are
 * committed at the same index. */
inline note(l) {
	m[l].commit = pos;
	idx = 0;
	do
	:: idx < pos ->
		if
		:: idx < committed -> assert(centry[idx] == m[l].entry[idx] && cterm[idx] == m[l].eterm[idx])
		:: else -> centry[idx] = m[l].entry[idx]; cterm[idx] = m[l].eterm[idx]
		fi;
		idx++
	:: else -> break
	od;
	if :: committed < pos -> committed = pos :: else fi
}

inline append(l, e) {
	m[l].entry[m[l].size] = e; m[l].eterm[m[l].size] = m[l].term;
	m[l].size++;
	FOLD(m[l].size, m[l].entry);
	advance(l)
}

/* A membership change requires a committed entry of the leader's term and no
 * other membership change that is not committed yet. */
inline reconfigure(l, x) {
	d_step {
		FOLD(m[l].size, m[l].entry);
		if
		:: m[l].commit > 0 && change <= m[l].commit ->
			if
			:: cdisk[x] != m[x].disk ->
				m[l].match[x] = 0;
				append(l, ENTRY(REPLACE, x, m[x].disk))
#ifdef EARLY_PROMOTE
			:: cdisk[x] == m[x].disk && crole[x] == LEARNER ->
#else
			:: cdisk[x] == m[x].disk && crole[x] == LEARNER && m[l].match[x] >= m[l].commit ->
#endif
				/* The new disk must hold all committed entries. */
				idx = 0;
				do
				:: idx < committed ->
					assert(idx < m[x].size && m[x].entry[idx] == centry[idx] && m[x].eterm[idx] == cterm[idx]);
					idx++
				:: else -> break
				od;
				append(l, ENTRY(PROMOTE, x, m[x].disk))
			:: else
			fi
		:: else
		fi;
		skip
	}
}

/* A disk may be lost only while every member is a committed voter with its
 * current disk: one loss at a time, the next as soon as the repair is committed. */
inline lose(x) {
	d_step {
		FOLD(committed, centry);
		yes = true;
		for (idx : 0 .. N - 1) {
			if :: crole[idx] != VOTER || cdisk[idx] != m[idx].disk -> yes = false :: else fi
		}
		if
		:: yes ->
			losses++;
			tmp = 0;
			step_down(x, tmp);
			for (idx : 0 .. LENGTH - 1) { m[x].entry[idx] = 0; m[x].eterm[idx] = 0 }
			m[x].size = 0;
			m[x].disk++
		:: else
		fi;
		skip
	}
}

/* Sets yes to whether the member may campaign: it must be a voter with its
 * current disk identity. An empty disk has no membership, except for the disks
 * that the group starts with. */
inline may_campaign(x) {
	d_step {
		FOLD(m[x].size, m[x].entry);
		yes = (m[x].term < TERMS && m[x].role != LEADER && crole[x] == VOTER && cdisk[x] == m[x].disk);
#ifdef IGNORE_DISK
		yes = (m[x].term < TERMS && m[x].role != LEADER && crole[x] == VOTER);
#endif
	}
}

inline unreached() {
	d_step {
		FOLD(committed, centry);
		assert(!(crole[0] == VOTER && crole[1] == VOTER && crole[2] == VOTER &&
			cdisk[0] == m[0].disk && cdisk[1] == m[1].disk && cdisk[2] == m[2].disk));
		skip
	}
}

byte a, b;      /* members that take part in the current step; 0 between steps */

inline any(x) {
	if :: x = 0 :: x = 1 :: x = 2 fi
}

active proctype members() {
end:	do
	:: atomic {
		any(a);
		if
		:: m[a].term < TERMS && m[a].role != LEADER ->
			may_campaign(a);
			if :: yes -> campaign(a) :: else fi
		:: m[a].role == LEADER && m[a].size < LENGTH -> d_step { append(a, ENTRY(DATA, 0, 0)); skip }
		:: losses < LOSSES && committed > 0 -> lose(a)
		:: else
		fi;
		a = 0 }
	:: atomic {
		any(a); any(b);
		if
		:: a != b && m[a].role == CANDIDATE -> ask(a, b)
		:: a != b && m[a].role == LEADER -> replicate(a, b)
		:: a != b && m[a].role == LEADER && m[a].size < LENGTH && losses > 0 -> reconfigure(a, b)
		:: else
		fi;
		a = 0; b = 0 }
#ifdef REACH
	:: losses == LOSSES && committed == LENGTH -> unreached()
#endif
	od
}
