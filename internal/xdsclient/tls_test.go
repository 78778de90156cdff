package xdsclient

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"archknot/internal/fakes/controlservice"
)

// authority is a certificate authority.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	raw, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	c, _ = x509.ParseCertificate(raw)
	return &authority{t, key, c}
}

// issue creates a certificate, and writes it, its key and the authority's certificate into a directory.
func (a *authority) issue(dir string, notAfter time.Time) TLSFiles {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	raw, err := x509.CreateCertificate(rand.Reader, c, a.cert, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	f := TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"), RefreshInterval: 20 * time.Millisecond}
	for path, b := range map[string]*pem.Block{f.Cert: {Type: "CERTIFICATE", Bytes: raw}, f.Key: {Type: "PRIVATE KEY", Bytes: pkcs8}, f.CA: {Type: "CERTIFICATE", Bytes: a.cert.Raw}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(b), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	return f
}

// Client and server verify each other's certificates: certificates of another authority and
// expired ones are rejected with a reason in the log, and replaced files are reloaded.
func TestMutualTLS(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	validUntil := time.Now().Add(time.Hour)
	creds, closeFiles, err := ServerTLS(a.issue(t.TempDir(), validUntil))
	if err != nil {
		t.Fatal(err)
	}
	defer closeFiles()
	s, err := controlservice.Start("127.0.0.1:0", creds)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	s.Publish(version(1))
	var mu sync.Mutex
	logged := ""
	connect := func(f TLSFiles) *gateway {
		creds, closeFiles, err := ClientTLS(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(closeFiles)
		mu.Lock()
		logged = ""
		mu.Unlock()
		return startClient(t, "n0", s.Addr(), "", func(o *Options) {
			o.TLS = creds
			o.Log = func(msg string, args ...any) {
				mu.Lock()
				logged += fmt.Sprintln(append([]any{msg}, args...)...)
				mu.Unlock()
			}
		})
	}
	wasLogged := func(text string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return strings.Contains(logged, text)
		}
	}
	g := connect(a.issue(t.TempDir(), validUntil))
	waitFor(t, "version 1", func() bool { return g.version() == 1 })
	g.stop()
	// The gateway's certificate is from another authority: the service rejects it.
	dir := t.TempDir()
	otherCAFiles := other.issue(dir, validUntil)
	if err := os.WriteFile(otherCAFiles.CA, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	g = connect(otherCAFiles)
	waitFor(t, "a rejection", wasLogged("config_lost"))
	if g.version() != 0 {
		t.Error("a gateway with a certificate of another authority received a version")
	}
	// Its files are replaced: it is accepted without a restart.
	a.issue(dir, validUntil)
	waitFor(t, "version 1", func() bool { return g.version() == 1 })
	g.stop()
	// The service's certificate is from an authority that the gateway does not trust.
	g = connect(other.issue(t.TempDir(), validUntil))
	waitFor(t, "the reason", wasLogged("peer certificate verification failed"))
	g.stop()
	// The service's certificate has expired.
	expired, closeExpired, err := ServerTLS(a.issue(t.TempDir(), time.Now().Add(-time.Hour)))
	if err != nil {
		t.Fatal(err)
	}
	defer closeExpired()
	expiredService, err := controlservice.Start("127.0.0.1:0", expired)
	if err != nil {
		t.Fatal(err)
	}
	defer expiredService.Stop()
	s = expiredService
	g = connect(a.issue(t.TempDir(), validUntil))
	waitFor(t, "the reason", wasLogged("peer certificate expired or not yet valid: valid from"))
	if g.version() != 0 {
		t.Error("a version was received from a service with an expired certificate")
	}
}
