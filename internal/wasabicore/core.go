// Package wasabicore decides what happens to each request: whether it goes
// now, waits or is refused, where it goes, and what follows when an attempt
// fails.
//
// A Core is a deterministic state machine. It joins a Limiter, which decides
// when a request may go, with a Placer, which decides where it goes, and adds
// retries, hedges, resumption and the disposition that every answer to a
// caller reads.
//
// # Usage
//
//	core := wasabicore.New(wasabicore.Options{Seed: 1, Placer: p, Limiter: l})
//	core.Handle(now, wasabiridge.ConfigAdopted{Config: cfg})
//	for _, effect := range core.Handle(now, wasabiridge.RequestArrived{Request: req}) {
//		carryOut(effect)
//	}
//
// The driver sends Ticked at least every 50 ms and exactly one AttemptEnded
// for every Dispatch.
package wasabicore

import (
	"github.com/wasabiridge/wasabiridge"
)

// Defaults of Options.
const (
	defaultMaxAttempts = 4
	defaultHedgeFactor = 3
	defaultHedgeFloor  = 250 * wasabiridge.Millis(1)
	defaultRetryAfter  = wasabiridge.Second
)

// Options sets up a Core. Placer and Limiter are required.
type Options struct {
	Placer  wasabiridge.Placer
	Limiter wasabiridge.Limiter
	// Quarantine judges requests by the servers that ended under them. Nil lets all go.
	Quarantine wasabiridge.Quarantine
	// Quota keeps client accounts to their limits. Nil lets all go.
	Quota wasabiridge.Quota
	// Instance is written into time line events.
	Instance wasabiridge.InstanceID
	// FirstAttempt is where the numbers of attempts start. A restarted
	// instance passes a number above all that it used before, for example
	// its start time shifted left.
	FirstAttempt wasabiridge.AttemptID
	// MaxAttempts bounds the attempts of one request. Zero means 4.
	MaxAttempts int
	// HedgeFactor and HedgeFloor decide when a hedge starts: after HedgeFactor
	// times the expected wait, but not before HedgeFloor. Zero means 3 and
	// 250 ms.
	HedgeFactor int
	HedgeFloor  wasabiridge.Millis
}

func (o Options) withDefaults() Options {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.HedgeFactor == 0 {
		o.HedgeFactor = defaultHedgeFactor
	}
	if o.HedgeFloor == 0 {
		o.HedgeFloor = defaultHedgeFloor
	}
	return o
}

// Core implements wasabiridge.Decider. It is not safe for concurrent use.
type Core struct {
	options  Options
	config   wasabiridge.Config
	requests map[wasabiridge.RequestID]*entry
	timers   timers
	lastID   wasabiridge.AttemptID
	effects  []wasabiridge.Effect
}

// New returns a Core without a configuration. It panics when Placer or
// Limiter is missing, because that is a mistake of the program.
func New(o Options) *Core {
	if o.Placer == nil || o.Limiter == nil {
		panic("core: Options need a Placer and a Limiter")
	}
	return &Core{
		options:  o.withDefaults(),
		requests: map[wasabiridge.RequestID]*entry{},
		lastID:   o.FirstAttempt,
	}
}

// Open returns how many requests have no final answer yet.
func (c *Core) Open() int {
	return len(c.requests)
}

// Handle takes one event and returns what has to be done. The returned slice
// is valid until the next call.
func (c *Core) Handle(now wasabiridge.Millis, e wasabiridge.Event) []wasabiridge.Effect {
	clear(c.effects)
	c.effects = c.effects[:0]
	c.options.Limiter.Observe(now, e)
	c.options.Placer.Observe(now, e)
	if c.options.Quarantine != nil {
		c.options.Quarantine.Observe(now, e)
	}
	if c.options.Quota != nil {
		c.options.Quota.Observe(now, e)
	}
	switch e := e.(type) {
	case wasabiridge.RequestArrived:
		c.arrive(now, e.Request)
	case wasabiridge.CallerGone:
		c.callerGone(now, e.Request)
	case wasabiridge.AttemptSent:
		c.sent(now, e)
	case wasabiridge.AttemptFirstToken:
		c.firstToken(now, e)
	case wasabiridge.AttemptEnded:
		c.ended(now, e)
		c.drain(now)
	case wasabiridge.ConfigAdopted:
		c.config = e.Config
		c.record(wasabiridge.TimelineEvent{At: now, Kind: wasabiridge.EventConfigAdopted, Value: int64(e.Config.Version)})
		c.drain(now)
	case wasabiridge.BackendLost:
		c.record(wasabiridge.TimelineEvent{At: now, Kind: wasabiridge.EventBackendLost, Backend: e.Backend})
	case wasabiridge.BackendLeaving:
		c.record(wasabiridge.TimelineEvent{At: now, Kind: wasabiridge.EventBackendLeaving, Backend: e.Backend})
	case wasabiridge.Ticked:
		c.fireTimers(now)
		c.drain(now)
	}
	return c.effects
}

func (c *Core) emit(e wasabiridge.Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) record(e wasabiridge.TimelineEvent) {
	e.Instance = c.options.Instance
	c.emit(wasabiridge.Record{Event: e})
}

// drain sends waiting requests for which there is room now, and gives those
// whose deadline passed their final answer.
func (c *Core) drain(now wasabiridge.Millis) {
	for {
		r, ok := c.options.Limiter.Expired(now)
		if !ok {
			break
		}
		if en := c.requests[r.ID]; en != nil {
			c.refuse(now, en, wasabiridge.RefusedDeadline, defaultRetryAfter)
		}
	}
	for {
		r, ok := c.options.Limiter.Next(now)
		if !ok {
			return
		}
		if en := c.requests[r.ID]; en != nil {
			c.place(now, en, placeFirst)
		}
	}
}
