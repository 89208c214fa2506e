// Package wasabifault injects faults into calls to a stand-in for the platform. A
// plan and its seed determine the outcome of every call.
//
// The random outcome of a call depends on the seed, the operation, the key and the
// number of earlier calls with that key. It does not depend on the order of calls
// with other keys, so that concurrent runs over distinct keys are reproducible.
//
// # Usage
//
// Given fractions of all calls fail at random:
//
//	plan := wasabifault.Plan{Seed: 1, LostAnswer: 0.05, Unavailable: 0.1}
//	injector := wasabifault.NewInjector(plan, clock, nil)
//	err := injector.Read(ctx, key)
//
// A test of one failure sets the outcomes of the next calls instead:
//
//	injector.SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
package wasabifault

import (
	"github.com/wasabiridge/wasabiridge"
)

// Kind is the kind of outcome of a call.
type Kind string

// Kinds of outcomes.
const (
	// Delivered means that the call succeeds. It is the zero Kind.
	Delivered Kind = ""
	// Unavailable means that the call is rejected before any effect.
	Unavailable Kind = "unavailable"
	// LostRequest means that the request is lost and has no effect. The caller
	// cannot distinguish this from LostAnswer.
	LostRequest Kind = "lost_request"
	// LostAnswer means that the call takes effect, but its answer is lost.
	LostAnswer Kind = "lost_answer"
	// LateEffect means that the caller receives no answer, and that a write
	// takes effect some time after the call has failed.
	LateEffect Kind = "late_effect"
	// Race means that another writer changes a row just before the call. Reads
	// succeed.
	Race Kind = "race"
)

// Op is the kind of operation of a call.
type Op string

// Operations.
const (
	// Read is an operation without an effect.
	Read Op = "read"
	// Write is an operation with an effect.
	Write Op = "write"
)

// Outcome is the outcome of one call. The zero value is an immediate success.
type Outcome struct {
	Kind Kind
	// Before and After are the delays before and after the effect.
	Before wasabiridge.Millis
	After  wasabiridge.Millis
	// EffectDelay is the delay after which a write of kind LateEffect takes effect.
	EffectDelay wasabiridge.Millis
}

// Window gives all calls in the time interval from From, inclusive, to Until,
// exclusive, outcomes of one kind.
type Window struct {
	From  wasabiridge.Millis `json:"from_ms"`
	Until wasabiridge.Millis `json:"until_ms"`
	Kind  Kind               `json:"kind"`
}

// Outage returns a window in which every call is rejected as Unavailable.
func Outage(from, until wasabiridge.Millis) Window {
	return Window{From: from, Until: until, Kind: Unavailable}
}

// Plan configures how often each fault occurs. The values of the kinds are
// probabilities between 0 and 1. If their sum exceeds 1, earlier fields take
// precedence. Windows take precedence over the rate limits, and these over the
// probabilities. The zero Plan has no faults.
type Plan struct {
	Seed        uint64  `json:"seed,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty"`
	LostRequest float64 `json:"lost_request,omitempty"`
	LostAnswer  float64 `json:"lost_answer,omitempty"`
	LateEffect  float64 `json:"late_effect,omitempty"`
	Race        float64 `json:"race,omitempty"`
	// MaxEffectDelay is the maximum delay of the effect of a write of kind
	// LateEffect. The delay is uniformly distributed; in a window it is always
	// MaxEffectDelay.
	MaxEffectDelay wasabiridge.Millis `json:"lateness_ms,omitempty"`
	// DelayMin and DelayMax are the bounds of the uniformly distributed delay
	// of each call. Half of it is applied before the effect and half after it.
	DelayMin wasabiridge.Millis `json:"delay_min_ms,omitempty"`
	DelayMax wasabiridge.Millis `json:"delay_max_ms,omitempty"`
	Windows  []Window           `json:"windows,omitempty"`
	// ReadsPerSecond and WritesPerSecond are rate limits. Calls above them are
	// rejected as Unavailable. Zero means no limit.
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
	WritesPerSecond int `json:"writes_per_second,omitempty"`
}

// WithWindows returns a copy of the plan with the windows replaced.
func (p Plan) WithWindows(windows ...Window) Plan {
	p.Windows = append([]Window(nil), windows...)
	return p
}

func (p Plan) rateLimit(op Op) int {
	if op == Read {
		return p.ReadsPerSecond
	}
	return p.WritesPerSecond
}

func (p Plan) kindInWindow(now wasabiridge.Millis) (Kind, bool) {
	for _, w := range p.Windows {
		if now >= w.From && now < w.Until {
			return w.Kind, true
		}
	}
	return Delivered, false
}
