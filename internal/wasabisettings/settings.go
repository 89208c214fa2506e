// Package wasabisettings reads the settings of one router process: its name,
// zone and addresses, where the platform is, and its limits. Everything that
// is alike on all instances stands in the configuration instead.
//
// Settings are JSON with comments. They are checked as a whole; every unknown
// or wrong field is named with its place.
//
// # Usage
//
//	var s wasabisettings.Settings
//	var err error
//	if s, err = wasabisettings.Load("router.jsonc"); err != nil {
//		return err
//	}
package wasabisettings

import (
	"os"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabidocument"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
)

// Settings is what one process is told at its start. It is an immutable
// value.
type Settings struct {
	Instance wasabiridge.InstanceID       `json:"instance"`
	Zone     wasabiridge.AvailabilityZone `json:"zone"`
	Region   wasabiridge.Region           `json:"region,omitempty"`
	// Capacity is how much the instance can take beside others, such as its
	// share of a core. Zero counts as one. Where there are many instances,
	// callers are sent to the largest.
	Capacity float64 `json:"capacity,omitempty"`
	// Caller is the listener of callers.
	Caller Listener `json:"caller"`
	// Operator is the listener of operators. It is off when Listen is empty.
	Operator OperatorListener `json:"operator,omitempty"`
	// Peer is the listener of other instances. It is off when Listen is
	// empty.
	Peer PeerListener `json:"peer,omitempty"`
	// Platform says where the platform's services are. Without it nothing
	// outlasts the process, and requests that run at most once need tickets.
	Platform *wasabiplatform.Settings `json:"platform,omitempty"`
	// ConfigFile names a configuration to start from when neither a peer nor
	// the platform gives one.
	ConfigFile string `json:"config_file,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error". Empty means "info".
	LogLevel string `json:"log_level,omitempty"`
	Limits   Limits `json:"limits,omitempty"`
	Drain    Drain  `json:"drain,omitempty"`
	// Hosted says that the process runs on a platform whose operators write
	// the configuration into its store. Nil means that it does not.
	Hosted *Hosted `json:"hosted,omitempty"`
	// Seed starts the random choices of the decisions. Zero takes a new one
	// at every start.
	Seed int64 `json:"seed,omitempty"`
}

// Listener is one address on which the process listens.
type Listener struct {
	// Listen is an IP address and a port, such as "10.0.0.7:8080".
	Listen string `json:"listen"`
	// URL is where others reach the listener. Empty means that it follows
	// from Listen.
	URL string `json:"url,omitempty"`
	TLS *TLS   `json:"tls,omitempty"`
}

// TLS names the files of a listener's certificate and key in PEM form. They
// are read again when they change.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// ClientCAFile names the authorities that sign the certificates of
	// clients. Empty means that clients need no certificate.
	ClientCAFile string `json:"client_ca_file,omitempty"`
}

// OperatorListener is the listener of operators.
type OperatorListener struct {
	Listener
	// KeyHashes are hexadecimal SHA-256 hashes of keys that hold beside those
	// of the configuration, so that the first configuration can be put.
	KeyHashes []string `json:"key_hashes,omitempty"`
}

// PeerListener is the listener of other instances.
type PeerListener struct {
	// Listen is an IP address and a port.
	Listen string `json:"listen"`
	// Address is where other instances reach the listener, as IP:port. Empty
	// means that it follows from Listen.
	Address string `json:"address,omitempty"`
	TLS     *TLS   `json:"tls,omitempty"`
	// SecretFile names a file with the secret that all instances share. It
	// authenticates tickets, and without TLS the instances themselves.
	SecretFile string `json:"secret_file,omitempty"`
	// Open says that nobody but instances can reach the listener, so that they
	// need no secret.
	Open bool `json:"open,omitempty"`
	// Seeds name other instances to ask while the platform's list cannot be
	// read at the start.
	Seeds []Seed `json:"seeds,omitempty"`
}

// Seed is another instance.
type Seed struct {
	Instance wasabiridge.InstanceID `json:"instance"`
	// Address is where the instance listens for others, as IP:port.
	Address string `json:"address"`
}

// Limits bounds what callers may take up. A zero field means its default.
type Limits struct {
	// HeaderBytes bounds the header of a request. The default is 32 KiB.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// BodyBytes bounds the body of a request. The default is 8 MiB.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// Requests bounds the requests that are open at once. The default is
	// 4096.
	Requests int `json:"requests,omitempty"`
	// StreamBytes bounds what is kept of one answer for a slow reader. The
	// default is 16 KiB.
	StreamBytes int `json:"stream_bytes,omitempty"`
	// AnswerBytes bounds the part of an answer that is held back so that a
	// broken attempt can be repeated. The default is 1 MiB.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// HeaderTimeout bounds the time to read a request's header. The default
	// is 10 s.
	HeaderTimeout wasabiridge.Millis `json:"header_timeout_ms,omitempty"`
	// BodyTimeout bounds the time to read a request's body. The default is
	// 60 s.
	BodyTimeout wasabiridge.Millis `json:"body_timeout_ms,omitempty"`
	// IdleTimeout bounds the time a connection waits for its next request.
	// The default is 120 s.
	IdleTimeout wasabiridge.Millis `json:"idle_timeout_ms,omitempty"`
	// Ring bounds the events that wait for the decisions. The default is
	// 8192.
	Ring int `json:"ring,omitempty"`
}

// Drain says how the process ends.
type Drain struct {
	// AnswerLifetime is how long callers may keep an address answer. The
	// process accepts requests for that long after it began to leave. The
	// default is 10 s.
	AnswerLifetime wasabiridge.Millis `json:"answer_lifetime_ms,omitempty"`
	// Limit bounds the whole drain; streams that are open after it are cut.
	// The default is 15 min.
	Limit wasabiridge.Millis `json:"limit_ms,omitempty"`
}

// Defaults of the limits.
const (
	DefaultHeaderBytes    = 32 << 10
	DefaultBodyBytes      = 8 << 20
	DefaultRequests       = 4096
	DefaultStreamBytes    = 16 << 10
	DefaultAnswerBytes    = 1 << 20
	DefaultHeaderTimeout  = 10 * wasabiridge.Second
	DefaultBodyTimeout    = wasabiridge.Minute
	DefaultIdleTimeout    = 2 * wasabiridge.Minute
	DefaultRing           = 8192
	DefaultAnswerLifetime = 10 * wasabiridge.Second
	DefaultDrainLimit     = 15 * wasabiridge.Minute
)

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	var text []byte
	var err error
	if text, err = os.ReadFile(file); err != nil {
		return Settings{}, wasabiridge.ErrInvalid.Wrap(err, "settings: cannot be read")
	}
	return Parse(text)
}

// Parse reads and checks settings and fills in the defaults. It reports
// ErrInvalid with everything that is wrong.
func Parse(text []byte) (Settings, error) {
	var s Settings
	if err := wasabidocument.Decode(text, &s); err != nil {
		return Settings{}, err
	}
	if err := check(s); err != nil {
		return Settings{}, err
	}
	return s.withDefaults(), nil
}

func (s Settings) withDefaults() Settings {
	s.Limits = s.Limits.WithDefaults()
	s.Drain = s.Drain.WithDefaults()
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	s.Caller = s.Caller.withURL()
	s.Operator.Listener = s.Operator.withURL()
	if s.Peer.Address == "" {
		s.Peer.Address = s.Peer.Listen
	}
	return s
}

// WithDefaults returns the limits with every zero field filled in.
func (l Limits) WithDefaults() Limits {
	setInt(&l.HeaderBytes, DefaultHeaderBytes)
	if l.BodyBytes == 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	setInt(&l.Requests, DefaultRequests)
	setInt(&l.StreamBytes, DefaultStreamBytes)
	setInt(&l.AnswerBytes, DefaultAnswerBytes)
	setMillis(&l.HeaderTimeout, DefaultHeaderTimeout)
	setMillis(&l.BodyTimeout, DefaultBodyTimeout)
	setMillis(&l.IdleTimeout, DefaultIdleTimeout)
	setInt(&l.Ring, DefaultRing)
	return l
}

// WithDefaults returns the drain settings with every zero field filled in.
func (d Drain) WithDefaults() Drain {
	setMillis(&d.AnswerLifetime, DefaultAnswerLifetime)
	setMillis(&d.Limit, DefaultDrainLimit)
	return d
}

func (l Listener) withURL() Listener {
	if l.URL != "" || l.Listen == "" {
		return l
	}
	scheme := "http://"
	if l.TLS != nil {
		scheme = "https://"
	}
	l.URL = scheme + l.Listen
	return l
}

func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setMillis(field *wasabiridge.Millis, value wasabiridge.Millis) {
	if *field == 0 {
		*field = value
	}
}
