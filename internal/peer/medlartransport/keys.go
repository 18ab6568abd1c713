package medlartransport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"medlarfield/internal/base/medlarid"
)

// checkInterval is the time between two looks at the files of the keys.
const checkInterval = time.Second

// CredentialFiles name the files of an instance's keys, in PEM.
type CredentialFiles struct {
	Certificate string
	Key         string
	Authority   string // certificates of the peers' authority
}

// Credentials are an instance's certificate and its peers' authority. They follow their
// files: what cannot be read leaves the last good ones in use (R4).
type Credentials struct {
	files  CredentialFiles
	failed func(error)

	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	stamp   [3]time.Time
	checked time.Time
}

// NewCredentials reads the files. failed is called when changed files cannot be used.
func NewCredentials(f CredentialFiles, failed func(error)) (*Credentials, error) {
	k := &Credentials{files: f, failed: failed}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// load reads the files; the lock is held, or nobody else knows k yet.
func (k *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return &Error{Op: OpCredentials, Kind: KindMalformed, Err: eris.Wrap(err, "certificate and key")}
	}
	pem, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return &Error{Op: OpCredentials, Kind: KindMalformed, Err: eris.Wrap(err, "authority")}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &Error{Op: OpCredentials, Kind: KindMalformed, Err: eris.New("authority: no certificate in the file")}
	}
	k.cert, k.pool, k.stamp = &cert, pool, k.stamps()
	return nil
}

func (k *Credentials) stamps() (out [3]time.Time) {
	for i, f := range []string{k.files.Certificate, k.files.Key, k.files.Authority} {
		if info, err := os.Stat(f); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the keys, read again if their files have changed.
func (k *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checked) >= checkInterval {
		k.checked = now
		if k.stamps() != k.stamp {
			if err := k.load(); err != nil {
				k.failed(err)
			}
		}
	}
	return k.cert, k.pool
}

// server returns the configuration for a connection that a peer opened (R1).
func (k *Credentials) server() *tls.Config {
	cert, pool := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
}

// client returns the configuration for a connection to a peer (R2).
func (k *Credentials) client(peer medlarid.InstanceID) *tls.Config {
	cert, pool := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   string(peer),
	}
}

// peerName returns the name in the certificate of a peer.
func peerName(s tls.ConnectionState) (medlarid.InstanceID, bool) {
	if len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) == 0 {
		return "", false
	}
	return medlarid.InstanceID(s.PeerCertificates[0].DNSNames[0]), true
}
