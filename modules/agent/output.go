package agent

import (
	"context"
	"sort"
	"sync"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const (
	// maxDecodeAhead bounds the tokens that the engine may be ahead of the reader.
	maxDecodeAhead = 4096
	// maxTokenFrame bounds the text of a token frame that combines several events.
	maxTokenFrame = 64 << 10
	// maxOutputBytes bounds the text of a generation, which an agent keeps until the end. It
	// is half of a frame, since an entry that attaches gets the text in one frame.
	maxOutputBytes = wire.MaxFrame / 2
	// maxOutputEvents bounds its events with output, each of which takes a tokenBoundary. It is
	// several times the longest answer of an engine.
	maxOutputEvents = 1 << 20
	// boundarySize is the memory of one tokenBoundary in bytes.
	boundarySize = 8
)

// tokenBoundary is a position in the text at which a token ends.
type tokenBoundary struct{ tokens, bytes uint32 }

// output buffers the text of one generation. The run's goroutine appends to it and
// wakes the reader, of which there is at most one.
type output struct {
	mu             sync.Mutex
	text           []byte
	boundaries     []tokenBoundary // starts with offset 0 and, if there is a prefix, its end
	attempt        uint32
	started        bool
	final          *wire.Frame // FrameEnd, FrameFail or FrameRedirect
	promptTokens   uint32
	cachedTokens   uint32
	reader         *reader
	readTokens     uint64        // offset up to which the reader has taken tokens
	readerAdvanced chan struct{} // wakes a run that waits for the reader
}

// reader is a stream's position in an output.
type reader struct {
	wake         chan struct{}
	nextBoundary int // index of the first boundary not yet delivered
	started      bool
}

// batch is what a stream sends next to its entry.
type batch struct {
	superseded bool
	started    bool
	tokens     *wire.Frame
	final      *wire.Frame
}

func newOutput(attempt uint32, prefix string, tokens uint64) *output {
	o := &output{attempt: attempt, readerAdvanced: make(chan struct{}, 1), boundaries: []tokenBoundary{{}}}
	if tokens > 0 {
		o.text = []byte(prefix)
		o.boundaries = append(o.boundaries, tokenBoundary{uint32(tokens), uint32(len(prefix))})
		o.readTokens = tokens
	}
	return o
}

// inheritBoundaries copies the boundaries within the prefix from an earlier
// attempt, so that a reader can still attach at any of them.
func (o *output) inheritBoundaries(older *output) {
	older.mu.Lock()
	defer older.mu.Unlock()
	if len(o.boundaries) != 2 {
		return
	}
	end := o.boundaries[1]
	i := sort.Search(len(older.boundaries), func(i int) bool { return older.boundaries[i].tokens >= end.tokens })
	if i == len(older.boundaries) || older.boundaries[i] != end || string(older.text[:end.bytes]) != string(o.text) {
		return
	}
	o.boundaries = append([]tokenBoundary(nil), older.boundaries[:i+1]...)
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (o *output) notifyReader() {
	if o.reader != nil {
		notify(o.reader.wake)
	}
}

func (o *output) tokens() uint64 { return uint64(o.boundaries[len(o.boundaries)-1].tokens) }

// append adds output of the engine. It blocks while the text is maxDecodeAhead
// tokens or more ahead of the reader.
func (o *output) append(ctx context.Context, ev adapter.Event) error {
	for {
		o.mu.Lock()
		if o.tokens() < o.readTokens+maxDecodeAhead {
			break
		}
		o.mu.Unlock()
		select {
		case <-o.readerAdvanced:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	defer o.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	o.promptTokens, o.cachedTokens = max(o.promptTokens, ev.PromptTokens), max(o.cachedTokens, ev.CachedTokens)
	if ev.Tokens == 0 && ev.Text == "" {
		return nil
	}
	if len(o.text)+len(ev.Text) > maxOutputBytes || len(o.boundaries) >= maxOutputEvents {
		return result.New(result.UpstreamMalformed, "the answer exceeds %d bytes or %d events", maxOutputBytes, maxOutputEvents)
	}
	o.text = append(o.text, ev.Text...)
	o.boundaries = append(o.boundaries, tokenBoundary{uint32(o.tokens()) + ev.Tokens, uint32(len(o.text))})
	o.notifyReader()
	return nil
}

// start makes the reader report that the request has started.
func (o *output) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = true
	o.notifyReader()
}

// finish sets the final frame unless one is set already.
func (o *output) finish(f wire.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.final != nil {
		return
	}
	f.Offset = o.tokens()
	f.PromptTokens, f.CachedTokens = o.promptTokens, o.cachedTokens
	o.final = &f
	o.notifyReader()
}

// content returns the text and its token count, from which a new run continues.
func (o *output) content() (string, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.text), o.tokens()
}

// usage returns the engine's counts of prompt and cached tokens.
func (o *output) usage() (prompt, cached uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.promptTokens, o.cachedTokens
}

func (o *output) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return cap(o.text) + cap(o.boundaries)*boundarySize
}

// attach creates a reader that starts at a token offset. It replaces the previous
// reader.
func (o *output) attach(offset uint64) (*reader, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := sort.Search(len(o.boundaries), func(i int) bool { return uint64(o.boundaries[i].tokens) >= offset })
	if i == len(o.boundaries) || uint64(o.boundaries[i].tokens) != offset {
		return nil, result.New(result.BadResumePoint, "the agent holds no boundary at token %d of %d", offset, o.tokens()).
			WithRan(result.DidRun)
	}
	o.notifyReader()
	o.reader = &reader{wake: make(chan struct{}, 1), nextBoundary: i + 1}
	o.readTokens = offset
	notify(o.readerAdvanced)
	return o.reader, nil
}

// textBefore returns the text and the tokens before a reader's start offset. It must
// be called before the reader's first call of next.
func (o *output) textBefore(r *reader) (string, uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.boundaries[r.nextBoundary-1]
	return string(o.text[:m.bytes]), m.tokens
}

// detach removes a reader. It returns false if a newer reader has replaced it.
func (o *output) detach(r *reader) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reader != r {
		return false
	}
	o.reader = nil
	return true
}

// next returns what the reader has not received yet.
func (o *output) next(r *reader) batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reader != r {
		return batch{superseded: true}
	}
	var b batch
	b.started = o.started && !r.started
	r.started = o.started
	b.tokens = o.nextTokenFrame(r)
	if r.nextBoundary == len(o.boundaries) {
		b.final = o.final
	}
	return b
}

// nextTokenFrame combines the text that is ready into one frame of at most
// maxTokenFrame bytes, or one event if that is larger. It returns nil if there is none.
func (o *output) nextTokenFrame(r *reader) *wire.Frame {
	if r.nextBoundary == len(o.boundaries) {
		return nil
	}
	from, end := o.boundaries[r.nextBoundary-1], r.nextBoundary+1
	for end < len(o.boundaries) && o.boundaries[end].bytes-from.bytes <= maxTokenFrame {
		end++
	}
	to := o.boundaries[end-1]
	r.nextBoundary = end
	o.readTokens = uint64(to.tokens)
	notify(o.readerAdvanced)
	return &wire.Frame{
		Kind: wire.FrameToken, Attempt: o.attempt, Offset: uint64(from.tokens),
		Tokens: to.tokens - from.tokens, Text: string(o.text[from.bytes:to.bytes]),
	}
}

// supersede removes the reader because a newer attempt has replaced this one.
func (o *output) supersede() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notifyReader()
	o.reader = nil
}
