package openai

import (
	"encoding/json"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel/result"
)

const finishLength = "length"

// streamOptions requests token counts for the whole response and, if the engine
// supports this extension, for every chunk.
var streamOptions = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)

type bodyFields map[string]json.RawMessage

// buildBody returns the request body for a job. It returns done if the prefix already
// has as many tokens as the request allows.
func buildBody(job *adapter.Job, resume string) (body []byte, done bool, err error) {
	f := bodyFields{}
	if err := json.Unmarshal(job.Body, &f); err != nil {
		return nil, false, result.Wrap(result.MalformedBody, err, "the body is not a JSON object")
	}
	f["stream"] = json.RawMessage("true")
	f["stream_options"] = streamOptions
	f.set("priority", uint8(job.Class)) // engines serve lower values first
	if job.PrefixTokens > 0 {
		if resume == resumeFields {
			f.set("resume_text", job.PrefixText)
			f.set("resume_tokens", job.PrefixTokens)
		} else if done, err = f.appendPrefix(job); done || err != nil {
			return nil, done, err
		}
	}
	body, err = json.Marshal(f)
	return body, false, err
}

func (f bodyFields) set(name string, v any) {
	b, _ := json.Marshal(v) // strings and integers always encode
	f[name] = b
}

// appendPrefix appends the prefix to the prompt and subtracts its tokens from the token
// limits, since the engine counts only the tokens that it decodes. It returns done if a
// limit is used up.
func (f bodyFields) appendPrefix(job *adapter.Job) (done bool, err error) {
	for _, name := range [...]string{"max_tokens", "max_completion_tokens"} {
		var limit uint64
		if json.Unmarshal(f[name], &limit) != nil {
			continue
		}
		if limit <= job.PrefixTokens {
			return true, nil
		}
		f.set(name, limit-job.PrefixTokens)
	}
	if job.Kind == wire.Chat {
		return false, f.continueLastMessage(job.PrefixText)
	}
	var prompt string
	if err := json.Unmarshal(f["prompt"], &prompt); err != nil {
		return false, result.New(result.InvalidField, "prompt: only a text can be continued")
	}
	f.set("prompt", prompt+job.PrefixText)
	return false, nil
}

// continueLastMessage appends the prefix as a final assistant message, which the engine
// continues.
// continueLastMessage appends the prefix as a final assistant message, which the engine
// continues.
func (f bodyFields) continueLastMessage(text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(f["messages"], &messages); err != nil {
		return result.New(result.InvalidField, "messages: not a list")
	}
	last, err := json.Marshal(map[string]string{"role": "assistant", "content": text})
	if err != nil {
		return result.Wrap(result.Internal, err, "final message")
	}
	f.set("messages", append(messages, last))
	f.set("continue_final_message", true)
	f.set("add_generation_prompt", false)
	return nil
}
