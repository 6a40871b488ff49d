package load

import (
	"strconv"
	"strings"

	"heatherway.dev/heatherway/internal/tokentext"
)

// Faults counts the differences between received and expected tokens.
type Faults struct {
	// Wrong counts tokens that belong to no position of the generation, and
	// event ids whose offset doesn't match the tokens received.
	Wrong int64 `json:"wrong"`
	// Missing counts tokens that were skipped.
	Missing int64 `json:"missing"`
	// Repeated counts tokens that were received more than once.
	Repeated int64 `json:"repeated"`
}

// Sum returns the number of all faults.
func (f Faults) Sum() int64 { return f.Wrong + f.Missing + f.Repeated }

func (f *Faults) add(g Faults) {
	f.Wrong += g.Wrong
	f.Missing += g.Missing
	f.Repeated += g.Repeated
}

// textChecker compares the text of one generation with the expected one.
type textChecker struct {
	source tokentext.Source
	next   int // the expected position of the next token
	faults Faults
}

// checkText checks a text of complete tokens and returns their number.
func (c *textChecker) checkText(text string) int {
	if text == "" {
		return 0
	}
	if text[0] != ' ' {
		c.faults.Wrong++ // the second part of a split token
	}
	n := 0
	for word := range strings.SplitSeq(strings.TrimPrefix(text, " "), " ") {
		c.checkToken(" " + word)
		n++
	}
	return n
}

func (c *textChecker) checkToken(t string) {
	if t == c.source.At(c.next) {
		c.next++
		return
	}
	position, ok := c.position(t)
	switch {
	case !ok:
		c.faults.Wrong++
		c.next++
	case position < c.next:
		c.faults.Repeated++
	default:
		c.faults.Missing += int64(position - c.next)
		c.next = position + 1
	}
}

// position returns the position of a token in the generation, and false if it
// has none.
func (c *textChecker) position(t string) (int, bool) {
	number, _, _ := strings.Cut(strings.TrimPrefix(t, " "), "-")
	i, err := strconv.ParseInt(number, 36, 32)
	if err != nil || i < 0 || c.source.At(int(i)) != t {
		return 0, false
	}
	return int(i), true
}

// checkOffset checks the token offset of an event id.
func (c *textChecker) checkOffset(n uint64) {
	if n != uint64(c.next) {
		c.faults.Wrong++
	}
}

// checkEnd checks the length of a generation that has ended.
func (c *textChecker) checkEnd(tokens int) {
	if c.next < tokens {
		c.faults.Missing += int64(tokens - c.next)
	}
	if c.next > tokens {
		c.faults.Repeated += int64(c.next - tokens)
	}
}
