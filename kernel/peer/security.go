// Package peer connects the processes of heatherway: mutual TLS, net/rpc over
// one HTTP listener, and clients that notice silent connections.
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

	"heatherway.dev/kernel/result"
)

// TLSSettings names the files of mutual TLS between processes.
type TLSSettings struct {
	// Off must be set to true to run without TLS; it is meant for local runs.
	Off bool `yaml:"off"`
	// CA is the file of certificates that peers must be signed by.
	CA string `yaml:"ca"`
	// Cert is the file of this process's certificate.
	Cert string `yaml:"cert"`
	// Key is the file of the key of Cert.
	Key string `yaml:"key"`
}

// reloadInterval bounds how long a replaced certificate file goes unnoticed.
const reloadInterval = 10 * time.Second

// Security makes TLS configurations from files and reloads them on change.
type Security struct {
	settings TLSSettings
	log      *slog.Logger

	mu            sync.Mutex
	loaded        *tls.Config
	loadedModTime time.Time
	nextCheck     time.Time
	// refusedPeers are the names of peers whose refusal has been logged.
	refusedPeers map[string]bool
}

// NewSecurity loads the files once, so that wrong ones stop the process.
func NewSecurity(s TLSSettings, log *slog.Logger) (*Security, error) {
	sec := &Security{settings: s, log: log}
	if s.Off {
		log.Warn("connections between processes are not encrypted, since tls.off is set")
		return sec, nil
	}
	if s.CA == "" || s.Cert == "" || s.Key == "" {
		return nil, result.New(result.SettingInvalid, "tls: set ca, cert and key, or off: true for a local run")
	}
	if _, err := sec.currentConfig(); err != nil {
		return nil, result.Wrap(result.TLSFiles, err, "cannot load TLS files")
	}
	return sec, nil
}

// Off tells whether TLS is switched off.
func (s *Security) Off() bool { return s.settings.Off }

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
		s.log.Error("keeping the old TLS files, since the new ones cannot be loaded", "error", err)
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

// NewListener wraps a listener in mutual TLS, or returns it as it is when TLS is
// off.
func (s *Security) NewListener(l net.Listener) net.Listener {
	if s.Off() {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.currentConfig() },
	})
}

// ClientConfig returns the TLS configuration of an outgoing connection, or nil when
// TLS is off.
func (s *Security) ClientConfig() (*tls.Config, error) {
	if s.Off() {
		return nil, nil
	}
	return s.currentConfig()
}

// Roles are the roles of a process, which its certificate carries as
// organisational units.
type Roles []string

// HasAny tells whether one of the roles is among those allowed.
func (r Roles) HasAny(allowed ...string) bool {
	return slices.ContainsFunc(r, func(role string) bool { return slices.Contains(allowed, role) })
}

// RolesOf returns the roles in a peer's certificate. It is empty without TLS.
func RolesOf(state *tls.ConnectionState) Roles {
	if state == nil || len(state.PeerCertificates) == 0 {
		return nil
	}
	return state.PeerCertificates[0].Subject.OrganizationalUnit
}

// Allow refuses with 4030 a peer that has none of the allowed roles. Without TLS
// every peer is allowed. Each peer's first refusal is logged, by the name in its
// certificate.
func (s *Security) Allow(roles Roles, name, action string, allowed ...string) error {
	if s.Off() || roles.HasAny(allowed...) {
		return nil
	}
	if s.log != nil && s.isFirstRefusal(name) {
		s.log.Warn("a peer's roles do not allow a call", "peer", name, "roles", roles, "action", action)
	}
	return result.New(result.RoleForbidden, "roles %q may not use %s", []string(roles), action)
}

// maxRefusedPeers bounds the names of refused peers that are remembered.
const maxRefusedPeers = 4096

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

// CommonName returns the common name in a peer's certificate. It is empty without
// TLS.
func CommonName(state *tls.ConnectionState) string {
	if state == nil || len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}
