package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callOutcome is the result of a caller's attempt.
type callOutcome uint8

const (
	served callOutcome = iota
	refused
	failed
)

// allPaths are the routes of the test configuration.
var allPaths = []string{"letters", "book", "look"}

// newCallerRequest returns a request of a caller as a gateway receives it.
func newCallerRequest(addr, path, id, body string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+path+"/x", strings.NewReader(body))
	if err != nil {
		panic(err) // the address is one of this test
	}
	r.Host = "h"
	r.GetBody = nil // net/http must not retry the request on its own
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Bearer secret", "Deadline-Ms": "8000", "Token-Count": "800,200",
	} {
		r.Header.Set(name, value)
	}
	return r
}

// callOnce makes one request to one of the paths and checks everything that the
// caller can observe.
func (sys *testSystem) callOnce(client *http.Client, rng *rand.Rand, paths []string) callOutcome {
	id := fmt.Sprintf("%d-%d", sys.seed, sys.attempts.Add(1))
	path := paths[rng.IntN(len(paths))]
	r := newCallerRequest(sys.gatewayProxies[rng.IntN(len(sys.gatewayProxies))].Addr(), path, id, "body of "+id)
	r.Header.Set("Prompt-Prefix", "aa:100,"+id+":700")
	start := time.Now()
	res, err := client.Do(r)
	if err != nil {
		return sys.checkUnanswered(path, id)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		if path == "letters" {
			return sys.checkStream(id, res)
		}
		return sys.checkAnswer(id, res)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		sys.refusedAttempts.Store(id, path)
		return refused
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		sys.reportViolation("DENIED: %s got %d", id, res.StatusCode)
	}
	if elapsed := time.Since(start); sys.faultsEnded.Load() && path != "letters" && elapsed > 2*time.Second {
		sys.reportViolation("CONFIG: %s was held for %v", id, elapsed)
	}
	return sys.checkUnanswered(path, id)
}

// checkUnanswered checks an attempt that got no answer: a booking may have run
// at most once.
func (sys *testSystem) checkUnanswered(path, id string) callOutcome {
	if n := sys.runCounts.count(id); path == "book" && n > 1 {
		sys.reportViolation("TWICE: %s ran %d times", id, n)
	}
	return failed
}

func (sys *testSystem) checkAnswer(id string, res *http.Response) callOutcome {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return failed
	}
	if string(body) != eventData(id, 0) || res.Header.Get("Response-Seal") != "seal of "+id {
		sys.reportViolation("MIXED: %s got %q with %q", id, body, res.Header.Get("Response-Seal"))
	}
	return served
}

func (sys *testSystem) checkStream(id string, res *http.Response) callOutcome {
	next, current := 0, -1
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		line := lines.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			if _, err := fmt.Sscan(value, &current); err != nil || current != next {
				sys.reportViolation("ORDER: %s got event %q, want %d", id, value, next)
				return failed
			}
			continue
		}
		value, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if value != eventData(id, current) {
			sys.reportViolation("MIXED: %s got %q in event %d", id, value, current)
			return failed
		}
		next++
	}
	if lines.Err() != nil {
		return failed // the caller can tell that the stream broke off
	}
	if next != eventCount(id) {
		sys.reportViolation("ORDER: %s ended as complete after %d of %d events", id, next, eventCount(id))
		return failed
	}
	if res.Header.Get("Response-Seal") != "seal of "+id {
		sys.reportViolation("MIXED: %s carries %q", id, res.Header.Get("Response-Seal"))
	}
	return served
}

// checkRefusedNotRun checks that no refused request has run, apart from the safe
// route look, whose requests may run more than once.
func (sys *testSystem) checkRefusedNotRun() {
	sys.refusedAttempts.Range(func(key, value any) bool {
		if n := sys.runCounts.count(key.(string)); n > 0 && value != "look" {
			sys.reportViolation("REFUSED: %v (%v) was refused and ran %d times", key, value, n)
		}
		return true
	})
}
