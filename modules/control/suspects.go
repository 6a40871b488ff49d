package control

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// suspectList is the state machine of crashing requests.
type suspectList interface {
	crash(nowMS int64, a *wire.CrashArgs, l suspectLimits) (state []wire.Suspect, listed bool)
	permit(nowMS int64, a *wire.PermitArgs, id wire.ID) (wire.ID, refusal, bool)
	lift(fingerprint string) bool
	list() []wire.Suspect
	snapshot() ([]byte, error)
	restore([]byte) error
}

// suspectLimits are the values of the configuration that the list needs.
type suspectLimits struct {
	Crashes  uint32
	PeriodMS int64
}

func (f *fleet) limits(atMS int64) suspectLimits {
	doc, now := f.config.Document(), time.UnixMilli(atMS)
	return suspectLimits{
		Crashes:  uint32(doc.Int("quarantine.crashes", config.Scope{}, now)),
		PeriodMS: doc.Duration("quarantine.period", config.Scope{}, now).Milliseconds(),
	}
}

// permitMS is how long a permit is held at most; a holder that dies gives none
// back.
const permitMS = 15 * 60 * 1000

type suspect struct {
	Suspect wire.Suspect `json:"suspect"`
	// Reports are the crashes counted, so that a repeated report counts once.
	Reports map[string]bool `json:"reports"`
	Permit  wire.ID         `json:"permit,omitempty"`
	FreeMS  int64           `json:"free_ms,omitempty"`
}

type suspects struct {
	byPrint map[string]*suspect
}

func newSuspects() suspectList { return &suspects{byPrint: map[string]*suspect{}} }

func (s *suspects) crash(now int64, a *wire.CrashArgs, l suspectLimits) ([]wire.Suspect, bool) {
	var out []wire.Suspect
	listed := false
	report := fmt.Sprintf("%s/%d/%d", a.Upstream, a.Incarnation, a.CrashNumber)
	for _, fp := range a.Fingerprints {
		e := s.byPrint[fp]
		if e == nil {
			e = &suspect{Suspect: wire.Suspect{Fingerprint: fp}, Reports: map[string]bool{}}
			s.byPrint[fp] = e
		}
		if !e.Reports[report] {
			e.count(now, report, l)
			listed = true
		}
		out = append(out, e.Suspect)
	}
	return out, listed
}

func (e *suspect) count(now int64, report string, l suspectLimits) {
	e.Reports[report] = true
	e.Suspect.Crashes++
	e.Permit, e.FreeMS = "", 0
	if e.Suspect.Crashes >= l.Crashes {
		e.Suspect.Quarantined = true
		e.Suspect.UntilMS = now + l.PeriodMS
	}
}

func (s *suspects) permit(now int64, a *wire.PermitArgs, id wire.ID) (wire.ID, refusal, bool) {
	e := s.byPrint[a.Fingerprint]
	if a.Done {
		return s.giveBack(e, a)
	}
	if e == nil {
		return id, refusal{}, false
	}
	if e.Suspect.Quarantined && now < e.Suspect.UntilMS {
		return "", refusal{result.Quarantined, "the request has crashed upstreams", e.Suspect.UntilMS - now}, false
	}
	if e.Permit != "" && now < e.FreeMS {
		return "", refusal{result.SuspectBusy, "a run of this suspect has not ended", 1000}, false
	}
	e.Permit, e.FreeMS = id, now+permitMS
	return id, refusal{}, false
}

func (s *suspects) giveBack(e *suspect, a *wire.PermitArgs) (wire.ID, refusal, bool) {
	if e == nil || e.Permit != a.Permit {
		return "", refusal{}, false
	}
	e.Permit, e.FreeMS = "", 0
	if a.Finished {
		delete(s.byPrint, a.Fingerprint)
	}
	return "", refusal{}, a.Finished
}

func (s *suspects) lift(fingerprint string) bool {
	_, ok := s.byPrint[fingerprint]
	delete(s.byPrint, fingerprint)
	return ok
}

func (s *suspects) list() []wire.Suspect {
	out := make([]wire.Suspect, 0, len(s.byPrint))
	for _, e := range s.byPrint {
		out = append(out, e.Suspect)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

func (s *suspects) snapshot() ([]byte, error) { return json.Marshal(s.byPrint) }

func (s *suspects) restore(b []byte) error {
	m := map[string]*suspect{}
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	s.byPrint = m
	return nil
}
