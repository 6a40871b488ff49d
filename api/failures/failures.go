// Package failures is the part of the goa designs that the caller API and the
// administration API share: the shape of errors.
package failures

import (
	. "goa.design/goa/v3/dsl" //nolint:revive // goa designs are written with a dot import
)

// failureStatus lists the HTTP statuses that a Failure may carry.
var failureStatus = []struct {
	name   string
	status int
}{
	{"bad_request", StatusBadRequest},
	{"unauthorized", StatusUnauthorized},
	{"forbidden", StatusForbidden},
	{"not_found", StatusNotFound},
	{"conflict", StatusConflict},
	{"gone", StatusGone},
	{"too_large", StatusRequestEntityTooLarge},
	{"unprocessable", StatusUnprocessableEntity},
	{"too_many", StatusTooManyRequests},
	{"internal", StatusInternalServerError},
	{"bad_gateway", StatusBadGateway},
	{"unavailable", StatusServiceUnavailable},
	{"timeout", StatusGatewayTimeout},
}

// Declare declares the errors of a service. Every error has the JSON shape of
// Failure. The names group result codes by HTTP status; the numbered code is
// in the body. More is run in the service's HTTP expression, since goa keeps
// only the last one of a service.
func Declare(more ...func()) {
	for _, f := range failureStatus {
		Error(f.name, Failure)
	}
	HTTP(func() {
		for _, fn := range more {
			fn()
		}
		for _, f := range failureStatus {
			Response(f.name, f.status, func() {
				Header("retry_after:Retry-After")
			})
		}
	})
}

// Problem is the error object in the body of every failed call.
var Problem = Type("Problem", func() {
	Attribute("code", Int, "Numbered result code, see docs/result-codes.md")
	Attribute("name", String, "Stable name of the result code")
	Attribute("type", String, "Same as name; OpenAI clients read this field")
	Attribute("message", String, "What went wrong")
	Attribute("ran", String, "Whether the request ran", func() { Enum("not_run", "ran", "unknown") })
	Attribute("retry_after_ms", Int64, "Earliest useful time to ask again, in milliseconds; 0 if asking again does not help")
	Attribute("request_id", String, "Identifies the request in the logs")
	Required("code", "name", "type", "message", "ran", "retry_after_ms", "request_id")
})

// Failure is the error type of every method.
var Failure = Type("Failure", func() {
	ErrorName("status", String, "Group of the result code")
	Attribute("error", Problem, func() { Meta("struct:field:name", "Problem") })
	Attribute("retry_after", Int64, "Retry-After header in seconds")
	Required("status", "error")
})
