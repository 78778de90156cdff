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

// TLSFiles are the PEM files of one side. They are read again when they are
// replaced; what stands goes on with what it had.
type TLSFiles struct {
	Cert, Key       string
	CA              string // who may be on the other side
	ServerName      string // that the service's certificate must be for; "": the address's
	RefreshInterval time.Duration
}

func (f TLSFiles) newProvider() (certprovider.Provider, error) {
	if f.RefreshInterval == 0 {
		f.RefreshInterval = 5 * time.Second
	}
	p, err := pemfile.NewProvider(pemfile.Options{CertFile: f.Cert, KeyFile: f.Key, RootFile: f.CA, RefreshDuration: f.RefreshInterval})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	if _, err := p.KeyMaterial(ctx); err != nil {
		p.Close()
		return nil, fmt.Errorf("%s, %s, %s: cannot be read: %w", f.Cert, f.Key, f.CA, err)
	}
	return p, nil
}

// ClientTLS are the gateway's credentials. Close ends the reading of the files.
func ClientTLS(f TLSFiles) (creds credentials.TransportCredentials, closeFiles func(), err error) {
	p, err := f.newProvider()
	if err != nil {
		return nil, nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: f.ServerName,
		// The roots may be replaced, so each handshake is checked against those of now.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			k, err := keyMaterial(p)
			if err != nil {
				return nil, err
			}
			return &k.Certs[0], nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(p, s.PeerCertificates, s.ServerName, x509.ExtKeyUsageServerAuth)
		}}
	return credentials.NewTLS(cfg), p.Close, nil
}

// ServerTLS are a service's credentials, for stand-ins: it asks for a certificate
// of the gateway.
func ServerTLS(f TLSFiles) (creds credentials.TransportCredentials, closeFiles func(), err error) {
	p, err := f.newProvider()
	if err != nil {
		return nil, nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			k, err := keyMaterial(p)
			if err != nil {
				return nil, err
			}
			return &k.Certs[0], nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(p, s.PeerCertificates, "", x509.ExtKeyUsageClientAuth)
		}}
	return credentials.NewTLS(cfg), p.Close, nil
}

func keyMaterial(p certprovider.Provider) (*certprovider.KeyMaterial, error) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	k, err := p.KeyMaterial(ctx)
	if err == nil && len(k.Certs) == 0 {
		err = errors.New("no certificate of our own")
	}
	return k, err
}

func verifyPeer(p certprovider.Provider, chain []*x509.Certificate, name string, use x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("the other side has no certificate")
	}
	k, err := keyMaterial(p)
	if err != nil {
		return err
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err = chain[0].Verify(x509.VerifyOptions{Roots: k.Roots, Intermediates: between, DNSName: name, KeyUsages: []x509.ExtKeyUsage{use}})
	var expired x509.CertificateInvalidError
	if errors.As(err, &expired) && expired.Reason == x509.Expired {
		return fmt.Errorf("the other side's certificate is of another time: valid from %s to %s", chain[0].NotBefore.UTC().Format(time.RFC3339), chain[0].NotAfter.UTC().Format(time.RFC3339))
	}
	if err != nil {
		return fmt.Errorf("the other side's certificate is not accepted: %w", err)
	}
	return nil
}
