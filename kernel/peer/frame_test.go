package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newEchoServer(t *testing.T) (*Security, string) {
	t.Helper()
	s, err := NewSecurity(TLSSettings{Off: true}, discardLog)
	assert.NilError(t, err)
	return s, serve(t, s)
}

// Guards against a size limit that refuses or corrupts allowed messages, wherever a
// read splits them.
func TestMessagesWithinTheLimit(t *testing.T) {
	s, addr := newEchoServer(t)
	c := s.NewClient(addr)
	defer c.Close()
	for _, size := range []int{0, 1, 127, 128, 255, 4096, 70_000, MaxMessageBytes - 64} {
		reply, want := "", strings.Repeat("x", size)
		assert.NilError(t, c.Call(t.Context(), "Echo.Say", want, &reply), "%d bytes", size)
		assert.Assert(t, reply == want)
	}
}

// Guards against misread message lengths, in each of their encodings.
func TestLengthPrefixes(t *testing.T) {
	var stream []byte
	for _, size := range []int{0, 1, 127, 128, 255, 300, 70_000, 5} {
		switch {
		case size < 128:
			stream = append(stream, byte(size))
		case size < 256:
			stream = append(stream, 0xff, byte(size))
		default:
			stream = append(stream, 0xfd, byte(size>>16), byte(size>>8), byte(size))
		}
		stream = append(stream, make([]byte, size)...)
	}
	f := &frameLimiter{}
	for i, c := range stream {
		if f.remaining > 0 {
			f.remaining--
			continue
		}
		assert.Assert(t, f.readLengthByte(c), "byte %d", i)
	}
	assert.Equal(t, f.remaining, uint64(0))
	assert.Equal(t, f.lengthBytes, 0)
}

// gigabyteLength is the gob length prefix of a message of one gigabyte.
const gigabyteLength = "\xfc\x40\x00\x00\x00"

// writeUntilClosed writes blocks until the peer closes the connection.
func writeUntilClosed(c net.Conn, sent *atomic.Int64) {
	block := make([]byte, 64<<10)
	for {
		n, err := c.Write(block)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a client that exhausts the memory of a server with one message.
func TestOversizedMessageFromClient(t *testing.T) {
	_, addr := newEchoServer(t)
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "CONNECT "+RPCPath+" HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodConnect})
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, gigabyteLength)
	assert.NilError(t, err)
	var sent atomic.Int64
	writeUntilClosed(c, &sent)
	assert.Assert(t, sent.Load() < MaxMessageBytes, "%d bytes were taken", sent.Load())
}

// Guards against a server that exhausts the memory of a client with one message, in the
// response to a call or to the handshake.
func TestOversizedMessageFromServer(t *testing.T) {
	s, _ := newEchoServer(t)
	for name, first := range map[string]string{"call": "HTTP/1.0 200 Connected\r\n\r\n" + gigabyteLength, "handshake": "HTTP/1.0 200 Connected\r\nX: "} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			var sent atomic.Int64
			done := make(chan struct{})
			go func() {
				defer close(done)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				_, _ = io.WriteString(c, first)
				writeUntilClosed(c, &sent)
			}()
			c := s.NewClient(l.Addr().String())
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			begin := time.Now()
			reply := ""
			assert.Assert(t, c.Call(ctx, "Echo.Say", "x", &reply) != nil)
			assert.Assert(t, time.Since(begin) < 2*time.Second, "%v", time.Since(begin))
			c.Close()
			<-done
			assert.Assert(t, sent.Load() < MaxMessageBytes, "%d bytes were taken", sent.Load())
		})
	}
}
