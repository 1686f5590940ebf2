// Package mttls secures the connections between the system's processes.
//
// Every process has a certificate whose DNS name says its role, for example
// entry.mustardtide. Both ends of a connection check the other's certificate
// against the settings' authority and its role; the address does not count, as
// instances are replaced at any time.
package mttls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
)

// reloadEvery bounds how often the files are looked at: a renewed certificate
// is in use within this time, without a restart.
const reloadEvery = 30 * time.Second

// Keys is one process's certificate and the authority it trusts. It reads the
// files anew when they change.
type Keys struct {
	files *mustardtidev1.Tls

	mu      sync.Mutex
	checked time.Time
	pair    *tls.Certificate
	roots   *x509.CertPool
}

// Load reads the files that the settings name.
func Load(files *mustardtidev1.Tls) (*Keys, error) {
	k := &Keys{files: files}
	if err := k.read(); err != nil {
		return nil, trace.Wrap(err, "tls: name cert, key and ca files that can be read")
	}
	return k, nil
}

// Server is the configuration of an internal listener: a client without a
// certificate of the authority is refused in the handshake.
func (k *Keys) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current(), nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, x509.ExtKeyUsageClientAuth)
		},
	}
}

// Client is the configuration of connections to other processes.
func (k *Keys) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The library's own check compares the address with the certificate.
		// VerifyConnection checks the chain and the role in its place.
		InsecureSkipVerify: true, //nolint:gosec // see the line above
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current(), nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(state, x509.ExtKeyUsageServerAuth)
		},
	}
}

// current returns the certificate in use, read anew if it is time to look. A
// file that is being written is left for the next look.
func (k *Keys) current() *tls.Certificate {
	k.mu.Lock()
	due := time.Since(k.checked) > reloadEvery
	k.mu.Unlock()
	if due {
		// The pair in use goes on where the new files can't be read.
		_ = k.read()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pair
}

func (k *Keys) read() error {
	pair, err := tls.LoadX509KeyPair(k.files.GetCert(), k.files.GetKey())
	if err != nil {
		return trace.Wrap(err)
	}
	authority, err := os.ReadFile(k.files.GetCa())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return trace.BadParameter("%s holds no certificate", k.files.GetCa())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checked = time.Now()
	k.pair = &pair
	k.roots = roots
	return nil
}

// verify checks the other end's chain and that its certificate names a role.
func (k *Keys) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("the other end has no certificate")
	}
	k.mu.Lock()
	roots := k.roots
	k.mu.Unlock()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		CurrentTime:   time.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return trace.AccessDenied("the other end's certificate: %v", err)
	}
	if roleOf(&state) == "" {
		return trace.AccessDenied("the other end's certificate names no role: its DNS name must be ROLE%s", suffix)
	}
	return nil
}
