package admin

import (
	"log"
	"net/http"
	"strings"

	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// roleOperator is the role in the certificates of operators.
const roleOperator = "operator"

// authorize refuses callers whose certificate has another role than operator.
func (m *Module) authorize(r *http.Request) *result.Error {
	if m.security.Off() || peer.RolesOf(r.TLS).HasAny(roleOperator) {
		return nil
	}
	err := result.New(result.RoleForbidden, "roles %q may not use the administration API; use a certificate with the role %q", []string(peer.RolesOf(r.TLS)), roleOperator)
	m.auditRefusal(err, r)
	return err
}

// auditRefusal writes the line for a call that control did not decide.
func (m *Module) auditRefusal(err *result.Error, r *http.Request) {
	m.auditLine(err, r.Method+" "+r.URL.Path, peer.CommonName(r.TLS), r.RemoteAddr)
}

func (m *Module) auditLine(err *result.Error, action, certificate, remote string) {
	m.audit.Warn("audit", "action", action, "certificate", certificate, "remote", remote,
		"code", int(err.Code), "error", err.Message)
}

// refusalLog takes the error log of the HTTP server, the only place that tells
// of failed TLS handshakes.
type refusalLog struct{ m *Module }

func newRefusalLog(m *Module) *log.Logger { return log.New(refusalLog{m}, "", 0) }

const handshakePrefix = "http: TLS handshake error from "

// Write implements io.Writer.
func (w refusalLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	rest, handshake := strings.CutPrefix(text, handshakePrefix)
	if !handshake {
		w.m.log.Debug("HTTP server", "error", text)
		return len(line), nil
	}
	remote, cause, _ := strings.Cut(rest, ": ")
	w.m.auditLine(result.New(result.RoleForbidden, "%s", cause), "TLS handshake", "", remote)
	return len(line), nil
}
