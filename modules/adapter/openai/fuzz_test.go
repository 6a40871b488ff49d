package openai

import "testing"

// Guards against an event of an engine that makes the agent panic.
func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"choices":[{"text":" a","finish_reason":"length"}],"usage":{"prompt_tokens":2,"completion_tokens":1}}`), false)
	f.Add([]byte(`{"error":{"message":"x"}}`), true)
	f.Fuzz(func(_ *testing.T, data []byte, finished bool) {
		_, _ = parseChunk(data, &tokenCounter{}, finished) // any outcome but a panic is accepted
	})
}
