package member

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherway.dev/core/wire"
)

func validUpstream() wire.Upstream {
	return wire.Upstream{ID: "a", Incarnation: 1, Zone: "z", Addr: "10.0.0.1:7400", Models: []string{"m"}}
}

// Guards against announcements of agents that no entry can use, and against refusing those
// that entries use.
func TestValidate(t *testing.T) {
	for _, addr := range []string{"10.0.0.1:7400", "[::1]:7400", "agent-1.example:65535", "127.0.0.1:1", "[::]:7400"} {
		u := validUpstream()
		u.Addr = addr
		assert.Check(t, Validate(&u), addr)
	}
	for _, addr := range []string{"", "10.0.0.1", ":7400", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:http", "[::1", "::1:7400",
		"a b:7400", "a\r\nX: y:7400", "a/b:7400", "user@a:7400", "[fe80::1%x]:7400", "\xff:7400", strings.Repeat("a", 1<<20) + ":7400"} {
		u := validUpstream()
		u.Addr = addr
		err := Validate(&u)
		assert.Check(t, err != nil && len(err.Error()) < 500, "%.40q", addr)
	}
	many := slices.Repeat([]string{"m"}, MaxNames+1)
	for name, change := range map[string]func(*wire.Upstream){
		"no id": func(u *wire.Upstream) { u.ID = "" }, "id with a line end": func(u *wire.Upstream) { u.ID = "a\nb" }, "long id": func(u *wire.Upstream) { u.ID = strings.Repeat("a", 1<<20) },
		"zone": func(u *wire.Upstream) { u.Zone = "\xff" }, "region": func(u *wire.Upstream) { u.Region = "\x00" }, "state": func(u *wire.Upstream) { u.State = 200 },
		"no incarnation": func(u *wire.Upstream) { u.Incarnation = 0 }, "incarnation": func(u *wire.Upstream) { u.Incarnation = math.MaxUint64 },
		"slots": func(u *wire.Upstream) { u.Slots = math.MaxUint32 }, "empty model": func(u *wire.Upstream) { u.Models = []string{""} },
		"model": func(u *wire.Upstream) { u.Models = []string{"m\x00"} }, "service": func(u *wire.Upstream) { u.Services = []string{strings.Repeat("s", 1<<20)} },
		"many models": func(u *wire.Upstream) { u.Models = many }, "URL": func(u *wire.Upstream) { u.EventsURL = strings.Repeat("u", 1<<20) },
	} {
		u := validUpstream()
		change(&u)
		err := Validate(&u)
		assert.Check(t, err != nil && len(err.Error()) < 500, name)
	}
}

// Guards against messages that make a table, its index or a delta panic.
func TestOddMessagesDoNotPanic(t *testing.T) {
	text := rapid.OneOf(rapid.SampledFrom([]string{"", "a", "b", "c"}), rapid.String())
	number := rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{0, 1, -1, math.MaxInt64, math.MinInt64}))
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(0)
		var subset []wire.Upstream
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			u := wire.Upstream{
				ID: text.Draw(t, "id"), Incarnation: wire.Incarnation(number.Draw(t, "incarnation")), Zone: text.Draw(t, "zone"), Region: text.Draw(t, "region"),
				Addr: text.Draw(t, "address"), Models: rapid.SliceOfN(text, 0, 3).Draw(t, "models"), State: wire.UpstreamState(rapid.Uint8().Draw(t, "state")),
			}
			now := number.Draw(t, "now")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				table.Announce(now, u, uint64(number.Draw(t, "sequence number")))
			case 1:
				table.Merge(now, Digest{Full: []Announcement{{u, uint64(number.Draw(t, "sequence number")), number.Draw(t, "age")}}})
			default:
				table.Merge(now, Digest{Heard: []DigestEntry{{uint64(number.Draw(t, "content")), uint64(number.Draw(t, "sequence number")), number.Draw(t, "age")}}})
			}
			table.Expire(number.Draw(t, "expiry"))
			next := NewIndex(table.Members()).Subset(text.Draw(t, "entry"), text.Draw(t, "entry zone"))
			put, remove := NewSentSubset(subset).Delta(next)
			got, _ := ApplyDelta(subset, put, remove, Version(next))
			if fmt.Sprint(len(got)) != fmt.Sprint(len(next)) {
				t.Fatalf("%d upstreams after the delta, want %d", len(got), len(next))
			}
			subset = next
		}
	})
}
