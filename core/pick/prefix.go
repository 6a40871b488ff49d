package pick

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockSize is the length of a prompt block in bytes of text.
	BlockSize = 256
	// MaxBlocks bounds the chain of one prompt; text behind it has no affinity.
	MaxBlocks = 128
	// PrefixTTL is how long an entry of the map counts without news of it.
	PrefixTTL = 60 * time.Second
	// MaxIndexedBlocks bounds the blocks remembered for one upstream: 32 upstreams of
	// a subset then take about 10 MiB.
	MaxIndexedBlocks = 4096
)

// BlockHashes returns the hash chain of a prompt: each hash covers its block and
// all blocks before it, so equal hashes mean equal prefixes. The chain starts
// from model and adapter, as engines share no cache between them. A last
// block that is not full is left out.
func BlockHashes(model, adapter, prompt string) []uint64 {
	n := min(len(prompt)/BlockSize, MaxBlocks)
	chain := make([]uint64, 0, n)
	last := xxhash.Sum64String(model + "\x00" + adapter)
	var d xxhash.Digest
	var seed [8]byte
	for i := range n {
		d.Reset()
		binary.LittleEndian.PutUint64(seed[:], last)
		_, _ = d.Write(seed[:]) // a Digest's Write never fails
		_, _ = d.WriteString(prompt[i*BlockSize : (i+1)*BlockSize])
		last = d.Sum64()
		chain = append(chain, last)
	}
	return chain
}

// CacheEvent tells what an engine has put into its prefix cache and dropped
// from it. The adapter translates engine hashes to the hashes of Blocks.
type CacheEvent struct {
	Sequence uint64
	Stored   []uint64
	Dropped  []uint64
	// Cleared tells that the engine dropped everything before Stored.
	Cleared bool
}

// PrefixIndex is the entry's map of one upstream's prefix cache: a hint that only
// affects speed, never the answer.
type PrefixIndex struct {
	expiresAt   map[uint64]time.Time
	byExpiry    []expiry // in order of time, oldest at head
	head        int
	sequence    uint64
	hasSequence bool
}

type expiry struct {
	block uint64
	until time.Time
}

// NewPrefixIndex returns an empty map.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{expiresAt: map[uint64]time.Time{}} }

// Len returns the number of blocks in the map.
func (p *PrefixIndex) Len() int { return len(p.expiresAt) }

// Add adds the blocks of an own dispatch.
func (p *PrefixIndex) Add(now time.Time, blocks []uint64) {
	for _, b := range blocks {
		p.put(now, b)
	}
}

// Apply takes a cache event. After a gap in the sequence the map may hold
// blocks whose removal was in the lost events, so it is cleared first. Events
// that arrive a second time or out of order are dropped.
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

// Clear forgets every block but not the sequence number.
func (p *PrefixIndex) Clear() {
	clear(p.expiresAt)
	p.byExpiry, p.head = p.byExpiry[:0], 0
}

// Match returns how many leading blocks of a chain are in the map.
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

// evict drops expired blocks, and the oldest beyond the bound. A block put
// again has a later place in the order, so its earlier one is passed over.
func (p *PrefixIndex) evict(now time.Time) {
	for p.head < len(p.byExpiry) {
		e := p.byExpiry[p.head]
		stale := !p.expiresAt[e.block].Equal(e.until)
		full := len(p.expiresAt) > MaxIndexedBlocks || len(p.byExpiry)-p.head > 2*MaxIndexedBlocks
		if !stale && !full && now.Before(e.until) {
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
