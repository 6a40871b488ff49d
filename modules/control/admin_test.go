package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// newAuditedService returns an operator's service and the buffer that its audit
// log is written to.
func newAuditedService(t *testing.T) (*adminService, *bytes.Buffer) {
	t.Helper()
	c, buf := newRunningControl(t), &bytes.Buffer{}
	c.auditLog = newAuditLogger(buf, "c1")
	return &adminService{c: c, certificate: "CN of an operator"}, buf
}

func newChangeArgs(t *testing.T, id, author string, base uint64, value string) wire.ChangeArgs {
	t.Helper()
	edit := config.Edit{Kind: config.SetDefault, Name: "queue.limit", Value: value}
	b, err := json.Marshal(config.Change{ChangeID: id, BaseRevision: base, Author: author, Reason: "flood", Edits: []config.Edit{edit}})
	assert.NilError(t, err)
	return wire.ChangeArgs{Change: b}
}

// Guards against concurrent changes on the same revision of which several or
// none are accepted, a change that gets another answer when it is sent again,
// and a change that is missing from the audit log.
func TestConcurrentOperators(t *testing.T) {
	s, buf := newAuditedService(t)
	const operators = 8
	answers := make([]wire.ChangeReply, operators)
	var wg sync.WaitGroup
	for i := range operators {
		args := newChangeArgs(t, fmt.Sprint("change-", i), fmt.Sprint("op-", i), 0, fmt.Sprint(10+i))
		wg.Go(func() { assert.Check(t, s.Change(args, &answers[i])) })
	}
	wg.Wait()
	accepted := 0
	for i, a := range answers {
		var again wire.ChangeReply
		assert.NilError(t, s.Change(newChangeArgs(t, fmt.Sprint("change-", i), "resent", 0, "1"), &again))
		assert.DeepEqual(t, again, a)
		if a.Accepted {
			accepted++
			continue
		}
		assert.Equal(t, a.Code, result.RevisionConflict)
		assert.Assert(t, strings.HasPrefix(a.Winner, "change-") && strings.HasPrefix(a.WinnerAuthor, "op-"))
	}
	assert.Equal(t, accepted, 1)
	var refused wire.ChangeReply
	assert.NilError(t, s.Change(newChangeArgs(t, "bad", "op", answers[0].Revision, "none"), &refused))
	assert.Assert(t, refused.Code == result.ChangeRefused && len(refused.Problems) == 1)
	lines := strings.Split(strings.TrimSpace(buf.String()), "\n")
	assert.Equal(t, len(lines), 2*operators+1)
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(lines[0]), &line))
	for _, k := range []string{"time", "operator", "certificate", "reason", "revision", "code"} {
		assert.Assert(t, line[k] != nil, "%s missing in %s", k, lines[0])
	}
}

// Guards against a quarantine that cannot be lifted, and against lifting one
// without an operator's name and a reason.
func TestLift(t *testing.T) {
	s, _ := newAuditedService(t)
	for n := range uint64(2) {
		args := wire.CrashArgs{Upstream: "a1", Incarnation: wire.Incarnation(n + 1), CrashNumber: 1, Fingerprints: []string{"fp"}}
		assert.NilError(t, s.service().Crash(args, &wire.CrashReply{}))
	}
	var list wire.SuspectsReply
	assert.NilError(t, s.Suspects(wire.SuspectsArgs{}, &list))
	assert.Assert(t, len(list.Suspect) == 1 && list.Suspect[0].Quarantined && list.Suspect[0].LeftMS > 0)
	permit := wire.PermitArgs{Fingerprint: "fp", Holder: "e1", Upstream: "a2"}
	assert.ErrorContains(t, s.service().Permit(permit, &wire.PermitReply{}), "4220")
	assert.ErrorContains(t, s.Lift(wire.LiftArgs{Fingerprint: "fp"}, &wire.LiftReply{}), "4001")
	operator := wire.Operator{Operator: "op", Reason: "fixed engine"}
	assert.NilError(t, s.Lift(wire.LiftArgs{Operator: operator, Fingerprint: "fp"}, &wire.LiftReply{}))
	var p wire.PermitReply
	assert.NilError(t, s.service().Permit(permit, &p))
	assert.Assert(t, p.Permit != "")
}

type fakeAgent struct{ drains chan wire.DrainArgs }

func (a *fakeAgent) Drain(args wire.DrainArgs, r *wire.DrainReply) error {
	a.drains <- args
	r.Running = 3
	return nil
}

// Guards against a drain that does not reach the agent.
func TestDrainIsForwarded(t *testing.T) {
	s, buf := newAuditedService(t)
	agent := &fakeAgent{make(chan wire.DrainArgs, 1)}
	mux := http.NewServeMux()
	mux.Handle(peer.RPCPath, &peer.Handler{Security: s.c.security, Services: func(peer.Roles) map[string]any {
		return map[string]any{wire.AgentService: agent}
	}})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	u := newUpstream("a1", "z1")
	u.Addr = srv.Listener.Addr().String()
	s.c.announce(t, u, 1)
	waitFor(t, func() bool { _, ok := s.c.findUpstream("a1"); return ok })
	var r wire.DrainReply
	args := wire.AdminDrainArgs{Operator: wire.Operator{Operator: "op", Reason: "repair"}, Instance: "a1"}
	assert.NilError(t, s.Drain(args, &r))
	assert.Equal(t, r.Running, 3)
	assert.Equal(t, (<-agent.drains).Reason, "repair")
	args.Instance = "missing"
	assert.ErrorContains(t, s.Drain(args, &r), "4043")
	assert.Equal(t, strings.Count(buf.String(), `"action":"drain"`), 2)
}

// Guards against roles that get a service meant for operators or control
// instances only.
func TestServicesByRole(t *testing.T) {
	c := &Control{security: &peer.Security{}}
	for role, want := range map[string][2]bool{"entry": {}, "agent": {}, "operator": {true, false}, "control": {false, true}} {
		have := c.services(peer.Roles{role}, "")
		assert.Equal(t, have[wire.AdminService] != nil, want[0], role)
		assert.Equal(t, have[leaderService] != nil, want[1], role)
		assert.Equal(t, have[membersService] != nil, want[1], role)
	}
	entry := &service{c: c, roles: peer.Roles{roleEntry}}
	assert.ErrorContains(t, entry.Change(wire.ChangeArgs{}, &wire.ChangeReply{}), "4030")
	assert.ErrorContains(t, entry.Lift(wire.LiftArgs{}, &wire.LiftReply{}), "4030")
	assert.ErrorContains(t, entry.RemoveMember(RemoveMemberArgs{}, &RemoveMemberReply{}), "4030")
	assert.ErrorContains(t, entry.LocalStatus(wire.StatusArgs{}, &wire.LocalStatusReply{}), "4030")
}

// Guards against a call that is served to a caller without the required role.
// The role must be checked first: the control instance of this test has no
// state, so a call that got further would fail.
func TestCallsByRole(t *testing.T) {
	calls := map[string]struct {
		roles []string
		call  func(*service) error
	}{
		"Announce": {[]string{roleAgent}, func(s *service) error { return s.Announce(wire.AnnounceArgs{}, &wire.AnnounceReply{}) }},
		"Start":    {[]string{roleAgent}, func(s *service) error { return s.Start(wire.StartArgs{}, &wire.StartReply{}) }},
		"Finish":   {[]string{roleAgent}, func(s *service) error { return s.Finish(wire.FinishArgs{}, &wire.FinishReply{}) }},
		"Abort":    {[]string{roleEntry}, func(s *service) error { return s.Abort(wire.AbortArgs{}, &wire.AbortReply{}) }},
		"Permit":   {[]string{roleEntry}, func(s *service) error { return s.Permit(wire.PermitArgs{}, &wire.PermitReply{}) }},
		"Watch":    {[]string{roleEntry, roleAgent}, func(s *service) error { return s.Watch(wire.WatchArgs{}, &wire.WatchReply{}) }},
		"Crash":    {[]string{roleEntry, roleAgent}, func(s *service) error { return s.Crash(wire.CrashArgs{}, &wire.CrashReply{}) }},
		"Locate":   {[]string{roleEntry, roleAgent}, func(s *service) error { return s.Locate(wire.LocateArgs{}, &wire.LocateReply{}) }},
	}
	secured := &Control{security: &peer.Security{}}
	for method, want := range calls {
		for _, role := range servedRoles {
			s := &service{c: secured, forward: true, roles: peer.Roles{role}}
			allowed := slices.Contains(want.roles, role)
			assert.Equal(t, s.checkRole(method, want.roles...) == nil, allowed, "%s by %s", method, role)
			if !allowed {
				assert.ErrorContains(t, want.call(s), "4030", "%s by %s", method, role)
			}
		}
	}
}
