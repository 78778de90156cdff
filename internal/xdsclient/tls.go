package xdsclient

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/tls/certprovider"
	"google.golang.org/grpc/credentials/tls/certprovider/pemfile"
)

// Timing of the reads of TLSFiles.
const (
	defaultRefreshInterval = 5 * time.Second
	firstReadTimeout       = 5 * time.Second
	handshakeReadTimeout   = time.Second // within a TLS handshake
)

var (
	errNoOwnCertificate  = errors.New("no local certificate loaded")
	errNoPeerCertificate = errors.New("peer sent no certificate")
)

// TLSFiles are the PEM files of a client or a server. They are reloaded when they change;
// open connections are not affected.
type TLSFiles struct {
	Cert, Key       string
	CA              string        // certificate authorities that verify the peer
	ServerName      string        // expected name in the control service's certificate; "": the host of its address
	RefreshInterval time.Duration // how often the files are checked for changes; 0: defaultRefreshInterval
}

// newProvider starts a provider that reloads the files. It returns an error if they cannot
// be read within firstReadTimeout.
func (f TLSFiles) newProvider() (certprovider.Provider, error) {
	if f.RefreshInterval == 0 {
		f.RefreshInterval = defaultRefreshInterval
	}
	p, err := pemfile.NewProvider(pemfile.Options{CertFile: f.Cert, KeyFile: f.Key, RootFile: f.CA, RefreshDuration: f.RefreshInterval})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), firstReadTimeout)
	defer cancel()
	if _, err := p.KeyMaterial(ctx); err != nil {
		p.Close()
		return nil, fmt.Errorf("read TLS files %s, %s, %s: %w", f.Cert, f.Key, f.CA, err)
	}
	return p, nil
}

// ClientTLS returns the gateway's credentials. closeFiles stops the reloading of the files.
func ClientTLS(f TLSFiles) (creds credentials.TransportCredentials, closeFiles func(), err error) {
	p, err := f.newProvider()
	if err != nil {
		return nil, nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: f.ServerName,
		// The built-in verification cannot reload the authorities. VerifyConnection
		// replaces it, and verifies each handshake against the current ones.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return ownCertificate(p)
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(p, s.PeerCertificates, s.ServerName, x509.ExtKeyUsageServerAuth)
		}}
	return credentials.NewTLS(cfg), p.Close, nil
}

// ServerTLS returns the credentials of a control service that requires a client certificate,
// for fakes. closeFiles stops the reloading of the files.
func ServerTLS(f TLSFiles) (creds credentials.TransportCredentials, closeFiles func(), err error) {
	p, err := f.newProvider()
	if err != nil {
		return nil, nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return ownCertificate(p)
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(p, s.PeerCertificates, "", x509.ExtKeyUsageClientAuth)
		}}
	return credentials.NewTLS(cfg), p.Close, nil
}

// ownCertificate returns the current local certificate.
func ownCertificate(p certprovider.Provider) (*tls.Certificate, error) {
	k, err := keyMaterial(p)
	if err != nil {
		return nil, err
	}
	return &k.Certs[0], nil
}

// keyMaterial returns the current contents of the files, with at least one certificate.
func keyMaterial(p certprovider.Provider) (*certprovider.KeyMaterial, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeReadTimeout)
	defer cancel()
	k, err := p.KeyMaterial(ctx)
	if err == nil && len(k.Certs) == 0 {
		err = errNoOwnCertificate
	}
	return k, err
}

// verifyPeer verifies the peer's certificate chain against the current authorities.
func verifyPeer(p certprovider.Provider, chain []*x509.Certificate, name string, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errNoPeerCertificate
	}
	k, err := keyMaterial(p)
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err = chain[0].Verify(x509.VerifyOptions{Roots: k.Roots, Intermediates: intermediates, DNSName: name, KeyUsages: []x509.ExtKeyUsage{usage}})
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return fmt.Errorf("peer certificate expired or not yet valid: valid from %s to %s", chain[0].NotBefore.UTC().Format(time.RFC3339), chain[0].NotAfter.UTC().Format(time.RFC3339))
	}
	if err != nil {
		return fmt.Errorf("peer certificate verification failed: %w", err)
	}
	return nil
}
