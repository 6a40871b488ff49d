package standinengine

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

const (
	// blockChars is the size of a prefix cache block in bytes.
	blockChars = 256
	// charsPerToken is the number of prompt bytes that count as one token.
	charsPerToken = 4
	// maxEvents limits the number of cache events kept for GET /cache_events.
	maxEvents = 8192
)

// Event is one line of the response to GET /cache_events.
type Event struct {
	Seq    uint64 `json:"seq"`
	Action string `json:"action"`
	Block  string `json:"block"`

	at time.Time
}

// Values of Event.Action.
const (
	actionAdd    = "add"
	actionRemove = "remove"
)

// BlockHashes returns the chained hash of every full block of a prompt: the
// FNV-1a hash of the previous block's hash (8 bytes in network byte order)
// followed by the bytes of the block.
func BlockHashes(prompt string) []string {
	var hashes []string
	var previous [8]byte
	for ; len(prompt) >= blockChars; prompt = prompt[blockChars:] {
		sum := fnv.New64a()
		_, _ = sum.Write(previous[:]) // a hash does not fail
		_, _ = sum.Write([]byte(prompt[:blockChars]))
		binary.BigEndian.PutUint64(previous[:], sum.Sum64())
		hashes = append(hashes, fmt.Sprintf("%016x", sum.Sum64()))
	}
	return hashes
}

// cache is an LRU cache of prompt blocks that records an event for every block
// added or evicted.
type cache struct {
	capacity int
	lossRate float64
	random   *rand.Rand
	order    *list.List // most recently used block first
	blocks   map[string]*list.Element
	seq      uint64
	events   []Event
}

func newCache(limit int, loss float64, seed uint64) *cache {
	c := &cache{capacity: limit, lossRate: loss, random: rand.New(rand.NewPCG(seed, 0))}
	c.clear()
	return c
}

// clear drops all blocks without recording events. It skips a sequence number,
// so that readers of the events see a gap.
func (c *cache) clear() {
	c.order, c.blocks = list.New(), map[string]*list.Element{}
	c.seq++
}

// lookupAndInsert adds the blocks and returns the number of leading blocks that
// were cached already.
func (c *cache) lookupAndInsert(hashes []string, now time.Time) int {
	hits := 0
	for i, hash := range hashes {
		if e, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(e)
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		c.recordEvent(actionAdd, hash, now)
	}
	for len(c.blocks) > c.capacity {
		hash := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, hash)
		c.recordEvent(actionRemove, hash, now)
	}
	return hits
}

func (c *cache) recordEvent(action, block string, now time.Time) {
	c.seq++
	if c.random.Float64() < c.lossRate {
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, Event{Seq: c.seq, Action: action, Block: block, at: now})
}

// eventsAfter returns the events with a higher sequence number than seq that
// happened no later than before.
func (c *cache) eventsAfter(seq uint64, before time.Time) []Event {
	var events []Event
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(before) {
			events = append(events, e)
		}
	}
	return events
}
