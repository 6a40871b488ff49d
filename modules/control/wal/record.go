package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"

	"heatherway.dev/core/raft"
)

// segmentMagic starts each segment and names the version of its format. A
// random salt follows, which starts every checksum of the segment, so that
// bytes inside a payload never read as a record, and then the CRC32C of both.
const segmentMagic = "HWLOG\x00\x00\x01"

const (
	saltAt       = len(segmentMagic)
	saltSumAt    = saltAt + 4
	segmentStart = saltSumAt + 4
)

func appendSegmentStart(b []byte, salt uint32) []byte {
	b = binary.LittleEndian.AppendUint32(append(b, segmentMagic...), salt)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// parseSegmentStart returns the salt of a segment.
func parseSegmentStart(b []byte) (uint32, bool) {
	if len(b) < segmentStart || string(b[:saltAt]) != segmentMagic {
		return 0, false
	}
	sum := binary.LittleEndian.Uint32(b[saltSumAt:])
	return binary.LittleEndian.Uint32(b[saltAt:]), sum == crc32.Checksum(b[:saltSumAt], castagnoli)
}

// A record is its header and a payload. The header holds the payload's length,
// the CRC32C over type, group, length and payload, the type and the group.
const (
	headerBytes   = 13
	lengthAt      = 0
	checksumAt    = 4
	typeAt        = 8
	groupAt       = 9
	maxRecordSize = 64 << 20
)

type recordType uint8

// Types of record.
const (
	typeEntry recordType = 1 + iota
	typeHard
	typeMark
	// typeBatch starts the records of one sync; it has no payload.
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

func appendRecord(b []byte, salt uint32, kind recordType, g Group, payload []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, headerBytes)...)
	b = append(b, payload...)
	h := b[start:]
	binary.LittleEndian.PutUint32(h[lengthAt:], uint32(len(payload)))
	h[typeAt] = byte(kind)
	binary.LittleEndian.PutUint32(h[groupAt:], uint32(g))
	binary.LittleEndian.PutUint32(h[checksumAt:], checksum(salt, h[:headerBytes], payload))
	return b
}

func checksum(salt uint32, header, payload []byte) uint32 {
	c := crc32.Update(salt, castagnoli, header[lengthAt:checksumAt])
	c = crc32.Update(c, castagnoli, header[typeAt:headerBytes])
	return crc32.Update(c, castagnoli, payload)
}

// parseRecord reads the record at the start of b, and fails if it is not there
// in full.
func parseRecord(b []byte, salt uint32) (record, bool) {
	if len(b) < headerBytes {
		return record{}, false
	}
	n := int(binary.LittleEndian.Uint32(b[lengthAt:]))
	kind := recordType(b[typeAt])
	if n > maxRecordSize || !kind.known() || headerBytes+n > len(b) {
		return record{}, false
	}
	payload := b[headerBytes : headerBytes+n]
	if checksum(salt, b[:headerBytes], payload) != binary.LittleEndian.Uint32(b[checksumAt:]) {
		return record{}, false
	}
	g := Group(binary.LittleEndian.Uint32(b[groupAt:]))
	return record{kind: kind, group: g, payload: payload, size: int64(headerBytes + n)}, true
}

// anyBatch tells whether a batch starts anywhere in b. It tells damage from a
// torn end: a batch is written after the previous one is synced. Records of the
// torn batch itself may have reached the disk whole behind a hole.
func anyBatch(b []byte, salt uint32) bool {
	for len(b) >= headerBytes {
		if rec, ok := parseRecord(b, salt); ok && rec.kind == typeBatch {
			return true
		}
		b = b[1:]
	}
	return false
}

var errShort = errors.New("record is too short")

const entryHeader = 17

func encodeEntry(e raft.Entry) []byte {
	b := make([]byte, 0, entryHeader+len(e.Data))
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = append(b, byte(e.Kind))
	return append(b, e.Data...)
}

func decodeEntry(b []byte) (raft.Entry, error) {
	if len(b) < entryHeader {
		return raft.Entry{}, errShort
	}
	return raft.Entry{
		Index: binary.LittleEndian.Uint64(b),
		Term:  binary.LittleEndian.Uint64(b[8:]),
		Kind:  raft.EntryKind(b[16]),
		Data:  append([]byte(nil), b[entryHeader:]...),
	}, nil
}

const hardHeader = 18

func encodeHard(h raft.HardState) []byte {
	b := binary.LittleEndian.AppendUint64(nil, h.Term)
	b = binary.LittleEndian.AppendUint64(b, h.Commit)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(h.Vote)))
	b = append(b, h.Vote...)
	return append(b, h.VoteDisk...)
}

func decodeHard(b []byte) (raft.HardState, error) {
	if len(b) < hardHeader {
		return raft.HardState{}, errShort
	}
	n := int(binary.LittleEndian.Uint16(b[16:]))
	rest := b[hardHeader:]
	if n > len(rest) {
		return raft.HardState{}, errShort
	}
	return raft.HardState{
		Term:     binary.LittleEndian.Uint64(b),
		Commit:   binary.LittleEndian.Uint64(b[8:]),
		Vote:     raft.MemberID(rest[:n]),
		VoteDisk: raft.DiskID(rest[n:]),
	}, nil
}

// mark says that a snapshot covers the log up to index. An installed snapshot
// also replaces every later entry.
type mark struct {
	index   uint64
	term    uint64
	install bool
}

const markBytes = 17

func encodeMark(m mark) []byte {
	b := binary.LittleEndian.AppendUint64(nil, m.index)
	b = binary.LittleEndian.AppendUint64(b, m.term)
	if m.install {
		return append(b, 1)
	}
	return append(b, 0)
}

func decodeMark(b []byte) (mark, error) {
	if len(b) != markBytes {
		return mark{}, errShort
	}
	return mark{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:]), b[16] == 1}, nil
}
