package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"heatherway.dev/kernel/peer"
)

// Sizes of the connections to agents. The buffers are small, since a stream
// carries a few hundred bytes a second.
const (
	agentBufferSize  = 1 << 10
	maxIdlePerAgent  = 32
	agentIdleTimeout = 30 * time.Second
)

// connPool holds the connections to other processes.
type connPool struct {
	security *peer.Security
	// pooled keeps idle connections; fresh opens a new one for each stream, to
	// get past a silent one.
	pooled *http.Transport
	fresh  *http.Transport

	mu      sync.Mutex
	clients *peer.Clients
	// idleCallers holds clients for calls of plain services. Each call has one to
	// itself, since a call that runs into its limit drops the connection.
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
		// Dial returns a connection with TLS where it is on, so the URL scheme
		// is always http.
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

// client returns the net/rpc client of an address.
func (a *connPool) client(addr string) *peer.Client { return a.clients.To(addr) }

// acquire returns a client that nobody else uses.
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

// release gives a client back after a call that returned.
func (a *connPool) release(c *peer.Client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.idleCallers[c.Addr()]) >= maxIdlePerAgent {
		c.Close()
		return
	}
	a.idleCallers[c.Addr()] = append(a.idleCallers[c.Addr()], c)
}

// retain closes the connections to addresses that are in the subset no more.
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
