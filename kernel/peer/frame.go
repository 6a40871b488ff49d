package peer

import (
	"net"

	"github.com/go-faster/errors"
)

// MaxMessageBytes bounds one message between processes. The largest are answers of
// plain services, 16 MiB, and configurations with the directory, 5 MiB.
const MaxMessageBytes = 24 << 20

// maxHandshakeBytes bounds the answer to the request that opens a connection.
const maxHandshakeBytes = 4 << 10

var errMessageTooLarge = errors.New("peer: a message exceeds its limit")

// frameLimiter passes a gob stream on and fails at a message that is too large, before
// it is read: the decoder itself would take messages of a gigabyte. Each message has
// its length in front: one byte below 128, or the negated count of the bytes that
// follow, the most significant first.
type frameLimiter struct {
	net.Conn
	// remaining is what is left of the message, lengthBytes what is left of its length, and length
	// what of that has been read.
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

// readLengthByte takes a byte of a length in. It returns false when the length exceeds the
// limit.
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
