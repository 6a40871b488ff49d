package wire

import (
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/kernel/result"
)

func drawFrame(t *rapid.T) Frame {
	f := Frame{
		Kind:    FrameKind(rapid.Uint8Range(uint8(FrameQueued), uint8(FrameRedirect)).Draw(t, "kind")),
		Attempt: rapid.Uint32().Draw(t, "attempt"),
		Offset:  rapid.Uint64().Draw(t, "offset"),
		Tokens:  rapid.Uint32().Draw(t, "tokens"),
		Text:    rapid.String().Draw(t, "text"),
	}
	if f.Kind == FrameToken {
		return f
	}
	f.Finish = rapid.String().Draw(t, "finish")
	f.Code = result.Code(rapid.IntRange(0, 9999).Draw(t, "code"))
	f.RetryMS = rapid.Uint32().Draw(t, "retry")
	f.Revision = rapid.Uint64().Draw(t, "revision")
	f.Load.Slots = rapid.Uint32().Draw(t, "slots")
	f.Load.Leaving = rapid.Bool().Draw(t, "leaving")
	for c := range ClassCount {
		f.Load.Queued[c] = rapid.Uint32().Draw(t, "queued")
	}
	return f
}

// Guards against a frame that encoding and decoding change.
func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Custom(drawFrame), 1, 5).Draw(t, "frames")
		var b []byte
		for i := range want {
			b = AppendFrame(b, &want[i])
		}
		r := NewFrameReader(bytes.NewReader(b))
		for _, w := range want {
			have, err := r.Next()
			assert.NilError(t, err)
			assert.DeepEqual(t, have, w)
		}
		_, err := r.Next()
		assert.Equal(t, err, io.EOF)
	})
}

// Guards against a broken connection that looks like the regular end of a
// stream.
func TestCutFrameIsNotEOF(t *testing.T) {
	f := Frame{Kind: FrameToken, Attempt: 1, Text: "word "}
	b := AppendFrame(nil, &f)
	for n := 1; n < len(b); n++ {
		_, err := NewFrameReader(bytes.NewReader(b[:n])).Next()
		assert.Equal(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against malformed bytes from a peer that crash this process.
func FuzzDecodeFrame(f *testing.F) {
	for _, k := range []FrameKind{FrameToken, FrameEnd} {
		f.Add(AppendFrame(nil, &Frame{Kind: k, Text: "x"})[4:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := DecodeFrame(b)
		if err != nil {
			return
		}
		again, err := DecodeFrame(AppendFrame(nil, &frame)[4:])
		assert.NilError(t, err)
		assert.DeepEqual(t, again, frame)
	})
}
