// Package result defines the numbered result codes of heatherway. Each code has
// one row in the table of this package, from which docs/result-codes.md is
// generated.
package result

import (
	"fmt"
	"sort"
	"time"

	"github.com/go-faster/errors"
)

// Code is the number of a result. The first three digits of codes from 4000 on
// follow the HTTP status; codes from 1000 to 1999 end a process at startup.
type Code int

// Ran tells whether the request that a result belongs to was executed.
type Ran uint8

// The values of Ran: the request was certainly not executed, it was executed, or
// neither is certain.
const (
	NotRun Ran = iota
	DidRun
	Unknown
)

// String returns the name used in JSON.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not_run"
	case DidRun:
		return "ran"
	default:
		return "unknown"
	}
}

// Info is a row of the table of result codes.
type Info struct {
	Code    Code
	Name    string
	HTTP    int
	Ran     Ran
	Retry   bool
	Meaning string
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		if _, dup := m[i.Code]; dup {
			panic(fmt.Sprintf("result: code %d stands twice in the table", i.Code))
		}
		m[i.Code] = i
	}
	return m
}()

// Lookup returns the row of a code, or the row of Internal if the code is not in
// the table.
func Lookup(c Code) Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// All returns the rows of the table, sorted by code.
func All() []Info {
	out := append([]Info(nil), table...)
	sort.Slice(out, func(i, j int) bool { return out[i].Code < out[j].Code })
	return out
}

// Info returns the row of the code.
func (c Code) Info() Info { return Lookup(c) }

// String returns the name of the code.
func (c Code) String() string { return Lookup(c).Name }

// Error is a failure with a result code.
type Error struct {
	Code       Code
	Message    string
	Ran        Ran
	RetryAfter time.Duration
	cause      error
}

// New returns an error with the code and the code's default value of Ran.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...), Ran: Lookup(c).Ran}
}

// Wrap returns an error with the code, the code's default value of Ran and a cause.
func Wrap(c Code, err error, message string) *Error {
	return &Error{Code: c, Message: message, Ran: Lookup(c).Ran, cause: err}
}

// After sets the time that the caller should wait before it retries.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithRan replaces the code's default value of Ran.
func (e *Error) WithRan(r Ran) *Error {
	e.Ran = r
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%d %s: %s: %v", int(e.Code), e.Code, e.Message, e.cause)
	}
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the Error in err's chain. It wraps any other error in one with the
// code Internal, whose Ran is Unknown.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected failure")
}

// Is reports whether the Error in err's chain has the code.
func Is(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}
