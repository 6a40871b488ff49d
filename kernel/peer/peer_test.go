package peer

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/pki"
	"heatherway.dev/kernel/result"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// Echo is a net/rpc service for tests.
type Echo struct{ hang chan struct{} }

// Say replies with its argument.
func (Echo) Say(in string, out *string) error { *out = in; return nil }

// Refuse returns an error with a result code.
func (Echo) Refuse(string, *string) error {
	return EncodeError(result.New(result.Leaving, "going").After(time.Second))
}

// Hang blocks until the test ends.
func (e Echo) Hang(string, *string) error { <-e.hang; return nil }

// SayLate replies with its argument after lateAnswer.
func (Echo) SayLate(in string, out *string) error {
	time.Sleep(lateAnswer)
	*out = in
	return nil
}

const lateAnswer = 50 * time.Millisecond

// Guards against an answer that is written to the caller's reply after its call has returned.
func TestLateAnswerLeavesReplyUntouched(t *testing.T) {
	sec := newPlaintextSecurity(t)
	c := sec.NewClient(serve(t, sec))
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(lateAnswer/5, cancel)
	var late, next string
	assert.ErrorIs(t, c.Call(ctx, "Echo.SayLate", "late", &late), context.Canceled)
	// Answers on a connection are decoded in turn.
	assert.NilError(t, c.Call(t.Context(), "Echo.SayLate", "next", &next))
	assert.Equal(t, late, "")
	assert.Equal(t, next, "next")
}

func serve(t *testing.T, sec *Security, roles ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	service := Echo{hang: make(chan struct{})}
	srv := &http.Server{Handler: &Handler{Security: sec, Roles: roles, Services: func(Roles) map[string]any {
		return map[string]any{"Echo": service}
	}}}
	go func() { _ = srv.Serve(sec.NewListener(l)) }()
	t.Cleanup(func() { close(service.hang); _ = srv.Close() })
	return l.Addr().String()
}

type authority struct {
	*pki.Authority
	folder string
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	a, err := pki.NewAuthority(time.Now(), time.Hour)
	assert.NilError(t, err)
	p, err := a.Pair()
	assert.NilError(t, err)
	folder := t.TempDir()
	assert.NilError(t, p.Write(folder, "ca"))
	return authority{a, folder}
}

func (a authority) security(t *testing.T, name, role string, validity time.Duration) *Security {
	t.Helper()
	p, err := a.Issue(name, role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), validity)
	assert.NilError(t, err)
	assert.NilError(t, p.Write(a.folder, name))
	s, err := NewSecurity(TLSSettings{
		CA:   filepath.Join(a.folder, "ca.pem"),
		Cert: filepath.Join(a.folder, name+".pem"),
		Key:  filepath.Join(a.folder, name+"-key.pem"),
	}, discardLog)
	assert.NilError(t, err)
	return s
}

func callEcho(sec *Security, addr string) error {
	c := sec.NewClient(addr)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var out string
	return c.Call(ctx, "Echo.Say", "hello", &out)
}

// Guards against accepting a peer whose certificate is missing, expired, signed by
// another authority or lacks the role.
func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	addr := serve(t, a.security(t, "server", "control", time.Hour), "agent")
	assert.NilError(t, callEcho(a.security(t, "agent", "agent", time.Hour), addr))

	foreign := newAuthority(t)
	for name, sec := range map[string]*Security{
		"wrong role":        a.security(t, "entry", "entry", time.Hour),
		"expired":           a.security(t, "old", "agent", -time.Minute),
		"foreign authority": foreign.security(t, "agent", "agent", time.Hour),
		"no certificate":    {settings: TLSSettings{Off: true}},
	} {
		assert.Assert(t, callEcho(sec, addr) != nil, name)
	}
}

// Guards against a renewed certificate that takes effect only after a restart.
func TestCertificateReload(t *testing.T) {
	a := newAuthority(t)
	addr := serve(t, a.security(t, "server", "control", time.Hour), "agent")
	sec := a.security(t, "agent", "entry", time.Hour)
	assert.Assert(t, callEcho(sec, addr) != nil)
	renewed, err := a.Issue("agent", "agent", nil, time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, renewed.Write(a.folder, "agent"))
	sec.nextCheck, sec.loadedModTime = time.Time{}, time.Time{}
	assert.NilError(t, callEcho(sec, addr))
}

// Guards against empty TLS settings that disable TLS.
func TestTLSOffMustBeExplicit(t *testing.T) {
	_, err := NewSecurity(TLSSettings{}, discardLog)
	assert.Assert(t, result.Is(err, result.SettingInvalid), "%v", err)
}

func newPlaintextSecurity(t *testing.T) *Security {
	t.Helper()
	s, err := NewSecurity(TLSSettings{Off: true}, discardLog)
	assert.NilError(t, err)
	return s
}

// Guards against a result code that is lost in transmission by net/rpc.
func TestErrorKeepsCode(t *testing.T) {
	sec := newPlaintextSecurity(t)
	c := sec.NewClient(serve(t, sec))
	defer c.Close()
	err := c.Call(context.Background(), "Echo.Refuse", "", new(string))
	e := result.From(err)
	assert.Equal(t, e.Code, result.Leaving)
	assert.Equal(t, e.RetryAfter, time.Second)
	assert.Equal(t, e.Ran, result.NotRun)
}

// Guards against a call without a response that blocks the calls after it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	sec := newPlaintextSecurity(t)
	c := sec.NewClient(serve(t, sec))
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, c.Call(ctx, "Echo.Hang", "", new(string)), context.DeadlineExceeded)
	var out string
	assert.NilError(t, c.Call(context.Background(), "Echo.Say", "again", &out))
	assert.Equal(t, out, "again")
}

// Guards against treating a call that was never sent as one that may have run.
func TestUnreachableIsMarked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	err = callEcho(newPlaintextSecurity(t), l.Addr().String())
	assert.Assert(t, errors.Is(err, ErrUnreachable), "%v", err)
}

// Guards against calls that wait past their deadlines for connections to a peer that accepts them and
// does not answer.
func TestCallsToASilentPeerEndWithTheirDeadlines(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client := newPlaintextSecurity(t).NewClient(l.Addr().String())
	var calls sync.WaitGroup
	start := time.Now()
	for range 20 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), DialTimeout/5)
			defer cancel()
			var out string
			err := client.Call(ctx, "Echo.Say", "hi", &out)
			assert.Check(t, errors.Is(err, ErrUnreachable), "%v", err)
		})
	}
	calls.Wait()
	assert.Assert(t, time.Since(start) < DialTimeout, "%v", time.Since(start))
	client.Close()
}

// Guards against a connection that stays open although the client was closed while it connected.
func TestCloseWhileConnecting(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client := newPlaintextSecurity(t).NewClient(l.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		var out string
		failed <- client.Call(ctx, "Echo.Say", "hi", &out)
	}()
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	client.Close()
	_, err = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(<-failed, ErrUnreachable))
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = io.ReadAll(conn)
	assert.NilError(t, err, "the connection stays open")
}

// Guards against checking only the first of several roles, a refusal without a
// result code, and a log line for every refusal of the same peer.
func TestRoles(t *testing.T) {
	a := newAuthority(t)
	server := a.security(t, "server", "agent", time.Hour)
	var log bytes.Buffer
	server.log = slog.New(slog.NewTextHandler(&log, nil))
	addr := serve(t, server, "entry")
	assert.NilError(t, callEcho(a.security(t, "both", "control,entry", time.Hour), addr))
	agent := a.security(t, "other", "agent", time.Hour)
	for range 3 {
		assert.Assert(t, callEcho(agent, addr) != nil)
	}
	assert.Equal(t, strings.Count(log.String(), "peer=other"), 1, log.String())
	assert.ErrorContains(t, server.Allow(Roles{"agent", "control"}, "x", "Agent.Call", "entry"), "4030")
}
