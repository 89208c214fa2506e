package wasabiridge

// Work is computing time of a backend server of average speed, in milliseconds.
type Work float64

// PoolGauge measures pools for a limiter that shares them among client accounts.
// Implementations are deterministic and not safe for concurrent use.
type PoolGauge interface {
	// Work returns the work of a request. It is positive.
	Work(now Millis, r Request) Work
	// Capacity returns how much work the usable servers of a pool do in a second, by
	// their own speeds. Zero means that it is unknown.
	Capacity(now Millis, pool PoolID) Work
	// Assess reports whether some server can serve the request in time now. Unlike
	// Limiter.Offer it does not count the request.
	Assess(now Millis, r Request) Admission
	// HasSpare reports whether some server can serve the request in time now and is so
	// little loaded that it still has capacity for others.
	HasSpare(now Millis, r Request) bool
}

// ShareState is what a decision on the share of a client account was based on. The zero
// value means that the pool was not shared.
type ShareState struct {
	// Pressure is the offered work of the pool as a multiple of its capacity.
	Pressure float64
	// Level is the work per second up to which an account of the request's priority is
	// served, and Offered that which its account asks for, at all instances.
	Level, Offered Work
	// Instances is the number of instances whose demand is known, and Oldest the age of
	// the oldest of their messages.
	Instances int
	Oldest    Millis
}

// DemandUpdate is the demand for a pool at one instance, for requests of one priority.
type DemandUpdate struct {
	// Pool is PoolDigest of the pool's ID.
	Pool     uint32
	Priority Priority
	// Offered is the work of all requests that arrive in a second, and Admitted that of
	// those that are served.
	Offered, Admitted Work
	// Accounts are the accounts that ask for the most, in no particular order.
	Accounts []AccountDemand
	// Correction is the factor between the stated capacity of the pool and that with which
	// the sender expects requests to be served in time. Zero means that it says nothing.
	Correction float64
	// Reply reports that the sender has no shortage, and announces its demand only because
	// others announced theirs.
	Reply bool
}

// AccountDemand is the demand of one client account at one instance.
type AccountDemand struct {
	// Account is AccountDigest of the account's ID.
	Account uint32
	Offered Work
}

// DemandReceived carries the demand at another instance.
type DemandReceived struct {
	From    InstanceID
	Demands []DemandUpdate
}

func (DemandReceived) isEvent() {}

// ShareReader reports how pools are shared. Implementations are safe for concurrent use.
type ShareReader interface {
	Shares() ShareReport
}

// ShareReport is how one instance shares the pools among client accounts.
type ShareReport struct {
	Instance InstanceID `json:"instance"`
	// Enabled reports that the settings ask for sharing.
	Enabled bool         `json:"enabled"`
	Pools   []PoolShares `json:"pools"`
}

// PoolShares is the state of one pool.
type PoolShares struct {
	Pool PoolID `json:"pool"`
	// Shared reports that the pool is short of capacity, so that shares apply.
	Shared bool `json:"shared"`
	// Pressure is the offered work as a multiple of Capacity, which is in milliseconds
	// of computing per second, like all work here.
	Pressure float64 `json:"pressure"`
	Capacity Work    `json:"capacity_ms"`
	// Instances is the number of instances whose demand is known, and Oldest the age of
	// the oldest of their messages.
	Instances int         `json:"instances"`
	Oldest    Millis      `json:"news_age_ms"`
	Ranks     []RankShare `json:"ranks"`
}

// RankShare is the state of the requests of one priority for a pool.
type RankShare struct {
	Priority Priority `json:"priority"`
	// Offered and Admitted are those of all instances, Level is the limit of one account.
	Offered  Work           `json:"offered_ms"`
	Admitted Work           `json:"admitted_ms"`
	Level    Work           `json:"level_ms"`
	Refused  uint64         `json:"refused"`
	Waiting  int            `json:"waiting"`
	Accounts []AccountShare `json:"accounts"`
}

// AccountShare is the state of a client account that asks for more than its share.
type AccountShare struct {
	Account ClientAccountID `json:"account"`
	Offered Work            `json:"offered_ms"`
	Share   Work            `json:"share_ms"`
	Refused uint64          `json:"refused"`
}
