// Package pki issues the certificates of a heatherway fleet. The command line and
// the tests use it; a fleet that has a certificate authority of its own doesn't
// need it.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// serialBits is the size of a random serial number. RFC 5280 allows up to 20 bytes.
const serialBits = 120

// clockSkew is how far NotBefore of a certificate lies in the past, so that peers
// whose clocks are behind accept it.
const clockSkew = 5 * time.Minute

// NewAuthority creates an authority with a new key and a self-signed certificate.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	tmpl, err := template(now, validity, pkix.Name{CommonName: "heatherway authority"})
	if err != nil {
		return nil, err
	}
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, err
}

func template(now time.Time, validity time.Duration, subject pkix.Name) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// Pair is a certificate and its private key in PEM.
type Pair struct{ Cert, Key []byte }

// Issue creates a key and a certificate for a process or an operator. role is a
// comma-separated list of roles; each becomes an organisational unit of the
// subject, which peers check.
func (a *Authority) Issue(name, role string, addrs []net.IP, now time.Time, validity time.Duration) (Pair, error) {
	tmpl, err := template(now, validity, pkix.Name{CommonName: name, OrganizationalUnit: strings.Split(role, ",")})
	if err != nil {
		return Pair{}, err
	}
	tmpl.IPAddresses = addrs
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, err
	}
	return encodePair(der, key)
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	kb, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: kb}),
	}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() (Pair, error) { return encodePair(a.cert.Raw, a.key) }

// LoadAuthority reads an authority from ca.pem and ca-key.pem in a folder.
func LoadAuthority(folder string) (*Authority, error) {
	cert, err := readPEM(filepath.Join(folder, "ca.pem"))
	if err != nil {
		return nil, err
	}
	key, err := readPEM(filepath.Join(folder, "ca-key.pem"))
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(cert)
	if err != nil {
		return nil, err
	}
	k, err := x509.ParseECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: c, key: k}, nil
}

func readPEM(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(b)
	if block == nil {
		return nil, errors.Errorf("no PEM block in %s", path)
	}
	return block.Bytes, nil
}

// Write stores the pair as NAME.pem and NAME-key.pem in a folder, which it creates
// if necessary. Only the owner can read the key.
func (p Pair) Write(folder, name string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, name+".pem"), p.Cert, 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, name+"-key.pem"), p.Key, 0o600)
}
