package wasabisettings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
)

// check validates the values of decoded settings. It returns nil, or an ErrInvalid
// that lists every invalid field with its path.
func check(s Settings) error {
	c := checker{}
	c.required("/instance", string(s.Instance))
	c.required("/zone", string(s.Zone))
	if s.Capacity < 0 {
		c.report("/capacity", "must not be negative")
	}
	if s.Memory < 0 {
		c.report("/memory_mb", "must not be negative")
	}
	c.nonNegative("/max_descriptors", int64(s.Descriptors))
	c.required("/caller/listen", s.Caller.Listen)
	c.listener("/caller", s.Caller)
	c.listener("/operator", s.Operator.Listener)
	c.keyHashes("/operator/key_hashes", s.Operator.KeyHashes)
	c.address("/peer/listen", s.Peer.Listen)
	c.address("/peer/address", s.Peer.Address)
	c.tls("/peer/tls", s.Peer.TLS)
	for i, seed := range s.Peer.Seeds {
		c.required(fmt.Sprintf("/peer/seeds/%d/instance", i), string(seed.Instance))
		c.required(fmt.Sprintf("/peer/seeds/%d/address", i), seed.Address)
		c.address(fmt.Sprintf("/peer/seeds/%d/address", i), seed.Address)
	}
	if s.Peer.Listen != "" && !s.Peer.Trusted {
		c.required("/peer/secret_file", s.Peer.SecretFile)
	}
	c.platform(s.Platform)
	c.hosted(s.Hosted)
	c.level("/log_level", s.LogLevel)
	c.limits(s.Limits)
	c.drain(s.Drain)
	if len(c.problems) == 0 {
		return nil
	}
	return wasabiridge.ErrInvalid.New("settings: %s", strings.Join(c.problems, "\n"))
}

// checker collects the problems found in settings.
type checker struct {
	problems []string
}

func (c *checker) report(path, text string) {
	c.problems = append(c.problems, path+": "+text)
}

// required reports a string field that is empty.
func (c *checker) required(path, value string) {
	if value == "" {
		c.report(path, "must be set")
	}
}

// address reports a value that is not an IP address and a port. Host names are not
// accepted, because resolving them would need DNS, which may be down at the moment
// when an instance restarts. An empty value is accepted.
func (c *checker) address(path, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(path, "must be an IP address and a port, such as \"127.0.0.1:8080\"")
	}
}

// url reports a value that is not an absolute http or https URL. An empty value is
// accepted.
func (c *checker) url(path, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.report(path, "must be a URL that starts with http:// or https://")
	}
}

func (c *checker) platform(p *wasabiplatform.Settings) {
	if p == nil {
		return
	}
	c.required("/platform/table_url", p.TableURL)
	c.required("/platform/table", p.Table)
	c.url("/platform/table_url", p.TableURL)
	c.url("/platform/objects_url", p.ObjectsURL)
	c.url("/platform/instances_url", p.InstancesURL)
}

func (c *checker) keyHashes(path string, hashes []string) {
	for i, h := range hashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != sha256.Size {
			c.report(fmt.Sprintf("%s/%d", path, i), "must be a SHA-256 hash in hexadecimal digits")
		}
	}
}

func (c *checker) listener(path string, l Listener) {
	c.address(path+"/listen", l.Listen)
	c.url(path+"/url", l.URL)
	c.tls(path+"/tls", l.TLS)
}

func (c *checker) tls(path string, t *TLS) {
	if t == nil {
		return
	}
	c.required(path+"/certificate_file", t.CertificateFile)
	c.required(path+"/key_file", t.KeyFile)
}

func (c *checker) level(path, value string) {
	if value == "" {
		return
	}
	if _, err := zerolog.ParseLevel(value); err != nil {
		c.report(path, "must be \"debug\", \"info\", \"warn\" or \"error\"")
	}
}

func (c *checker) limits(l Limits) {
	c.nonNegative("/limits/header_bytes", int64(l.HeaderBytes))
	c.nonNegative("/limits/body_bytes", l.BodyBytes)
	c.nonNegative("/limits/requests", int64(l.Requests))
	c.nonNegative("/limits/stream_bytes", int64(l.StreamBytes))
	c.nonNegative("/limits/answer_bytes", int64(l.AnswerBytes))
	c.nonNegative("/limits/header_timeout_ms", int64(l.HeaderTimeout))
	c.nonNegative("/limits/body_timeout_ms", int64(l.BodyTimeout))
	c.nonNegative("/limits/idle_timeout_ms", int64(l.IdleTimeout))
	c.nonNegative("/limits/ring", int64(l.RingSize))
}

func (c *checker) drain(d Drain) {
	c.nonNegative("/drain/answer_lifetime_ms", int64(d.AnswerLifetime))
	c.nonNegative("/drain/limit_ms", int64(d.Limit))
	if d = d.WithDefaults(); d.Limit < d.AnswerLifetime {
		c.report("/drain/limit_ms", "must not be shorter than answer_lifetime_ms, or the instance ends while callers still hold valid address answers")
	}
}

func (c *checker) nonNegative(path string, value int64) {
	if value < 0 {
		c.report(path, "must not be negative")
	}
}
