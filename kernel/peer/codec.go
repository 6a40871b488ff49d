package peer

import (
	"bufio"
	"encoding/gob"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
)

// gobCodec reads and writes the gob messages of net/rpc on one connection.
type gobCodec struct {
	limiter *frameLimiter
	decoder *gob.Decoder
	encoder *gob.Encoder
	writer  *bufio.Writer
}

func newGobCodec(limiter *frameLimiter) gobCodec {
	w := bufio.NewWriter(limiter.Conn)
	return gobCodec{limiter, gob.NewDecoder(limiter), gob.NewEncoder(w), w}
}

// zeroMessage is the gob message of the integer zero.
var zeroMessage = []byte{3, 4, 0, 0}

// discarded makes a decoder discard the message that it reads.
var discarded reflect.Value

// readBody decodes a body, and returns the bytes that it and its header count in the budget.
func (c *gobCodec) readBody(body any) (int64, error) {
	err := c.decoder.Decode(body)
	n, large := c.limiter.claim()
	if large {
		// The decoder keeps the buffer of a message until it reads the next one.
		c.limiter.spliced = zeroMessage
		if dropErr := c.decoder.DecodeValue(discarded); err == nil {
			err = dropErr
		}
	}
	return n, err
}

// write writes a header and a body.
func (c *gobCodec) write(header, body any) error {
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// Close implements rpc.ServerCodec and rpc.ClientCodec.
func (c *gobCodec) Close() error {
	c.limiter.budget.reservation.Close()
	return c.limiter.Conn.Close()
}

// clientCodec is the gob codec of net/rpc clients.
type clientCodec struct{ gobCodec }

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.decoder.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	n, err := c.readBody(body)
	c.limiter.budget.remove(n)
	return err
}

// countingCodec is the gob codec of net/rpc servers. It counts the calls that it has read and
// not answered, since net/rpc writes a response only after the method has returned.
type countingCodec struct {
	gobCodec
	unanswered *atomic.Int64

	mu sync.Mutex
	// reading is the number of the call whose body is read next, and held what the calls without
	// a response count in the budget. A faulty client may use a number twice.
	reading uint64
	held    map[uint64][]int64
}

func newCountingCodec(limiter *frameLimiter, unanswered *atomic.Int64) *countingCodec {
	return &countingCodec{gobCodec: newGobCodec(limiter), unanswered: unanswered, held: map[uint64][]int64{}}
}

// ReadRequestHeader implements rpc.ServerCodec. net/rpc answers each request whose header it
// could read.
func (c *countingCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.decoder.Decode(r); err != nil {
		return err
	}
	if !c.limiter.budget.add(callBytes) {
		return errMessagesExceedBudget
	}
	c.reading = r.Seq
	c.unanswered.Add(1)
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *countingCodec) ReadRequestBody(body any) error {
	n, err := c.readBody(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[c.reading] = append(c.held[c.reading], n+callBytes)
	return err
}

// release returns what a call counts in the budget.
func (c *countingCodec) release(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.held[call]
	if len(list) == 0 {
		return
	}
	c.limiter.budget.remove(list[0])
	if len(list) == 1 {
		delete(c.held, call)
		return
	}
	c.held[call] = list[1:]
}

// WriteResponse implements rpc.ServerCodec. After an error the stream cannot be continued.
func (c *countingCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.unanswered.Add(-1)
	defer c.release(r.Seq)
	err := c.write(r, body)
	if err != nil {
		_ = c.limiter.Conn.Close()
	}
	return err
}
