// Package quarantine finds the requests that crash upstreams. It is a state
// machine of log group 0: every command carries its time, so every replica
// comes to the same state.
//
// A request that was running when an upstream crashed becomes a suspect. It
// runs again in probation, with a permit: one probation of the request at a
// time in the fleet, and one suspect in probation on an upstream. A suspect
// that is in probation when its upstream crashes is quarantined for a time. One
// that passes its probation stays a suspect until it finishes, but is not
// blamed for a crash while another suspect is in probation beside it.
package quarantine

import (
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/wire"
)

const (
	// DefaultCrashes is the number of crashes that quarantine a request.
	DefaultCrashes = 2
	// DefaultPeriod is the length of the first quarantine.
	DefaultPeriod = 10 * time.Minute
	// MaxPeriod bounds the length, which doubles on each return.
	MaxPeriod = time.Hour
	// PermitDuration is how long a permit lasts: the wait for the probation of other
	// suspects and the own probation. A holder that is lost gives none back.
	PermitDuration = time.Minute
	// ReportGrace is how long after the end of a permit that was given back
	// without an outcome no other is given: the report of a crash may still be
	// on its way. Agents report within a second.
	ReportGrace = 2 * time.Second
	// SuspectRetention is how long a suspect is remembered without another crash.
	SuspectRetention = 2 * time.Hour
	// ClearedRetention is how long a cleared request is remembered, so that a late
	// report of its crash does not make it a suspect again. Reporters drop
	// reports that they could not deliver in this time.
	ClearedRetention = 2 * time.Hour
	// MaxTracked bounds the requests on record, at about 300 bytes each.
	MaxTracked = 16384
	// keepTracked is what is kept when the bound is exceeded, so that the rule
	// of what is dropped is not applied on every report.
	trackedAfterTrim = MaxTracked * 15 / 16
	// MaxReported bounds the fingerprints of one report.
	MaxReported = 4096
	// maxCounted bounds the crashes remembered for one request.
	maxCounted = 16
)

// Policy is the configuration in force, put into each command by the leader.
// Zero fields take their defaults.
type Policy struct {
	Crashes  uint32 `json:"crashes,omitempty"`
	PeriodMS int64  `json:"period_ms,omitempty"`
}

func (r Policy) crashes() uint32 {
	if r.Crashes == 0 {
		return DefaultCrashes
	}
	return r.Crashes
}

// limit is the weight of crashes that quarantines a request.
func (r Policy) limit() uint32 { return r.crashes() * crash.FullWeight }

func (r Policy) period(returns uint32) int64 {
	p := r.PeriodMS
	if p <= 0 {
		p = DefaultPeriod.Milliseconds()
	}
	most := max(p, MaxPeriod.Milliseconds())
	for ; returns > 0 && p < most; returns-- {
		p *= 2
	}
	return min(p, most)
}

// Command is one entry of the log. At most one of its parts is set; a command
// without any only lets time pass.
type Command struct {
	// AtMS is the leader's clock in Unix milliseconds. Time never goes back: an
	// earlier value than before counts as the earlier command's.
	AtMS   int64           `json:"at_ms"`
	Rule   Policy          `json:"rule"`
	Crash  *wire.CrashArgs `json:"crash,omitempty"`
	Permit *PermitRequest  `json:"permit,omitempty"`
	Return *PermitReturn   `json:"return,omitempty"`
	Lift   *Lift           `json:"lift,omitempty"`
}

// PermitRequest asks to run a suspect.
type PermitRequest struct {
	Fingerprint string `json:"fingerprint"`
	// ID is chosen by the leader or the holder. Asking again under the same id
	// gets the same permit, so a lost answer does no harm.
	ID     wire.ID `json:"id"`
	Holder string  `json:"holder"`
	// Upstream is where the suspect is to run. With it, no two permits are given
	// for one upstream; without it only the agent keeps suspects apart.
	Upstream string `json:"upstream,omitempty"`
}

// PermitReturn gives a permit back.
type PermitReturn struct {
	Fingerprint string  `json:"fingerprint"`
	ID          wire.ID `json:"id"`
	// Finished tells that the run ended without a crash, Passed that it goes on
	// after its probation, and NotRun that it never began. Without any of them,
	// a crash may still be reported.
	Finished bool `json:"finished,omitempty"`
	Passed   bool `json:"passed,omitempty"`
	NotRun   bool `json:"not_run,omitempty"`
}

// Lift ends a quarantine by order of an operator. The request remains a
// suspect.
type Lift struct {
	Fingerprint string `json:"fingerprint"`
	Operator    string `json:"operator"`
}

// Result is what applying a command gave. Err carries a result code.
type Result struct {
	// Suspects is the state of the fingerprints of a crash report, in its order.
	Suspects []wire.Suspect
	// PermitUntilMS is the end of a given permit.
	PermitUntilMS int64
	Err           error
}

// crashKey names one crash. The agent and several entries report it.
type crashKey struct {
	Upstream    string           `json:"upstream"`
	Incarnation wire.Incarnation `json:"incarnation"`
	Number      uint64           `json:"number"`
}

// record is what is known of one request.
type record struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes is the number of crashes, and Weight what those count that speak
	// towards the next quarantine.
	Crashes uint32 `json:"crashes"`
	Weight  uint32 `json:"weight"`
	// Strikes is the number of crashes that counted, in states of older versions.
	Strikes uint32 `json:"strikes,omitempty"`
	// Unattributed is the number of crashes that more than one suspect may have
	// caused.
	Unattributed uint32 `json:"shared,omitempty"`
	// Counted are the crashes that have been counted, newest last.
	Counted []crashKey `json:"counted,omitempty"`
	// Quarantines is the number of quarantines so far.
	Quarantines uint32 `json:"returns,omitempty"`
	// UntilMS is the end of the quarantine, 0 without one.
	UntilMS int64 `json:"until_ms,omitempty"`
	// Cleared is set once the request has finished.
	Cleared bool `json:"cleared,omitempty"`
	// ChangedMS is the time of the last crash, end or clearing.
	ChangedMS int64 `json:"changed_ms"`
	// Permit is the permit given last; NoPermitBeforeMS is the time before which no other
	// is given. ReturnedPermit is the id of the permit given back last.
	Permit           *grantedPermit `json:"run,omitempty"`
	NoPermitBeforeMS int64          `json:"blocked_ms,omitempty"`
	ReturnedPermit   wire.ID        `json:"spent,omitempty"`
}

type grantedPermit struct {
	ID       wire.ID `json:"id"`
	Holder   string  `json:"holder"`
	Upstream string  `json:"upstream,omitempty"`
	UntilMS  int64   `json:"until_ms"`
}

// place tells which suspect an upstream runs, and until when at the latest.
type occupancy struct {
	Fingerprint string `json:"fingerprint"`
	UntilMS     int64  `json:"until_ms"`
}

func (r *record) quarantined(at int64) bool { return at < r.UntilMS }

// running tells whether a permit may still be in use.
func (r *record) hasActivePermit(at int64) bool { return r.Permit != nil && at < r.Permit.UntilMS }

func (r *record) hasCounted(k crashKey) bool {
	for _, c := range r.Counted {
		if c == k {
			return true
		}
	}
	return false
}

func (r *record) expiresMS() int64 {
	if r.Cleared {
		return r.ChangedMS + ClearedRetention.Milliseconds()
	}
	return max(r.ChangedMS, r.UntilMS) + SuspectRetention.Milliseconds()
}

func (r *record) toSuspect(at int64) wire.Suspect {
	s := wire.Suspect{Fingerprint: r.Fingerprint, Crashes: r.Crashes}
	if r.quarantined(at) {
		s.Quarantined, s.UntilMS, s.LeftMS = true, r.UntilMS, r.UntilMS-at
	}
	return s
}
