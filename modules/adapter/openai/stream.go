package openai

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const (
	readBufferSize = 4 << 10
	// maxEventBytes bounds one event of an engine.
	maxEventBytes = 1 << 20
	// maxBytesWithoutOutput bounds what an engine may send between two events with output:
	// comments, chunks without output, or an endless body that is no event stream.
	maxBytesWithoutOutput = 1 << 20
)

type usage struct {
	Prompt     uint32 `json:"prompt_tokens"`
	Completion uint32 `json:"completion_tokens"`
	Details    struct {
		Cached uint32 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// tokenCounter determines how many tokens a chunk carries. It uses the engine's
// cumulative count if the first chunk with text has one, and otherwise counts one token
// for each chunk with text. A count in the last chunk only is not used, since some engines
// include the prefix in it and the chunks have been counted already.
type tokenCounter struct {
	prefix     uint32
	started    bool
	cumulative bool
	counted    uint32
}

func (c *tokenCounter) tokens(text string, u *usage) uint32 {
	if !c.started && text == "" {
		return 0
	}
	if !c.started {
		c.start(u)
	}
	if c.cumulative {
		if u == nil || u.Completion <= c.counted {
			return 0
		}
		n := u.Completion - c.counted
		c.counted = u.Completion
		return n
	}
	if text == "" {
		return 0
	}
	return 1
}

func (c *tokenCounter) start(u *usage) {
	c.started = true
	c.cumulative = u != nil
	if c.cumulative && u.Completion > c.prefix {
		c.counted = c.prefix // the engine's count includes the prefix
	}
}

// readStream passes the events of a response to emit. A response that ends before its
// finish reason is a failure of the engine.
func readStream(r io.Reader, prefix uint64, emit func(adapter.Event) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, readBufferSize), maxEventBytes)
	count := tokenCounter{prefix: uint32(prefix)}
	finished, bytesWithoutOutput := false, 0
	for lines.Scan() {
		if bytesWithoutOutput += len(lines.Bytes()) + 1; bytesWithoutOutput > maxBytesWithoutOutput {
			if finished {
				return nil
			}
			return result.New(result.UpstreamMalformed, "%d bytes without a part of the answer", bytesWithoutOutput)
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			break
		}
		ev, err := parseChunk(data, &count, finished)
		if err != nil {
			return err
		}
		finished = finished || ev.Finish != ""
		if ev == (adapter.Event{}) {
			continue
		}
		if ev.HasOutput() {
			bytesWithoutOutput = 0
		}
		if err := emit(ev); err != nil {
			return err
		}
	}
	if finished {
		return nil
	}
	return streamEndError(lines.Err())
}

func streamEndError(err error) error {
	if errors.Is(err, bufio.ErrTooLong) {
		return result.New(result.UpstreamMalformed, "an event exceeds %d bytes", maxEventBytes)
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return adapter.TransportError(err)
}

func parseChunk(data []byte, count *tokenCounter, finished bool) (adapter.Event, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return adapter.Event{}, result.Wrap(result.UpstreamMalformed, err, "an event cannot be decoded")
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return adapter.Event{}, result.New(result.UpstreamFailed, "the engine reported an error in its stream")
	}
	var ev adapter.Event
	if len(c.Choices) > 0 {
		first := c.Choices[0]
		ev.Text, ev.Finish = first.Text+first.Delta.Content, first.Finish
	}
	if !finished {
		ev.Tokens = count.tokens(ev.Text, c.Usage)
	}
	if c.Usage != nil {
		ev.PromptTokens, ev.CachedTokens = c.Usage.Prompt, c.Usage.Details.Cached
	}
	return ev, nil
}
