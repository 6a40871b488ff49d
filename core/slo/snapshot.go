package slo

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
)

// LayoutVersion is the version of the format of a Snapshot, including its buckets and
// windows. Snapshots of different versions cannot be merged.
const LayoutVersion = 1

// Snapshot is the state of one entry, or the merged state of several.
type Snapshot struct {
	Layout int `json:"layout"`
	// AtMS is the time of the newest merged snapshot in Unix milliseconds.
	AtMS   int64    `json:"at_ms"`
	Series []Series `json:"series"` // ordered by class and organisation
}

// Series holds the measurements of one organisation in one class.
type Series struct {
	Class        string    `json:"class"`
	Organisation string    `json:"organisation"`
	Objective    Objective `json:"objective"`
	// Counts and Latency are measured since the start of the series.
	Counts  Counts              `json:"counts"`
	Windows [WindowCount]Counts `json:"windows"`
	Latency Histogram           `json:"latency"`
}

func (s Series) compare(o Series) int {
	if c := strings.Compare(s.Class, o.Class); c != 0 {
		return c
	}
	return strings.Compare(s.Organisation, o.Organisation)
}

func (s *Snapshot) sort() { slices.SortFunc(s.Series, Series.compare) }

// Encode returns the snapshot as JSON.
func (s Snapshot) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode parses and validates a snapshot in JSON.
func Decode(b []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	if s.Layout != LayoutVersion {
		return Snapshot{}, errors.Errorf("snapshot has layout version %d, want %d", s.Layout, LayoutVersion)
	}
	for i, e := range s.Series {
		if err := e.check(); err != nil {
			return Snapshot{}, err
		}
		if i > 0 && s.Series[i-1].compare(e) >= 0 {
			return Snapshot{}, errors.Errorf("series of class %s, organisation %s is out of order", e.Class, e.Organisation)
		}
	}
	return s, nil
}

func (s Series) check() error {
	if _, err := wire.ParseClass(s.Class); err != nil {
		return err
	}
	for _, c := range append(s.Windows[:], s.Counts) {
		if c.Bad() > c.Total {
			return errors.Errorf("series of class %s, organisation %s has %d bad requests out of %d", s.Class, s.Organisation, c.Bad(), c.Total)
		}
		if !sort.SliceIsSorted(c.Failed, func(i, j int) bool { return c.Failed[i].Code < c.Failed[j].Code }) {
			return errors.Errorf("series of class %s, organisation %s has result codes out of order", s.Class, s.Organisation)
		}
	}
	return nil
}

// Merge returns the sum of two snapshots.
func Merge(a, b Snapshot) Snapshot {
	out := Snapshot{Layout: LayoutVersion, AtMS: max(a.AtMS, b.AtMS)}
	i, j := 0, 0
	for i < len(a.Series) && j < len(b.Series) {
		switch c := a.Series[i].compare(b.Series[j]); {
		case c < 0:
			out.Series = append(out.Series, a.Series[i])
			i++
		case c > 0:
			out.Series = append(out.Series, b.Series[j])
			j++
		default:
			out.Series = append(out.Series, a.Series[i].merge(b.Series[j]))
			i, j = i+1, j+1
		}
	}
	out.Series = append(out.Series, a.Series[i:]...)
	out.Series = append(out.Series, b.Series[j:]...)
	return out
}

func (s Series) merge(o Series) Series {
	s.Objective = stricter(s.Objective, o.Objective)
	s.Counts = s.Counts.plus(o.Counts)
	for w := range s.Windows {
		s.Windows[w] = s.Windows[w].plus(o.Windows[w])
	}
	s.Latency.Add(&o.Latency)
	return s
}

// stricter chooses between the objectives of two entries, one of which may not have
// received a change yet.
func stricter(a, b Objective) Objective {
	if a.Share > b.Share || a.Share == b.Share && a.Target < b.Target {
		return a
	}
	return b
}
