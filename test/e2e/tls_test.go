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

// testAuthority is a certificate authority that writes its certificates to a
// directory.
type testAuthority struct {
	t   *testing.T
	dir string
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

// issue issues a certificate and returns TLS settings that refer to its files.
func (a *testAuthority) issue(name, role string, validity time.Duration) peer.TLSSettings {
	a.t.Helper()
	p, err := a.Issue(name, role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), validity)
	assert.NilError(a.t, err)
	assert.NilError(a.t, p.Write(a.dir, name))
	file := func(name string) string { return filepath.Join(a.dir, name+".pem") }
	return peer.TLSSettings{CA: file("ca"), Cert: file(name), Key: file(name + "-key")}
}

func (a *testAuthority) newSecurity(name, role string, validity time.Duration) *peer.Security {
	a.t.Helper()
	security, err := peer.NewSecurity(a.issue(name, role, validity), slog.New(slog.DiscardHandler))
	assert.NilError(a.t, err)
	return security
}

// tlsSettings returns the tls section of a process's settings.
func (cl *cluster) tlsSettings(kind, name string) string {
	if cl.authority == nil {
		return "{off: true}"
	}
	s := cl.authority.issue(name, kind, time.Hour)
	return fmt.Sprintf("{ca: %q, cert: %q, key: %q}", s.CA, s.Cert, s.Key)
}

// Guards against a cluster that can't serve with mutual TLS, and against
// accepting peers whose certificate is from another authority, expired, or
// issued for another role.
func TestMutualTLS(t *testing.T) {
	cl := newCluster(t, clusterSpec{control: 1, entries: 1, engines: 1})
	cl.authority = newTestAuthority(t)
	cl.security = cl.authority.newSecurity("operator", "operator", time.Hour)
	cl.startProcesses(clusterSpec{control: 1, entries: 1, engines: 1})
	ctx, cancel := context.WithTimeout(t.Context(), streamTimeout)
	defer cancel()
	cl.generate(4, 40, func(i int, g *generation) error { return cl.streamAndVerify(ctx, g, i) })

	probe := func(s *peer.Security, method string, args, reply any) error {
		c := s.NewClient(cl.Engines[0].Agent)
		defer c.Close()
		return c.Call(ctx, method, args, reply)
	}
	entryPeer := cl.authority.newSecurity("probe", "entry", time.Hour)
	assert.NilError(t, probe(entryPeer, "Agent.Probe", &wire.ProbeArgs{}, &wire.ProbeReply{}))
	foreign := newTestAuthority(t).newSecurity("probe", "entry", time.Hour)
	assert.ErrorContains(t, probe(foreign, "Agent.Probe", &wire.ProbeArgs{}, &wire.ProbeReply{}), "certificate")
	expired := cl.authority.newSecurity("expired", "entry", -time.Minute)
	assert.Assert(t, probe(expired, "Agent.Probe", &wire.ProbeArgs{}, &wire.ProbeReply{}) != nil)
	for _, method := range []string{"Agent.Cancel", "Agent.Call"} {
		var err error
		if method == "Agent.Call" {
			err = probe(cl.security, method, &wire.CallArgs{}, &wire.CallReply{})
		} else {
			err = probe(cl.security, method, &wire.CancelArgs{}, &wire.CancelReply{})
		}
		assert.ErrorContains(t, err, "4030", method)
	}
}
