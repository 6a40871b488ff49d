// Package peer connects the processes of heatherway with mutual TLS and net/rpc
// over an HTTP listener. Its clients replace connections that stop responding.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/buffers"
	"heatherway.dev/kernel/result"
)

// TLSSettings configures mutual TLS between processes.
type TLSSettings struct {
	// Off disables TLS; it is meant for local runs and must be set explicitly.
	Off bool `yaml:"off"`
	// CA is the file with the CA certificates that sign the certificates of peers.
	CA string `yaml:"ca"`
	// Cert is the file with the certificate of this process.
	Cert string `yaml:"cert"`
	// Key is the file with the private key of the certificate.
	Key string `yaml:"key"`
}

// reloadInterval is the interval at which the certificate files are checked for
// changes.
const reloadInterval = 10 * time.Second

// Security holds the TLS configuration of the process, which it reloads when the
// files change.
type Security struct {
	settings TLSSettings
	log      *slog.Logger
	// messages limits the messages from other processes that are held in memory.
	messages *buffers.Budget

	mu            sync.Mutex
	loaded        *tls.Config
	loadedModTime time.Time
	nextCheck     time.Time
	// refusedPeers holds the names of the peers whose refusal has been logged.
	refusedPeers map[string]bool
}

// NewSecurity loads the TLS files. It fails if they are missing or invalid, so that
// the process doesn't start with them.
func NewSecurity(s TLSSettings, log *slog.Logger) (*Security, error) {
	sec := &Security{settings: s, log: log, messages: buffers.New(defaultMessageBudget)}
	if s.Off {
		log.Warn("connections between processes are not encrypted because tls.off is set")
		return sec, nil
	}
	if s.CA == "" || s.Cert == "" || s.Key == "" {
		return nil, result.New(result.SettingInvalid, "tls: ca, cert and key must be set, or off: true for a local run")
	}
	if _, err := sec.currentConfig(); err != nil {
		return nil, result.Wrap(result.TLSFiles, err, "cannot load TLS files")
	}
	return sec, nil
}

// Off reports whether TLS is disabled.
func (s *Security) Off() bool { return s.settings.Off }

// currentConfig returns the TLS configuration, reloaded if the files have changed.
// If the new files can't be loaded, the previous configuration stays in use.
func (s *Security) currentConfig() (*tls.Config, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.loaded != nil && now.Before(s.nextCheck) {
		return s.loaded, nil
	}
	s.nextCheck = now.Add(reloadInterval)
	modTime, err := latestModTime(s.settings.CA, s.settings.Cert, s.settings.Key)
	if err == nil && s.loaded != nil && modTime.Equal(s.loadedModTime) {
		return s.loaded, nil
	}
	var cfg *tls.Config
	if err == nil {
		cfg, err = loadConfig(s.settings)
	}
	if err != nil {
		if s.loaded == nil {
			return nil, err
		}
		s.log.Error("cannot reload the TLS files; the previous certificates stay in use", "error", err)
		return s.loaded, nil
	}
	s.loaded, s.loadedModTime = cfg, modTime
	return cfg, nil
}

func latestModTime(files ...string) (time.Time, error) {
	var newest time.Time
	for _, f := range files {
		st, err := os.Stat(f)
		if err != nil {
			return newest, err
		}
		if st.ModTime().After(newest) {
			newest = st.ModTime()
		}
	}
	return newest, nil
}

func loadConfig(s TLSSettings) (*tls.Config, error) {
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", s.CA)
	}
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// NewListener returns a listener that requires mutual TLS. If TLS is off, it returns
// l itself.
func (s *Security) NewListener(l net.Listener) net.Listener {
	if s.Off() {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.currentConfig() },
	})
}

// ClientConfig returns the TLS configuration of outgoing connections, or nil if TLS
// is off.
func (s *Security) ClientConfig() (*tls.Config, error) {
	if s.Off() {
		return nil, nil
	}
	return s.currentConfig()
}

// Roles holds the roles of a process, which are the organisational units in the
// subject of its certificate.
type Roles []string

// HasAny reports whether at least one of the roles is allowed.
func (r Roles) HasAny(allowed ...string) bool {
	return slices.ContainsFunc(r, func(role string) bool { return slices.Contains(allowed, role) })
}

// RolesOf returns the roles in a peer's certificate, or nil without TLS.
func RolesOf(state *tls.ConnectionState) Roles {
	if state == nil || len(state.PeerCertificates) == 0 {
		return nil
	}
	return state.PeerCertificates[0].Subject.OrganizationalUnit
}

// Allow returns an error with result code 4030 (RoleForbidden) if the peer has none
// of the allowed roles. Without TLS every peer is allowed. The first refusal of each
// peer, identified by the name in its certificate, is logged.
func (s *Security) Allow(roles Roles, name, action string, allowed ...string) error {
	if s.Off() || roles.HasAny(allowed...) {
		return nil
	}
	if s.log != nil && s.isFirstRefusal(name) {
		s.log.Warn("call refused: the certificate of the peer carries no allowed role", "peer", name, "roles", roles, "action", action)
	}
	return result.New(result.RoleForbidden, "roles %q may not use %s", []string(roles), action)
}

// maxRefusedPeers is the largest number of names in refusedPeers, which is cleared
// when it is full.
const maxRefusedPeers = 4096

// isFirstRefusal reports whether no refusal of the peer has been logged, and records
// one.
func (s *Security) isFirstRefusal(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedPeers == nil || len(s.refusedPeers) >= maxRefusedPeers {
		s.refusedPeers = map[string]bool{}
	}
	first := !s.refusedPeers[name]
	s.refusedPeers[name] = true
	return first
}

// CommonName returns the common name in a peer's certificate, or "" without TLS.
func CommonName(state *tls.ConnectionState) string {
	if state == nil || len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}
