package gateway

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stream that is cut, or read anew at another upstream, because the weights of its
// upstream change while it runs: the event at which they do says so in a line of its own. The
// bytes reach the caller unchanged, and the ids still count.
func TestNewWeightsEndNoStream(t *testing.T) {
	weights := func(n int, before string) string { return fmt.Sprintf("weight-versions: %d\n%s", n, before) }
	every := ""
	for id := range 9 {
		every += weights(id+2, textEvents(id, id))
	}
	for name, text := range map[string]string{
		"at the first event":           weights(2, textEvents(0, 8)),
		"in mid-stream":                textEvents(0, 3) + weights(2, textEvents(4, 8)),
		"at the last event":            textEvents(0, 7) + weights(2, textEvents(8, 8)),
		"at every event":               every,
		"twice in one event":           textEvents(0, 3) + weights(2, weights(3, textEvents(4, 8))),
		"behind the id":                textEvents(0, 3) + "id: 4\nweight-versions: 2\ndata: x\n\n" + textEvents(5, 8),
		"carriage returns, no space":   textEvents(0, 3) + "weight-versions:2\r\nid: 4\r\ndata: x\r\n\r\n" + textEvents(5, 8),
		"many spaces":                  textEvents(0, 3) + "weight-versions:   2  \n" + textEvents(4, 8),
		"an event without id and data": textEvents(0, 3) + "weight-versions: 2\n\n" + textEvents(4, 8),
		"large version":                textEvents(0, 3) + "weight-versions: 18446744073709551615\n" + textEvents(4, 8),
	} {
		for framing, frame := range framings {
			for _, resumable := range []bool{true, false} {
				t.Run(fmt.Sprint(name, ", ", framing, ", resumable ", resumable), func(t *testing.T) {
					ups, received := startResumeServers(t, 2, frame(eventStreamHead, text), brokenStream)
					conf := configuration()
					conf.Routes[0].Resumable = resumable
					f := newFixture(t, conf, ups...)
					res := f.doStream("Attempt-Id", resumeTestID)
					assert.NilError(t, res.err)
					assert.Equal(t, res.body, text)
					assert.Equal(t, len(received()), 1)
				})
			}
		}
	}
}

// Guards against a stream that goes on behind the wrong event when it breaks off beside a change of
// the weights, and against one whose caller can't take it up there.
func TestStreamBreaksBesideNewWeights(t *testing.T) {
	for name, c := range map[string]struct{ first, last string }{
		"behind the event":               {textEvents(0, 3) + "weight-versions: 2\n" + textEvents(4, 4), "4"},
		"within the line":                {textEvents(0, 4) + "weight-ver", "4"},
		"behind the line":                {textEvents(0, 4) + "weight-versions: 2\n", "4"},
		"within the event":               {textEvents(0, 4) + "weight-versions: 2\nid: 5\ndata: pie", "4"},
		"behind an event without id":     {textEvents(0, 4) + "weight-versions: 2\n\n", "4"},
		"at the first event of a resume": {"weight-versions: 2\n" + textEvents(0, 0), "0"},
	} {
		t.Run(name, func(t *testing.T) {
			broken := eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(c.first)
			next := map[string]int{"4": 5, "0": 1}[c.last]
			rest := "weight-versions: 3\n" + textEvents(next, 8)
			ups, received := startResumeServers(t, 2, broken, framings["chunks"](eventStreamHead, rest))
			f := newFixture(t, configuration(), ups...)
			res := f.doStream("Attempt-Id", resumeTestID)
			assert.NilError(t, res.err)
			assert.Equal(t, len(received()), 2)
			assert.Equal(t, received()[1].Get("Last-Event-Id"), c.last)
			assert.Assert(t, strings.HasSuffix(res.body, rest), res.body)
			assert.DeepEqual(t, receivedIDs(res.body), eventIDs(8))
		})
	}
}
