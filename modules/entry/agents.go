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
	agentBuffer     = 1 << 10
	agentIdlePerOne = 32
	agentIdleLimit  = 30 * time.Second
)

// agents holds the connections to other processes.
type agents struct {
	security *peer.Security
	// pooled keeps idle connections; fresh opens a new one for each stream, to
	// get past a silent one.
	pooled *http.Transport
	fresh  *http.Transport

	mu      sync.Mutex
	clients *peer.Clients
	// idle holds clients for calls of plain services. Each call has one to
	// itself, since a call that runs into its limit drops the connection.
	idle map[string][]*peer.Client
}

func newAgents(s *peer.Security) *agents {
	a := &agents{security: s, clients: s.NewClients(), idle: map[string][]*peer.Client{}}
	a.pooled, a.fresh = a.transport(), a.transport()
	a.fresh.DisableKeepAlives = true
	return a
}

func (a *agents) transport() *http.Transport {
	return &http.Transport{
		// Dial returns a connection with TLS where it is on, so the URL scheme
		// is always http.
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return a.security.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost: agentIdlePerOne,
		IdleConnTimeout:     agentIdleLimit,
		ReadBufferSize:      agentBuffer,
		WriteBufferSize:     agentBuffer,
		DisableCompression:  true,
	}
}

// client returns the net/rpc client of an address.
func (a *agents) client(addr string) *peer.Client { return a.clients.To(addr) }

// take returns a client that nobody else uses.
func (a *agents) take(addr string) *peer.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.idle[addr]
	if len(list) == 0 {
		return a.security.NewClient(addr)
	}
	c := list[len(list)-1]
	a.idle[addr] = list[:len(list)-1]
	return c
}

// release gives a client back after a call that returned.
func (a *agents) release(c *peer.Client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.idle[c.Addr()]) >= agentIdlePerOne {
		c.Close()
		return
	}
	a.idle[c.Addr()] = append(a.idle[c.Addr()], c)
}

// forget closes the connections to addresses that are in the subset no more.
func (a *agents) forget(keep map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr, list := range a.idle {
		if !keep[addr] {
			closeAll(list)
			delete(a.idle, addr)
		}
	}
}

func closeAll(list []*peer.Client) {
	for _, c := range list {
		c.Close()
	}
}

func (a *agents) close() {
	a.pooled.CloseIdleConnections()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, list := range a.idle {
		closeAll(list)
	}
	a.clients.Close()
}
