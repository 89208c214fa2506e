package wasabiupgrade

import "github.com/wasabiridge/wasabiridge"

// Timing sets the pace. A zero field takes its default.
type Timing struct {
	// MaxLoads is how many replicas load at once. The default is a fifth of
	// all, and at least 2.
	MaxLoads int
	// Rest is how long a replica runs dry before its order, 200 ms by default:
	// most answers take less, and those that take longer are finished under
	// the old weights.
	Rest wasabiridge.Millis
	// Poll is the time between two readings of a replica that loads, 150 ms by
	// default: what replicas tell of themselves is about that old.
	Poll wasabiridge.Millis
	// Recheck is how long after an order of unsure outcome the replica is read.
	// What replicas tell of themselves is a fifth of a second old. The default
	// is 300 ms.
	Recheck wasabiridge.Millis
	// Patience is how long after an order a replica that does not serve the
	// new version gets it again, 5 s by default: orders may be carried out
	// late.
	Patience wasabiridge.Millis
	// Turn is how long orders of two holders to one replica lie apart, 3 s by
	// default.
	Turn wasabiridge.Millis
	// OrderTime bounds one order. The lease must cover it. 250 ms by default:
	// replicas answer within a few, and a packet that is lost on the way is sent
	// again within 200.
	OrderTime wasabiridge.Millis
}

func (t Timing) withDefaults() Timing {
	set := func(field *wasabiridge.Millis, value wasabiridge.Millis) {
		if *field == 0 {
			*field = value
		}
	}
	set(&t.Rest, 200)
	set(&t.Poll, 150)
	set(&t.Recheck, 300)
	set(&t.Patience, 5*wasabiridge.Second)
	set(&t.Turn, 3*wasabiridge.Second)
	set(&t.OrderTime, 250)
	return t
}
