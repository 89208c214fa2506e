package wasabicommand

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclient"
	"github.com/wasabiridge/wasabiridge/internal/wasabidocument"
)

// settingsFile is the name of the settings file in the user's configuration
// directory.
const settingsFile = "wasabictl.json"

// settings are the addresses of routers and the identity of the operator. The
// settings file has the fields with a tag.
type settings struct {
	Addresses []string `json:"addresses,omitempty"`
	Key       string   `json:"key,omitempty"`
	KeyFile   string   `json:"key_file,omitempty"`
	Operator  string   `json:"operator,omitempty"`
	CAFile    string   `json:"ca_file,omitempty"`
	path      string
}

// withDefaults returns s with empty fields set from other. Key and KeyFile count
// as one field, so that a key never overrides a key file of higher precedence.
func (s settings) withDefaults(other settings) settings {
	if len(s.Addresses) == 0 {
		s.Addresses = other.Addresses
	}
	if s.Key == "" && s.KeyFile == "" {
		s.Key, s.KeyFile = other.Key, other.KeyFile
	}
	if s.Operator == "" {
		s.Operator = other.Operator
	}
	if s.CAFile == "" {
		s.CAFile = other.CAFile
	}
	return s
}

// environment returns the settings from environment variables.
func (a *app) environment() settings {
	var s settings
	if text := a.Env("WASABICTL_ADDRESS"); text != "" {
		s.Addresses = strings.Split(text, ",")
	}
	s.Key = a.Env("WASABICTL_KEY")
	s.KeyFile = a.Env("WASABICTL_KEY_FILE")
	s.Operator = a.Env("WASABICTL_OPERATOR")
	s.CAFile = a.Env("WASABICTL_CA_FILE")
	s.path = a.Env("WASABICTL_SETTINGS")
	return s
}

// loadSettings reads the settings file. If path is empty, it reads the default
// file, which may be missing.
func (a *app) loadSettings(path string) (settings, error) {
	var s settings
	explicit := path != ""
	if !explicit {
		directory, err := os.UserConfigDir()
		if err != nil {
			return s, nil
		}
		path = filepath.Join(directory, settingsFile)
	}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) && !explicit {
		return s, nil
	}
	if err != nil {
		return s, wasabiridge.ErrInvalid.Wrap(err, "read settings")
	}
	if err := wasabidocument.Decode(data, &s); err != nil {
		return s, wasabiridge.ErrInvalid.Wrap(err, "settings file %s", path)
	}
	return s, nil
}

// client returns a client with the settings from flags, environment and settings
// file, in this order of precedence.
func (a *app) client() (*wasabiclient.Client, error) {
	merged := a.flags.withDefaults(a.environment())
	path := a.flags.path
	if path == "" {
		path = a.environment().path
	}
	var (
		file settings
		err  error
	)
	if file, err = a.loadSettings(path); err != nil {
		return nil, err
	}
	merged = merged.withDefaults(file)
	if len(merged.Addresses) == 0 {
		return nil, wasabiridge.ErrInvalid.New("no router address is set: use --address, WASABICTL_ADDRESS or \"addresses\" in the settings file")
	}
	if merged.Key, err = merged.key(); err != nil {
		return nil, err
	}
	options := wasabiclient.Options{Addresses: merged.Addresses, Key: merged.Key, Operator: merged.Operator, Timeout: a.timeout}
	if options.TLS, err = merged.tlsConfig(); err != nil {
		return nil, err
	}
	return wasabiclient.New(options), nil
}

// key returns the key, read from KeyFile if Key is empty.
func (s settings) key() (string, error) {
	if s.Key != "" {
		return s.Key, nil
	}
	if s.KeyFile == "" {
		return "", wasabiclient.ErrUnauthorized.New("no key is set: use --key-file, WASABICTL_KEY or \"key_file\" in the settings file")
	}
	data, err := os.ReadFile(s.KeyFile)
	if err != nil {
		return "", wasabiridge.ErrInvalid.Wrap(err, "read key file")
	}
	return strings.TrimSpace(string(data)), nil
}

// tlsConfig returns a configuration that trusts the certificates in CAFile, or
// nil if CAFile is empty.
func (s settings) tlsConfig() (*tls.Config, error) {
	if s.CAFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, wasabiridge.ErrInvalid.New("certificates: %s contains no PEM certificate", s.CAFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
