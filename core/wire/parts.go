package wire

import (
	"time"

	"heatherway.dev/core/crash"
)

// MaxPartEntries limits the entries of one report. A chat has at most 1,024 messages that are
// tracked, each with a proof and a run; the chats of an upstream may have more together.
const MaxPartEntries = 8192

// PartsArgs reports what a process has learned of the messages that may crash upstreams:
// crashes and proofs (crash.AgentCrash, crash.ProofEntry). Control instances of the previous
// release do not know the method.
type PartsArgs struct {
	Reporter string
	Entries  []crash.Entry
}

// PartsReply is empty.
type PartsReply struct{}

// PartTrialArgs asks whether a request may run once although it is held for these messages.
type PartTrialArgs struct {
	Holder string
	Keys   []string
}

// PartTrialReply reports whether the request may run.
type PartTrialReply struct{ Granted bool }

// undecidedLifetime is how long messages stay undecided while no control instance confirms
// the list. Nobody grants the trials then that would prove sound ones.
const undecidedLifetime = time.Minute

// PartList is the list of suspected parts as the control instances have last sent it.
type PartList struct {
	Version     uint64
	Parts       crash.SuspectedPartsByKey
	ConfirmedAt time.Time
}

// Apply returns the list after the reply to a watch. Control instances of the previous
// release confirm nothing and grant no trials, so the list ends with them.
func (l PartList) Apply(now time.Time, r *WatchReply) PartList {
	if !r.KnowsParts {
		return PartList{}
	}
	if r.PartsChanged {
		l.Version, l.Parts = r.Parts, crash.IndexSuspectedParts(r.Part)
	}
	l.ConfirmedAt = now
	return l
}

// Verdict returns the verdict on a request with the given parts and those that it is held for.
func (l PartList) Verdict(now time.Time, keys []string) (crash.Verdict, []string) {
	verdict, held := l.Parts.Verdict(keys)
	if verdict == crash.Undecided && now.Sub(l.ConfirmedAt) > undecidedLifetime {
		return crash.Allowed, nil
	}
	return verdict, held
}
