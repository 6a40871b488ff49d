// Package quarantine detects requests that crash upstreams, from the reports of agents and
// entries; package crash does so for gateways, without agents. It is a replicated state
// machine in log group 0: every command carries its time, so all replicas reach the same
// state.
//
// A request that was running when an upstream crashed becomes a suspect. It may run again
// only in probation, with a permit: the fleet runs at most one probation of a request at a
// time, and an upstream at most one suspect in probation. A suspect that is in probation
// when its upstream crashes is quarantined for a time. One that passes its probation stays
// a suspect until it finishes, but is not held responsible for a crash while another
// suspect is in probation on the same upstream.
package quarantine

import (
	"time"

	"heatherway.dev/core/crash"
	"heatherway.dev/core/wire"
)

const (
	// DefaultCrashes is the number of crashes after which a request is quarantined.
	DefaultCrashes = 2
	// DefaultPeriod is the length of the first quarantine.
	DefaultPeriod = 10 * time.Minute
	// MaxPeriod limits the length of a quarantine, which doubles each time.
	MaxPeriod = time.Hour
	// PermitDuration is how long a permit is valid. It covers the wait for the probation
	// of other suspects and the probation itself. A holder that fails never returns its
	// permit.
	PermitDuration = time.Minute
	// ReportGrace is how long no new permit is granted after one was returned without an
	// outcome or has expired, since a report of a crash may still arrive. Agents report
	// within a second.
	ReportGrace = 2 * time.Second
	// SuspectRetention is how long a suspect is kept without another crash.
	SuspectRetention = 2 * time.Hour
	// ClearedRetention is how long a cleared request is kept, so that a late report of its
	// crash does not make it a suspect again. Reporters drop reports that they could not
	// deliver within this time.
	ClearedRetention = 2 * time.Hour
	// MaxTracked limits the number of records, at about 300 bytes each.
	MaxTracked = 16384
	// trackedAfterTrim is the number of records kept when the limit is exceeded. It is
	// lower than the limit so that not every report sorts and trims the records.
	trackedAfterTrim = MaxTracked * 15 / 16
	// MaxReported limits the number of fingerprints in one report.
	MaxReported = 4096
	// maxCounted limits the number of crashes remembered for one request.
	maxCounted = 16
)

// Policy is the configuration in force; the leader adds it to each command. Zero fields
// take their defaults.
type Policy struct {
	Crashes  uint32 `json:"crashes,omitempty"`
	PeriodMS int64  `json:"period_ms,omitempty"`
}

func (p Policy) crashes() uint32 {
	if p.Crashes == 0 {
		return DefaultCrashes
	}
	return p.Crashes
}

// quarantineWeight returns the weight of crashes at which a request is quarantined.
func (p Policy) quarantineWeight() uint32 { return p.crashes() * crash.FullWeight }

func (p Policy) period(quarantines uint32) int64 {
	period := p.PeriodMS
	if period <= 0 {
		period = DefaultPeriod.Milliseconds()
	}
	maxPeriod := max(period, MaxPeriod.Milliseconds())
	for ; quarantines > 0 && period < maxPeriod; quarantines-- {
		period *= 2
	}
	return min(period, maxPeriod)
}

// Command is one log entry. At most one of Crash, Permit, Return and Lift is set; a
// command without any of them only advances the time.
type Command struct {
	// AtMS is the leader's clock in Unix milliseconds. Time never moves backwards: a value
	// below that of an earlier command is raised to it.
	AtMS   int64           `json:"at_ms"`
	Rule   Policy          `json:"rule"`
	Crash  *wire.CrashArgs `json:"crash,omitempty"`
	Permit *PermitRequest  `json:"permit,omitempty"`
	Return *PermitReturn   `json:"return,omitempty"`
	Lift   *Lift           `json:"lift,omitempty"`
}

// PermitRequest asks for a permit to run a suspect.
type PermitRequest struct {
	Fingerprint string `json:"fingerprint"`
	// ID is chosen by the leader or the holder. A repeated request with the same ID gets
	// the same permit, so a lost reply is harmless.
	ID     wire.ID `json:"id"`
	Holder string  `json:"holder"`
	// Upstream is where the suspect is to run. If it is set, at most one permit is granted
	// per upstream; otherwise only the agent keeps suspects apart.
	Upstream string `json:"upstream,omitempty"`
}

// PermitReturn returns a permit.
type PermitReturn struct {
	Fingerprint string  `json:"fingerprint"`
	ID          wire.ID `json:"id"`
	// Finished means that the run ended without a crash, Passed that the run continues
	// after passing its probation, and NotRun that it never started. If none is set, a
	// crash may still be reported, and no new permit is granted within ReportGrace.
	Finished bool `json:"finished,omitempty"`
	Passed   bool `json:"passed,omitempty"`
	NotRun   bool `json:"not_run,omitempty"`
}

// Lift ends a quarantine on the order of an operator. The request remains a suspect.
type Lift struct {
	Fingerprint string `json:"fingerprint"`
	Operator    string `json:"operator"`
}

// Result is the result of applying a command. Err carries a result code.
type Result struct {
	// Suspects is the state of the fingerprints of a crash report, in their order, without
	// those that were cleared.
	Suspects []wire.Suspect
	// PermitUntilMS is the end of the granted permit.
	PermitUntilMS int64
	Err           error
}

// crashKey identifies one crash, which the agent and several entries may report.
type crashKey struct {
	Upstream    string           `json:"upstream"`
	Incarnation wire.Incarnation `json:"incarnation"`
	Number      uint64           `json:"number"`
}

// record is the state of one request.
type record struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes is the number of crashes, and Weight the weight of those that count towards
	// the next quarantine.
	Crashes uint32 `json:"crashes"`
	Weight  uint32 `json:"weight"`
	// Strikes is the number of crashes that counted, in snapshots of older versions.
	Strikes uint32 `json:"strikes,omitempty"`
	// Unattributed is the number of crashes that more than one suspect may have caused.
	Unattributed uint32 `json:"shared,omitempty"`
	// Counted lists the crashes already counted, newest last.
	Counted []crashKey `json:"counted,omitempty"`
	// Quarantines is the number of quarantines so far.
	Quarantines uint32 `json:"returns,omitempty"`
	// UntilMS is the end of the quarantine, or 0.
	UntilMS int64 `json:"until_ms,omitempty"`
	// Cleared is set once the request has finished.
	Cleared bool `json:"cleared,omitempty"`
	// ChangedMS is the time of the last crash, the last lift of a quarantine or the
	// clearing.
	ChangedMS int64 `json:"changed_ms"`
	// Permit is the permit granted last, or nil once it was returned or ended by a crash,
	// and ReturnedPermit the ID of the last such permit. NoPermitBeforeMS is the time before
	// which no other permit is granted.
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

// occupancy is the suspect that occupies an upstream, and the latest end of that.
type occupancy struct {
	Fingerprint string `json:"fingerprint"`
	UntilMS     int64  `json:"until_ms"`
}

func (r *record) quarantined(at int64) bool { return at < r.UntilMS }

// hasActivePermit reports whether a permit may still be in use.
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
