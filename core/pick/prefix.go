package pick

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockSize is the length of a prompt block in bytes of text.
	BlockSize = 256
	// MaxBlocks bounds the hash chain of one prompt; text beyond it does not
	// influence the choice.
	MaxBlocks = 128
	// PrefixTTL is how long a block stays in the index after it was last added.
	PrefixTTL = 60 * time.Second
	// MaxIndexedBlocks bounds the number of blocks indexed per upstream, so
	// that the 32 upstreams of a subset take about 10 MiB.
	MaxIndexedBlocks = 4096
)

// BlockHashes returns the hash chain of a prompt. Each hash covers its block
// and all blocks before it, so equal hashes mean equal prefixes. The chain is
// seeded with model and adapter, because engines do not share cached blocks
// between them. A trailing partial block is omitted.
func BlockHashes(model, adapter, prompt string) []uint64 {
	n := min(len(prompt)/BlockSize, MaxBlocks)
	chain := make([]uint64, 0, n)
	last := xxhash.Sum64String(model + "\x00" + adapter)
	var d xxhash.Digest
	var seed [8]byte
	for i := range n {
		d.Reset()
		binary.LittleEndian.PutUint64(seed[:], last)
		_, _ = d.Write(seed[:]) // Digest.Write never returns an error
		_, _ = d.WriteString(prompt[i*BlockSize : (i+1)*BlockSize])
		last = d.Sum64()
		chain = append(chain, last)
	}
	return chain
}

// CacheEvent reports which blocks an engine has added to its prefix cache and
// which it has evicted. The hashes are those of BlockHashes; the sender of the
// event translates the engine's own hashes to them.
type CacheEvent struct {
	Sequence uint64
	Stored   []uint64
	Dropped  []uint64
	// Cleared is set when the engine evicted all blocks before adding those in
	// Stored.
	Cleared bool
}

// PrefixIndex tracks which prompt blocks one upstream is expected to have in
// its prefix cache. An error in it affects latency only, never the answer.
type PrefixIndex struct {
	expiresAt   map[uint64]time.Time
	byExpiry    []expiry // ordered by time; the oldest is at head
	head        int
	sequence    uint64
	hasSequence bool
}

type expiry struct {
	block     uint64
	expiresAt time.Time
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{expiresAt: map[uint64]time.Time{}} }

// Len returns the number of blocks in the index.
func (p *PrefixIndex) Len() int { return len(p.expiresAt) }

// Add records the blocks of a prompt that is sent to the upstream.
func (p *PrefixIndex) Add(now time.Time, blocks []uint64) {
	for _, b := range blocks {
		p.put(now, b)
	}
}

// Apply applies a cache event. After a gap in the sequence numbers the index
// may hold blocks whose eviction was reported in a lost event, so it is cleared
// first. Duplicate and reordered events are ignored.
func (p *PrefixIndex) Apply(now time.Time, e CacheEvent) {
	if p.hasSequence && e.Sequence <= p.sequence {
		return
	}
	if p.hasSequence && e.Sequence != p.sequence+1 || e.Cleared {
		p.Clear()
	}
	p.hasSequence, p.sequence = true, e.Sequence
	for _, b := range e.Dropped {
		delete(p.expiresAt, b)
	}
	p.Add(now, e.Stored)
}

// Clear removes all blocks and keeps the sequence number.
func (p *PrefixIndex) Clear() {
	clear(p.expiresAt)
	p.byExpiry, p.head = p.byExpiry[:0], 0
}

// Match returns the number of leading blocks of a chain that are in the index.
func (p *PrefixIndex) Match(now time.Time, blocks []uint64) int {
	for i, b := range blocks {
		if until, ok := p.expiresAt[b]; !ok || !now.Before(until) {
			return i
		}
	}
	return len(blocks)
}

func (p *PrefixIndex) put(now time.Time, block uint64) {
	until := now.Add(PrefixTTL)
	if have, ok := p.expiresAt[block]; ok && !until.After(have) {
		return
	}
	p.expiresAt[block] = until
	p.byExpiry = append(p.byExpiry, expiry{block, until})
	p.evict(now)
}

// evict removes expired blocks, and the oldest ones beyond the size bound. A
// block that was added again also has a later entry in byExpiry; its earlier
// entry is skipped.
func (p *PrefixIndex) evict(now time.Time) {
	for p.head < len(p.byExpiry) {
		e := p.byExpiry[p.head]
		stale := !p.expiresAt[e.block].Equal(e.expiresAt)
		full := len(p.expiresAt) > MaxIndexedBlocks || len(p.byExpiry)-p.head > 2*MaxIndexedBlocks
		if !stale && !full && now.Before(e.expiresAt) {
			break
		}
		if !stale {
			delete(p.expiresAt, e.block)
		}
		p.head++
	}
	if p.head > MaxIndexedBlocks {
		p.byExpiry = append(p.byExpiry[:0], p.byExpiry[p.head:]...)
		p.head = 0
	}
}
