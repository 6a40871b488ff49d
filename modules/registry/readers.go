package registry

import (
	"sync"
	"time"

	"heatherway.dev/core/registration"
)

// readerTTL is how long a gateway counts as a follower of this instance after its last call. One
// that follows calls every MaxWatch at least.
const readerTTL = 4 * MaxWatch

// readerCounter counts the gateways. Each follows registration.SourcesPerReader instances, which
// tell each other how many follow them.
type readerCounter struct {
	mu   sync.Mutex
	seen map[string]time.Time // the last call, by reader
	// followers is the number of readers that followed this instance at countedAt.
	followers int
	countedAt time.Time
	// told holds what the other instances have told last, by address.
	told map[string]int
}

// record records a call of a reader.
func (c *readerCounter) record(now time.Time, reader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[string]time.Time{}
	}
	if reader != "" {
		c.seen[reader] = now
	}
	if now.Sub(c.countedAt) < MaxWatch {
		return // every call of Watch comes here
	}
	for id, at := range c.seen {
		if now.Sub(at) > readerTTL {
			delete(c.seen, id)
		}
	}
	c.followers, c.countedAt = len(c.seen), now
}

// recordOther records what another instance has told.
func (c *readerCounter) recordOther(addr string, followers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told == nil {
		c.told = map[string]int{}
	}
	if addr != "" && followers >= 0 {
		c.told[addr] = followers
	}
}

// current returns the number of gateways that follow this instance.
func (c *readerCounter) current() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followers
}

// gateways returns the number of gateways in the fleet. An instance that is down counts with those
// that followed it last, so the number is too high rather than too low. One that has not told
// yet is taken to have as many followers as this one.
func (c *readerCounter) gateways(others []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum, told := c.followers, map[string]int{}
	for _, addr := range others {
		count, known := c.told[addr]
		if !known {
			sum += c.followers
			continue
		}
		sum += count
		told[addr] = count
	}
	c.told = told // forgets instances that are no longer members
	return max(c.followers, (sum+registration.SourcesPerReader-1)/registration.SourcesPerReader)
}
