package admin

import (
	"log"
	"net/http"
	"strings"

	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// roleOperator is the role in operators' certificates.
const roleOperator = "operator"

// authorize refuses callers whose certificate lacks the role operator, and writes an
// audit line for each refusal.
func (m *Module) authorize(r *http.Request) *result.Error {
	if m.security.Off() || peer.RolesOf(r.TLS).HasAny(roleOperator) {
		return nil
	}
	err := result.New(result.RoleForbidden, "roles %q may not use the administration API; use a certificate with the role %q", []string(peer.RolesOf(r.TLS)), roleOperator)
	m.auditRefusal(err, r)
	return err
}

// auditRefusal writes the audit line for a call that failed without a decision by
// control.
func (m *Module) auditRefusal(err *result.Error, r *http.Request) {
	m.auditLine(err, r.Method+" "+r.URL.Path, peer.CommonName(r.TLS), r.RemoteAddr)
}

func (m *Module) auditLine(err *result.Error, action, certificate, remote string) {
	m.audit.Warn("audit", "action", action, "certificate", certificate, "remote", remote,
		"code", int(err.Code), "error", err.Message)
}

// httpErrorLog receives the error log of the HTTP server, which is the only report of
// a failed TLS handshake, and writes an audit line for each one.
type httpErrorLog struct{ m *Module }

func newHTTPErrorLog(m *Module) *log.Logger { return log.New(httpErrorLog{m}, "", 0) }

// handshakePrefix starts the lines of net/http about failed TLS handshakes.
const handshakePrefix = "http: TLS handshake error from "

// Write implements io.Writer.
func (w httpErrorLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	rest, handshake := strings.CutPrefix(text, handshakePrefix)
	if !handshake {
		w.m.log.Debug("HTTP server reports an error", "error", text)
		return len(line), nil
	}
	remote, cause, _ := strings.Cut(rest, ": ")
	w.m.auditLine(result.New(result.RoleForbidden, "%s", cause), "TLS handshake", "", remote)
	return len(line), nil
}
