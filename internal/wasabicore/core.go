// Package wasabicore decides what happens to each request: whether it is
// dispatched, queued or refused, which backend server it is sent to, and whether
// a failed attempt is retried or resumed.
//
// A Core is a deterministic state machine. It combines a Limiter, which decides
// when a request may be dispatched, with a Placer, which selects the backend
// server. It adds retries, hedging and resumption, and tracks the disposition of
// each request: whether it has run, may have run or has not run.
//
// # Usage
//
//	core := wasabicore.New(wasabicore.Options{Placer: p, Limiter: l})
//	core.Handle(now, wasabiridge.ConfigAdopted{Config: cfg})
//	for _, effect := range core.Handle(now, wasabiridge.RequestArrived{Request: req}) {
//		carryOut(effect)
//	}
//
// The driver must pass a Ticked event at least every 50 ms, and exactly one
// AttemptEnded event for every Dispatch effect.
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

// Options configures a Core. Placer and Limiter are required.
type Options struct {
	Placer  wasabiridge.Placer
	Limiter wasabiridge.Limiter
	// Quarantine blocks or isolates requests under which backend servers
	// terminated. Nil disables this check.
	Quarantine wasabiridge.Quarantine
	// Quota enforces the rate limits of client accounts. Nil disables the limits.
	Quota wasabiridge.Quota
	// Instance is set as the origin of all timeline events.
	Instance wasabiridge.InstanceID
	// FirstAttempt is the number after which attempt identifiers start. A
	// restarted instance passes a number above all those that it used before,
	// for example its start time shifted left.
	FirstAttempt wasabiridge.AttemptID
	// MaxAttempts limits the attempts of one request. Zero means 4.
	MaxAttempts int
	// HedgeFactor and HedgeFloor set the delay before a hedge: HedgeFactor times
	// the expected wait of the first attempt, but at least HedgeFloor. Zero means
	// 3 and 250 ms.
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
	requests map[wasabiridge.RequestID]*requestState
	timers   timers
	lastID   wasabiridge.AttemptID
	effects  []wasabiridge.Effect
}

// New returns a Core without a configuration. It panics if Placer or Limiter is
// nil, because that is a programming error.
func New(o Options) *Core {
	if o.Placer == nil || o.Limiter == nil {
		panic("core: Options.Placer and Options.Limiter must not be nil")
	}
	return &Core{
		options:  o.withDefaults(),
		requests: map[wasabiridge.RequestID]*requestState{},
		lastID:   o.FirstAttempt,
	}
}

// Idle reports whether there is no request and no timer.
func (c *Core) Idle() bool { return len(c.requests) == 0 && len(c.timers.heap) == 0 }

// Open returns the number of requests that have no final answer yet or have an
// attempt in flight.
func (c *Core) Open() int {
	return len(c.requests)
}

// Handle processes one event and returns the effects that the driver must carry
// out. The returned slice is valid until the next call.
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
	case wasabiridge.RequestForwarded:
		c.forwarded(now, e.Request)
	case wasabiridge.AttemptSent:
		c.attemptSent(now, e)
	case wasabiridge.AttemptFirstToken:
		c.attemptFirstToken(now, e)
	case wasabiridge.AttemptEnded:
		c.attemptEnded(now, e)
		c.dispatchQueued(now)
	case wasabiridge.ConfigAdopted:
		c.config = e.Config
		c.record(wasabiridge.TimelineEvent{At: now, Kind: wasabiridge.EventConfigAdopted, Value: int64(e.Config.Version)})
		c.dispatchQueued(now)
	case wasabiridge.BackendLost:
		c.record(wasabiridge.TimelineEvent{At: now, Kind: wasabiridge.EventBackendLost, Backend: e.Backend})
	case wasabiridge.BackendLeaving:
		c.record(wasabiridge.TimelineEvent{At: now, Kind: wasabiridge.EventBackendLeaving, Backend: e.Backend})
	case wasabiridge.Ticked:
		c.fireTimers(now)
		c.dispatchQueued(now)
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

// dispatchQueued refuses the queued requests whose deadline has passed, and then
// places queued requests as long as the limiter admits them.
func (c *Core) dispatchQueued(now wasabiridge.Millis) {
	for {
		r, ok := c.options.Limiter.Expired(now)
		if !ok {
			break
		}
		if rs := c.requests[r.ID]; rs != nil {
			c.refuseExpired(now, rs)
		}
	}
	for {
		r, ok := c.options.Limiter.Next(now)
		if !ok {
			return
		}
		if rs := c.requests[r.ID]; rs != nil {
			c.place(now, rs, placeFirst)
		}
	}
}

// refuseExpired refuses a request that waited too long in the queue of the limiter.
func (c *Core) refuseExpired(now wasabiridge.Millis, rs *requestState) {
	if l, ok := c.options.Limiter.(wasabiridge.ExpiryRefuser); ok {
		if a, ok := l.Refusal(rs.request.ID); ok {
			rs.share = a.Share
			c.refuse(now, rs, a.Reason, a.RetryAfter)
			return
		}
	}
	c.refuse(now, rs, wasabiridge.RefusedDeadline, defaultRetryAfter)
}
