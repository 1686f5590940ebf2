package mttls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	mustardtidev1 "github.com/mustardtide/mustardtide/gen/mustardtide/v1"
	"github.com/mustardtide/mustardtide/gen/mustardtide/v1/mustardtidev1connect"
	"github.com/mustardtide/mustardtide/internal/role/mtnet"
	"github.com/mustardtide/mustardtide/internal/role/mtserver"
	"github.com/mustardtide/mustardtide/internal/role/mttls"
	"github.com/mustardtide/mustardtide/internal/standin/mtwire"
)

const address = "10.0.0.9:80"

// authority signs certificates for one test.
type authority struct {
	g    *WithT
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	ca   string
}

func newAuthority(g *WithT, dir string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(1000 * time.Hour),
	}
	a := &authority{g: g, dir: dir, cert: cert, key: key, ca: filepath.Join(dir, "ca.pem")}
	a.write(a.ca, "CERTIFICATE", a.sign(cert, key))
	return a
}

func (a *authority) sign(cert *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	a.g.Expect(err).NotTo(HaveOccurred())
	return der
}

func (a *authority) write(path, kind string, der []byte) {
	a.g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// files writes a certificate for a DNS name and returns the settings for it.
func (a *authority) files(name string, life time.Duration) *mustardtidev1.Tls {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.g.Expect(err).NotTo(HaveOccurred())
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(life),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	files := &mustardtidev1.Tls{Cert: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), Ca: a.ca}
	a.write(files.GetCert(), "CERTIFICATE", a.sign(cert, key))
	der, err := x509.MarshalECPrivateKey(key)
	a.g.Expect(err).NotTo(HaveOccurred())
	a.write(files.GetKey(), "EC PRIVATE KEY", der)
	return files
}

// control counts drains.
type control struct {
	mustardtidev1connect.UnimplementedControlServiceHandler
	drained int
}

func (c *control) Status(context.Context, *connect.Request[mustardtidev1.StatusRequest]) (*connect.Response[mustardtidev1.StatusReply], error) {
	return connect.NewResponse(&mustardtidev1.StatusReply{}), nil
}

func (c *control) Drain(context.Context, *connect.Request[mustardtidev1.DrainRequest]) (*connect.Response[mustardtidev1.DrainReply], error) {
	c.drained++
	return connect.NewResponse(&mustardtidev1.DrainReply{}), nil
}

// bed serves a control service behind TLS and guard.
type bed struct {
	g       *WithT
	wire    *mtwire.Wire
	handler *control
	server  *mtserver.Server
	ended   chan error
}

func newBed(g *WithT, files *mustardtidev1.Tls) *bed {
	b := &bed{g: g, wire: mtwire.New(), handler: &control{}, ended: make(chan error, 1)}
	keys, err := mttls.Load(files)
	g.Expect(err).NotTo(HaveOccurred())
	listener, err := b.wire.Listen(address)
	g.Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	mux.Handle(mustardtidev1connect.NewControlServiceHandler(b.handler))
	b.server = mtserver.New(listener, keys.Server(), mttls.Guard(mux))
	go func() { b.ended <- b.server.Start(context.Background()) }()
	return b
}

// as calls with a certificate, or without TLS where files is nil.
func (b *bed) as(files *mustardtidev1.Tls, ask func(mustardtidev1connect.ControlServiceClient) error) error {
	network := b.wire.Net()
	if files != nil {
		keys, err := mttls.Load(files)
		b.g.Expect(err).NotTo(HaveOccurred())
		network = network.Secured(nil, keys.Client())
	}
	transport := network.Internal()
	defer transport.CloseIdleConnections()
	return ask(client(network, transport))
}

func client(network *mtnet.Net, transport http.RoundTripper) mustardtidev1connect.ControlServiceClient {
	return mustardtidev1connect.NewControlServiceClient(&http.Client{Transport: transport}, network.Scheme()+"://"+address)
}

func (b *bed) close() {
	b.g.Expect(b.server.Close()).To(Succeed())
	b.wire.Cut(address)
	b.g.Expect(<-b.ended).To(Succeed())
}

func status(c mustardtidev1connect.ControlServiceClient) error {
	_, err := c.Status(context.Background(), connect.NewRequest(&mustardtidev1.StatusRequest{}))
	return err
}

func drain(c mustardtidev1connect.ControlServiceClient) error {
	_, err := c.Drain(context.Background(), connect.NewRequest(&mustardtidev1.DrainRequest{}))
	return err
}

// Someone with network access, or with the key of a compromised entry, tries to
// drain a process. A user would see targets vanish one by one. Only an operator
// whose certificate the fleet's authority signed gets through.
func TestStrangersAreRefused(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ours, theirs := newAuthority(g, dir), newAuthority(g, other)
		b := newBed(g, ours.files("sidecar.mustardtide", time.Hour))
		entry := ours.files("entry.mustardtide", time.Hour)
		g.Expect(b.as(entry, status)).To(Succeed())
		g.Expect(b.as(entry, drain)).To(HaveOccurred())
		g.Expect(b.as(theirs.files("operator.mustardtide", time.Hour), drain)).To(HaveOccurred())
		g.Expect(b.as(ours.files("operator.example", time.Hour), drain)).To(HaveOccurred())
		g.Expect(b.as(nil, drain)).To(HaveOccurred())
		g.Expect(b.handler.drained).To(BeZero())
		g.Expect(b.as(ours.files("operator.mustardtide", time.Hour), drain)).To(Succeed())
		g.Expect(b.handler.drained).To(Equal(1))
		b.close()
	})
}

// A process's certificate ends while it runs. Its files were renewed in time,
// but a process that read them once at its start would lose every connection.
func TestRenewedCertificateIsUsed(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ours := newAuthority(g, dir)
		operator := ours.files("operator.mustardtide", 100*time.Hour)
		b := newBed(g, ours.files("sidecar.mustardtide", time.Hour))
		g.Expect(b.as(operator, status)).To(Succeed())
		time.Sleep(59 * time.Minute)
		ours.files("sidecar.mustardtide", 10*time.Hour)
		time.Sleep(2 * time.Minute)
		g.Expect(b.as(operator, status)).To(Succeed())
		b.close()
	})
}
