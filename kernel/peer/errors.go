package peer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/result"
)

// errorPrefix marks an error text that carries a result code; net/rpc passes
// errors as text only.
const errorPrefix = "heatherway-result:"

type wireError struct {
	Code    result.Code `json:"code"`
	Message string      `json:"message"`
	Ran     result.Ran  `json:"ran"`
	RetryMS int64       `json:"retry_ms,omitempty"`
}

// EncodeError turns an error into one that net/rpc can carry with its result
// code. Every RPC method returns its errors through it.
func EncodeError(err error) error {
	if err == nil {
		return nil
	}
	e := result.From(err)
	b, jerr := json.Marshal(wireError{e.Code, e.Message, e.Ran, e.RetryAfter.Milliseconds()})
	if jerr != nil {
		return err
	}
	return errors.New(errorPrefix + string(b))
}

func decodeError(text string) error {
	body, ok := strings.CutPrefix(text, errorPrefix)
	if !ok {
		return result.New(result.Internal, "%s", text)
	}
	var w wireError
	if err := json.Unmarshal([]byte(body), &w); err != nil {
		return result.New(result.Internal, "%s", text)
	}
	return result.New(w.Code, "%s", w.Message).WithRan(w.Ran).After(time.Duration(w.RetryMS) * time.Millisecond)
}
