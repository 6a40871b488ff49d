/*
 * Model of at-most-once dispatch for one idempotency key. Entries send attempts
 * to agents, agents write Start to the record before they dispatch, and entries
 * write Abort before they report "not run". The record is modelled as one
 * linearizable register; log.pml checks the log that provides it. Calls may be
 * lost, duplicated and delayed. Start may be committed after the agent has
 * stopped waiting for its answer. Entries and agents may crash at any time.
 *
 * Not modelled: expiry of records, different bodies under one key, several
 * keys, takeover of generations.
 *
 * Broken variants, which the verifier must reject:
 *   NO_START           agents dispatch without Start
 *   NO_ABORT           entries report "not run" after a timeout without Abort
 *   ANY_LIFE           Start is granted again to a later incarnation of the agent
 *   REFUSAL_IS_FINAL   entries report "not run" after a refusal without Abort
 *   REACH              claims that no stored answer ever reaches a second entry;
 *                      its rejection shows that the model includes this case
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3  /* at most 3 */
#endif
#define ENTRIES 2
#define AGENTS 2
#define COPIES 2    /* how often the network may deliver one call */
#define LIVES 2     /* incarnations of an agent */

/* State of an attempt as the agent remembers it. */
#define IDLE 0
#define ASKED 1     /* Start is sent, its answer is pending */
#define GRANTED 2
#define RAN 3
#define REFUSED 4

/* State of the record. */
#define NONE 0
#define STARTED 1
#define FINISHED 2

/* State of an entry. */
#define FRESH 0
#define WAITING 1
#define FENCED 2    /* its attempt is aborted, so it can never run */
#define DONE 3      /* the caller got an answer, "not run" or "unknown" */

typedef Agent {
	byte life;
	byte memory[ATTEMPTS];
	byte asked[ATTEMPTS];   /* 0, or 1 + the incarnation whose Start is in flight */
};
typedef Entry {
	byte state;
	byte attempt;
};
Agent agent[AGENTS];
Entry entry[ENTRIES];

byte next;                  /* number of attempt ids used */
byte target[ATTEMPTS];
byte copies[ATTEMPTS];
bool refused[ATTEMPTS];     /* a refusal is in flight to the entry */
bool answered[ATTEMPTS];    /* an answer is in flight to the entry */

byte record;
byte winner;                /* attempt whose Start was granted */
byte holder;                /* agent of that attempt */
byte life;                  /* 1 + the incarnation of that agent */
bool aborted[ATTEMPTS];

/* Ghost variables: they are only read by assertions. */
byte runs;
bool ran[ATTEMPTS];
bool denied[ATTEMPTS];      /* the caller was told that it did not run */

hidden byte k;

inline send(e, g) {
	d_step {
		entry[e].state = WAITING;
		entry[e].attempt = next;
		target[next] = g;
		copies[next] = COPIES;
		next++
	}
}

inline deliver(a, g) {
	d_step {
		copies[a]--;
		if
		:: agent[g].memory[a] == IDLE ->
#ifdef NO_START
			agent[g].memory[a] = GRANTED
#else
			agent[g].memory[a] = ASKED; agent[g].asked[a] = agent[g].life + 1
#endif
		:: else
		fi;
		skip
	}
}

/* A leaving agent refuses an attempt before Start. Unless the entry relies on
 * the refusal, a refused copy is equivalent to a lost one. */
inline refuse(a) {
	d_step { copies[a]--; refused[a] = true }
}

/* Start is committed. The same incarnation of an agent may ask again, because
 * the answer may have been lost; it dispatches only once, because it remembers
 * the attempt. */
inline start(a, g, heard) {
	d_step {
		if
		:: record == NONE && !aborted[a] ->
			record = STARTED; winner = a; holder = g; life = agent[g].asked[a];
			k = GRANTED
#ifdef ANY_LIFE
		:: record == STARTED && winner == a && holder == g -> k = GRANTED
#else
		:: record == STARTED && winner == a && holder == g && life == agent[g].asked[a] -> k = GRANTED
#endif
		:: else -> k = REFUSED
		fi;
		if
		:: heard && agent[g].asked[a] == agent[g].life + 1 && agent[g].memory[a] == ASKED ->
			agent[g].memory[a] = k;
			agent[g].asked[a] = 0
		:: else
		fi;
		skip
	}
}

inline dispatch(a, g) {
	d_step {
		agent[g].memory[a] = RAN;
		runs++;
		ran[a] = true;
		assert(runs <= 1);      /* I5 */
		assert(!denied[a])      /* I4 */
	}
}

inline finish(a, g) {
	d_step {
		if
		:: record == STARTED && winner == a -> record = FINISHED
		:: else
		fi;
		answered[a] = true
	}
}

inline lose_agent(g) {
	d_step {
		agent[g].life++;
		for (k : 0 .. ATTEMPTS - 1) { agent[g].memory[k] = IDLE }
		skip
	}
}

/* Abort is committed: either the attempt can no longer start, or it has started
 * and its outcome is unknown or stored. */
inline abort(e) {
	d_step {
		k = entry[e].attempt;
		if
		:: record != NONE && winner == k -> entry[e].state = DONE
		:: else -> aborted[k] = true; entry[e].state = FENCED
		fi;
		skip
	}
}

inline deny(e) {
	d_step {
		k = entry[e].attempt;
		assert(!ran[k]);        /* I4 */
		denied[k] = true;
		entry[e].state = DONE
	}
}

inline replay(e) {
	d_step {
		assert(runs == 1);
#ifdef REACH
		assert(entry[e].attempt == winner);
#endif
		entry[e].state = DONE
	}
}

/* Steps of attempt a at agent g. */
inline act(a, g) {
	if
	:: a < next && target[a] == g && copies[a] > 0 -> deliver(a, g)
#ifdef REFUSAL_IS_FINAL
	:: a < next && target[a] == g && copies[a] > 0 -> refuse(a)
#endif
	:: agent[g].asked[a] > 0 -> start(a, g, true)
	:: agent[g].asked[a] > 0 -> start(a, g, false)
	/* The Start of an earlier incarnation was lost before it reached the record. */
	:: agent[g].asked[a] > 0 && agent[g].asked[a] <= agent[g].life -> agent[g].asked[a] = 0
	:: agent[g].memory[a] == GRANTED -> dispatch(a, g)
	:: agent[g].memory[a] == RAN && !answered[a] -> finish(a, g)
	:: else
	fi
}

/* Steps of an entry. A crashed entry is one that takes no further step. The
 * agents are symmetric, so the first attempt goes to agent 0. */
inline call(e) {
	if
	:: (entry[e].state == FRESH || entry[e].state == FENCED) && next < ATTEMPTS -> send(e, 0)
	:: (entry[e].state == FRESH || entry[e].state == FENCED) && next < ATTEMPTS && next > 0 -> send(e, 1)
	:: entry[e].state == FENCED -> deny(e)
	:: entry[e].state == WAITING && (answered[entry[e].attempt] || record == FINISHED) -> replay(e)
	:: entry[e].state == WAITING -> abort(e)
#ifdef NO_ABORT
	:: entry[e].state == WAITING -> deny(e)
#endif
#ifdef REFUSAL_IS_FINAL
	:: entry[e].state == WAITING && refused[entry[e].attempt] -> deny(e)
#endif
	:: else
	fi
}

byte x, y;      /* attempt, and agent or entry, of the current step; 0 between steps */

active proctype system() {
end:	do
	:: atomic {
		if :: x = 0 :: x = 1 :: x = 2 fi;
		if :: y = 0 :: y = 1 fi;
		act(x, y);
		x = 0; y = 0 }
	:: atomic {
		if :: y = 0 :: y = 1 fi;
		call(y);
		y = 0 }
	:: atomic {
		if :: y = 0 :: y = 1 fi;
		if :: agent[y].life < LIVES - 1 -> lose_agent(y) :: else fi;
		y = 0 }
	od
}
