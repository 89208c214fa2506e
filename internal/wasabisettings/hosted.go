package wasabisettings

import (
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// Hosted is what a process is told of the platform that it runs on.
type Hosted struct {
	// Store is where the platform's store is, as IP:port.
	Store string `json:"store"`
	// Ready, Directory and Metrics are addresses to listen on, as IP:port:
	// for the platform's own checks, for callers that ask where to connect,
	// and for metrics. An empty one is off.
	Ready     string `json:"ready,omitempty"`
	Directory string `json:"directory,omitempty"`
	Metrics   string `json:"metrics,omitempty"`
	Bounds    Bounds `json:"bounds,omitempty"`
}

// Span is a length of time in milliseconds. Platforms write fractions too.
type Span float64

// Seconds is a length of time in seconds, with fractions.
type Seconds float64

// Bounds are the times and shares that the platform's operators count on. A
// zero field means its default.
type Bounds struct {
	// KeyLife is how long after a key was taken away it may still be used. The
	// default is 5 s.
	KeyLife Span `json:"key_life_ms,omitempty"`
	// ConfigLife is how long after its acceptance a configuration must be in
	// force everywhere. The default is 2 s.
	ConfigLife Span `json:"config_life_ms,omitempty"`
	// WeightsLife is how long after new weights were named older ones may
	// begin to answer. The default is 12 s.
	WeightsLife Span `json:"weights_life_ms,omitempty"`
	// Turn is how long orders of two instances must lie apart. The default is
	// 3 s.
	Turn Span `json:"turn_ms,omitempty"`
	// Grace is how long a process may take to end. The default is 8 s.
	Grace Seconds `json:"grace_s,omitempty"`
	// AddressLife is the longest time for which an address answer counts. The
	// default is 5 s.
	AddressLife Seconds `json:"address_life_s,omitempty"`
	// RetryRatio, RetrySlack and RetryWindow are the budget of further
	// attempts that all instances share: within a window, that share of the
	// requests and the slack. The defaults are 0.2, 50 and 10 s.
	RetryRatio  float64 `json:"retry_ratio,omitempty"`
	RetrySlack  float64 `json:"retry_slack,omitempty"`
	RetryWindow Seconds `json:"retry_window_s,omitempty"`
}

// Terms are bounds with every default filled in. Values are immutable.
type Terms struct {
	KeyLife, ConfigLife, WeightsLife, Turn, Grace, AddressLife, RetryWindow wasabiridge.Millis
	RetryRatio, RetrySlack                                                  float64
}

// Defaults of the bounds.
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

// Terms returns the bounds with every zero field filled in.
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
	c.filled("/hosted/store", h.Store)
	c.address("/hosted/store", h.Store)
	c.address("/hosted/ready", h.Ready)
	c.address("/hosted/directory", h.Directory)
	c.address("/hosted/metrics", h.Metrics)
	b := h.Bounds
	numbers := map[string]float64{
		"key_life_ms": float64(b.KeyLife), "config_life_ms": float64(b.ConfigLife), "weights_life_ms": float64(b.WeightsLife),
		"turn_ms": float64(b.Turn), "grace_s": float64(b.Grace), "address_life_s": float64(b.AddressLife),
		"retry_window_s": float64(b.RetryWindow), "retry_ratio": b.RetryRatio, "retry_slack": b.RetrySlack,
	}
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		if numbers[name] < 0 {
			c.report("/hosted/bounds/"+name, "must not be negative")
		}
	}
}
