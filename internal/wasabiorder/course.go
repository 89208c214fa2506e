package wasabiorder

import (
	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// Timing sets the pace of a course. A zero field takes its default.
type Timing struct {
	// TimeLimit bounds one order, 2 s by default.
	TimeLimit wasabiridge.Millis
	// Margin is what has to be left of the lease beyond TimeLimit, 1 s by
	// default.
	Margin wasabiridge.Millis
	// Poll is the pause between two readings of an engine under order, 500 ms
	// by default.
	Poll wasabiridge.Millis
	// Audit is the pause between two readings of an engine that waits or has
	// reached its target, 10 s by default.
	Audit wasabiridge.Millis
	// Confirm is how long an engine that ignores fencing numbers must be
	// what it should be, 3 s by default.
	Confirm wasabiridge.Millis
	// Patience is how long a load may take before the order is given again,
	// 30 s by default.
	Patience wasabiridge.Millis
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
		{&t.Patience, 30 * wasabiridge.Second},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return t
}

// Status says how far a course is.
type Status uint8

const (
	// Unread means that the engine was not read since the lease was taken.
	Unread Status = iota
	// Waiting means that the engine is not what it should be and no order is
	// under way.
	Waiting
	// Ordered means that an order was sent and its effect is not seen yet.
	Ordered
	// Confirming means that the engine is what it should be and is watched for
	// late orders of an earlier holder.
	Confirming
	// Reached means that the engine is what it should be.
	Reached
	// Overtaken means that the engine has newer weights than the target. It
	// is left as it is, because versions only rise.
	Overtaken
	// Fenced means that the engine knows a newer lease. This holder is no
	// longer the one to give orders.
	Fenced
)

// Course brings one engine to a target. It is deterministic and not safe for
// concurrent use. At most one call to the engine is on its way.
type Course struct {
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
	// fitSince is when the engine was first seen to be what it should be.
	fitSince wasabiridge.Millis
	// holdUntil keeps a failed order from being repeated at once.
	holdUntil wasabiridge.Millis
	failures  int
	effects   []Effect
}

// NewCourse returns a course that has not begun. The fencing number of the
// target is not used; orders carry that of the grant.
func NewCourse(server wasabiridge.BackendServer, target wasabiridge.EngineOrder, t Timing) *Course {
	return &Course{server: server, target: target, timing: t.withDefaults()}
}

// Status returns how far the course is.
func (c *Course) Status() Status { return c.status }

// State returns what the engine last said of itself. It means something only
// when Known reports true.
func (c *Course) State() wasabiridge.EngineState { return c.state }

// Tried reports whether the engine was read, or could not be read, since the
// lease was taken.
func (c *Course) Tried() bool { return c.status != Unread || c.failures > 0 }

// Known reports whether the last reading of the engine worked.
func (c *Course) Known() bool { return c.status != Unread && c.failures == 0 }

// Fits reports whether the engine, when last read, was what it should be. An
// order to such an engine loads nothing; it only makes the fencing number
// known.
func (c *Course) Fits() bool { return c.Known() && c.fits() }

// MayLoad reports whether an order may have the engine load right now.
func (c *Course) MayLoad() bool {
	return c.status == Ordered || c.status != Unread && c.state.Loading
}

// Handle takes one event under a grant and returns what has to be done. Order
// says whether an order may be given now; the caller decides that by what
// other engines do. The returned slice is valid until the next call.
func (c *Course) Handle(now wasabiridge.Millis, g wasabilease.Grant, order bool, e Event) []Effect {
	c.effects = c.effects[:0]
	if g.Fencing != c.fencing {
		// Another lease: whatever was read or sent before counts no more.
		c.fencing, c.status, c.fitSince, c.failures, c.nextAt = g.Fencing, Unread, 0, 0, now
	}
	switch e := e.(type) {
	case StateRead:
		c.read(now, e)
	case OrderAnswered:
		c.answered(now, e)
	}
	if g.Fencing == 0 || c.busy || c.status == Fenced {
		return c.effects
	}
	if order && c.status == Waiting && c.failures == 0 && now >= c.holdUntil && c.covers(now, g) {
		c.send(now, g)
		return c.effects
	}
	if now >= c.nextAt {
		c.startRead(g)
	}
	return c.effects
}

// covers reports whether an order sent now ends before the lease does.
//
// The failure it guards against: a holder sends at the end of its lease, the
// next holder orders something newer, and the old order arrives after it. An
// engine that ignores fencing numbers would go back to the old weights.
func (c *Course) covers(now wasabiridge.Millis, g wasabilease.Grant) bool {
	return g.Covers(now, OrderSpan(c.timing))
}

func (c *Course) startRead(g wasabilease.Grant) {
	c.busy = true
	c.effects = append(c.effects, ReadState{Server: c.server, Fencing: g.Fencing, TimeLimit: c.timing.TimeLimit})
}

func (c *Course) send(now wasabiridge.Millis, g wasabilease.Grant) {
	order := c.target
	order.Fencing = g.Fencing
	c.busy, c.status, c.orderedAt = true, Ordered, now
	c.effects = append(c.effects, SendOrder{Server: c.server, Order: order, Before: now + c.timing.TimeLimit})
}

func (c *Course) answered(now wasabiridge.Millis, a OrderAnswered) {
	c.busy = false
	if a.Fencing != c.fencing {
		return
	}
	// Whatever the answer was, the engine is read. A lost answer may stand
	// for an order that took effect.
	c.nextAt = now + c.timing.Poll
	c.holdUntil = c.nextAt
	if errorx.IsOfType(a.Err, wasabiridge.ErrFenced) {
		c.status = Fenced
	}
	if errorx.IsOfType(a.Err, wasabiridge.ErrUnavailable) {
		c.status = Waiting
	}
}

func (c *Course) read(now wasabiridge.Millis, r StateRead) {
	c.busy = false
	if r.Fencing != c.fencing {
		return
	}
	c.nextAt = now + c.timing.Poll
	if r.Err != nil {
		c.failures++
		c.fitSince = 0
		if c.status == Ordered && now-c.orderedAt >= c.timing.Patience {
			// The engine was lost while it loaded. It must not hold the
			// place of a load for ever.
			c.status = Waiting
		}
		return
	}
	c.failures = 0
	c.state = r.State
	c.judge(now)
	if c.status == Waiting || c.status == Reached || c.status == Overtaken {
		c.nextAt = now + c.timing.Audit
	}
}

// judge compares what the engine says with the target.
func (c *Course) judge(now wasabiridge.Millis) {
	fits := c.fits()
	if !fits {
		c.fitSince = 0
	} else if c.fitSince == 0 {
		c.fitSince = now
	}
	switch {
	case c.state.Fencing > c.fencing && c.server.ChecksFencing:
		c.status = Fenced
	case c.state.Weights > c.target.Weights && c.target.Weights != 0:
		c.status = Overtaken
	case fits && c.isFinal(now):
		c.status = Reached
	case fits && !c.server.ChecksFencing:
		c.status = Confirming
	case c.state.Loading && now-c.orderedAt < c.timing.Patience:
		c.status = Ordered
	case c.status == Ordered && now-c.orderedAt < c.timing.TimeLimit:
		// The order may still be on its way.
	default:
		c.status = Waiting
	}
}

func (c *Course) fits() bool {
	return !c.state.Loading &&
		(c.target.Weights == 0 || c.state.Weights == c.target.Weights) &&
		(c.target.Role == "" || c.state.Role == c.target.Role)
}

// isFinal reports whether no order of an earlier holder can change the engine
// any more, as far as that can be known.
func (c *Course) isFinal(now wasabiridge.Millis) bool {
	if c.server.ChecksFencing {
		return c.state.Fencing == c.fencing
	}
	return now-c.fitSince >= c.timing.Confirm
}

// LoadPatience returns how long a load may take under the timing.
func LoadPatience(t Timing) wasabiridge.Millis { return t.withDefaults().Patience }

// OrderSpan returns how long after its send an order may still take effect,
// with the margin.
func OrderSpan(t Timing) wasabiridge.Millis {
	t = t.withDefaults()
	return t.TimeLimit + t.Margin
}
