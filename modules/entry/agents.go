package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"heatherway.dev/kernel/peer"
)

// Limits of the connections to agents. The buffers are small, since a stream
// carries a few hundred bytes per second.
const (
	agentBufferSize  = 1 << 10
	maxIdlePerAgent  = 32
	agentIdleTimeout = 30 * time.Second
)

// connPool holds the connections to agents and control instances.
type connPool struct {
	security *peer.Security
	// pooled reuses idle connections. fresh opens a new connection for each
	// stream; it serves to replace a connection that has gone silent.
	pooled *http.Transport
	fresh  *http.Transport

	mu      sync.Mutex
	clients *peer.Clients
	// idleCallers holds unused clients for calls of plain services, by address.
	// Calls do not share a client, because one that times out closes its
	// connection.
	idleCallers map[string][]*peer.Client
}

func newConnPool(s *peer.Security) *connPool {
	a := &connPool{security: s, clients: s.NewClients(), idleCallers: map[string][]*peer.Client{}}
	a.pooled, a.fresh = a.transport(), a.transport()
	a.fresh.DisableKeepAlives = true
	return a
}

func (a *connPool) transport() *http.Transport {
	return &http.Transport{
		// Dial adds TLS where it is enabled, so the URL scheme is always http.
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return a.security.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost: maxIdlePerAgent,
		IdleConnTimeout:     agentIdleTimeout,
		ReadBufferSize:      agentBufferSize,
		WriteBufferSize:     agentBufferSize,
		DisableCompression:  true,
	}
}

// client returns the shared net/rpc client for an address.
func (a *connPool) client(addr string) *peer.Client { return a.clients.To(addr) }

// acquire returns a client for an address that no other call uses.
func (a *connPool) acquire(addr string) *peer.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.idleCallers[addr]
	if len(list) == 0 {
		return a.security.NewClient(addr)
	}
	c := list[len(list)-1]
	a.idleCallers[addr] = list[:len(list)-1]
	return c
}

// release returns a client to the pool after its call has returned.
func (a *connPool) release(c *peer.Client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.idleCallers[c.Addr()]) >= maxIdlePerAgent {
		c.Close()
		return
	}
	a.idleCallers[c.Addr()] = append(a.idleCallers[c.Addr()], c)
}

// retain closes the idle clients of addresses that are not in keep.
func (a *connPool) retain(keep map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, list := range a.idleCallers {
		if !keep[addr] {
			closeAll(list)
			delete(a.idleCallers, addr)
		}
	}
}

func closeAll(list []*peer.Client) {
	for _, c := range list {
		c.Close()
	}
}

func (a *connPool) close() {
	a.pooled.CloseIdleConnections()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, list := range a.idleCallers {
		closeAll(list)
	}
	a.clients.Close()
}
