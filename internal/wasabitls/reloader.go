// Package wasabitls loads the certificate of a listener and reloads it when its
// files change, without a restart.
//
// # Usage
//
//	var reloader *wasabitls.CertReloader
//	var err error
//	if reloader, err = wasabitls.New(wasabitls.Options{Files: files, Clock: clock}); err != nil {
//		return err
//	}
//	listener = tls.NewListener(listener, reloader.Config())
package wasabitls

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// checkInterval is the shortest time between two checks whether the files have
// changed. Files are checked when a connection is opened.
const checkInterval = wasabiridge.Second

// Options configure a CertReloader. Files and Clock are required.
type Options struct {
	Files wasabisettings.TLS
	Clock wasabiridge.Clock
	// Log receives a line when the files were reloaded or cannot be used. The
	// zero value logs nothing.
	Log zerolog.Logger
	// Protocols are the ALPN protocol names that the listener offers, such as
	// "h2".
	Protocols []string
}

// CertReloader holds the certificate of one listener and reloads it when its files
// change. It is safe for concurrent use.
type CertReloader struct {
	options Options

	mu      sync.Mutex
	current *tls.Config
	digests fileDigests
	checked wasabiridge.Millis
}

// fileDigests are the digests of the files' contents, by which changes are detected.
// Modification times are too coarse to distinguish two changes in quick succession.
type fileDigests struct {
	certificate, key, authorities [sha256.Size]byte
}

// New loads the files. It returns ErrInvalid when they cannot be read or do not
// contain a valid certificate and key.
func New(o Options) (*CertReloader, error) {
	k := &CertReloader{options: o, checked: o.Clock.Now()}
	k.digests = digestsOf(o.Files)
	var err error
	if k.current, err = k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// Config returns a server configuration. Every new connection uses the current
// certificate and authorities.
func (k *CertReloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: k.options.Protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.latest(), nil
		},
	}
}

// MutualConfig returns a configuration for both the server and the client side of
// mutual TLS between instances. New connections use the current certificate; the
// authorities are those loaded when MutualConfig is called.
func (k *CertReloader) MutualConfig() *tls.Config {
	initial := k.latest()
	cfg := initial.Clone()
	cfg.Certificates = nil
	cfg.RootCAs = initial.ClientCAs
	cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &k.latest().Certificates[0], nil
	}
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &k.latest().Certificates[0], nil
	}
	return cfg
}

// latest returns the configuration for a new connection, reloaded if the files have
// changed. If the files cannot be used, such as a certificate whose key has not
// been written yet, the previous configuration stays in use, and the next check
// tries again.
func (k *CertReloader) latest() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Clock.Now()
	if now-k.checked < checkInterval {
		return k.current
	}
	k.checked = now
	digests := digestsOf(k.options.Files)
	if digests == k.digests {
		return k.current
	}
	loaded, err := k.load()
	if err != nil {
		k.options.Log.Warn().Err(err).Msg("The changed certificate files cannot be used; keeping the previous certificate.")
		return k.current
	}
	k.digests = digests
	k.current = loaded
	k.options.Log.Info().Str("file", k.options.Files.CertificateFile).Msg("Certificate reloaded.")
	return k.current
}

// load reads the files and returns a server configuration for them.
func (k *CertReloader) load() (*tls.Config, error) {
	files := k.options.Files
	var pair tls.Certificate
	var err error
	if pair, err = tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "tls: cannot load certificate %s", files.CertificateFile)
	}
	cfg := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   k.options.Protocols,
		Certificates: []tls.Certificate{pair},
	}
	if files.ClientCAFile == "" {
		return cfg, nil
	}
	if cfg.ClientCAs, err = loadAuthorities(files.ClientCAFile); err != nil {
		return nil, err
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

func loadAuthorities(file string) (*x509.CertPool, error) {
	var text []byte
	var err error
	if text, err = os.ReadFile(file); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "tls: cannot read authorities %s", file)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, wasabiridge.ErrInvalid.New("tls: authorities file %s contains no certificate", file)
	}
	return pool, nil
}

func digestsOf(files wasabisettings.TLS) fileDigests {
	return fileDigests{
		certificate: digestOf(files.CertificateFile),
		key:         digestOf(files.KeyFile),
		authorities: digestOf(files.ClientCAFile),
	}
}

// digestOf returns the SHA-256 digest of a file, or zeros if the file cannot be
// read.
func digestOf(file string) [sha256.Size]byte {
	text, err := os.ReadFile(file)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(text)
}
