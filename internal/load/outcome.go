package load

import (
	"fmt"
	"time"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// outcome is the result of one request.
type outcome struct {
	kind         Kind
	class        wire.Class
	organisation string
	finished     bool
	// interrupted is set when the run ended before the request did.
	interrupted bool
	// refusal names the result that ended the request, if it did not finish.
	refusal string
	tokens  int
	faults  Faults
	// reconnects counts connections after the first one.
	reconnects int
	// first is the time from the planned arrival to the first token, or to the
	// complete answer of a plain call.
	first time.Duration
	// onTime is set when first is within Options.OnTime.
	onTime bool
	// gaps are the times between events with tokens.
	gaps []time.Duration
}

// refusal is an answer without the requested result, or a failed connection.
type refusal struct {
	label string
	retry bool
	after time.Duration
}

// Labels of failures that carry no result code.
const (
	labelUnreachable = "unreachable"
	labelBroken      = "broken"
	labelClientLimit = "client_limit"
	labelMalformed   = "malformed_answer"
)

// problem is the error object in answers of heatherway.
type problem struct {
	Error *struct {
		Code    int   `json:"code"`
		RetryMS int64 `json:"retry_after_ms"`
	} `json:"error"`
}

// minResultCode is the lowest result code of heatherway. Smaller numbers are
// HTTP statuses in the answers of an engine.
const minResultCode = 1000

func (p problem) refusal(status int) refusal {
	if p.Error == nil || p.Error.Code < minResultCode {
		return refusal{label: fmt.Sprintf("HTTP %d", status)}
	}
	code := result.Code(p.Error.Code)
	return refusal{
		label: fmt.Sprintf("%d %s", p.Error.Code, code),
		retry: code.Info().Retry,
		after: time.Duration(p.Error.RetryMS) * time.Millisecond,
	}
}
