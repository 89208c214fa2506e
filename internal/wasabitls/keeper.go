// Package wasabitls keeps the certificate of a listener and reads it again
// when its files change, without a restart.
//
// # Usage
//
//	var keeper *wasabitls.Keeper
//	var err error
//	if keeper, err = wasabitls.New(wasabitls.Options{Files: files}); err != nil {
//		return err
//	}
//	listener = tls.NewListener(listener, keeper.Config())
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

// checkInterval is how long a certificate is used before its files are looked
// at again.
const checkInterval = wasabiridge.Second

// Options are the parts of a Keeper. Files and Clock are needed.
type Options struct {
	Files wasabisettings.TLS
	Clock wasabiridge.Clock
	// Log takes a line when files changed. The zero value is silent.
	Log zerolog.Logger
	// Protocols are the names that the listener offers, such as "h2".
	Protocols []string
}

// Keeper holds the certificate of one listener. It is safe for concurrent
// use.
type Keeper struct {
	options Options

	mu      sync.Mutex
	current *tls.Config
	stamp   stamp
	checked wasabiridge.Millis
}

// stamp tells whether the files are the same as before. It covers what they
// hold: times are too coarse for two changes in a row.
type stamp struct {
	certificate, key, authorities [sha256.Size]byte
}

// New reads the files. It reports ErrInvalid when they cannot be used.
func New(o Options) (*Keeper, error) {
	k := &Keeper{options: o, checked: o.Clock.Now()}
	k.stamp = stampOf(o.Files)
	var err error
	if k.current, err = k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// Config returns the configuration of a server. Every new connection uses the
// files as they are then.
func (k *Keeper) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: k.options.Protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.fresh(), nil
		},
	}
}

// Mutual returns a configuration for both sides of connections between equals.
// New connections use the certificate as it is then; authorities are those of
// the start.
func (k *Keeper) Mutual() *tls.Config {
	start := k.fresh()
	cfg := start.Clone()
	cfg.Certificates = nil
	cfg.RootCAs = start.ClientCAs
	cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &k.fresh().Certificates[0], nil
	}
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &k.fresh().Certificates[0], nil
	}
	return cfg
}

// fresh returns the configuration for one connection. Files that cannot be
// used, such as a certificate whose key is not written yet, leave the old
// ones in force; the next check tries again.
func (k *Keeper) fresh() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Clock.Now()
	if now-k.checked < checkInterval {
		return k.current
	}
	k.checked = now
	latest := stampOf(k.options.Files)
	if latest == k.stamp {
		return k.current
	}
	loaded, err := k.load()
	if err != nil {
		k.options.Log.Warn().Err(err).Msg("New certificate cannot be used; the old one stays.")
		return k.current
	}
	k.stamp = latest
	k.current = loaded
	k.options.Log.Info().Str("file", k.options.Files.CertificateFile).Msg("Certificate read again.")
	return k.current
}

func (k *Keeper) load() (*tls.Config, error) {
	files := k.options.Files
	var pair tls.Certificate
	var err error
	if pair, err = tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "tls: certificate %s", files.CertificateFile)
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
		return nil, wasabiridge.ErrInvalid.Wrap(err, "tls: authorities %s", file)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, wasabiridge.ErrInvalid.New("tls: authorities %s hold no certificate", file)
	}
	return pool, nil
}

func stampOf(files wasabisettings.TLS) stamp {
	return stamp{
		certificate: digestOf(files.CertificateFile),
		key:         digestOf(files.KeyFile),
		authorities: digestOf(files.ClientCAFile),
	}
}

// digestOf counts a file that cannot be read as empty.
func digestOf(file string) [sha256.Size]byte {
	text, err := os.ReadFile(file)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(text)
}
