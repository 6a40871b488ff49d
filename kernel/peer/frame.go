package peer

import (
	"bufio"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// MaxMessageBytes is the largest net/rpc message between processes. The largest
// legitimate messages are responses of plain services, up to 16 MiB, and
// configurations with the directory, up to 5 MiB.
const MaxMessageBytes = 24 << 20

// maxDefinitionBytes limits the type definitions on a connection, which the gob decoder keeps
// until its end, in several times that memory. Those of all services take a few kilobytes.
const maxDefinitionBytes = 64 << 10

// maxHandshakeBytes is the largest response to the CONNECT request that opens a
// connection.
const maxHandshakeBytes = 4 << 10

var (
	errMessageTooLarge = errors.New("peer: rpc message exceeds the size limit")
	errMalformedTypes  = errors.New("peer: type definitions are malformed or exceed the size limit")
)

// frameLimiter wraps a connection that carries a gob stream, of which it is the only reader. Read fails at a message
// above MaxMessageBytes before the gob decoder buffers it, since the decoder itself
// accepts messages of a gigabyte, and at type definitions above maxDefinitionBytes. Each gob
// message is preceded by its length: one byte below 128, or the negated number of length
// bytes and then these bytes in big-endian order. It begins with a type in the same encoding,
// with the sign in the lowest bit; a negative one marks a type definition.
type frameLimiter struct {
	net.Conn
	reader *bufio.Reader
	// spliced is read before what follows on the connection.
	spliced []byte
	budget  *connectionBudget
	// unclaimed is the number of bytes that the messages read since the last call of claim
	// count in the budget, and largest the length of the largest of them.
	unclaimed int64
	largest   uint64
	// timed is set while the rest of a message is read within messageTimeout.
	timed bool
	// remaining is the number of bytes left of the current message, lengthBytes the number
	// of bytes left of its length, and length the value of the length bytes read so far.
	remaining, length uint64
	lengthBytes       int
	// typeRead is set once the type of the current message was read, typeBytes the number of
	// bytes left of it, and definitionBytes the length of all type definitions so far.
	typeRead        bool
	typeBytes       int
	definitionBytes uint64
}

// newFrameLimiter returns a limiter that reads from a connection. The budget may be nil.
func newFrameLimiter(conn net.Conn, budget *connectionBudget) *frameLimiter {
	return &frameLimiter{Conn: conn, reader: bufio.NewReader(conn), budget: budget}
}

// Read implements io.Reader.
func (f *frameLimiter) Read(b []byte) (int, error) {
	if len(f.spliced) > 0 {
		n := copy(b, f.spliced)
		f.spliced = f.spliced[n:]
		return n, nil
	}
	n, err := f.reader.Read(b)
	for i := 0; i < n; {
		if f.remaining > 0 && !f.typeRead {
			if !f.readTypeByte(b[i]) {
				return 0, errMalformedTypes
			}
			f.remaining--
			i++
			continue
		}
		if f.remaining > 0 {
			skip := min(f.remaining, uint64(n-i))
			f.remaining -= skip
			i += int(skip)
			continue
		}
		if !f.readLengthByte(b[i]) {
			return 0, errMessageTooLarge
		}
		if f.remaining > 0 && !f.reserve() {
			return 0, errMessagesExceedBudget
		}
		i++
	}
	f.limitTime()
	return n, err
}

// ReadByte implements io.ByteReader. Without it the gob decoder would read ahead, and messages
// would be counted before it decodes them.
func (f *frameLimiter) ReadByte() (byte, error) {
	var b [1]byte
	for {
		if n, err := f.Read(b[:]); n > 0 || err != nil {
			return b[0], err
		}
	}
}

// reserve counts the message whose length was read.
func (f *frameLimiter) reserve() bool {
	if f.budget == nil {
		return true
	}
	if !f.budget.add(int64(f.length)) {
		return false
	}
	f.unclaimed += int64(f.length)
	f.largest = max(f.largest, f.length)
	return true
}

// limitTime sets the deadline for the rest of a large message, and clears it at the end.
func (f *frameLimiter) limitTime() {
	large := f.remaining > 0 && f.length > unreservedMessageBytes
	if large == f.timed {
		return
	}
	f.timed = large
	deadline := time.Time{}
	if large {
		deadline = time.Now().Add(messageTimeout)
	}
	_ = f.Conn.SetReadDeadline(deadline) // fails only on a closed connection, whose next read fails too
}

// claim returns the bytes that the messages since the last call count in the budget. The caller
// returns them to it. large reports whether the decoder holds the buffer of a large one.
func (f *frameLimiter) claim() (n int64, large bool) {
	n, large = f.unclaimed, f.largest > unreservedMessageBytes
	f.unclaimed, f.largest = 0, 0
	return n, large
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
		f.remaining, f.typeRead, f.typeBytes = f.length, false, 0
	}
	return f.length <= MaxMessageBytes
}

// readTypeByte processes a byte of the type that a message begins with. It returns false if
// the type is malformed or the message exceeds maxDefinitionBytes.
func (f *frameLimiter) readTypeByte(c byte) bool {
	switch {
	case f.typeBytes > 1:
		f.typeBytes--
		return true
	case f.typeBytes == 0 && c >= 128:
		f.typeBytes = int(-int8(c))
		return f.typeBytes <= 8
	}
	f.typeRead = true
	if isDefinition := c&1 == 1; isDefinition {
		f.definitionBytes += f.length
	}
	return f.definitionBytes <= maxDefinitionBytes
}
