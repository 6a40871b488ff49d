package peer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/result"
)

// errorPrefix marks an error text that contains an encoded result code, since
// net/rpc transmits errors as text only.
const errorPrefix = "heatherway-result:"

type wireError struct {
	Code    result.Code `json:"code"`
	Message string      `json:"message"`
	Ran     result.Ran  `json:"ran"`
	RetryMS int64       `json:"retry_ms,omitempty"`
}

// EncodeError returns an error whose text contains the result code, so that net/rpc
// can transmit it. Every RPC method must pass the errors that it returns through it.
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

// decodeError returns the error that EncodeError encoded. Any other text becomes an
// error with the code Internal.
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
