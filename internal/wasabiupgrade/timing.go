package wasabiupgrade

import "github.com/wasabiridge/wasabiridge"

// Timing holds the limits and intervals of upgrades. Zero fields take their defaults.
type Timing struct {
	// MaxLoads is the maximum number of replicas that are in backoff or loading at a
	// time. The default is a fifth of all replicas, and at least 2.
	MaxLoads int
	// Backoff is the time in backoff before a replica gets its order. The default is
	// 200 ms: most answers take less time, and longer ones are completed with the
	// old weights.
	Backoff wasabiridge.Millis
	// Poll is the interval between reads of a loading replica. The default is 150 ms,
	// which is about the age of the state that replicas report.
	Poll wasabiridge.Millis
	// Recheck is the delay before a replica is read after an order of unknown outcome.
	// The default is 300 ms, because the state that replicas report is up to 200 ms
	// old.
	Recheck wasabiridge.Millis
	// LoadTimeout is the time after an order at which the upgrade is abandoned, to be
	// tried again, if the replica does not serve the new version. The default is 5 s,
	// because orders may be carried out late.
	LoadTimeout wasabiridge.Millis
	// LeaseTerm is the minimum time between orders of two lease holders to one replica.
	// The default is 3 s.
	LeaseTerm wasabiridge.Millis
	// OrderTimeout is the time limit of one order, for which the lease must be held. The
	// default is 250 ms: replicas answer within a few milliseconds, and a lost packet
	// is retransmitted within 200 ms.
	OrderTimeout wasabiridge.Millis
}

func (t Timing) withDefaults() Timing {
	set := func(field *wasabiridge.Millis, value wasabiridge.Millis) {
		if *field == 0 {
			*field = value
		}
	}
	set(&t.Backoff, 200)
	set(&t.Poll, 150)
	set(&t.Recheck, 300)
	set(&t.LoadTimeout, 5*wasabiridge.Second)
	set(&t.LeaseTerm, 3*wasabiridge.Second)
	set(&t.OrderTimeout, 250)
	return t
}
