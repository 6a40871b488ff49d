package member

import "heatherway.dev/core/wire"

// DigestEntry says that an upstream whose announced content has this version was
// heard some time ago. It is all that another control instance needs of an
// upstream whose content it knows.
type DigestEntry struct {
	Content uint64
	Seq     uint64
	AgeMS   int64
}

// Digest is what one control instance tells another about the agents that it
// heard itself.
type Digest struct {
	From string
	// Heard lists agents by content; Full carries those that the other asked
	// for.
	Heard []DigestEntry
	Full  []Announcement
}

// DigestReply lists the contents that the receiver does not know.
type DigestReply struct{ Unknown []uint64 }

// DigestEntriesSince returns what this instance itself heard after a time.
func (t *Table) DigestEntriesSince(sinceMS, nowMS int64) []DigestEntry {
	var out []DigestEntry
	for _, e := range t.byID {
		if e.directMS > sinceMS && !e.lost {
			out = append(out, DigestEntry{e.contentVersion, e.seq, nowMS - e.directMS})
		}
	}
	return out
}

// Announcements returns the announcements with the contents.
func (t *Table) Announcements(contents []uint64, nowMS int64) []Announcement {
	var out []Announcement
	for _, c := range contents {
		if e, ok := t.byContent[c]; ok {
			out = append(out, Announcement{e.upstream, e.seq, nowMS - e.heardMS})
		}
	}
	return out
}

// Merge takes over another instance's digest. It returns the contents that it
// does not know, and whether the members changed.
func (t *Table) Merge(nowMS int64, d Digest) (unknown []uint64, changed bool) {
	for _, h := range d.Heard {
		e, ok := t.byContent[h.Content]
		if !ok {
			unknown = append(unknown, h.Content)
			continue
		}
		_, c := t.merge(nowMS-h.AgeMS, e.upstream, h.Seq)
		changed = changed || c
	}
	for _, a := range d.Full {
		_, c := t.merge(nowMS-a.AgeMS, a.Upstream, a.Seq)
		changed = changed || c
	}
	return unknown, changed
}

// Incarnations returns the newest incarnation of every remembered upstream.
func (t *Table) Incarnations() map[string]wire.Incarnation {
	out := make(map[string]wire.Incarnation, len(t.byID))
	for id, e := range t.byID {
		out[id] = e.upstream.Incarnation
	}
	return out
}
