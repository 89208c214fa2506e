package wasabirelay

import (
	"net/http"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// call is the state of one request in the filters. It is owned by the goroutine of the
// request.
type call struct {
	relay   *Relay
	w       http.ResponseWriter
	r       *http.Request
	arrived wasabiridge.Millis
	view    View
	parsed  wasabiridge.CallerRequest
	rule    wasabiridge.Rule
	account wasabiridge.ClientAccount
	body    []byte
	// held counts what the request holds.
	held *wasabiheld.Handle
	// fingerprint identifies the content of the request. It is zero if the request was
	// refused by a filter.
	fingerprint wasabiridge.Fingerprint
	// until is the deadline: the earlier of the caller's and the rule's.
	until wasabiridge.Millis
	// received is set if another instance passed the request on.
	received *received
}

// filters are called in order. The first refusal ends the request.
var filters = []func(*call) *wasabiridge.Refusal{
	(*call).read, (*call).checkConfig, (*call).checkVersion, (*call).checkSize, (*call).match, (*call).authenticate, (*call).checkKeyFreshness, (*call).hold, (*call).readBody, (*call).checkShutdown,
}

func (c *call) prepare() *wasabiridge.Refusal {
	for _, filter := range filters {
		if refusal := filter(c); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (c *call) read() *wasabiridge.Refusal {
	var err error
	if c.parsed, err = c.relay.options.Protocol.Read(c.r); err != nil {
		return &wasabiridge.Refusal{Kind: wasabiridge.RefusalInvalid, Reason: "unreadable request"}
	}
	if c.parsed.Timeout == 0 {
		c.parsed.Timeout = defaultTimeLimit
	}
	if c.received != nil {
		c.parsed.Timeout = min(c.parsed.Timeout, c.received.Timeout)
	}
	c.until = c.arrived + c.parsed.Timeout
	return nil
}

func (c *call) checkConfig() *wasabiridge.Refusal {
	if c.view.Config.Version == 0 {
		return c.notRunSince("no configuration known yet", c.relay.started)
	}
	return nil
}

// checkSize refuses requests whose header or declared body exceeds the size limits.
func (c *call) checkSize() *wasabiridge.Refusal {
	limits := c.view.Config.CallerLimits
	if headerBytes(c.r) > orDefault(limits.HeaderBytes, defaultHeaderBytes) {
		c.w.Header().Set("Connection", "close")
		return &wasabiridge.Refusal{Kind: wasabiridge.RefusalHeaderTooLarge, Reason: "header too large"}
	}
	if c.r.ContentLength > c.bodyLimit() {
		c.w.Header().Set("Connection", "close")
		return &wasabiridge.Refusal{Kind: wasabiridge.RefusalBodyTooLarge, Reason: "body too large"}
	}
	return nil
}

func (c *call) bodyLimit() int64 {
	if n := c.view.Config.CallerLimits.BodyBytes; n > 0 {
		return n
	}
	return defaultBodyBytes
}

// headerBytes returns the approximate size of the request line and header.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size
}

func orDefault(n, otherwise int) int {
	if n > 0 {
		return n
	}
	return otherwise
}

func (c *call) match() *wasabiridge.Refusal {
	var ok bool
	if c.rule, ok = c.relay.index.find(c.view.Config, hostOf(c.r), wasabirule.PathOf(c.r)); !ok {
		return c.deny(wasabiridge.RefusalNoRule, "no rule matches")
	}
	if t := c.rule.Then.Timeout; t > 0 {
		c.until = min(c.until, c.arrived+t)
	}
	return nil
}

func (c *call) authenticate() *wasabiridge.Refusal {
	policy := c.view.Config.KeyPolicy()
	switch {
	case c.rule.Then.Anonymous || policy == wasabiridge.KeysNone:
		return nil
	case policy == wasabiridge.KeysUnknown:
		return c.notRun("configuration does not state whether keys are required")
	}
	var ok bool
	if c.parsed.Key == "" {
		return c.deny(wasabiridge.RefusalNoKey, "no key given")
	}
	if c.account, ok = c.relay.keys.Find(c.view.Config, c.parsed.Key); !ok {
		return c.deny(wasabiridge.RefusalNoKey, "key not known")
	}
	return nil
}

// deny rejects a request whose route or key is not in the configuration. If the
// configuration is older than MaxDenyAge, the request is refused as not run instead.
func (c *call) deny(kind wasabiridge.RefusalKind, cause string) *wasabiridge.Refusal {
	if c.arrived-c.view.ConfirmedAt > c.relay.options.MaxDenyAge() {
		return c.notRun(cause + ", by a configuration that may be old")
	}
	return &wasabiridge.Refusal{Kind: kind, Reason: cause}
}

// checkKeyFreshness refuses requests whose key may have been revoked meanwhile.
func (c *call) checkKeyFreshness() *wasabiridge.Refusal {
	if c.account.ID != "" && !c.keyInForce() {
		return c.notRunSince("key not proven lately", c.view.ConfirmedAt+c.relay.options.MaxKeyAge())
	}
	return nil
}

// keyInForce reports whether the account's key was confirmed to be in force within the
// last MaxKeyAge. It uses the current snapshot, not that of the request's arrival.
func (c *call) keyInForce() bool {
	view := c.relay.options.View()
	if c.relay.options.Clock.Now()-view.ConfirmedAt > c.relay.options.MaxKeyAge() {
		return false
	}
	if view.Config == c.view.Config {
		return true
	}
	account, ok := c.relay.keys.Find(view.Config, c.parsed.Key)
	return ok && account.ID == c.account.ID
}
