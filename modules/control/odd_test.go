package control

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/quick"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/member"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/recovery"
	"heatherway.dev/kernel/result"
)

// safeBuffer is a buffer that several goroutines may write to.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) lines(text string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for line := range strings.Lines(s.b.String()) {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

var oddAnnouncements = map[string]func(*wire.Upstream){
	"no id": func(u *wire.Upstream) { u.ID = "" }, "id": func(u *wire.Upstream) { u.ID = "a\r\nX: y" }, "long id": func(u *wire.Upstream) { u.ID = strings.Repeat("a", 1<<20) },
	"port 0": func(u *wire.Upstream) { u.Addr = "127.0.0.1:0" }, "port": func(u *wire.Upstream) { u.Addr = "127.0.0.1:65536" }, "address": func(u *wire.Upstream) { u.Addr = "[::1" },
	"state": func(u *wire.Upstream) { u.State = 9 }, "incarnation": func(u *wire.Upstream) { u.Incarnation = math.MaxUint64 }, "slots": func(u *wire.Upstream) { u.Slots = math.MaxUint32 },
	"model": func(u *wire.Upstream) { u.Models = []string{"m\x00"} }, "zone": func(u *wire.Upstream) { u.Zone = "\xff" },
}

// Guards against an odd announcement of an agent that is taken in, from the agent or from
// another control instance, and against good ones in the same digest that are lost with it.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	c := newRunningControl(t)
	log := &safeBuffer{}
	c.logger = slog.New(slog.NewTextHandler(log, nil))
	members := func() (ids []string) {
		for _, u := range c.membership.view().Index.Members() {
			ids = append(ids, u.ID)
		}
		return ids
	}
	n := 0
	for name, change := range oddAnnouncements {
		odd := newUpstream("odd", "z1")
		change(&odd)
		err := (&service{c: c}).Announce(wire.AnnounceArgs{Upstream: odd, Seq: 1}, &wire.AnnounceReply{})
		assert.Check(t, err != nil && strings.Contains(err.Error(), fmt.Sprint(int(result.InvalidField))) && len(err.Error()) < 1000, "%s: %.200v", name, err)
		n++
		good := newUpstream(fmt.Sprint("good-", n), "z1")
		var reply member.DigestReply
		digest := member.Digest{From: "c2", Full: []member.Announcement{{Upstream: odd, Seq: 1}, {Upstream: good, Seq: 1}, {Upstream: odd, Seq: 2}}}
		assert.NilError(t, (&memberService{c}).Merge(digest, &reply))
		lines := log.lines("announcements in a digest ignored")
		assert.Check(t, len(lines) == n && len(lines[n-1]) < 1000, "%s: %d lines", name, len(lines))
	}
	waitFor(t, func() bool { return len(members()) == n })
	for _, id := range members() {
		assert.Check(t, strings.HasPrefix(id, "good-"), id)
	}
}

// Guards against a watch whose waiting time overflows, so that it returns without a pause.
func TestWatchWaitStaysInRange(t *testing.T) {
	c := newRunningControl(t)
	for _, wait := range []int64{math.MaxInt64, 1 << 61, 9_223_372_036_855} {
		begin := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = (&service{c: c}).Watch(wire.WatchArgs{Instance: "e", Role: "entry", Revision: 1 << 60, Suspects: 1 << 60, WaitMS: wait}, &wire.WatchReply{})
		}()
		<-done
		assert.Check(t, time.Since(begin) > maxWatchWait/2, "a wait of %d ms returned after %v", wait, time.Since(begin))
	}
}

// panicEvent panics when the owner of the membership handles it.
type panicEvent struct{}

func (panicEvent) handle(*membershipState) { panic("odd event") }

// Guards against a process that ends because of a panic over one message about members, and
// against a caller that waits for ever for the reply to such a message.
func TestPanicOverOneMemberEvent(t *testing.T) {
	c := newRunningControl(t)
	begin := time.Now()
	_, err := query(c.ctx, c.membership, func(chan<- bool) memberEvent { return panicEvent{} })
	assert.Assert(t, err != nil && time.Since(begin) < 3*time.Second)
	assert.NilError(t, (&service{c: c}).Announce(wire.AnnounceArgs{Upstream: newUpstream("a1", "z1"), Seq: 1}, &wire.AnnounceReply{}))
	waitFor(t, func() bool { return len(c.membership.view().Index.Members()) == 1 })
}

// Guards against a command in a replicated log, or a snapshot, that panics: it would end
// every member at each start.
func FuzzCommands(f *testing.F) {
	for _, seed := range []string{
		`{"at":1,"change":{"change_id":"a","author":"anna","reason":"r","edits":[{"kind":"set_default","name":"quarantine.period","value":"9s"}]}}`,
		`{"at":1,"quarantine":{"crash":{"Upstream":"u","Incarnation":1,"CrashNumber":1,"Fingerprints":["f"],"Probation":"f"}}}`,
		`{"at":1,"quarantine":{"permit":{"fingerprint":"f","id":"x","holder":"e","upstream":"u"}}}`, `{"at":2,"quarantine":{"return":{"fingerprint":"f","id":"x","passed":true}}}`,
		`{"at":1,"quarantine":{"lift":{"fingerprint":"f","operator":"anna"}}}`,
		`{"at":1,"lease":{"acquire":{"name":"orders","holder":"c1","request":"r","duration_ms":10}}}`, `{"at":1,"lease":{"expire":{"name":"orders","fence":1,"renewed":1}}}`,
		`{"at":1,"order":{"stage":{"ID":"o","Kind":"load","Upstream":"u","Fence":1}}}`, `{"at":1,"order":{"release":["o"]}}`, `{"at":1,"order":{"done":{"ID":"o","Fence":1}}}`, `{"at":1,"order":{"cancel":"o"}}`,
		`{"at":-9223372036854775808,"record_groups":9223372036854775807}`,
		`{"start":{"Key":"k","Attempt":"a","BodyHash":"h","Agent":"a1","Incarnation":1}}`, `{"finish":{"Key":"k","Attempt":"a","Status":200}}`,
	} {
		f.Add([]byte(seed), []byte(strings.ReplaceAll(seed, "1", "9223372036854775807")))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		fleet, records := newFleetMachine(), newRecordMachine()
		for i, command := range [][]byte{first, second, first} {
			fleet.Apply(uint64(i+1), command)
			records.Apply(uint64(i+1), command)
		}
		restored := newFleetMachine()
		if err := restored.Restore(fleet.Snapshot()); err != nil {
			t.Fatalf("a snapshot that was taken cannot be restored: %v", err)
		}
		_ = newFleetMachine().Restore(first)
		_ = newRecordMachine().Restore(second)
	})
}

// Guards against a crash report without a fingerprint that is stored. The snapshot of a log
// with such a record could not be restored, so that every member ended at each start.
func TestCrashReportWithoutFingerprint(t *testing.T) {
	c := newRunningControl(t)
	report := func(fingerprints ...string) error {
		args := wire.CrashArgs{Upstream: "u", Incarnation: 1, CrashNumber: uint64(len(fingerprints)), Fingerprints: fingerprints}
		return (&service{c: c}).Crash(args, &wire.CrashReply{})
	}
	assert.ErrorContains(t, report(""), fmt.Sprint(int(result.InvalidField)))
	assert.ErrorContains(t, report("", "\xff", strings.Repeat("f", 1<<20)), fmt.Sprint(int(result.InvalidField)))
	assert.NilError(t, report("", "poison", "a\nb", "other"))
	var suspects []string
	for _, s := range c.fleet.view().SuspectList {
		suspects = append(suspects, s.Fingerprint)
	}
	assert.DeepEqual(t, suspects, []string{"other", "poison"})
	assert.NilError(t, newFleetMachine().Restore(c.fleet.Snapshot()))

	// A log of an earlier release may contain such a report.
	old := newFleetMachine()
	old.Apply(1, []byte(`{"at":1,"quarantine":{"crash":{"Upstream":"u","Incarnation":1,"CrashNumber":1,"Fingerprints":["","poison"]}}}`))
	restored := newFleetMachine()
	assert.NilError(t, restored.Restore(old.Snapshot()))
	assert.Equal(t, len(restored.view().SuspectList), 1)
	assert.Equal(t, restored.view().SuspectList[0].Fingerprint, "poison")
}

// Guards against a call with odd arguments that panics and so ends the process. The
// arguments are random values of their types.
func TestOddCallsDoNotPanic(t *testing.T) {
	c := newRunningControl(t)
	c.auditLog = newAuditLogger(io.Discard, "c1")
	rng := rand.New(rand.NewSource(1))
	for _, receiver := range []any{&service{c: c}, &memberService{c}, &adminService{c: c, certificate: "anna"}} {
		methods := reflect.TypeOf(receiver)
		for i := range methods.NumMethod() {
			m := methods.Method(i)
			if m.Type.NumIn() != 3 || m.Type.NumOut() != 1 || m.Name == "ReplaceMember" { // calls other instances for seconds
				continue
			}
			for range 60 {
				args, ok := quick.Value(m.Type.In(1), rng)
				assert.Assert(t, ok, m.Name)
				if w, isWatch := args.Interface().(wire.WatchArgs); isWatch {
					w.WaitMS = 1
					args = reflect.ValueOf(w)
				}
				reply := reflect.New(m.Type.In(2).Elem())
				err := recovery.Run(c.logger, m.Name, func() { m.Func.Call([]reflect.Value{reflect.ValueOf(receiver), args, reply}) })
				assert.Check(t, err == nil, "%s panics", m.Name)
			}
		}
	}
	assert.NilError(t, newFleetMachine().Restore(c.fleet.Snapshot()))
}
