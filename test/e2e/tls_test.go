package e2e

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/pki"
)

// testAuthority issues certificates into a folder.
type testAuthority struct {
	t      *testing.T
	folder string
	*pki.Authority
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a, err := pki.NewAuthority(time.Now(), time.Hour)
	assert.NilError(t, err)
	p, err := a.Pair()
	assert.NilError(t, err)
	folder := t.TempDir()
	assert.NilError(t, p.Write(folder, "ca"))
	return &testAuthority{t, folder, a}
}

// settings issues a certificate and returns the files.
func (a *testAuthority) settings(name, role string, validity time.Duration) peer.TLSSettings {
	a.t.Helper()
	p, err := a.Issue(name, role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), validity)
	assert.NilError(a.t, err)
	assert.NilError(a.t, p.Write(a.folder, name))
	file := func(name string) string { return filepath.Join(a.folder, name+".pem") }
	return peer.TLSSettings{CA: file("ca"), Cert: file(name), Key: file(name + "-key")}
}

func (a *testAuthority) security(name, role string, validity time.Duration) *peer.Security {
	a.t.Helper()
	s, err := peer.NewSecurity(a.settings(name, role, validity), slog.New(slog.DiscardHandler))
	assert.NilError(a.t, err)
	return s
}

// tlsOf returns the section tls of a process's settings.
func (f *fleet) tlsOf(kind, name string) string {
	if f.tls == nil {
		return "{off: true}"
	}
	s := f.tls.settings(name, kind, time.Hour)
	return fmt.Sprintf("{ca: %q, cert: %q, key: %q}", s.CA, s.Cert, s.Key)
}

// Guards against a fleet that cannot serve with mutual TLS, and against peers
// that are let in with a certificate of another authority, an expired one, or
// one of another role.
func TestMutualTLS(t *testing.T) {
	f := emptyFleet(t, shape{control: 1, entries: 1, engines: 1})
	f.tls = newTestAuthority(t)
	f.security = f.tls.security("operator", "operator", time.Hour)
	f.startAll(shape{control: 1, entries: 1, engines: 1})
	ctx, cancel := context.WithTimeout(t.Context(), streamLimit)
	defer cancel()
	f.streams(4, 40, func(i int, c *call) error { return f.through(ctx, c, i) })

	probe := func(s *peer.Security, method string, args, reply any) error {
		c := s.NewClient(f.Engines[0].Agent)
		defer c.Close()
		return c.Call(ctx, method, args, reply)
	}
	entry := f.tls.security("probe", "entry", time.Hour)
	assert.NilError(t, probe(entry, "Agent.Probe", &wire.ProbeArgs{}, &wire.ProbeReply{}))
	other := newTestAuthority(t).security("probe", "entry", time.Hour)
	assert.ErrorContains(t, probe(other, "Agent.Probe", &wire.ProbeArgs{}, &wire.ProbeReply{}), "certificate")
	expired := f.tls.security("expired", "entry", -time.Minute)
	assert.Assert(t, probe(expired, "Agent.Probe", &wire.ProbeArgs{}, &wire.ProbeReply{}) != nil)
	for _, method := range []string{"Agent.Cancel", "Agent.Call"} {
		var err error
		if method == "Agent.Call" {
			err = probe(f.security, method, &wire.CallArgs{}, &wire.CallReply{})
		} else {
			err = probe(f.security, method, &wire.CancelArgs{}, &wire.CancelReply{})
		}
		assert.ErrorContains(t, err, "4030", method)
	}
}
