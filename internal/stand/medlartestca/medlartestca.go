// Package medlartestca issues certificates from a certificate authority of its own, for
// trials and tests.
package medlartestca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"medlarfield/internal/base/medlarid"
	"medlarfield/internal/peer/medlartransport"
)

// serialBits is the length of a certificate's serial number in bits.
const serialBits = 120

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

// New returns an authority with a new key and a self-signed certificate that is valid
// for an hour.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t, err := template("authority", time.Hour)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key, der: der}, err
}

// template returns the fields that the certificates of authorities and instances share.
// They became valid two hours ago, so that a certificate can have expired already.
func template(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     time.Now().Add(validity),
	}, nil
}

// Write issues a certificate for an instance and writes it to a directory, together
// with its key and the authority's certificate. A negative validity yields an expired
// certificate.
func (a *Authority) Write(dir string, name medlarid.InstanceID, validity time.Duration) (medlartransport.CredentialFiles, error) {
	f := medlartransport.CredentialFiles{
		Certificate: filepath.Join(dir, string(name)+".crt"),
		Key:         filepath.Join(dir, string(name)+".key"),
		Authority:   filepath.Join(dir, "authority.crt"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, err
	}
	t, err := template(string(name), validity)
	if err != nil {
		return f, err
	}
	t.DNSNames = []string{string(name)}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return f, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, err
	}
	for file, block := range map[string]*pem.Block{
		f.Certificate: {Type: "CERTIFICATE", Bytes: der},
		f.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		f.Authority:   {Type: "CERTIFICATE", Bytes: a.der},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			return f, err
		}
	}
	return f, nil
}
