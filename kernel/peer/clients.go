package peer

import "sync"

// Clients holds one client per address. It is safe for concurrent use.
type Clients struct {
	security *Security
	mu       sync.Mutex
	byAddr   map[string]*Client
}

// NewClients returns an empty set of clients.
func (s *Security) NewClients() *Clients {
	return &Clients{security: s, byAddr: map[string]*Client{}}
}

// To returns the client for an address, and creates it on first use.
func (c *Clients) To(addr string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl, ok := c.byAddr[addr]
	if !ok {
		cl = c.security.NewClient(addr)
		c.byAddr[addr] = cl
	}
	return cl
}

// Close closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.byAddr {
		cl.Close()
	}
}
