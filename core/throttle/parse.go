package throttle

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// MaxRate bounds the limits that are read, in requests per second. It is far above real ones and
// keeps sums and products of them within range.
const MaxRate = 1e9

// decimalNumber matches the limits that are read. strconv.ParseFloat also accepts hexadecimal
// numbers, infinities and NaN.
var decimalNumber = regexp.MustCompile(`^[0-9]*\.?[0-9]*$`)

// ParseRate decodes the values of a header that names a limit in requests per second. The limit is
// nil if there is none. Of several, the smallest counts. A value that is no decimal number, or is
// negative, is invalid unless another one can be read.
func ParseRate(values []string) (limit *float64, invalid bool) {
	for v := range strings.SplitSeq(strings.Join(values, ","), ",") {
		v = strings.TrimSpace(v)
		n, err := strconv.ParseFloat(v, 64)
		if !decimalNumber.MatchString(v) || err != nil && !errors.Is(err, strconv.ErrRange) {
			invalid = len(values) > 0
			continue
		}
		if n = min(n, MaxRate); limit == nil || n < *limit {
			limit = &n
		}
	}
	return limit, invalid && limit == nil
}
