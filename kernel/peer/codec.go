package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"
)

// countingCodec is the gob codec of net/rpc servers. It counts the calls that it has read and
// not answered, since net/rpc writes a response only after the method has returned.
type countingCodec struct {
	conn       io.ReadWriteCloser
	decoder    *gob.Decoder
	encoder    *gob.Encoder
	writer     *bufio.Writer
	unanswered *atomic.Int64
}

func newCountingCodec(conn io.ReadWriteCloser, unanswered *atomic.Int64) *countingCodec {
	w := bufio.NewWriter(conn)
	return &countingCodec{conn, gob.NewDecoder(conn), gob.NewEncoder(w), w, unanswered}
}

// ReadRequestHeader implements rpc.ServerCodec. net/rpc answers each request whose header it
// could read.
func (c *countingCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.decoder.Decode(r); err != nil {
		return err
	}
	c.unanswered.Add(1)
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *countingCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec. After an error the stream cannot be continued.
func (c *countingCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.unanswered.Add(-1)
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *countingCodec) Close() error { return c.conn.Close() }
