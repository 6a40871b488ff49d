package load

import (
	"strconv"
	"strings"

	"heatherway.dev/heatherway/internal/tokentext"
)

// Faults counts tokens that differ from the expected text.
type Faults struct {
	// Wrong tokens belong to no position of the generation, or came with an
	// event id that counts otherwise.
	Wrong int64 `json:"wrong"`
	// Missing tokens were passed over.
	Missing int64 `json:"missing"`
	// Repeated tokens came again.
	Repeated int64 `json:"repeated"`
}

// Sum returns the count of all faults.
func (f Faults) Sum() int64 { return f.Wrong + f.Missing + f.Repeated }

func (f *Faults) add(g Faults) {
	f.Wrong += g.Wrong
	f.Missing += g.Missing
	f.Repeated += g.Repeated
}

// checker compares the text of one generation with the expected one.
type textChecker struct {
	source tokentext.Source
	next   int // the position expected next
	faults Faults
}

// take checks a text of whole tokens and returns their count.
func (c *textChecker) checkText(text string) int {
	if text == "" {
		return 0
	}
	if text[0] != ' ' {
		c.faults.Wrong++ // the end of a token that was torn
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

// position returns where in the generation a token belongs.
func (c *textChecker) position(t string) (int, bool) {
	number, _, _ := strings.Cut(strings.TrimPrefix(t, " "), "-")
	i, err := strconv.ParseInt(number, 36, 32)
	if err != nil || i < 0 || c.source.At(int(i)) != t {
		return 0, false
	}
	return int(i), true
}

// offset checks the count of tokens that an event id gives.
func (c *textChecker) checkOffset(n uint64) {
	if n != uint64(c.next) {
		c.faults.Wrong++
	}
}

// end checks a generation that is said to be whole.
func (c *textChecker) checkEnd(tokens int) {
	if c.next < tokens {
		c.faults.Missing += int64(tokens - c.next)
	}
	if c.next > tokens {
		c.faults.Repeated += int64(c.next - tokens)
	}
}
