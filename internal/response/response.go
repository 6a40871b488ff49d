// Package response checks the responses that a process receives over HTTP, beyond what
// package net/http checks.
package response

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

const (
	minFinalStatus = 200
	// maxFinalStatus is the last status of the last class that RFC 9110 defines. Responses
	// with others have to be treated as malformed.
	maxFinalStatus = 599
)

var (
	// ErrMalformed is wrapped by errors of responses that are no response of HTTP. It is
	// unknown whether their request has run.
	ErrMalformed = errors.New("malformed response")
	statusLine   = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)
)

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// isInformational reports whether a status is that of a response before the final one. The
// status 101 is not, since no process asks for another protocol.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// Check returns an error unless the head is that of a final or informational response of HTTP/1,
// or of HTTP/2 over TLS.
func Check(res *http.Response) error {
	switch {
	case !IsFinal(res.StatusCode) && !isInformational(res.StatusCode):
		return errors.Wrapf(ErrMalformed, "status %.16q", res.Status)
	case res.ProtoMajor != 1 && !(res.ProtoMajor == 2 && res.TLS != nil):
		return errors.Wrapf(ErrMalformed, "protocol %.16q", res.Proto)
	case containsStatusLine(res):
		return errors.Wrap(ErrMalformed, "the head contains another status line")
	}
	return nil
}

// containsStatusLine reports whether the reason phrase or a field of a response contains the
// status line of another one. The first part of an earlier response, which the next response
// follows without a line end, parses with the status of one and fields of both.
func containsStatusLine(res *http.Response) bool {
	// Most values are short and have no version, so the expression rarely runs.
	contains := func(v string) bool { return strings.Contains(v, "HTTP/1.") && statusLine.MatchString(v) }
	if contains(res.Status) {
		return true
	}
	for _, values := range res.Header {
		if slices.ContainsFunc(values, contains) {
			return true
		}
	}
	return false
}
