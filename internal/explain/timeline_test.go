package explain

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a timeline that counts answers as failures, assigns a line to the wrong
// step, or stops at a truncated line.
func TestTimeline(t *testing.T) {
	gateway := source(
		line(0, "g1", "gateway starts", `,"zone":"a"`),
		line(100, "g1", "control instance followed", `,"zone":"a"`),
		line(150, "g1", "request answered", `,"zone":"a","route":"letters","status":500,"first_event_ms":900,"took_ms":4000`),
		`{"time":"torn`+"\n",
		line(250, "g1", "request failed", `,"zone":"a","route":"book","status":503,"took_ms":3`),
		line(260, "g1", "request failed", `,"zone":"a","route":"book","status":502,"took_ms":3`),
		line(270, "g1", "request failed", `,"zone":"a","route":"book","status":404,"took_ms":1`),
		line(20_040, "g1", "stream broken off", `,"zone":"a","route":"letters"`),
	)
	others := source(
		line(20_010, "c1", "upstream lost", `,"zone":"b"`),
		line(20_020, "c1", "leader changed", `,"zone":"b","leader":"","term":6`),
		line(20_090, "c1", "leader changed", `,"zone":"b","leader":"c2","term":7`),
		line(20_050, "e1", "request", `,"zone":"b","class":"urgent","code":0,"first_token_ms":30,"duration_ms":500`),
		line(20_060, "e1", "request", `,"zone":"b","class":"urgent","code":4290,"duration_ms":2`),
		line(20_070, "e1", "configuration in force", `,"zone":"b"`),
	)
	got, err := BuildTimeline([]Source{others, gateway})
	assert.NilError(t, err)
	assert.Equal(t, got.Step, 100*time.Millisecond)
	assert.Equal(t, got.Read, Counts{Lines: 14, Damaged: 1})
	assert.Equal(t, len(got.Steps), 201)
	assert.DeepEqual(t, got.Steps[0].Counts, [outcomeCount]int{Started: 1})
	assert.DeepEqual(t, got.Steps[1].Counts, [outcomeCount]int{DependencyRegained: 1, Answered: 1})
	assert.Assert(t, got.Steps[1].P50MS >= 900 && got.Steps[1].P50MS < 900*latencyBase)
	assert.DeepEqual(t, got.Steps[2].Counts, [outcomeCount]int{Refused: 2, Failed: 1})
	assert.DeepEqual(t, got.Steps[200].Counts, [outcomeCount]int{Broken: 1, DependencyLost: 2, DependencyRegained: 1, Answered: 1, Refused: 1})
	assert.DeepEqual(t, got.Groups, []Group{
		{"a", "book", [outcomeCount]int{Refused: 2, Failed: 1}},
		{"a", "letters", [outcomeCount]int{Answered: 1, Broken: 1}},
		{"b", "urgent", [outcomeCount]int{Answered: 1, Refused: 1}},
	})

	var page strings.Builder
	assert.NilError(t, got.WritePage(&page))
	for _, outside := range []string{"http:", "https:", "src=", "<script", "<link"} {
		assert.Assert(t, !strings.Contains(page.String(), outside), outside)
	}
	assert.Assert(t, strings.Contains(page.String(), "2027-01-15 08:00:00.200: 2"), "refusals of the third step")
}

// Guards against memory that grows with the time span of the logs.
func TestTimelineHasFewSteps(t *testing.T) {
	for _, span := range []time.Duration{0, time.Second, time.Minute, time.Hour, 24 * time.Hour, 1000 * time.Hour, 100_000 * time.Hour} {
		assert.Assert(t, int(span/stepLength(span)) <= maxSteps, "%v", span)
	}
	_, err := BuildTimeline([]Source{source(line(0, "g1", "ready", ""))})
	assert.ErrorContains(t, err, "no line")
}
