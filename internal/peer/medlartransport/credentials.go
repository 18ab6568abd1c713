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

// checkInterval is the minimum time between two checks of the credential files
// for changes.
const checkInterval = time.Second

// CredentialFiles names the PEM files of an instance's credentials.
type CredentialFiles struct {
	Certificate string
	Key         string
	Authority   string // certificates of the peers' certificate authority
}

// Credentials holds an instance's certificate and the certificate authority of its
// peers. They are reloaded when their files change; if the changed files are
// invalid, the last valid credentials stay in use (R4).
type Credentials struct {
	files         CredentialFiles
	onReloadError func(error)

	mu        sync.Mutex
	cert      *tls.Certificate
	pool      *x509.CertPool
	modTimes  [3]time.Time
	lastCheck time.Time
}

// NewCredentials loads the files. onReloadError is called when changed files cannot
// be loaded.
func NewCredentials(f CredentialFiles, onReloadError func(error)) (*Credentials, error) {
	c := &Credentials{files: f, onReloadError: onReloadError}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// load reads the files. The caller holds c.mu, unless c is not shared yet.
func (c *Credentials) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return &Error{Op: OpCredentials, Kind: KindMalformed, Err: eris.Wrap(err, "cannot load the certificate and its key")}
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return &Error{Op: OpCredentials, Kind: KindMalformed, Err: eris.Wrap(err, "cannot read the certificate authority")}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &Error{Op: OpCredentials, Kind: KindMalformed, Err: eris.New("certificate authority: the file contains no PEM certificate")}
	}
	c.cert, c.pool, c.modTimes = &cert, pool, c.readModTimes()
	return nil
}

func (c *Credentials) readModTimes() (out [3]time.Time) {
	for i, f := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if info, err := os.Stat(f); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the certificate and the certificate authority, reloaded if their
// files have changed (R4).
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= checkInterval {
		c.lastCheck = now
		if c.readModTimes() != c.modTimes {
			if err := c.load(); err != nil {
				c.onReloadError(err)
			}
		}
	}
	return c.cert, c.pool
}

// server returns the TLS configuration for an inbound connection (R1).
func (c *Credentials) server() *tls.Config {
	cert, pool := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
}

// client returns the TLS configuration for an outbound connection to peer (R2).
func (c *Credentials) client(peer medlarid.InstanceID) *tls.Config {
	cert, pool := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   string(peer),
	}
}

// peerName returns the instance name in the certificate of a peer, or false if there
// is none.
func peerName(s tls.ConnectionState) (medlarid.InstanceID, bool) {
	if len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) == 0 {
		return "", false
	}
	return medlarid.InstanceID(s.PeerCertificates[0].DNSNames[0]), true
}
