// Package wasabifault decides which calls to a stand-in of the platform fail,
// and how. A plan and its seed fix the fate of every call.
//
// The fate of a call depends on the seed, the operation, the key and how often
// that key was used before. It does not depend on which goroutine of several
// came first with another key, so concurrent runs over distinct keys repeat.
//
// # Usage
//
// Shares of all calls fail at random:
//
//	plan := wasabifault.Plan{Seed: 1, LostAnswer: 0.05, Unavailable: 0.1}
//	injector := wasabifault.NewInjector(plan, clock)
//	fate := injector.Draw(wasabifault.Write, key)
//
// A test of one failure scripts the next fates instead:
//
//	injector.Script(wasabifault.Write, wasabifault.Fate{Kind: wasabifault.LostAnswer})
package wasabifault

import (
	"github.com/wasabiridge/wasabiridge"
)

// Kind tells what happens to a call.
type Kind string

// Kinds of fates.
const (
	// Delivered means that the call works. It is the zero Kind.
	Delivered Kind = ""
	// Unavailable means that the call is turned away before any effect.
	Unavailable Kind = "unavailable"
	// LostRequest means that the call never arrives. The caller cannot tell
	// this from LostAnswer.
	LostRequest Kind = "lost_request"
	// LostAnswer means that the call takes effect and its answer is lost.
	LostAnswer Kind = "lost_answer"
	// LateEffect means that the caller gets no answer, and that a write takes
	// effect some time after the caller gave up.
	LateEffect Kind = "late_effect"
	// Race means that another writer touches a row just before the call.
	Race Kind = "race"
)

// Op tells reads from writes.
type Op string

// Operations.
const (
	// Read is an operation without an effect.
	Read Op = "read"
	// Write is an operation with an effect.
	Write Op = "write"
)

// Fate is what happens to one call.
type Fate struct {
	Kind Kind
	// Before and After are waits before and after the effect.
	Before wasabiridge.Millis
	After  wasabiridge.Millis
	// Late is how long a write of kind LateEffect takes to arrive.
	Late wasabiridge.Millis
}

// Window gives all calls within a span of time one kind of fate. From is
// inside the window, Until is not.
type Window struct {
	From  wasabiridge.Millis `json:"from_ms"`
	Until wasabiridge.Millis `json:"until_ms"`
	Kind  Kind               `json:"kind"`
}

// Outage returns a window in which every call is turned away.
func Outage(from, until wasabiridge.Millis) Window {
	return Window{From: from, Until: until, Kind: Unavailable}
}

// Plan says how often which fault happens. The shares lie between 0 and 1 and
// are taken in the order of the fields. The zero Plan has no faults.
type Plan struct {
	Seed        uint64  `json:"seed,omitempty"`
	Unavailable float64 `json:"unavailable,omitempty"`
	LostRequest float64 `json:"lost_request,omitempty"`
	LostAnswer  float64 `json:"lost_answer,omitempty"`
	LateEffect  float64 `json:"late_effect,omitempty"`
	Race        float64 `json:"race,omitempty"`
	// Lateness bounds how late a write of kind LateEffect arrives.
	Lateness wasabiridge.Millis `json:"lateness_ms,omitempty"`
	// DelayMin and DelayMax bound the wait of each call, spread evenly. Half
	// of the wait comes before the effect and half after it.
	DelayMin wasabiridge.Millis `json:"delay_min_ms,omitempty"`
	DelayMax wasabiridge.Millis `json:"delay_max_ms,omitempty"`
	Windows  []Window           `json:"windows,omitempty"`
	// ReadsPerSecond and WritesPerSecond limit the rates. Calls above them
	// are turned away. Zero means no limit.
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
	WritesPerSecond int `json:"writes_per_second,omitempty"`
}

// WithWindows returns a copy of the plan with other windows.
func (p Plan) WithWindows(windows ...Window) Plan {
	p.Windows = append([]Window(nil), windows...)
	return p
}

func (p Plan) limit(op Op) int {
	if op == Read {
		return p.ReadsPerSecond
	}
	return p.WritesPerSecond
}

func (p Plan) window(now wasabiridge.Millis) (Kind, bool) {
	for _, w := range p.Windows {
		if now >= w.From && now < w.Until {
			return w.Kind, true
		}
	}
	return Delivered, false
}
