package wasabiorder

import (
	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// Timing holds the time limits and intervals of a Reconciler. A zero field means its
// default.
type Timing struct {
	// TimeLimit is the time-out of one order, 2 s by default.
	TimeLimit wasabiridge.Millis
	// Margin is the time that must remain of the lease in addition to TimeLimit when an
	// order is sent, 1 s by default.
	Margin wasabiridge.Millis
	// Poll is the interval between two reads of an engine that carries out an order,
	// 500 ms by default.
	Poll wasabiridge.Millis
	// Audit is the interval between two reads of an engine that waits for an order or
	// has reached its target, 10 s by default.
	Audit wasabiridge.Millis
	// Confirm is how long an engine that ignores fencing numbers must stay at its
	// target before it counts as reached, 3 s by default.
	Confirm wasabiridge.Millis
	// LoadTimeout is how long the loading of weights may take before the order is sent
	// again, 30 s by default.
	LoadTimeout wasabiridge.Millis
}

func (t Timing) withDefaults() Timing {
	defaults := [...]struct {
		field *wasabiridge.Millis
		value wasabiridge.Millis
	}{
		{&t.TimeLimit, 2 * wasabiridge.Second},
		{&t.Margin, wasabiridge.Second},
		{&t.Poll, wasabiridge.Second / 2},
		{&t.Audit, 10 * wasabiridge.Second},
		{&t.Confirm, 3 * wasabiridge.Second},
		{&t.LoadTimeout, 30 * wasabiridge.Second},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return t
}

// Status is the progress of a Reconciler.
type Status uint8

const (
	// NotRead means that the engine has not been read since the lease was acquired.
	NotRead Status = iota
	// Waiting means that the engine is not at its target and no order is in flight.
	Waiting
	// Ordered means that an order was sent and the engine has not reached the target
	// yet.
	Ordered
	// Confirming means that the engine is at its target and is monitored for late
	// orders of an earlier lease holder.
	Confirming
	// Reached means that the engine is at its target.
	Reached
	// Superseded means that the engine has newer weights than the target. It is left
	// unchanged, because versions only increase.
	Superseded
	// Fenced means that the engine has seen a newer lease. This holder must not send
	// orders any more.
	Fenced
)

// Reconciler drives one engine to a target state. It is deterministic and not safe for
// concurrent use. At most one call to the engine is in flight.
type Reconciler struct {
	server wasabiridge.BackendServer
	target wasabiridge.EngineOrder
	timing Timing

	fencing wasabiridge.FencingNumber
	status  Status
	state   wasabiridge.EngineState
	busy    bool
	nextAt  wasabiridge.Millis
	// orderedAt is when the last order was sent under this lease.
	orderedAt wasabiridge.Millis
	// matchesSince is when the engine was first seen at its target. Zero means that it
	// is not.
	matchesSince wasabiridge.Millis
	// orderNotBefore is the earliest time of the next order, so that a failed order is
	// not repeated at once.
	orderNotBefore wasabiridge.Millis
	failures       int
	effects        []Effect
}

// NewReconciler returns a Reconciler in status NotRead. The fencing number of the
// target is ignored; orders carry that of the grant.
func NewReconciler(server wasabiridge.BackendServer, target wasabiridge.EngineOrder, t Timing) *Reconciler {
	return &Reconciler{server: server, target: target, timing: t.withDefaults()}
}

// Status returns the progress of the Reconciler.
func (c *Reconciler) Status() Status { return c.status }

// State returns the last state read from the engine. It is valid only when Known
// returns true.
func (c *Reconciler) State() wasabiridge.EngineState { return c.state }

// Attempted reports whether the engine was read, or a read failed, since the lease was
// acquired.
func (c *Reconciler) Attempted() bool { return c.status != NotRead || c.failures > 0 }

// Known reports whether the last read of the engine succeeded.
func (c *Reconciler) Known() bool { return c.status != NotRead && c.failures == 0 }

// AtTarget reports whether the engine was at its target when it was last read. An order
// to such an engine loads nothing; it only makes the engine record the fencing number.
func (c *Reconciler) AtTarget() bool { return c.Known() && c.matches() }

// MayLoad reports whether the engine may be loading weights because of an order.
func (c *Reconciler) MayLoad() bool {
	return c.status == Ordered || c.status != NotRead && c.state.Loading
}

// Handle processes one event under a grant and returns the requested actions. Order
// reports whether an order may be sent now; the caller decides that by the state of the
// other engines. The returned slice is valid until the next call.
func (c *Reconciler) Handle(now wasabiridge.Millis, g wasabilease.Grant, order bool, e Event) []Effect {
	c.effects = c.effects[:0]
	if g.Fencing != c.fencing {
		// The lease is a new one: reads and orders under the previous one no longer
		// count.
		c.fencing, c.status, c.matchesSince, c.failures, c.nextAt = g.Fencing, NotRead, 0, 0, now
	}
	switch e := e.(type) {
	case StateResult:
		c.read(now, e)
	case OrderResult:
		c.answered(now, e)
	}
	if g.Fencing == 0 || c.busy || c.status == Fenced {
		return c.effects
	}
	if order && c.status == Waiting && c.failures == 0 && now >= c.orderNotBefore && c.leaseCovers(now, g) {
		c.send(now, g)
		return c.effects
	}
	if now >= c.nextAt {
		c.startRead(g)
	}
	return c.effects
}

// leaseCovers reports whether an order sent now ends before the lease does.
//
// The failure it guards against: a holder sends an order at the end of its lease, the
// next holder orders newer weights, and the old order arrives after that. An engine
// that ignores fencing numbers would go back to the old weights.
func (c *Reconciler) leaseCovers(now wasabiridge.Millis, g wasabilease.Grant) bool {
	return g.Covers(now, MaxOrderDelay(c.timing))
}

func (c *Reconciler) startRead(g wasabilease.Grant) {
	c.busy = true
	c.effects = append(c.effects, ReadState{Server: c.server, Fencing: g.Fencing, TimeLimit: c.timing.TimeLimit})
}

func (c *Reconciler) send(now wasabiridge.Millis, g wasabilease.Grant) {
	order := c.target
	order.Fencing = g.Fencing
	c.busy, c.status, c.orderedAt = true, Ordered, now
	c.effects = append(c.effects, SendOrder{Server: c.server, Order: order, Before: now + c.timing.TimeLimit})
}

func (c *Reconciler) answered(now wasabiridge.Millis, a OrderResult) {
	c.busy = false
	if a.Fencing != c.fencing {
		return
	}
	// The engine is read whatever the response was, because an order whose response was
	// lost may have taken effect.
	c.nextAt = now + c.timing.Poll
	c.orderNotBefore = c.nextAt
	if errorx.IsOfType(a.Err, wasabiridge.ErrFenced) {
		c.status = Fenced
	}
	if errorx.IsOfType(a.Err, wasabiridge.ErrUnavailable) {
		c.status = Waiting
	}
}

func (c *Reconciler) read(now wasabiridge.Millis, r StateResult) {
	c.busy = false
	if r.Fencing != c.fencing {
		return
	}
	c.nextAt = now + c.timing.Poll
	if r.Err != nil {
		c.failures++
		c.matchesSince = 0
		if c.status == Ordered && now-c.orderedAt >= c.timing.LoadTimeout {
			// The engine became unreachable while it loaded. It must not occupy the
			// place of a loading engine for ever.
			c.status = Waiting
		}
		return
	}
	c.failures = 0
	c.state = r.State
	c.updateStatus(now)
	if c.status == Waiting || c.status == Reached || c.status == Superseded {
		c.nextAt = now + c.timing.Audit
	}
}

// updateStatus compares the state of the engine with the target.
func (c *Reconciler) updateStatus(now wasabiridge.Millis) {
	matches := c.matches()
	if !matches {
		c.matchesSince = 0
	} else if c.matchesSince == 0 {
		c.matchesSince = now
	}
	switch {
	case c.state.Fencing > c.fencing && c.server.ChecksFencing:
		c.status = Fenced
	case c.state.Weights > c.target.Weights && c.target.Weights != 0:
		c.status = Superseded
	case matches && c.isFinal(now):
		c.status = Reached
	case matches && !c.server.ChecksFencing:
		c.status = Confirming
	case c.state.Loading && now-c.orderedAt < c.timing.LoadTimeout:
		c.status = Ordered
	case c.status == Ordered && now-c.orderedAt < c.timing.TimeLimit:
		// The order may still be in flight.
	default:
		c.status = Waiting
	}
}

func (c *Reconciler) matches() bool {
	return !c.state.Loading &&
		(c.target.Weights == 0 || c.state.Weights == c.target.Weights) &&
		(c.target.Role == "" || c.state.Role == c.target.Role)
}

// isFinal reports whether, as far as can be known, no order of an earlier holder can
// still change the engine.
func (c *Reconciler) isFinal(now wasabiridge.Millis) bool {
	if c.server.ChecksFencing {
		return c.state.Fencing == c.fencing
	}
	return now-c.matchesSince >= c.timing.Confirm
}

// LoadTimeout returns how long the loading of weights may take under the timing.
func LoadTimeout(t Timing) wasabiridge.Millis { return t.withDefaults().LoadTimeout }

// MaxOrderDelay returns how long after it was sent an order may still take effect,
// including the margin.
func MaxOrderDelay(t Timing) wasabiridge.Millis {
	t = t.withDefaults()
	return t.TimeLimit + t.Margin
}
