package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/crash"
)

// Guards against a request that is held for an undecided part until after its deadline.
func TestHeldRequestIsAnsweredByItsDeadline(t *testing.T) {
	f := newFixture(t, configuration(), startUpstreams(t, 2, "model", func(http.ResponseWriter, *http.Request, int) { abort() })...)
	var entries []crash.Entry
	for i := range 5 {
		r := crash.Run{Fingerprint: crash.PartKey("deadly"), Upstream: fmt.Sprint("v", i), Addr: fmt.Sprint("a", i), StartedMS: 1}
		entries = append(entries, crash.Entry{Run: r, Outcome: crash.Interrupted, AgeMS: int64(14_000 - 3000*i)})
	}
	f.mergeCrashes(entries)
	f.owner.call(func(*state) {})
	f.doStream("Prompt-Prefix", "deadly:1,own:1") // takes the probe that the gateway grants itself
	response := f.doStream("Prompt-Prefix", "deadly:1,own:2", "Deadline-Ms", "400")
	assert.Equal(t, response.status, http.StatusServiceUnavailable, response.body)
	assert.Assert(t, response.took < time.Second, "%v", response.took)
}
