// Package response checks the responses that a process receives over HTTP, beyond what
// package net/http checks.
package response

import (
	"net/http"

	"github.com/go-faster/errors"
)

const (
	minFinalStatus = 200
	// maxFinalStatus is the last status of the last class that RFC 9110 defines. Responses
	// with others have to be treated as malformed.
	maxFinalStatus = 599
)

// ErrMalformed is wrapped by errors of responses that are no final response of HTTP. It is
// unknown whether their request has run.
var ErrMalformed = errors.New("malformed response")

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// IsInformational reports whether a status is that of a response before the final one. The
// status 101 is not, since no process asks for another protocol.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// CheckFinal returns an error unless the head of a response is that of a final one.
func CheckFinal(res *http.Response) error {
	switch {
	case !IsFinal(res.StatusCode):
		return errors.Wrapf(ErrMalformed, "status %.16q", res.Status)
	case res.ProtoMajor != 1 && !(res.ProtoMajor == 2 && res.TLS != nil):
		return errors.Wrapf(ErrMalformed, "protocol %.16q", res.Proto)
	}
	return nil
}
