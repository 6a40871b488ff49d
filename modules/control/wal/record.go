package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
)

// segmentMagic is at the start of each segment and identifies the format version. It
// is followed by a random salt and the CRC32C of both. The salt is the initial value
// of every checksum of the segment, so that bytes in a payload are never parsed as a
// record.
const segmentMagic = "HWLOG\x00\x00\x01"

const (
	saltOffset         = len(segmentMagic)
	saltChecksumOffset = saltOffset + 4
	segmentHeaderBytes = saltChecksumOffset + 4
)

func appendSegmentHeader(b []byte, salt uint32) []byte {
	b = binary.LittleEndian.AppendUint32(append(b, segmentMagic...), salt)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// parseSegmentHeader returns the salt of a segment, and false if its header is invalid.
func parseSegmentHeader(b []byte) (uint32, bool) {
	if len(b) < segmentHeaderBytes || string(b[:saltOffset]) != segmentMagic {
		return 0, false
	}
	sum := binary.LittleEndian.Uint32(b[saltChecksumOffset:])
	return binary.LittleEndian.Uint32(b[saltOffset:]), sum == crc32.Checksum(b[:saltChecksumOffset], castagnoli)
}

// A record is a header and a payload. The header contains the payload's length,
// the CRC32C over length, type, group and payload, the type and the group.
const (
	recordHeaderBytes = 13
	lengthOffset      = 0
	checksumOffset    = 4
	typeOffset        = 8
	groupOffset       = 9
	maxRecordBytes    = 64 << 20
)

type recordType uint8

// Types of record.
const (
	typeEntry recordType = 1 + iota
	typeHardState
	typeSnapshotMark
	// typeBatch precedes the records of one sync. It has no payload.
	typeBatch
)

func (t recordType) known() bool { return t >= typeEntry && t <= typeBatch }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	kind    recordType
	group   Group
	payload []byte
	size    int64
}

// inPreamble reports whether the record may stand in the preamble of a segment.
func (r record) inPreamble() bool { return r.kind == typeHardState || r.kind == typeSnapshotMark }

func appendRecord(b []byte, salt uint32, kind recordType, g Group, payload []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeaderBytes)...)
	b = append(b, payload...)
	h := b[start:]
	binary.LittleEndian.PutUint32(h[lengthOffset:], uint32(len(payload)))
	h[typeOffset] = byte(kind)
	binary.LittleEndian.PutUint32(h[groupOffset:], uint32(g))
	binary.LittleEndian.PutUint32(h[checksumOffset:], checksum(salt, h[:recordHeaderBytes], payload))
	return b
}

func checksum(salt uint32, header, payload []byte) uint32 {
	c := crc32.Update(salt, castagnoli, header[lengthOffset:checksumOffset])
	c = crc32.Update(c, castagnoli, header[typeOffset:recordHeaderBytes])
	return crc32.Update(c, castagnoli, payload)
}

// parseRecord parses the record at the start of b. It returns false if the record is
// incomplete or damaged.
func parseRecord(b []byte, salt uint32) (record, bool) {
	if len(b) < recordHeaderBytes {
		return record{}, false
	}
	n := int(binary.LittleEndian.Uint32(b[lengthOffset:]))
	kind := recordType(b[typeOffset])
	if n > maxRecordBytes || !kind.known() || recordHeaderBytes+n > len(b) {
		return record{}, false
	}
	payload := b[recordHeaderBytes : recordHeaderBytes+n]
	if checksum(salt, b[:recordHeaderBytes], payload) != binary.LittleEndian.Uint32(b[checksumOffset:]) {
		return record{}, false
	}
	g := Group(binary.LittleEndian.Uint32(b[groupOffset:]))
	return record{kind: kind, group: g, payload: payload, size: int64(recordHeaderBytes + n)}, true
}

// containsBatch reports whether a batch starts anywhere in b, which distinguishes damage
// from a torn write: a batch is written only after the previous one was synced. Other
// records prove nothing, since records of the torn batch itself may have been written
// completely after a hole.
func containsBatch(b []byte, salt uint32) bool {
	for len(b) >= recordHeaderBytes {
		if rec, ok := parseRecord(b, salt); ok && rec.kind == typeBatch {
			return true
		}
		b = b[1:]
	}
	return false
}

var errShortRecord = errors.New("record is too short")

const entryHeaderBytes = 17

func encodeEntry(e raft.Entry) []byte {
	b := make([]byte, 0, entryHeaderBytes+len(e.Data))
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	return append(b, e.Data...)
}

func decodeEntry(b []byte) (raft.Entry, error) {
	if len(b) < entryHeaderBytes {
		return raft.Entry{}, errShortRecord
	}
	return raft.Entry{
		Index: binary.LittleEndian.Uint64(b),
		Term:  binary.LittleEndian.Uint64(b[8:]),
		Kind:  raft.EntryKind(b[16]),
		Data:  append([]byte(nil), b[entryHeaderBytes:]...),
	}, nil
}

const hardStateHeaderBytes = 18

func encodeHardState(h raft.HardState) []byte {
	b := binary.LittleEndian.AppendUint64(nil, h.Term)
	b = binary.LittleEndian.AppendUint64(b, h.Commit)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(h.Vote)))
	b = append(b, h.Vote...)
	return append(b, h.VoteDisk...)
}

func decodeHardState(b []byte) (raft.HardState, error) {
	if len(b) < hardStateHeaderBytes {
		return raft.HardState{}, errShortRecord
	}
	n := int(binary.LittleEndian.Uint16(b[16:]))
	rest := b[hardStateHeaderBytes:]
	if n > len(rest) {
		return raft.HardState{}, errShortRecord
	}
	return raft.HardState{
		Term:     binary.LittleEndian.Uint64(b),
		Commit:   binary.LittleEndian.Uint64(b[8:]),
		Vote:     raft.MemberID(rest[:n]),
		VoteDisk: raft.DiskID(rest[n:]),
	}, nil
}

// snapshotMark records that a snapshot covers the log up to index. An installed
// snapshot also replaces every later entry.
type snapshotMark struct {
	index   uint64
	term    uint64
	install bool
}

const snapshotMarkBytes = 17

func encodeSnapshotMark(m snapshotMark) []byte {
	b := binary.LittleEndian.AppendUint64(nil, m.index)
	b = binary.LittleEndian.AppendUint64(b, m.term)
	if m.install {
		return append(b, 1)
	}
	return append(b, 0)
}

func decodeSnapshotMark(b []byte) (snapshotMark, error) {
	if len(b) != snapshotMarkBytes {
		return snapshotMark{}, errShortRecord
	}
	return snapshotMark{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:]), b[16] == 1}, nil
}
