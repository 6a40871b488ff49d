// Package crashlog writes decisions about crashes to the log, in one form for all roles.
package crashlog

import (
	"log/slog"
	"time"

	"heatherway.dev/core/crash"
)

// PartDecisions logs changed decisions on parts of prompts.
func PartDecisions(log *slog.Logger, now time.Time, changes []crash.PartDecision) {
	for _, d := range changes {
		proofAgeMS := int64(-1) // never proved sound
		if !d.ProvedAt.IsZero() {
			proofAgeMS = now.Sub(d.ProvedAt).Milliseconds()
		}
		log.Info("verdict on a part of prompts changed", "part", d.Key, "verdict", d.Verdict.String(), "crashes", d.Crashes,
			"failures", d.Failures, "confirmed", d.Confirmed, "contested", d.Contested, "proof_age_ms", proofAgeMS)
	}
}
