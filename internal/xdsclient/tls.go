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

// How TLSFiles are read.
const (
	defaultRefreshInterval = 5 * time.Second
	firstReadTimeout       = 5 * time.Second
	handshakeReadTimeout   = time.Second // for key material within a handshake
)

var (
	errNoOwnCertificate  = errors.New("no certificate of our own")
	errNoPeerCertificate = errors.New("the other side has no certificate")
)

// TLSFiles are the PEM files of one side. They are read again when they are replaced; open
// connections keep what they were opened with.
type TLSFiles struct {
	Cert, Key       string
	CA              string        // the authorities of the other side
	ServerName      string        // the name in the service's certificate; "": the address's
	RefreshInterval time.Duration // how often the files are looked at; 0: 5 s
}

// newProvider starts the reading of the files. An error says which files can't be read.
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
		return nil, fmt.Errorf("%s, %s, %s: cannot be read: %w", f.Cert, f.Key, f.CA, err)
	}
	return p, nil
}

// ClientTLS returns the gateway's credentials. closeFiles ends the reading of the files.
func ClientTLS(f TLSFiles) (creds credentials.TransportCredentials, closeFiles func(), err error) {
	p, err := f.newProvider()
	if err != nil {
		return nil, nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: f.ServerName,
		// The authorities may be replaced: VerifyConnection checks each handshake against
		// the present ones.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return ownCertificate(p)
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(p, s.PeerCertificates, s.ServerName, x509.ExtKeyUsageServerAuth)
		}}
	return credentials.NewTLS(cfg), p.Close, nil
}

// ServerTLS returns a service's credentials, for fakes. The service requires a certificate
// of the gateway. closeFiles ends the reading of the files.
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

// ownCertificate returns the present certificate of this side.
func ownCertificate(p certprovider.Provider) (*tls.Certificate, error) {
	k, err := keyMaterial(p)
	if err != nil {
		return nil, err
	}
	return &k.Certs[0], nil
}

// keyMaterial returns the present contents of the files, with one certificate at least.
func keyMaterial(p certprovider.Provider) (*certprovider.KeyMaterial, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeReadTimeout)
	defer cancel()
	k, err := p.KeyMaterial(ctx)
	if err == nil && len(k.Certs) == 0 {
		err = errNoOwnCertificate
	}
	return k, err
}

// verifyPeer verifies the other side's certificates against the present authorities.
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
		return fmt.Errorf("the other side's certificate is of another time: valid from %s to %s", chain[0].NotBefore.UTC().Format(time.RFC3339), chain[0].NotAfter.UTC().Format(time.RFC3339))
	}
	if err != nil {
		return fmt.Errorf("the other side's certificate is not accepted: %w", err)
	}
	return nil
}
