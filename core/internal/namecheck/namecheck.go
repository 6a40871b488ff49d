// Package namecheck checks the names in messages of other processes.
package namecheck

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// MaxBytes is the maximum length of a name.
const MaxBytes = 256

// Validate checks that a name can be sent in an HTTP header and logged in one line, and that
// it remains the same when it is encoded as JSON. The error has a bounded length.
func Validate(field, name string, required bool) error {
	switch {
	case name == "" && required:
		return errors.Errorf("the %s is empty", field)
	case len(name) > MaxBytes:
		return errors.Errorf("the %s has %d bytes, more than %d", field, len(name), MaxBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) || r == utf8.RuneError }):
		return errors.Errorf("the %s %.64q contains unprintable characters", field, name)
	case strings.TrimSpace(name) != name:
		return errors.Errorf("the %s %.64q begins or ends with a space", field, name)
	}
	return nil
}
