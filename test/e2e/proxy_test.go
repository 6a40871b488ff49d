package e2e

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// proxy passes TCP connections on to a target. Its connections can go silent
// for good while new ones work, as behind a device that has lost track of them.
type proxy struct {
	target string
	l      net.Listener
	// epoch counts the silences; a connection forwards while its own is current.
	epoch atomic.Int32
	// cut refuses new connections too.
	cut   atomic.Bool
	bytes atomic.Int64 // both ways
	mu    sync.Mutex
	conns []net.Conn
}

func newProxy(t *testing.T, listen, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	assert.NilError(t, err)
	p := &proxy{target: target, l: l}
	go p.serve()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) serve() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", p.target)
		if err != nil || p.cut.Load() {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, c, up)
		p.mu.Unlock()
		epoch := p.epoch.Load()
		go p.pump(c, up, epoch)
		go p.pump(up, c, epoch)
	}
}

// pump copies one direction. A silenced connection is neither read nor closed.
func (p *proxy) pump(from, to net.Conn, epoch int32) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		p.bytes.Add(int64(n))
		if p.epoch.Load() != epoch {
			return
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// silence stops every open connection for good.
func (p *proxy) silence() { p.epoch.Add(1) }
