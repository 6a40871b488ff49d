package member

import "heatherway.dev/core/wire"

// DigestEntry is the compact form of an announcement: the version of its content, its
// sequence number and its age. It suffices for control instances that know the content.
type DigestEntry struct {
	Content uint64
	Seq     uint64
	AgeMS   int64
}

// Digest is sent between control instances. It describes the announcements that the sender
// has received directly.
type Digest struct {
	From string
	// Heard lists the announcements by the version of their content. Full contains the
	// complete announcements that the receiver has requested.
	Heard []DigestEntry
	Full  []Announcement
}

// DigestReply lists the content versions that the receiver of a digest doesn't know.
type DigestReply struct{ Unknown []uint64 }

// DigestEntriesSince returns the digest entries of the upstreams whose announcements this
// instance received directly after a time.
func (t *Table) DigestEntriesSince(sinceMS, nowMS int64) []DigestEntry {
	var out []DigestEntry
	for _, e := range t.byID {
		if e.directMS > sinceMS && !e.lost {
			out = append(out, DigestEntry{e.contentVersion, e.seq, nowMS - e.directMS})
		}
	}
	return out
}

// Announcements returns the announcements with the given content versions.
func (t *Table) Announcements(contents []uint64, nowMS int64) []Announcement {
	var out []Announcement
	for _, c := range contents {
		if e, ok := t.byContent[c]; ok {
			out = append(out, Announcement{e.upstream, e.seq, nowMS - e.heardMS})
		}
	}
	return out
}

// Merge applies another instance's digest. It returns the content versions that this
// instance doesn't know, and whether the members changed.
func (t *Table) Merge(nowMS int64, d Digest) (unknown []uint64, changed bool) {
	for _, h := range d.Heard {
		e, ok := t.byContent[h.Content]
		if !ok {
			unknown = append(unknown, h.Content)
			continue
		}
		_, c := t.merge(nowMS-limitAge(h.AgeMS), e.upstream, h.Seq)
		changed = changed || c
	}
	for _, a := range d.Full {
		_, c := t.merge(nowMS-limitAge(a.AgeMS), a.Upstream, a.Seq)
		changed = changed || c
	}
	return unknown, changed
}

// limitAge limits the age of an announcement that another instance states. It is negative if
// that instance's clock was set back, and the upstream would not be lost until this one's
// clock has reached the resulting time.
func limitAge(ageMS int64) int64 { return min(max(ageMS, 0), RetentionMS) }

// Incarnations returns the newest known incarnation of every upstream in the table.
func (t *Table) Incarnations() map[string]wire.Incarnation {
	out := make(map[string]wire.Incarnation, len(t.byID))
	for id, e := range t.byID {
		out[id] = e.upstream.Incarnation
	}
	return out
}
