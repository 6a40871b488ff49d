package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func record(fingerprint, addr string, startedMS int64) Record {
	return Record{Fingerprint: fingerprint, Addr: addr, StartedMS: startedMS}
}

// Guards against a request that crashes one upstream after the other.
func TestThirdCrashBlocks(t *testing.T) {
	var l Ledger
	for i, addr := range []string{"a", "b", "c"} {
		assert.Assert(t, !l.Blocked(start, "poison"))
		l.Broken(start, record("poison", addr, 1000))
		assert.Equal(t, len(l.Ended(start.Add(2*time.Second), addr, 2000)), 1, "crash %d", i)
	}
	assert.Assert(t, l.Blocked(start.Add(time.Minute), "poison"))
	assert.Assert(t, !l.Blocked(start.Add(time.Minute), "honest"))
	assert.Assert(t, !l.Blocked(start.Add(time.Hour), "poison"), "it may be tried again later")
}

// Guards against honest requests that are blocked since their answers were lost
// while the upstreams went on, or since many of them met one crash.
func TestHonestRequestsAreNotBlocked(t *testing.T) {
	var l Ledger
	for range 5 {
		l.Broken(start, record("lost answers", "a", 1000)) // the incarnation goes on
	}
	assert.Equal(t, len(l.Ended(start.Add(time.Second), "b", 2000)), 0)
	assert.Equal(t, len(l.Ended(start.Add(time.Second), "a", 1000)), 0, "the same incarnation announces itself")
	assert.Equal(t, len(l.Ended(start.Add(time.Minute), "a", 2000)), 0, "it ended much later")
	for range 5 {
		l.Broken(start, record("equal bodies", "c", 1000))
	}
	l.Ended(start.Add(time.Second), "c", 2000)
	assert.Assert(t, !l.Blocked(start.Add(time.Second), "equal bodies"), "one crash counts once")
}

// Guards against a record that counts twice since it comes from two gateways.
func TestSharedRecordsCountOnce(t *testing.T) {
	var l Ledger
	for range 3 {
		l.Add(start, record("poison", "a", 1000))
	}
	assert.Equal(t, l.Len(), 1)
}

// Guards against a request that met three crashes by chance and was answered
// between them.
func TestAnsweredRequestIsCleared(t *testing.T) {
	var l Ledger
	for _, addr := range []string{"a", "b"} {
		l.Add(start, record("met by chance", addr, 1000))
	}
	l.Clear("met by chance")
	l.Add(start, record("met by chance", "c", 1000))
	assert.Assert(t, !l.Blocked(start, "met by chance"))
}
