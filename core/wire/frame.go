package wire

import (
	"bufio"
	"io"
	"slices"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"heatherway.dev/kernel/result"
)

// FrameKind is the type of a frame.
type FrameKind uint8

// The kinds of frame.
const (
	// FrameQueued is the first frame of a stream. After an attach with Prefix
	// set, Text and Tokens hold the output before Offset.
	FrameQueued FrameKind = iota + 1
	// FrameStarted reports that the engine runs the request.
	FrameStarted
	// FrameToken carries decoded text.
	FrameToken
	// FrameHeartbeat shows that the connection and the agent are alive.
	FrameHeartbeat
	// FrameEnd is the last frame of a complete generation.
	FrameEnd
	// FrameFail ends the attempt with a result code.
	FrameFail
	// FrameRedirect reports that another agent, named in Text, holds the
	// generation of this idempotency key; Generation is set.
	FrameRedirect
)

// Frame is one message of a generation stream.
type Frame struct {
	Kind    FrameKind
	Attempt uint32
	// Offset is the index of the first token of the frame within the
	// generation; in FrameEnd and FrameFail it is the number of tokens.
	Offset uint64
	Tokens uint32
	Text   string
	// Finish is the finish reason in FrameEnd, and the error message in FrameFail.
	Finish string
	// Code, Ran and RetryMS describe the failure in FrameFail: the result code,
	// whether the request may have run, and the delay before a retry, zero for
	// none.
	Code    result.Code
	Ran     result.Ran
	RetryMS uint32
	// Generation names the generation in FrameQueued, FrameRedirect and FrameFail, one
	// of which is the first frame of a response.
	Generation ID
	// PromptTokens and CachedTokens are the counts reported by the engine, in
	// FrameStarted and FrameEnd.
	PromptTokens uint32
	CachedTokens uint32
	// Revision is the newest configuration revision that the agent knows.
	Revision uint64
	// Load is present in every kind except FrameToken.
	Load Load
}

// MaxFrame bounds the size of one frame. The largest frames are those with the
// prefix of an attach.
const MaxFrame = 8 << 20

// detailFields is the number of fields that appendDetails writes before the load
// array. A token frame has the 5 fields before them, and any other frame
// detailFields+6: those 5, the details and the load array.
const detailFields = 9

// AppendFrame appends the length of the encoded frame and the frame itself.
func AppendFrame(b []byte, f *Frame) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	if f.Kind == FrameToken {
		b = msgp.AppendArrayHeader(b, 5)
	} else {
		b = msgp.AppendArrayHeader(b, detailFields+6)
	}
	b = msgp.AppendUint8(b, uint8(f.Kind))
	b = msgp.AppendUint32(b, f.Attempt)
	b = msgp.AppendUint64(b, f.Offset)
	b = msgp.AppendUint32(b, f.Tokens)
	b = msgp.AppendString(b, f.Text)
	if f.Kind != FrameToken {
		b = appendDetails(b, f)
	}
	n := len(b) - start - 4
	b[start], b[start+1], b[start+2], b[start+3] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
	return b
}

func appendDetails(b []byte, f *Frame) []byte {
	b = msgp.AppendString(b, f.Finish)
	b = msgp.AppendInt(b, int(f.Code))
	b = msgp.AppendUint8(b, uint8(f.Ran))
	b = msgp.AppendUint32(b, f.RetryMS)
	b = msgp.AppendString(b, string(f.Generation))
	b = msgp.AppendUint32(b, f.PromptTokens)
	b = msgp.AppendUint32(b, f.CachedTokens)
	b = msgp.AppendUint64(b, f.Revision)
	b = msgp.AppendBool(b, f.Load.Leaving)
	b = msgp.AppendArrayHeader(b, 2+2*ClassCount)
	b = msgp.AppendUint32(b, f.Load.Slots)
	b = msgp.AppendUint32(b, f.Load.Running)
	for c := range ClassCount {
		b = msgp.AppendUint32(b, f.Load.Queued[c])
		b = msgp.AppendUint32(b, f.Load.WaitMS[c])
	}
	return b
}

// DecodeFrame decodes one frame from b, which excludes the length prefix.
func DecodeFrame(b []byte) (Frame, error) {
	var f Frame
	err := decodeFrame(b, &f)
	return f, err
}

func decodeFrame(b []byte, f *Frame) error {
	d := decoder{b: b}
	*f = Frame{}
	n := d.array()
	f.Kind = FrameKind(d.uint8())
	f.Attempt = d.uint32()
	f.Offset = d.uint64()
	f.Tokens = d.uint32()
	f.Text = d.string()
	if f.Kind != FrameToken {
		d.details(f)
	}
	if d.err != nil {
		*f = Frame{}
		return errors.Wrap(d.err, "decode frame")
	}
	if len(d.b) != 0 || f.Kind < FrameQueued || f.Kind > FrameRedirect ||
		n != 5 && f.Kind == FrameToken || n != detailFields+6 && f.Kind != FrameToken {
		err := errors.Errorf("malformed frame of kind %d with %d fields", f.Kind, n)
		*f = Frame{}
		return err
	}
	return nil
}

// decoder reads MessagePack values and retains the first error.
type decoder struct {
	b   []byte
	err error
}

func read[T any](d *decoder, fn func([]byte) (T, []byte, error)) T {
	var zero T
	if d.err != nil {
		return zero
	}
	v, rest, err := fn(d.b)
	if err != nil {
		d.err = err
		return zero
	}
	d.b = rest
	return v
}

func (d *decoder) array() uint32  { return read(d, msgp.ReadArrayHeaderBytes) }
func (d *decoder) uint8() uint8   { return read(d, msgp.ReadUint8Bytes) }
func (d *decoder) uint32() uint32 { return read(d, msgp.ReadUint32Bytes) }
func (d *decoder) uint64() uint64 { return read(d, msgp.ReadUint64Bytes) }
func (d *decoder) string() string { return read(d, msgp.ReadStringBytes) }

func (d *decoder) details(f *Frame) {
	f.Finish = d.string()
	f.Code = result.Code(read(d, msgp.ReadIntBytes))
	f.Ran = result.Ran(d.uint8())
	f.RetryMS = d.uint32()
	f.Generation = ID(d.string())
	f.PromptTokens = d.uint32()
	f.CachedTokens = d.uint32()
	f.Revision = d.uint64()
	f.Load.Leaving = read(d, msgp.ReadBoolBytes)
	if n := d.array(); d.err == nil && n != 2+2*ClassCount {
		d.err = errors.Errorf("load has %d fields", n)
	}
	f.Load.Slots = d.uint32()
	f.Load.Running = d.uint32()
	for c := range ClassCount {
		f.Load.Queued[c] = d.uint32()
		f.Load.WaitMS[c] = d.uint32()
	}
}

// FrameReader reads frames from a stream.
type FrameReader struct {
	r   *bufio.Reader
	buf []byte
}

// frameReadBuffer is small to keep the memory of an open stream low; a token
// frame has about 20 bytes.
const frameReadBuffer = 1 << 10

// framePayloadChunk is the memory that is allocated for a large frame before its bytes have
// arrived.
const framePayloadChunk = 16 << 10

// NewFrameReader returns a reader of the frames in r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{r: bufio.NewReaderSize(r, frameReadBuffer)}
}

// Next returns the next frame. It returns io.EOF only between two frames.
func (r *FrameReader) Next() (Frame, error) {
	var f Frame
	err := r.Read(&f)
	return f, err
}

// Read reads the next frame into f. It returns io.EOF only between two frames.
func (r *FrameReader) Read(f *Frame) error {
	n, err := r.length()
	if err != nil {
		return err
	}
	buf, err := r.payload(n)
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	if cap(buf) <= frameReadBuffer {
		r.buf = buf
	}
	return decodeFrame(buf, f)
}

// payload reads n bytes. Its buffer grows with the bytes that arrive, whatever length the
// peer has announced.
func (r *FrameReader) payload(n int) ([]byte, error) {
	buf := r.buf[:0]
	for len(buf) < n {
		start := len(buf)
		if start == cap(buf) || cap(buf) < n {
			buf = slices.Grow(buf, min(n-start, max(start, framePayloadChunk)))
		}
		buf = buf[:min(n, cap(buf))]
		if _, err := io.ReadFull(r.r, buf[start:]); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// length reads the length prefix of a frame.
func (r *FrameReader) length() (int, error) {
	head, err := r.r.Peek(4)
	if err != nil {
		if err == io.EOF && len(head) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, err
	}
	n := int(head[0])<<24 | int(head[1])<<16 | int(head[2])<<8 | int(head[3])
	if n > MaxFrame {
		return 0, errors.Errorf("frame of %d bytes exceeds %d", n, MaxFrame)
	}
	_, err = r.r.Discard(len(head))
	return n, err
}

// Buffered reports whether data of another frame is already buffered, so that a
// writer may postpone its flush.
func (r *FrameReader) Buffered() bool { return r.r.Buffered() > 4 }
