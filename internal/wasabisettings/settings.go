// Package wasabisettings reads the settings of one router process: its name, its
// availability zone, its addresses, the addresses of the platform's services, and
// its limits. Values that are the same for all instances belong in the configuration
// instead.
//
// Settings are JSON with comments. The error for invalid settings lists every
// unknown or invalid field with its path.
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

// Settings are the settings of one process, read when it starts. It is an immutable
// value.
type Settings struct {
	Instance wasabiridge.InstanceID       `json:"instance"`
	Zone     wasabiridge.AvailabilityZone `json:"zone"`
	Region   wasabiridge.Region           `json:"region,omitempty"`
	// Capacity is the capacity of the instance relative to the other instances,
	// such as the share of a CPU core that it may use. Zero counts as one. If there
	// are many instances, callers are directed to those with the largest capacity.
	Capacity float64 `json:"capacity,omitempty"`
	// Memory is the memory in MB at which the process is killed. Zero means that it is
	// not known: then what the process holds for requests and connections is not bounded.
	Memory float64 `json:"memory_mb,omitempty"`
	// Descriptors is the number of descriptors that the process may open. Zero, or more than
	// the system allows, means as many as the system allows.
	Descriptors int `json:"max_descriptors,omitempty"`
	// Caller is the listener of callers.
	Caller Listener `json:"caller"`
	// Operator is the listener of operators. It is off when Listen is empty.
	Operator OperatorListener `json:"operator,omitempty"`
	// Peer is the listener of other instances. It is off when Listen is
	// empty.
	Peer PeerListener `json:"peer,omitempty"`
	// Platform contains the addresses of the platform's services. Without it no
	// state survives the process, and requests that must run at most once need
	// tickets.
	Platform *wasabiplatform.Settings `json:"platform,omitempty"`
	// ConfigFile names a file with the configuration that is used when neither a
	// peer nor the platform provides one at the start.
	ConfigFile string `json:"config_file,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error". Empty means "info".
	LogLevel string `json:"log_level,omitempty"`
	Limits   Limits `json:"limits,omitempty"`
	Drain    Drain  `json:"drain,omitempty"`
	// Hosted is set for a process that runs on a platform whose operators write
	// the configuration into the platform's store.
	Hosted *Hosted `json:"hosted,omitempty"`
	// Seed is the seed of the random number generators. Zero means a random seed
	// at every start.
	Seed int64 `json:"seed,omitempty"`
}

// Listener is one address on which the process listens.
type Listener struct {
	// Listen is an IP address and a port, such as "10.0.0.7:8080".
	Listen string `json:"listen"`
	// URL is the URL at which clients reach the listener. Empty means that it is
	// derived from Listen.
	URL string `json:"url,omitempty"`
	TLS *TLS   `json:"tls,omitempty"`
}

// TLS names the files with a listener's certificate and key, in PEM format. The files
// are reloaded when they change.
type TLS struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	// ClientCAFile names the file with the certificate authorities that sign the
	// certificates of clients. Empty means that clients need no certificate.
	ClientCAFile string `json:"client_ca_file,omitempty"`
}

// OperatorListener is the listener for operators.
type OperatorListener struct {
	Listener
	// KeyHashes are hexadecimal SHA-256 hashes of operator keys. They are accepted
	// in addition to those in the configuration, so that an operator can put the
	// first configuration.
	KeyHashes []string `json:"key_hashes,omitempty"`
}

// PeerListener is the listener for other instances.
type PeerListener struct {
	// Listen is an IP address and a port.
	Listen string `json:"listen"`
	// Address is the address at which other instances reach the listener, as
	// IP:port. Empty means that it is the same as Listen.
	Address string `json:"address,omitempty"`
	TLS     *TLS   `json:"tls,omitempty"`
	// SecretFile names a file with the secret that all instances share. It
	// authenticates tickets and, without TLS, the instances to each other. It is
	// required unless Trusted is set.
	SecretFile string `json:"secret_file,omitempty"`
	// Trusted means that only instances can reach the listener through the network,
	// so that they need no secret.
	Trusted bool `json:"open,omitempty"`
	// Seeds are other instances to contact at the start while the platform's list
	// of instances cannot be read.
	Seeds []Seed `json:"seeds,omitempty"`
}

// Seed is another instance and its peer address.
type Seed struct {
	Instance wasabiridge.InstanceID `json:"instance"`
	// Address is the address of the instance's peer listener, as IP:port.
	Address string `json:"address"`
}

// Limits are limits on the resources that callers can use. A zero field means its
// default.
type Limits struct {
	// HeaderBytes limits the header of a request. The default is 32 KiB.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// BodyBytes limits the body of a request. The default is 8 MiB.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// Requests limits the number of open requests. The default is 4096.
	Requests int `json:"requests,omitempty"`
	// StreamBytes limits the data of one answer that is buffered for a caller that
	// reads slowly. The default is 16 KiB.
	StreamBytes int `json:"stream_bytes,omitempty"`
	// AnswerBytes limits the data of one answer that is buffered before it is sent
	// to the caller, so that a broken attempt can be retried. The default is
	// 1 MiB.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// HeaderTimeout limits the time to read a request's header. The default is
	// 10 s.
	HeaderTimeout wasabiridge.Millis `json:"header_timeout_ms,omitempty"`
	// BodyTimeout limits the time to read a request's body. The default is 60 s.
	BodyTimeout wasabiridge.Millis `json:"body_timeout_ms,omitempty"`
	// IdleTimeout limits the time for which a connection waits for its next
	// request. The default is 120 s.
	IdleTimeout wasabiridge.Millis `json:"idle_timeout_ms,omitempty"`
	// RingSize is the capacity of the event queue of the decision loop. The default is
	// 8192.
	RingSize int `json:"ring,omitempty"`
}

// Drain are the settings for draining the process before it ends.
type Drain struct {
	// AnswerLifetime is how long callers may use an address answer. The process
	// accepts requests for this time after the start of the drain. The default is
	// 10 s.
	AnswerLifetime wasabiridge.Millis `json:"answer_lifetime_ms,omitempty"`
	// Limit limits the duration of the complete drain, including AnswerLifetime.
	// Requests that are still open then are aborted. The default is 15 min.
	Limit wasabiridge.Millis `json:"limit_ms,omitempty"`
}

// Defaults of Limits and Drain.
const (
	DefaultHeaderBytes    = 32 << 10
	DefaultBodyBytes      = 8 << 20
	DefaultRequests       = 4096
	DefaultStreamBytes    = 16 << 10
	DefaultAnswerBytes    = 1 << 20
	DefaultHeaderTimeout  = 10 * wasabiridge.Second
	DefaultBodyTimeout    = wasabiridge.Minute
	DefaultIdleTimeout    = 2 * wasabiridge.Minute
	DefaultRingSize       = 8192
	DefaultAnswerLifetime = 10 * wasabiridge.Second
	DefaultDrainLimit     = 15 * wasabiridge.Minute
)

// Load reads and checks a settings file. It returns ErrInvalid when the file cannot be
// read or its settings are invalid.
func Load(file string) (Settings, error) {
	var text []byte
	var err error
	if text, err = os.ReadFile(file); err != nil {
		return Settings{}, wasabiridge.ErrInvalid.Wrap(err, "settings: cannot read the settings file")
	}
	return Parse(text)
}

// Parse decodes and checks settings and fills in the defaults. It returns ErrInvalid
// with a list of all problems.
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

// WithDefaults returns the limits with every zero field set to its default.
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
	setInt(&l.RingSize, DefaultRingSize)
	return l
}

// WithDefaults returns the drain settings with every zero field set to its default.
func (d Drain) WithDefaults() Drain {
	setMillis(&d.AnswerLifetime, DefaultAnswerLifetime)
	setMillis(&d.Limit, DefaultDrainLimit)
	return d
}

// withURL returns the listener with an empty URL derived from Listen and TLS.
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

// setInt sets a field that is zero.
func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// setMillis sets a field that is zero.
func setMillis(field *wasabiridge.Millis, value wasabiridge.Millis) {
	if *field == 0 {
		*field = value
	}
}
