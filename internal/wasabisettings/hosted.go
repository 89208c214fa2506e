package wasabisettings

import (
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
}

// Span is a duration in milliseconds. It is a floating-point number, because
// platforms also write fractions.
type Span float64

// Seconds is a duration in seconds. It is a floating-point number, because
// platforms also write fractions.
type Seconds float64

// Bounds are the time limits and the retry budget that the platform's operators
// rely on. A zero field means its default.
type Bounds struct {
	// KeyLife is the longest time for which a revoked key may still be accepted.
	// The default is 5 s.
	KeyLife Span `json:"key_life_ms,omitempty"`
	// ConfigLife is the time after its acceptance within which a configuration
	// must be in force at all instances. The default is 2 s.
	ConfigLife Span `json:"config_life_ms,omitempty"`
	// WeightsLife is the time after the announcement of new weights during which
	// answers may still be started with older weights. The default is 12 s.
	WeightsLife Span `json:"weights_life_ms,omitempty"`
	// Turn is the lease term: the shortest time between orders that two different
	// instances issue. The default is 3 s.
	Turn Span `json:"turn_ms,omitempty"`
	// Grace is the longest time from the request to end until the process has
	// ended. The default is 8 s.
	Grace Seconds `json:"grace_s,omitempty"`
	// AddressLife is the longest time for which an address answer is valid. The
	// default is 5 s.
	AddressLife Seconds `json:"address_life_s,omitempty"`
	// RetryRatio, RetrySlack and RetryWindow are the retry budget that all
	// instances share: within each window, the further attempts must not exceed
	// RetryRatio times the number of requests plus RetrySlack. The defaults are
	// 0.2, 50 and 10 s.
	RetryRatio  float64 `json:"retry_ratio,omitempty"`
	RetrySlack  float64 `json:"retry_slack,omitempty"`
	RetryWindow Seconds `json:"retry_window_s,omitempty"`
}

// Terms are Bounds with the defaults filled in and all times in milliseconds. It is
// an immutable value.
type Terms struct {
	KeyLife, ConfigLife, WeightsLife, Turn, Grace, AddressLife, RetryWindow wasabiridge.Millis
	RetryRatio, RetrySlack                                                  float64
}

// Defaults of Bounds.
const (
	DefaultKeyLife     = 5 * wasabiridge.Second
	DefaultConfigLife  = 2 * wasabiridge.Second
	DefaultWeightsLife = 12 * wasabiridge.Second
	DefaultTurn        = 3 * wasabiridge.Second
	DefaultGrace       = 8 * wasabiridge.Second
	DefaultAddressLife = 5 * wasabiridge.Second
	DefaultRetryRatio  = 0.2
	DefaultRetrySlack  = 50
	DefaultRetryWindow = 10 * wasabiridge.Second
)

// Terms returns the bounds with every zero field set to its default.
func (b Bounds) Terms() Terms {
	t := Terms{
		KeyLife: wasabiridge.Millis(b.KeyLife), ConfigLife: wasabiridge.Millis(b.ConfigLife),
		WeightsLife: wasabiridge.Millis(b.WeightsLife), Turn: wasabiridge.Millis(b.Turn),
		Grace: b.Grace.millis(), AddressLife: b.AddressLife.millis(), RetryWindow: b.RetryWindow.millis(),
		RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
	}
	setMillis(&t.KeyLife, DefaultKeyLife)
	setMillis(&t.ConfigLife, DefaultConfigLife)
	setMillis(&t.WeightsLife, DefaultWeightsLife)
	setMillis(&t.Turn, DefaultTurn)
	setMillis(&t.Grace, DefaultGrace)
	setMillis(&t.AddressLife, DefaultAddressLife)
	setMillis(&t.RetryWindow, DefaultRetryWindow)
	if t.RetryRatio == 0 {
		t.RetryRatio = DefaultRetryRatio
	}
	if t.RetrySlack == 0 {
		t.RetrySlack = DefaultRetrySlack
	}
	return t
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
	b := h.Bounds
	values := map[string]float64{
		"key_life_ms": float64(b.KeyLife), "config_life_ms": float64(b.ConfigLife), "weights_life_ms": float64(b.WeightsLife),
		"turn_ms": float64(b.Turn), "grace_s": float64(b.Grace), "address_life_s": float64(b.AddressLife),
		"retry_window_s": float64(b.RetryWindow), "retry_ratio": b.RetryRatio, "retry_slack": b.RetrySlack,
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] < 0 {
			c.report("/hosted/bounds/"+name, "must not be negative")
		}
	}
}
