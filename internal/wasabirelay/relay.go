// Package wasabirelay is the side of the router that callers see whose
// requests pass through unread: an HTTP handler that finds the rule of a
// request by host and path, and hands body and answer on byte by byte.
//
// A request passes a chain of filters: read, configuration, rule, account,
// freshness of keys, body, decision, relay. Each either answers the caller or
// hands on. The attempts of a request run one after the other in the goroutine
// of the request.
//
// # Honest refusals
//
// A refusal of the kind wasabiridge.RefusalNotRun promises that the request
// has not run and never will. It is given only while no byte of the request
// was handed to a connection, or after the backend servers that got it said
// themselves that they did not run it.
//
// # Keys that were taken away
//
// A request with a key is let through only while it is proven that the keys
// known here were in force a short time ago. This is asked on arrival and once
// more right before the first byte leaves, so that an instance that stood
// still in between sends nothing.
//
// # Usage
//
//	relay := wasabirelay.New(wasabirelay.Options{
//		Clock: clock, Loop: loop, Runner: runner, Protocol: protocol, Catalog: catalog.View,
//	})
//	server := &http.Server{Handler: relay}
package wasabirelay

import (
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabikey"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
)

const (
	// returnShare is the part of the caller's remaining time after which it is
	// asked to come back at the latest. Callers do not wait longer than a
	// third.
	returnShare = 0.3
	// apartShare is the part of that time by which those come back at the earliest who
	// would have to wait longer.
	apartShare = 0.6
	// returnLeast is the shortest advice: what is refused now is refused again
	// at once.
	returnLeast = 40 * wasabiridge.Millis(1)
	// defaultPatience is how long callers wait that do not say.
	defaultPatience = 30 * wasabiridge.Second
	// defaultBodyBytes bounds a body when the configuration does not.
	defaultBodyBytes = 8 << 20
	// defaultHeaderBytes bounds a header when the configuration does not.
	defaultHeaderBytes = 32 << 10
)

// View is what the relay needs to know of the catalog.
type View struct {
	// Config is the configuration in force with its backend servers. Its
	// version is zero when none is known.
	Config *wasabiridge.Config
	// Proven is when it was last true, by the clock of the relay.
	Proven wasabiridge.Millis
	// Sharing names the accounts that share cached parts.
	Sharing string
}

// Options are the parts of a Relay. All but Log, Leaving and the bounds are
// needed.
type Options struct {
	Instance wasabiridge.InstanceID
	Clock    wasabiridge.Clock
	Log      zerolog.Logger
	Loop     *wasabiloop.Loop
	Runner   wasabiridge.AttemptRunner
	Protocol wasabiridge.CallerProtocol
	// View returns what is known. It is safe for concurrent use.
	View func() View
	// KeyLife returns how old the proof of a key may be. It is safe for
	// concurrent use, like DenyLife.
	KeyLife func() wasabiridge.Millis
	// DenyLife returns how old the configuration may be for a caller to hear
	// that its route or its key does not exist. Behind an older one stands the
	// possibility that it was added since.
	DenyLife func() wasabiridge.Millis
	// Mover moves answers between engines. Nil means that none are moved.
	Mover wasabiridge.RunMover
	// Names makes the fingerprints of requests. The zero value has an empty key.
	Names wasabifingerprint.Namer
	// Leaving reports whether the instance is about to go. Nil means never.
	Leaving func() bool
}

// Relay is an http.Handler. It is safe for concurrent use.
type Relay struct {
	options Options
	index   ruleIndex
	keys    wasabikey.Index
	open    atomic.Int64
	counts  *Counts
	running *running
	// started is when the relay was made.
	started wasabiridge.Millis
}

// New returns a relay.
func New(o Options) *Relay {
	return &Relay{options: o, counts: newCounts(), running: newRunning(), started: o.Clock.Now()}
}

// Open returns how many requests are being served.
func (l *Relay) Open() int { return int(l.open.Load()) }

// Counts returns the counters.
func (l *Relay) Counts() *Counts { return l.counts }

// ServeHTTP implements http.Handler.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.open.Add(1)
	defer l.open.Add(-1)
	if l.options.Leaving != nil && l.options.Leaving() {
		// Idle connections must not be closed under a request that is on its
		// way, so the caller is asked to close them.
		w.Header().Set("Connection", "close")
	}
	c := &call{relay: l, w: w, r: r, arrived: l.options.Clock.Now(), view: l.options.View()}
	if refusal := c.prepare(); refusal != nil {
		c.refuse(*refusal)
		return
	}
	newExchange(c).run()
}

// call is what the filters know of one request. One goroutine owns it.
type call struct {
	relay   *Relay
	w       http.ResponseWriter
	r       *http.Request
	arrived wasabiridge.Millis
	view    View
	asked   wasabiridge.Asked
	rule    wasabiridge.Rule
	account wasabiridge.ClientAccount
	body    []byte
	// named is the fingerprint. Zero means that the request was refused before it was read.
	named wasabiridge.Fingerprint
	// until is when the caller's or the rule's time is over.
	until wasabiridge.Millis
}

// filters are asked in order. The first refusal ends the request.
var filters = []func(*call) *wasabiridge.Refusal{
	(*call).read, (*call).checkConfig, (*call).checkSize, (*call).match, (*call).authenticate, (*call).checkProof, (*call).readBody,
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
	if c.asked, err = c.relay.options.Protocol.Read(c.r); err != nil {
		return &wasabiridge.Refusal{Kind: wasabiridge.RefusalInvalid, Cause: "unreadable request"}
	}
	if c.asked.Patience == 0 {
		c.asked.Patience = defaultPatience
	}
	c.until = c.arrived + c.asked.Patience
	return nil
}

func (c *call) checkConfig() *wasabiridge.Refusal {
	if c.view.Config.Version == 0 {
		return c.awaits("no configuration known yet", c.relay.started)
	}
	return nil
}

// checkSize turns down what the operators do not let callers send.
func (c *call) checkSize() *wasabiridge.Refusal {
	limits := c.view.Config.CallerLimits
	if headerBytes(c.r) > orDefault(limits.HeaderBytes, defaultHeaderBytes) {
		c.w.Header().Set("Connection", "close")
		return &wasabiridge.Refusal{Kind: wasabiridge.RefusalHeaderTooLarge, Cause: "header too large"}
	}
	if c.r.ContentLength > c.bodyLimit() {
		c.w.Header().Set("Connection", "close")
		return &wasabiridge.Refusal{Kind: wasabiridge.RefusalBodyTooLarge, Cause: "body too large"}
	}
	return nil
}

func (c *call) bodyLimit() int64 {
	if n := c.view.Config.CallerLimits.BodyBytes; n > 0 {
		return n
	}
	return defaultBodyBytes
}

// headerBytes returns the size of a request's line and header.
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
	if c.rule, ok = c.relay.index.find(c.view.Config, hostOf(c.r), c.r.URL.Path); !ok {
		return c.deny(wasabiridge.RefusalNoRule, "no rule matches")
	}
	if t := c.rule.Then.Timeout; t > 0 {
		c.until = min(c.until, c.arrived+t)
	}
	return nil
}

func (c *call) authenticate() *wasabiridge.Refusal {
	if c.rule.Then.Anonymous || len(c.view.Config.Accounts) == 0 {
		return nil
	}
	var ok bool
	if c.asked.Key == "" {
		return c.deny(wasabiridge.RefusalNoKey, "no key given")
	}
	if c.account, ok = c.relay.keys.Find(c.view.Config, c.asked.Key); !ok {
		return c.deny(wasabiridge.RefusalNoKey, "key not known")
	}
	return nil
}

// deny turns a request down that the configuration does not allow, if the
// configuration is new enough to say so.
func (c *call) deny(kind wasabiridge.RefusalKind, cause string) *wasabiridge.Refusal {
	if c.arrived-c.view.Proven > c.relay.options.DenyLife() {
		return c.notRun(cause + ", by a configuration that may be old")
	}
	return &wasabiridge.Refusal{Kind: kind, Cause: cause}
}

// checkProof refuses requests whose keys may have been taken away meanwhile.
func (c *call) checkProof() *wasabiridge.Refusal {
	if c.account.ID != "" && !c.proven() {
		return c.awaits("key not proven lately", c.view.Proven+c.relay.options.KeyLife())
	}
	return nil
}

// proven reports whether the account's key was in force a short time ago. It
// looks at the newest proof, not at that of the request's arrival.
func (c *call) proven() bool {
	view := c.relay.options.View()
	if c.relay.options.Clock.Now()-view.Proven > c.relay.options.KeyLife() {
		return false
	}
	if view.Config == c.view.Config {
		return true
	}
	account, ok := c.relay.keys.Find(view.Config, c.asked.Key)
	return ok && account.ID == c.account.ID
}
