package wasabisettings

import (
	"fmt"
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// Hosted are the settings of a process that runs on a platform whose operators
// write the configuration into its store.
type Hosted struct {
	// Store is the address of the platform's store, as IP:port.
	Store string `json:"store"`
	// Ready, Directory and Metrics are addresses to listen on, as IP:port: for
	// the platform's readiness checks, for callers that request the addresses of
	// instances, and for metrics. An empty address turns the listener off.
	Ready     string `json:"ready,omitempty"`
	Directory string `json:"directory,omitempty"`
	Metrics   string `json:"metrics,omitempty"`
	Bounds    Bounds `json:"bounds,omitempty"`
	// Headroom reports that fewer callers are sent to instances whose processor has no
	// headroom. The default is to go by their capacity alone.
	Headroom bool `json:"headroom,omitempty"`
	// Sharing states whether a pool that is short of capacity is shared among client
	// accounts: SharingOn, SharingOff, or empty, which means on where Rules ask for it.
	Sharing string `json:"sharing,omitempty"`
	// Rules are the names of the parts of the platform's rules that are in force for the
	// deployment, as the platform names them. Unknown names have no effect.
	Rules []string `json:"rules,omitempty"`
	// UnevenServers states that the servers of a pool differ in speed, and that large prompts
	// which meet at one exceed its memory. Both are then considered in every decision.
	UnevenServers bool `json:"uneven_servers,omitempty"`
	// ZoneCrossing is the price of bytes between availability zones. Empty means
	// CrossingNormal.
	ZoneCrossing ZoneCrossing `json:"zone_crossing,omitempty"`
}

// Values of Hosted.Sharing.
const (
	SharingOn  = "on"
	SharingOff = "off"
)

const (
	// maxRules bounds the names of rules in the settings, and maxRuleBytes the length of one.
	maxRules     = 256
	maxRuleBytes = 128
)

// SharesPools reports whether pools are shared, given what Rules ask for.
func (h Hosted) SharesPools(asked wasabiridge.Features) bool {
	if h.Sharing == "" {
		return asked.Sharing
	}
	return h.Sharing == SharingOn
}

// ZoneCrossing is how expensive it is to send a request to another availability zone.
type ZoneCrossing string

const (
	// CrossingNormal means that a request leaves its zone for any server that serves it
	// noticeably better.
	CrossingNormal ZoneCrossing = "normal"
	// CrossingDear means that bytes between zones are dear: large requests leave their
	// zone only where that saves more, and shared parts of prompts are held in each
	// zone that uses them often.
	CrossingDear ZoneCrossing = "dear"
)

// Milliseconds is a duration in milliseconds. It is a floating-point number, because
// platforms also write fractions.
type Milliseconds float64

// Seconds is a duration in seconds. It is a floating-point number, because
// platforms also write fractions.
type Seconds float64

// Bounds are the time limits and the retry budget that the platform's operators
// rely on. A zero field means its default, unless it is a pointer.
type Bounds struct {
	// RevokedKeyLifetime is the longest time for which a revoked key may still be
	// accepted. The default is 5 s.
	RevokedKeyLifetime Milliseconds `json:"key_life_ms,omitempty"`
	// ConfigPropagationTime is the time after its acceptance within which a configuration
	// must be in force at all instances. The default is 2 s.
	ConfigPropagationTime Milliseconds `json:"config_life_ms,omitempty"`
	// OldWeightsLifetime is the time after the announcement of new weights during which
	// answers may still be started with older weights. The default is 12 s.
	OldWeightsLifetime Milliseconds `json:"weights_life_ms,omitempty"`
	// LeaseTerm is the lease term: the shortest time between orders that two different
	// instances issue. The default is 3 s.
	LeaseTerm Milliseconds `json:"turn_ms,omitempty"`
	// ShutdownGrace is the longest time from the request to end until the process has
	// ended. The default is 8 s.
	ShutdownGrace Seconds `json:"grace_s,omitempty"`
	// AddressLifetime is the longest time for which an address answer is valid. The
	// default is 5 s.
	AddressLifetime Seconds `json:"address_life_s,omitempty"`
	// RetryRatio, RetrySlack and RetryWindow are the retry budget that all
	// instances share: within each window, the further attempts must not exceed
	// RetryRatio times the number of requests plus RetrySlack. The defaults are
	// 0.2, 50 and 10 s. A ratio or slack of zero is a bound like any other; nil means the
	// default.
	RetryRatio  *float64 `json:"retry_ratio,omitempty"`
	RetrySlack  *float64 `json:"retry_slack,omitempty"`
	RetryWindow Seconds  `json:"retry_window_s,omitempty"`
	// TrialShare is the part of the requests to a pool that a bad software version may get
	// between the order of its rollout and the deadline. The default is 0.1.
	TrialShare float64 `json:"trial_share,omitempty"`
}

// ResolvedBounds are Bounds with the defaults filled in and all times in milliseconds.
// It is an immutable value.
type ResolvedBounds struct {
	RevokedKeyLifetime, ConfigPropagationTime, OldWeightsLifetime, LeaseTerm, ShutdownGrace, AddressLifetime, RetryWindow wasabiridge.Millis
	RetryRatio, RetrySlack, TrialShare                                                                                    float64
}

// Defaults of Bounds.
const (
	DefaultRevokedKeyLifetime    = 5 * wasabiridge.Second
	DefaultConfigPropagationTime = 2 * wasabiridge.Second
	DefaultOldWeightsLifetime    = 12 * wasabiridge.Second
	DefaultLeaseTerm             = 3 * wasabiridge.Second
	DefaultShutdownGrace         = 8 * wasabiridge.Second
	DefaultAddressLifetime       = 5 * wasabiridge.Second
	DefaultRetryRatio            = 0.2
	DefaultRetrySlack            = 50
	DefaultRetryWindow           = 10 * wasabiridge.Second
	DefaultTrialShare            = 0.1
)

// Resolve returns the bounds with every field that is not set at its default.
func (b Bounds) Resolve() ResolvedBounds {
	t := ResolvedBounds{
		RevokedKeyLifetime: wasabiridge.Millis(b.RevokedKeyLifetime), ConfigPropagationTime: wasabiridge.Millis(b.ConfigPropagationTime),
		OldWeightsLifetime: wasabiridge.Millis(b.OldWeightsLifetime), LeaseTerm: wasabiridge.Millis(b.LeaseTerm),
		ShutdownGrace: b.ShutdownGrace.millis(), AddressLifetime: b.AddressLifetime.millis(), RetryWindow: b.RetryWindow.millis(),
		RetryRatio: orDefault(b.RetryRatio, DefaultRetryRatio), RetrySlack: orDefault(b.RetrySlack, DefaultRetrySlack), TrialShare: b.TrialShare,
	}
	setMillis(&t.RevokedKeyLifetime, DefaultRevokedKeyLifetime)
	setMillis(&t.ConfigPropagationTime, DefaultConfigPropagationTime)
	setMillis(&t.OldWeightsLifetime, DefaultOldWeightsLifetime)
	setMillis(&t.LeaseTerm, DefaultLeaseTerm)
	setMillis(&t.ShutdownGrace, DefaultShutdownGrace)
	setMillis(&t.AddressLifetime, DefaultAddressLifetime)
	setMillis(&t.RetryWindow, DefaultRetryWindow)
	if t.TrialShare == 0 {
		t.TrialShare = DefaultTrialShare
	}
	return t
}

func orDefault(v *float64, otherwise float64) float64 {
	if v == nil {
		return otherwise
	}
	return *v
}

func (s Seconds) millis() wasabiridge.Millis {
	return wasabiridge.Millis(float64(s) * float64(wasabiridge.Second))
}

func (c *checker) hosted(h *Hosted) {
	if h == nil {
		return
	}
	c.required("/hosted/store", h.Store)
	c.address("/hosted/store", h.Store)
	c.address("/hosted/ready", h.Ready)
	c.address("/hosted/directory", h.Directory)
	c.address("/hosted/metrics", h.Metrics)
	c.sharing(*h)
	switch h.ZoneCrossing {
	case "", CrossingNormal, CrossingDear:
	default:
		c.report("/hosted/zone_crossing", fmt.Sprintf("must be %q or %q", CrossingNormal, CrossingDear))
	}
	b := h.Bounds
	values := map[string]float64{
		"key_life_ms": float64(b.RevokedKeyLifetime), "config_life_ms": float64(b.ConfigPropagationTime), "weights_life_ms": float64(b.OldWeightsLifetime),
		"turn_ms": float64(b.LeaseTerm), "grace_s": float64(b.ShutdownGrace), "address_life_s": float64(b.AddressLifetime),
		"retry_window_s": float64(b.RetryWindow), "retry_ratio": orDefault(b.RetryRatio, DefaultRetryRatio), "retry_slack": orDefault(b.RetrySlack, DefaultRetrySlack), "trial_share": b.TrialShare,
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] < 0 {
			c.report("/hosted/bounds/"+name, "must not be negative")
		}
	}
}

func (c *checker) sharing(h Hosted) {
	if h.Sharing != "" && h.Sharing != SharingOn && h.Sharing != SharingOff {
		c.report("/hosted/sharing", fmt.Sprintf("%q must be %q or %q, or not set", h.Sharing, SharingOn, SharingOff))
	}
	if len(h.Rules) > maxRules {
		c.report("/hosted/rules", fmt.Sprintf("%d names, at most %d are allowed", len(h.Rules), maxRules))
		return
	}
	for i, name := range h.Rules {
		path := fmt.Sprintf("/hosted/rules/%d", i)
		switch {
		case name == "":
			c.report(path, "must not be empty")
		case len(name) > maxRuleBytes:
			c.report(path, fmt.Sprintf("%d bytes, at most %d are allowed", len(name), maxRuleBytes))
		case slices.Contains(h.Rules[:i], name):
			c.report(path, fmt.Sprintf("%q is named twice", name))
		}
	}
}
