package origin

import "time"

const (
	// defaultTTL is how long a gateway trusts a default version that it was told. The owner
	// tells it only while upstreams of that version are known, and keeps it for
	// DefaultRetention after that.
	defaultTTL = time.Minute
	// retryDelay is how long a gateway does not ask the owner of the ledger after a failure. A
	// new leader is elected within a second.
	retryDelay = 400 * time.Millisecond
	// maxOwn bounds the streams that a gateway remembers.
	maxOwn = 8192
)

// Cache is what a gateway knows of the ledger: the default versions, and the streams that it has
// relayed itself.
type Cache struct {
	defaults  map[string]knownDefault // by service
	own       map[Key]string          // version by stream
	ownOrder  []Key                   // oldest first
	downUntil time.Time
}

type knownDefault struct {
	version string
	at      time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{defaults: map[string]knownDefault{}, own: map[Key]string{}} }

// Told records the answer of the owner of the ledger: the default version of a service, empty if
// none may be relied on.
func (c *Cache) Told(now time.Time, service, version string) {
	c.downUntil = time.Time{}
	if version != "" {
		c.defaults[service] = knownDefault{version, now}
	}
}

// Failed records that the owner of the ledger did not answer.
func (c *Cache) Failed(now time.Time) { c.downUntil = now.Add(retryDelay) }

// Down reports whether the owner of the ledger has just failed to answer.
func (c *Cache) Down(now time.Time) bool { return now.Before(c.downUntil) }

// Default returns the default version of a service, empty if it is not known for certain.
func (c *Cache) Default(now time.Time, service string) string {
	if d := c.defaults[service]; now.Sub(d.at) < defaultTTL {
		return d.version
	}
	return ""
}

// LastDefault returns the default version of a service that was told last, however long ago.
func (c *Cache) LastDefault(service string) string { return c.defaults[service].version }

// NeedsRecord reports whether a stream that a version begins has to be recorded before its caller
// receives anything. recorded is the version that is recorded for it already, empty for none.
func (c *Cache) NeedsRecord(now time.Time, service, version, recorded string) bool {
	if recorded != "" {
		return recorded != version
	}
	return version != c.Default(now, service)
}

// Relayed records which version began a stream that this gateway relays.
func (c *Cache) Relayed(key Key, version string) {
	if _, known := c.own[key]; !known {
		if len(c.ownOrder) == maxOwn {
			delete(c.own, c.ownOrder[0])
			c.ownOrder = append(c.ownOrder[:0], c.ownOrder[1:]...)
		}
		c.ownOrder = append(c.ownOrder, key)
	}
	c.own[key] = version
}

// Version returns the version that began a stream that this gateway has relayed.
func (c *Cache) Version(key Key) (version string, known bool) {
	version, known = c.own[key]
	return version, known
}
