package registration

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against addresses that no other machine can connect to, or that mean the reader
// itself, and against refusing those that upstreams use.
func TestParseAddr(t *testing.T) {
	for addr, want := range map[string]string{
		"10.0.0.9:80": "10.0.0.9:80", "127.0.0.1:65535": "127.0.0.1:65535", "[::1]:80": "[::1]:80", "[2001:DB8::9]:080": "[2001:db8::9]:80",
		"[::ffff:10.0.0.9]:80": "10.0.0.9:80",
		"":                     "", ":80": "", "10.0.0.9": "", "10.0.0.9:": "", "10.0.0.9:0": "", "10.0.0.9:65536": "", "10.0.0.9:99999999999": "", "10.0.0.9:-1": "",
		"[::1": "", "[::1]": "", "[::1]:": "", "::1:80": "", "[fe80::1%eth0]:80": "", "[fe80::1%\r\nX: y]:80": "", "0.0.0.0:80": "", "[::]:80": "",
		"255.255.255.255:80": "", "239.1.2.3:80": "", "upstream.example:80": "", "10.0.0.9:80\n": "", "10.0.0.9:http": "", strings.Repeat("1", 1<<20): "",
	} {
		got, err := ParseAddr(addr)
		if want == "" {
			assert.Check(t, err != nil, "%.40q", addr)
			assert.Check(t, err == nil || len(err.Error()) < 500, "%d bytes", len(err.Error()))
			continue
		}
		assert.Check(t, err, "%q", addr)
		assert.Check(t, got.String() == want, "%q became %s", addr, got)
	}
}

// Guards against records in the directory that a reader cannot use, however they came
// there, and against errors as long as the record that they are about.
func TestDirectoryHoldsOnlyValidRecords(t *testing.T) {
	number := rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{0, 1, -1, MaxSeq, MaxSeq + 1, MaxStartedMS, MaxStartedMS + 1, math.MaxInt64, math.MinInt64}))
	name := rapid.OneOf(rapid.SampledFrom([]string{"a", "b", "", "a\n", "\xff", strings.Repeat("x", MaxNameBytes+1)}), rapid.String())
	rapid.Check(t, func(t *rapid.T) {
		d := New(allNamed)
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			u := Upstream{
				ID: name.Draw(t, "id"), Service: name.Draw(t, "service"), Zone: name.Draw(t, "zone"), State: State(rapid.IntRange(0, 5).Draw(t, "state")),
				Addr:  rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80", "", "10.0.0.1:0", "x"}).Draw(t, "address"),
				Slots: int(number.Draw(t, "slots")), StartedMS: number.Draw(t, "start"), Seq: number.Draw(t, "sequence number"), ColdMS: number.Draw(t, "warm-up"),
				Leaving: rapid.Bool().Draw(t, "leaving"),
			}
			if err := u.Validate(); (err == nil) == (d.Observe(start, u) == Malformed) {
				t.Fatalf("Validate returns %v for %+v, Observe the contrary", err, u)
			} else if err != nil && len(err.Error()) > 500 {
				t.Fatalf("the error has %d bytes", len(err.Error()))
			}
			d.Refresh(start, u.ID, u.StartedMS, number.Draw(t, "sequence number of a notice"))
		}
		d.MarkLost(start.Add(time.Minute), time.Second)
		for _, u := range d.All() {
			if err := u.Validate(); err != nil {
				t.Fatalf("%+v is stored: %v", u, err)
			}
		}
	})
}

// Guards against a directory that grows without bound while another writer announces new
// IDs, and against upstreams that are refused although only ended ones take up the space.
func TestDirectoryIsBounded(t *testing.T) {
	d := New(allNamed)
	for i := range MaxRecords + 100 {
		outcome := d.Observe(start, Upstream{ID: fmt.Sprint("left-", i), State: Left, StartedMS: 1})
		assert.Assert(t, outcome == Changed, "the oldest ended record makes room")
	}
	assert.Equal(t, d.Len(), MaxRecords)
	for i := range MaxRecords {
		assert.Assert(t, d.Observe(start, readyUpstream(fmt.Sprint("u-", i), fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), 1000, 1)) == Changed)
	}
	assert.Equal(t, d.Len(), MaxRecords)
	assert.Equal(t, d.Observe(start, readyUpstream("one-more", "10.255.0.1:80", 1000, 1)), Full)
	assert.Equal(t, d.Observe(start, readyUpstream("u-0", "10.0.0.1:80", 1000, 2).withState(Draining)), Changed, "known upstreams change as before")
	_, known := d.Get("one-more")
	assert.Assert(t, !known)
	assert.Equal(t, len(d.MarkLost(start.Add(time.Minute), time.Second)), MaxRecords)
	assert.Equal(t, d.Observe(start, readyUpstream("one-more", "10.255.0.1:80", 1000, 1)), Changed)
}

// Guards against a directory that no longer fits into one message between processes, so
// that no gateway can follow it.
func TestLargestDirectoryFitsIntoAMessage(t *testing.T) {
	name := strings.Repeat("n", MaxNameBytes)
	var b bytes.Buffer
	list := make([]Upstream, MaxRecords)
	for i := range list {
		list[i] = Upstream{ID: name, Service: name, Zone: name, Addr: "[2001:db8:2001:db8:2001:db8:2001:db8]:65535", Slots: MaxSlots, State: Left, StartedMS: MaxStartedMS, Seq: MaxSeq, ColdMS: MaxColdMS}
		assert.NilError(t, list[i].Validate())
	}
	assert.NilError(t, gob.NewEncoder(&b).Encode(list))
	const maxMessageBytes, maxConfigurationBytes = 24 << 20, 4 << 20 // in kernel/peer and modules/registry
	assert.Assert(t, b.Len() < maxMessageBytes-maxConfigurationBytes, "%d bytes", b.Len())
}
