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
	// maxAhead is how many tokens an engine may decode ahead of the reader.
	maxAhead = 4096
	// maxTokenFrame bounds the text that is joined into one token frame.
	maxTokenFrame = 64 << 10
	// markSize is the memory of one mark.
	markSize = 8
)

// mark is a place in the text where a token ends.
type mark struct{ tokens, bytes uint32 }

// output is the text of one generation. The engine's goroutine appends to it
// and one reader follows; an append wakes the reader.
type output struct {
	mu      sync.Mutex
	text    []byte
	marks   []mark // the first is the start, the second the end of the prefix
	attempt uint32
	started bool
	last    *wire.Frame // FrameEnd, FrameFail or FrameRedirect
	prompt  uint32
	cached  uint32
	reader  *reader
	read    uint64        // tokens taken by the reader
	room    chan struct{} // wakes an engine that is too far ahead
}

// reader is one stream that follows an output.
type reader struct {
	wake    chan struct{}
	next    int // index of the first mark not yet delivered
	started bool
}

// batch is what a reader has to send next.
type batch struct {
	superseded bool
	started    bool
	tokens     *wire.Frame
	last       *wire.Frame
}

func newOutput(attempt uint32, prefix string, tokens uint64) *output {
	o := &output{attempt: attempt, room: make(chan struct{}, 1), marks: []mark{{}}}
	if tokens > 0 {
		o.text = []byte(prefix)
		o.marks = append(o.marks, mark{uint32(tokens), uint32(len(prefix))})
		o.read = tokens
	}
	return o
}

// adopt takes over the marks of an earlier attempt inside the prefix, so that
// a reader can still attach between them.
func (o *output) adopt(older *output) {
	older.mu.Lock()
	defer older.mu.Unlock()
	if len(o.marks) != 2 {
		return
	}
	end := o.marks[1]
	i := sort.Search(len(older.marks), func(i int) bool { return older.marks[i].tokens >= end.tokens })
	if i == len(older.marks) || older.marks[i] != end || string(older.text[:end.bytes]) != string(o.text) {
		return
	}
	o.marks = append([]mark(nil), older.marks[:i+1]...)
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (o *output) wake() {
	if o.reader != nil {
		wake(o.reader.wake)
	}
}

func (o *output) tokens() uint64 { return uint64(o.marks[len(o.marks)-1].tokens) }

// append adds an engine's output. It waits while the reader is too far behind.
func (o *output) append(ctx context.Context, ev adapter.Event) error {
	for {
		o.mu.Lock()
		if o.tokens() < o.read+maxAhead {
			break
		}
		o.mu.Unlock()
		select {
		case <-o.room:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	defer o.mu.Unlock()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	o.prompt, o.cached = max(o.prompt, ev.PromptTokens), max(o.cached, ev.CachedTokens)
	if ev.Tokens == 0 && ev.Text == "" {
		return nil
	}
	o.text = append(o.text, ev.Text...)
	o.marks = append(o.marks, mark{uint32(o.tokens()) + ev.Tokens, uint32(len(o.text))})
	o.wake()
	return nil
}

// start tells the reader that the engine runs the request.
func (o *output) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = true
	o.wake()
}

// finish sets the last frame, unless there is one.
func (o *output) finish(f wire.Frame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last != nil {
		return
	}
	f.Offset = o.tokens()
	f.PromptTokens, f.CachedTokens = o.prompt, o.cached
	o.last = &f
	o.wake()
}

// held returns the text and its tokens, which a new run continues from.
func (o *output) held() (string, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.text), o.tokens()
}

// usage returns the engine's counts of prompt and cached tokens.
func (o *output) usage() (prompt, cached uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.prompt, o.cached
}

func (o *output) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return cap(o.text) + cap(o.marks)*markSize
}

// attach makes a new reader from an offset and ends the one before.
func (o *output) attach(offset uint64) (*reader, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := sort.Search(len(o.marks), func(i int) bool { return uint64(o.marks[i].tokens) >= offset })
	if i == len(o.marks) || uint64(o.marks[i].tokens) != offset {
		return nil, result.New(result.BadResumePoint, "the agent holds no boundary at token %d of %d", offset, o.tokens()).
			WithRan(result.DidRun)
	}
	o.wake()
	o.reader = &reader{wake: make(chan struct{}, 1), next: i + 1}
	o.read = offset
	wake(o.room)
	return o.reader, nil
}

// before returns the text in front of a reader that has read nothing yet.
func (o *output) before(r *reader) (string, uint32) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.marks[r.next-1]
	return string(o.text[:m.bytes]), m.tokens
}

// detach ends a reader. It returns false if a newer one has taken its place.
func (o *output) detach(r *reader) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reader != r {
		return false
	}
	o.reader = nil
	return true
}

// take returns what the reader has not seen yet.
func (o *output) take(r *reader) batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reader != r {
		return batch{superseded: true}
	}
	var b batch
	b.started = o.started && !r.started
	r.started = o.started
	b.tokens = o.joined(r)
	if r.next == len(o.marks) {
		b.last = o.last
	}
	return b
}

// joined takes the pieces that are ready together as one frame.
func (o *output) joined(r *reader) *wire.Frame {
	if r.next == len(o.marks) {
		return nil
	}
	from, end := o.marks[r.next-1], r.next+1
	for end < len(o.marks) && o.marks[end].bytes-from.bytes <= maxTokenFrame {
		end++
	}
	to := o.marks[end-1]
	r.next = end
	o.read = uint64(to.tokens)
	wake(o.room)
	return &wire.Frame{
		Kind: wire.FrameToken, Attempt: o.attempt, Offset: uint64(from.tokens),
		Tokens: to.tokens - from.tokens, Text: string(o.text[from.bytes:to.bytes]),
	}
}

// supersede ends the reader after a newer attempt has taken the output's place.
func (o *output) supersede() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wake()
	o.reader = nil
}
