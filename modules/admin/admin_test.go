package admin_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/freeport"
	_ "heatherway.dev/heatherway/modules/admin"   // registers its modules
	_ "heatherway.dev/heatherway/modules/control" // registers its modules
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/pki"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

// server is a process with the roles control and admin, run by the test.
type server struct {
	t        *testing.T
	base     string
	addr     string
	stop     func() // begins the stop of the process
	folder   string
	auditLog string
	// silent are addresses of control instances that are asked first and never answer.
	silent []string
	roots  *x509.CertPool
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := freeport.Listen()
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// writeCertificate writes a certificate and its key to the folder.
func writeCertificate(t *testing.T, folder, name, role string, begin time.Time, a *pki.Authority) {
	t.Helper()
	p, err := a.Issue(name, role, []net.IP{net.IPv4(127, 0, 0, 1)}, begin, time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, p.Write(folder, name))
}

// start runs a server and issues valid, expired and foreign certificates for its
// clients.
func start(t *testing.T, silent ...string) *server {
	t.Helper()
	s := &server{t: t, folder: t.TempDir(), silent: silent}
	a, err := pki.NewAuthority(time.Now(), time.Hour)
	assert.NilError(t, err)
	p, err := a.Pair()
	assert.NilError(t, err)
	assert.NilError(t, p.Write(s.folder, "ca"))
	s.roots = x509.NewCertPool()
	s.roots.AppendCertsFromPEM(p.Cert)
	other, err := pki.NewAuthority(time.Now(), time.Hour)
	assert.NilError(t, err)
	writeCertificate(t, s.folder, "control", "control", time.Now(), a)
	writeCertificate(t, s.folder, "anna", "operator", time.Now(), a)
	writeCertificate(t, s.folder, "agent", "agent", time.Now(), a)
	writeCertificate(t, s.folder, "expired", "operator", time.Now().Add(-2*time.Hour), a)
	writeCertificate(t, s.folder, "stranger", "operator", time.Now(), other)
	s.run()
	return s
}

// run starts the kernel with standard error, which carries the audit log, redirected
// to a file.
func (s *server) run() {
	s.auditLog = filepath.Join(s.folder, "log")
	f, err := os.Create(s.auditLog)
	assert.NilError(s.t, err)
	old := os.Stderr
	os.Stderr = f
	defer func() { os.Stderr = old }()
	listen, control := freeAddr(s.t), freeAddr(s.t)
	s.base = "https://" + listen + "/admin/v1"
	doc, err := settings.Parse("test.yaml", fmt.Appendf(nil, `
instance: {id: c1, zone: z, region: r}
tls: {ca: %[1]s/ca.pem, cert: %[1]s/control.pem, key: %[1]s/control-key.pem}
roles:
- control: {listen: "%[2]s", bootstrap: {organisations: {demo: {keys: [demo]}}}}
- admin: {listen: "%[3]s", control: ["%[4]s"]}
`, s.folder, control, listen, strings.Join(append(slices.Clone(s.silent), control), `", "`)))
	assert.NilError(s.t, err)
	k, err := kernel.New(doc)
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	s.addr, s.stop = listen, cancel
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		assert.NilError(s.t, <-done)
	})
	s.waitUntil(func() bool {
		_, body, err := s.request("anna", "GET", "/configuration", "")
		return err == nil && strings.Contains(body, `"revision":1`)
	})
}

func (s *server) waitUntil(done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(end), "timed out")
	}
}

// request sends a request with the certificate of who, or without one if who is empty.
func (s *server) request(who, method, path, body string) (int, string, error) {
	s.t.Helper()
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: s.roots}
	if who != "" {
		pair, err := tls.LoadX509KeyPair(filepath.Join(s.folder, who+".pem"), filepath.Join(s.folder, who+"-key.pem"))
		assert.NilError(s.t, err)
		// By default a client sends no certificate that is signed by an authority
		// which the server doesn't list.
		cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	transport := &http.Transport{TLSClientConfig: cfg}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(s.t.Context(), method, s.base+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	res, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// waitForAudit waits until the audit log contains a line with the code and the text.
func (s *server) waitForAudit(code result.Code, text string) {
	s.t.Helper()
	s.waitUntil(func() bool {
		b, err := os.ReadFile(s.auditLog)
		assert.NilError(s.t, err)
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, `"msg":"audit"`) && strings.Contains(line, text) &&
				strings.Contains(line, fmt.Sprintf(`"code":%d,`, int(code))) {
				return true
			}
		}
		return false
	})
}

// setLimit returns the body of a change that sets queue.limit.
func setLimit(id, value, reason string, base int) string {
	b, _ := json.Marshal(map[string]any{ // strings and numbers can always be encoded
		"change_id": id, "base_revision": base, "author": "anna", "reason": reason,
		"edits": []any{map[string]string{"kind": "set_default", "name": "queue.limit", "value": value}},
	})
	return string(b)
}

// Guards against callers that are accepted although their certificate is missing,
// expired, signed by another authority or lacks the role operator, or that are
// refused without an audit line.
func TestUnauthorizedCallersAreRefused(t *testing.T) {
	s := start(t)
	status, body, err := s.request("agent", "POST", "/configuration/changes", setLimit("a", "5", "try", 1))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusForbidden)
	assert.Assert(t, strings.Contains(body, `"code":4030`), body)
	s.waitForAudit(result.RoleForbidden, `"certificate":"agent"`)
	for who, cause := range map[string]string{
		"expired": "expired", "stranger": "unknown authority", "": "didn't provide a certificate",
	} {
		_, _, err := s.request(who, "GET", "/status", "")
		assert.ErrorContains(t, err, "tls:", who)
		s.waitForAudit(result.RoleForbidden, cause)
	}
}

// Guards against accepting a change without a reason or on an old base revision, a
// repeated change id that changes the configuration again, and changes without an
// audit line that has the name in the operator's certificate.
func TestChangesAreChecked(t *testing.T) {
	s := start(t)
	post := func(body string) (int, string) {
		status, answer, err := s.request("anna", "POST", "/configuration/changes", body)
		assert.NilError(t, err)
		return status, answer
	}
	for _, reason := range []string{"", " "} {
		status, body := post(setLimit("none", "5", reason, 1))
		assert.Assert(t, status >= 400 && strings.Contains(body, "reason"), body)
	}
	s.waitForAudit(result.InvalidField, "reason")
	s.waitForAudit(result.ChangeRefused, `"change_id":"none"`)
	status, first := post(setLimit("a", "5", "flood", 1))
	assert.Equal(t, status, http.StatusOK, first)
	s.waitForAudit(0, `"certificate":"anna"`)
	status, again := post(setLimit("a", "6", "replayed", 1))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, again, first)
	s.waitForAudit(0, `"reason":"replayed"`)
	_, now, err := s.request("anna", "GET", "/configuration", "")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(now, `"queue.limit":"5"`), now)
	status, body := post(setLimit("b", "7", "late", 1))
	assert.Equal(t, status, http.StatusConflict)
	assert.Assert(t, strings.Contains(body, `"code":4091`), body)
	s.waitForAudit(result.RevisionConflict, `"change_id":"b"`)
}

// Guards against an administration API without TLS on an address that other machines
// can reach.
func TestLoopbackWithoutTLS(t *testing.T) {
	doc, err := settings.Parse("test.yaml", []byte(`
instance: {id: c1, zone: z, region: r}
log: {level: error}
tls: {off: true}
roles:
- admin: {listen: "0.0.0.0:0", control: ["127.0.0.1:1"]}
`))
	assert.NilError(t, err)
	_, err = kernel.New(doc)
	assert.ErrorContains(t, err, "loopback")
}
