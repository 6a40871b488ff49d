package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/raft"
	"heatherway.dev/heatherway/internal/freeport"
	"heatherway.dev/kernel/peer"
)

// ledger is a state machine that stores every entry, so that tests detect lost or
// reordered ones. An entry that was proposed again after an unknown outcome is stored
// once. Applying an index twice panics.
type ledger struct {
	mu      sync.Mutex
	entries []string
	index   uint64
}

func (l *ledger) Apply(index uint64, entry []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index <= l.index {
		panic(fmt.Sprintf("index %d applied after %d", index, l.index))
	}
	l.index = index
	if !slices.Contains(l.entries, string(entry)) {
		l.entries = append(l.entries, string(entry))
	}
	return binary.AppendUvarint(nil, uint64(len(l.entries)))
}

func (l *ledger) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b []byte
	for _, e := range l.entries {
		b = binary.AppendUvarint(b, uint64(len(e)))
		b = append(b, e...)
	}
	return b
}

func (l *ledger) Restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = nil
	for len(b) > 0 {
		n, w := binary.Uvarint(b)
		l.entries = append(l.entries, string(b[w:w+int(n)]))
		b = b[w+int(n):]
	}
	return nil
}

func (l *ledger) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.entries...)
}

// cluster is a set of instances on loopback addresses.
type cluster struct {
	t      testing.TB
	peers  []Peer
	folder string
	groups int
	adjust func(*Options)
	nodes  map[raft.MemberID]*instance
}

type instance struct {
	*Replica
	machines map[Group]*ledger
	server   *http.Server
	listener *trackedListener
}

// trackedListener also closes the accepted connections when it is closed, as the end
// of a process does. http.Server does not track connections that net/rpc has hijacked.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*trackedConn
}

// trackedConn can be made silent: it stays open but discards what it receives.
type trackedConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *trackedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (l *trackedListener) silenceConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
}

func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *trackedListener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	return err
}

var clusters atomic.Uint32

// loopbackHost returns a separate loopback address for each cluster. Outgoing
// connections use 127.0.0.1, so none of them occupies the port of a killed instance.
func loopbackHost() string {
	n := clusters.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n/250%250, 1+n%250)
}

func newCluster(t testing.TB, size, groups int, adjust func(*Options)) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), groups: groups, adjust: adjust, nodes: map[raft.MemberID]*instance{}}
	host := loopbackHost()
	for i := range size {
		l, err := freeport.ListenOn(host)
		assert.NilError(t, err)
		c.peers = append(c.peers, Peer{ID: raft.MemberID(fmt.Sprintf("control-%d", i+1)), Addr: l.Addr().String()})
		assert.NilError(t, l.Close())
	}
	for _, p := range c.peers {
		c.start(p)
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.kill(id)
		}
	})
	return c
}

func (c *cluster) path(id raft.MemberID) string { return filepath.Join(c.folder, string(id)) }

// options returns the options of an instance, without its state machines.
func (c *cluster) options(p Peer) Options {
	c.t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	security, err := peer.NewSecurity(peer.TLSSettings{Off: true}, log)
	assert.NilError(c.t, err)
	return Options{Self: p.ID, Peers: c.peers, Folder: c.path(p.ID), Machines: map[Group]StateMachine{}, Security: security, Log: log}
}

func (c *cluster) start(p Peer) *instance {
	c.t.Helper()
	n := &instance{machines: map[Group]*ledger{}}
	o := c.options(p)
	for g := range Group(c.groups) {
		n.machines[g] = &ledger{}
		o.Machines[g] = n.machines[g]
	}
	if c.adjust != nil {
		c.adjust(&o)
	}
	var err error
	n.Replica, err = Open(o)
	assert.NilError(c.t, err)
	services := func(peer.Roles) map[string]any { return map[string]any{ServiceName: n.Service()} }
	n.server = &http.Server{Handler: &peer.Handler{Security: o.Security, Services: services}}
	l, err := net.Listen("tcp", p.Addr)
	assert.NilError(c.t, err)
	n.listener = &trackedListener{Listener: l}
	go func() { _ = n.server.Serve(n.listener) }()
	assert.NilError(c.t, n.Start(context.Background()))
	c.nodes[p.ID] = n
	return n
}

func (c *cluster) kill(id raft.MemberID) {
	n := c.nodes[id]
	delete(c.nodes, id)
	_ = n.listener.Close()
	_ = n.server.Close()
	_ = n.Kill()
}

func (c *cluster) peer(id raft.MemberID) Peer {
	for _, p := range c.peers {
		if p.ID == id {
			return p
		}
	}
	c.t.Fatalf("no peer %s", id)
	return Peer{}
}

// eventually waits until a condition is met.
func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			for id, n := range c.nodes {
				c.t.Logf("%s: %+v", id, n.Status())
			}
			c.t.Fatalf("condition not met within 20 s: %s", description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *cluster) leader(g Group) *instance {
	for _, n := range c.nodes {
		if n.Leader(g).Self {
			return n
		}
	}
	return nil
}

// hasVoters reports whether the leader of each group knows the given number of voters,
// all with their current disk identities.
func (c *cluster) hasVoters(voters int) bool {
	for g := range Group(c.groups) {
		l := c.leader(g)
		if l == nil {
			return false
		}
		count := 0
		for _, m := range l.Status().Groups[g].Membership.Voters() {
			if n := c.nodes[m.ID]; n != nil && n.Identity().Disk == m.Disk {
				count++
			}
		}
		if count != voters {
			return false
		}
	}
	return true
}

// propose retries a proposal until a leader has applied it.
func (c *cluster) propose(g Group, data string) {
	c.t.Helper()
	c.eventually("proposal "+data, func() bool {
		l := c.leader(g)
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, _, err := l.Propose(ctx, g, []byte(data))
		return err == nil
	})
}
