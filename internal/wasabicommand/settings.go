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

// settingsFile is looked for in the user's directory for settings.
const settingsFile = "wasabictl.json"

// settings say where routers are and who asks. The fields of the file are
// those with a tag.
type settings struct {
	Addresses []string `json:"addresses,omitempty"`
	Key       string   `json:"key,omitempty"`
	KeyFile   string   `json:"key_file,omitempty"`
	Operator  string   `json:"operator,omitempty"`
	CAFile    string   `json:"ca_file,omitempty"`
	path      string
}

// or fills what is empty from other settings.
func (s settings) or(other settings) settings {
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

// load reads the settings file. One that was not named may be missing.
func (a *app) load(path string) (settings, error) {
	var s settings
	named := path != ""
	if !named {
		directory, err := os.UserConfigDir()
		if err != nil {
			return s, nil
		}
		path = filepath.Join(directory, settingsFile)
	}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) && !named {
		return s, nil
	}
	if err != nil {
		return s, wasabiridge.ErrInvalid.Wrap(err, "settings")
	}
	if err := wasabidocument.Decode(data, &s); err != nil {
		return s, wasabiridge.ErrInvalid.Wrap(err, "settings file %s", path)
	}
	return s, nil
}

// client makes a client from flags, environment and settings file.
func (a *app) client() (*wasabiclient.Client, error) {
	merged := a.flags.or(a.environment())
	path := a.flags.path
	if path == "" {
		path = a.environment().path
	}
	var (
		file settings
		err  error
	)
	if file, err = a.load(path); err != nil {
		return nil, err
	}
	merged = merged.or(file)
	if len(merged.Addresses) == 0 {
		return nil, wasabiridge.ErrInvalid.New("no router is named: use --address, WASABICTL_ADDRESS or \"addresses\" in the settings file")
	}
	if merged.Key, err = merged.key(); err != nil {
		return nil, err
	}
	options := wasabiclient.Options{Addresses: merged.Addresses, Key: merged.Key, Operator: merged.Operator, Timeout: a.wait}
	if options.TLS, err = merged.trust(); err != nil {
		return nil, err
	}
	return wasabiclient.New(options), nil
}

func (s settings) key() (string, error) {
	if s.Key != "" {
		return s.Key, nil
	}
	if s.KeyFile == "" {
		return "", wasabiclient.ErrUnauthorized.New("no key is set: use --key-file, WASABICTL_KEY or \"key_file\" in the settings file")
	}
	data, err := os.ReadFile(s.KeyFile)
	if err != nil {
		return "", wasabiridge.ErrInvalid.Wrap(err, "key file")
	}
	return strings.TrimSpace(string(data)), nil
}

func (s settings) trust() (*tls.Config, error) {
	if s.CAFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, wasabiridge.ErrInvalid.New("certificates: %s holds none", s.CAFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
