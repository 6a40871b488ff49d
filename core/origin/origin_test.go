package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

func apply(t assert.TestingT, l *Ledger, at time.Time, c Command) {
	c.AtMS = at.UnixMilli()
	b, err := c.Encode()
	assert.NilError(t, err)
	assert.NilError(t, l.Apply(b))
}

// Guards against a stream that is taken for one of the default version although another one began it,
// also after restarts, and against streams that are forgotten while they may be taken up.
func TestLedgerKeepsTheVersionOfEachStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(), begin
		apply(t, l, now, Command{DefaultOf: "s", Default: "v1"})
		want, expires := map[string]string{}, map[string]time.Time{}
		for i := range rapid.IntRange(1, 60).Draw(t, "streams") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "pause")) * time.Millisecond)
			timeout := time.Duration(rapid.IntRange(1, 600).Draw(t, "timeout")) * time.Second
			id, version := fmt.Sprint("a", i), fmt.Sprint("v", rapid.IntRange(1, 3).Draw(t, "version"))
			apply(t, l, now, Command{Streams: []Record{{Service: "s", Version: version, Key: KeyOf("s", id), Retention: Retention(timeout)}}})
			want[id], expires[id] = version, now.Add(2*timeout)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				b, err := l.Snapshot()
				assert.NilError(t, err)
				l = New()
				assert.NilError(t, l.Restore(b))
			}
			for id, version := range want {
				if now.Before(expires[id]) {
					got, known := l.Version("s", KeyOf("s", id))
					assert.Assert(t, known && got == version, "%s: %s, want %s", id, got, version)
				}
			}
		}
		got, known := l.Version("s", KeyOf("s", "never recorded"))
		assert.Assert(t, known && got == "v1")
		_, known = l.Version("other", KeyOf("other", "a0"))
		assert.Assert(t, !known)
	})
}

// Guards against a ledger that grows for ever, and against a clock that steps back and keeps streams
// for ever.
func TestLedgerForgetsOldStreams(t *testing.T) {
	l, now := New(), begin
	for i := range 2000 {
		now = now.Add(time.Second)
		at := now
		if i%7 == 0 {
			at = now.Add(-30 * time.Second)
		}
		apply(t, l, at, Command{Streams: []Record{{Service: "s", Version: "v1", Key: KeyOf("s", fmt.Sprint(i))}}})
	}
	assert.Assert(t, len(l.streams) <= 130, "%d streams", len(l.streams))
}

// Guards against a version that begins a stream without a record after another one became the default
// elsewhere.
func TestDefaultVersionIsReliable(t *testing.T) {
	choose, cache, now := NewDefaultChooser(), NewCache(), begin
	present := choose.Choose(now, "s", "", map[string]int{"v1": 17, "v2": 1, "": 40})
	assert.Equal(t, present, "v1")
	cache.Told(now, "s", present)
	assert.Assert(t, !cache.NeedsRecord(now, "s", "v1", ""))
	assert.Assert(t, cache.NeedsRecord(now, "s", "v2", ""))
	assert.Assert(t, cache.NeedsRecord(now, "s", "v1", "v2"), "the record names another version")
	assert.Assert(t, !cache.NeedsRecord(now, "s", "v2", "v2"))
	assert.Assert(t, cache.NeedsRecord(now, "s", "V1", ""), "another spelling is another version")
	last := now // the last time at which the default is told
	for ; ; now = now.Add(10 * time.Second) {
		if next := choose.Choose(now, "s", present, map[string]int{"v2": 18}); next != "" {
			assert.Equal(t, next, "v2")
			break
		}
	}
	assert.Assert(t, now.Sub(last) >= DefaultRetention)
	assert.Assert(t, cache.NeedsRecord(now, "s", "v1", ""), "the gateway has not been told for a long time")
}

// Guards against a record of an abandoned attempt that arrives late and replaces that of the attempt
// whose events the caller has.
func TestLateRecordOfAnEarlierAttempt(t *testing.T) {
	l, key := New(), KeyOf("s", "a")
	apply(t, l, begin, Command{Streams: []Record{{Service: "s", Version: "v1", Key: key, Attempt: 2}}})
	apply(t, l, begin, Command{Streams: []Record{{Service: "s", Version: "v2", Key: key, Attempt: 1}}})
	version, _ := l.Version("s", key)
	assert.Equal(t, version, "v1")
	b, err := l.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, l.Restore(b))
	apply(t, l, begin, Command{Streams: []Record{{Service: "s", Version: "v2", Key: key, Attempt: 1}}})
	version, _ = l.Version("s", key)
	assert.Equal(t, version, "v1")
}

// Guards against a take-up that names no stream and goes on at a version that may not have begun it.
func TestOnlyVersion(t *testing.T) {
	l := New()
	_, known := l.OnlyVersion("s")
	assert.Assert(t, !known)
	apply(t, l, begin, Command{DefaultOf: "s", Default: "v1"})
	version, known := l.OnlyVersion("s")
	assert.Assert(t, known && version == "v1")
	apply(t, l, begin, Command{Streams: []Record{{Service: "other", Version: "v9", Key: KeyOf("other", "a")}}})
	_, known = l.OnlyVersion("s")
	assert.Assert(t, known)
	apply(t, l, begin, Command{Streams: []Record{{Service: "s", Version: "v2", Key: KeyOf("s", "a")}}})
	_, known = l.OnlyVersion("s")
	assert.Assert(t, !known)
}

// Guards against odd entries in the log and odd snapshots.
func TestOddEntries(t *testing.T) {
	l := New()
	assert.Check(t, l.Apply([]byte(`{"Streams":[{"Key":"x"}]}`)) != nil)
	for _, b := range []string{"", "{", "[]"} {
		assert.Check(t, l.Apply([]byte(b)) != nil, "%q", b)
		assert.Check(t, l.Restore([]byte(b)) != nil, "%q", b)
	}
	assert.Check(t, l.Restore([]byte(`{"Groups":[{"Keys":"AAAA","ExpiresMS":[1]}]}`)) != nil)
}

// Guards against a gateway whose memory of its streams grows for ever.
func TestCacheIsBounded(t *testing.T) {
	c := NewCache()
	for i := range 2 * maxOwn {
		c.Relayed(KeyOf("s", fmt.Sprint(i)), "v1")
	}
	assert.Equal(t, len(c.own), maxOwn)
	_, known := c.Version(KeyOf("s", fmt.Sprint(2*maxOwn-1)))
	assert.Assert(t, known)
}
