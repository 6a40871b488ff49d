package peer

import (
	"net"

	"github.com/go-faster/errors"
)

// MaxMessageBytes is the largest net/rpc message between processes. The largest
// legitimate messages are responses of plain services, up to 16 MiB, and
// configurations with the directory, up to 5 MiB.
const MaxMessageBytes = 24 << 20

// maxHandshakeBytes is the largest response to the CONNECT request that opens a
// connection.
const maxHandshakeBytes = 4 << 10

var errMessageTooLarge = errors.New("peer: rpc message exceeds the size limit")

// frameLimiter wraps a connection that carries a gob stream. Read fails at a message
// above MaxMessageBytes before the gob decoder buffers it, since the decoder itself
// accepts messages of a gigabyte. Each gob message is preceded by its length: one byte
// below 128, or the negated number of length bytes and then these bytes in big-endian
// order.
type frameLimiter struct {
	net.Conn
	// remaining is the number of bytes left of the current message, lengthBytes the number
	// of bytes left of its length, and length the value of the length bytes read so far.
	remaining, length uint64
	lengthBytes       int
}

// Read implements io.Reader.
func (f *frameLimiter) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	for i := 0; i < n; {
		if f.remaining > 0 {
			skip := min(f.remaining, uint64(n-i))
			f.remaining -= skip
			i += int(skip)
			continue
		}
		if !f.readLengthByte(b[i]) {
			return 0, errMessageTooLarge
		}
		i++
	}
	return n, err
}

// readLengthByte processes a byte of a message length. It returns false if the length
// exceeds MaxMessageBytes or is malformed.
func (f *frameLimiter) readLengthByte(c byte) bool {
	switch {
	case f.lengthBytes > 0:
		f.length = f.length<<8 | uint64(c)
		f.lengthBytes--
	case c < 128:
		f.length = uint64(c)
	default:
		f.length, f.lengthBytes = 0, int(-int8(c))
		return f.lengthBytes <= 8
	}
	if f.lengthBytes == 0 {
		f.remaining = f.length
	}
	return f.length <= MaxMessageBytes
}
