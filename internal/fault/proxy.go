package fault

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Proxy forwards TCP connections to a target and injects faults into them:
// open connections can go silent for good while new ones work, as behind a NAT
// device or firewall that has lost its connection state; connections can also
// be reset, delayed, or forwarded in one direction only.
type Proxy struct {
	target string
	l      net.Listener
	// epoch counts calls of Silence; a connection is forwarded only while the
	// epoch in which it was opened is current.
	epoch    atomic.Int32
	refusing atomic.Bool
	// delay is the time by which forwarding is delayed after each read, in
	// nanoseconds.
	delay atomic.Int64
	// dropReplies drops the bytes that the target sends.
	dropReplies atomic.Bool
	received    atomic.Int64
	mu          sync.Mutex
	conns       []net.Conn
}

// NewProxy listens on an address and forwards connections to the target.
func NewProxy(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, l: l}
	go p.serve()
	return p, nil
}

// Addr returns the address to connect to.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// BytesReceived returns the number of bytes received, both directions together.
func (p *Proxy) BytesReceived() int64 { return p.received.Load() }

// Close ends the listener and every connection.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.Reset()
}

// Silence stops forwarding on every open connection for good, without closing
// it.
func (p *Proxy) Silence() { p.epoch.Add(1) }

// RefuseConnections sets whether new connections are closed at once.
func (p *Proxy) RefuseConnections(on bool) { p.refusing.Store(on) }

// Delay delays forwarding in both directions.
func (p *Proxy) Delay(d time.Duration) { p.delay.Store(int64(d)) }

// DropReplies sets whether the bytes that the target sends are dropped.
func (p *Proxy) DropReplies(on bool) { p.dropReplies.Store(on) }

// Reset closes every connection with a TCP RST.
func (p *Proxy) Reset() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) serve() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", p.target)
		if err != nil || p.refusing.Load() {
			_ = c.Close()
			if err == nil {
				_ = targetConn.Close()
			}
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, c, targetConn)
		p.mu.Unlock()
		epoch := p.epoch.Load()
		go p.forward(c, targetConn, epoch, false)
		go p.forward(targetConn, c, epoch, true)
	}
}

// forward copies one direction. A silenced connection is neither read nor closed.
func (p *Proxy) forward(from, to net.Conn, epoch int32, answers bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		p.received.Add(int64(n))
		if p.epoch.Load() != epoch {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if n > 0 && !(answers && p.dropReplies.Load()) {
			if _, werr := to.Write(b[:n]); werr != nil {
				_ = from.Close() // tells the sender that its peer is gone
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			} else {
				_ = to.Close()
			}
			return
		}
	}
}
