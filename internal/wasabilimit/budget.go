package wasabilimit

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// unreachedCost is the cost of a retry whose previous attempt did not reach
	// a server and therefore caused no work there.
	unreachedCost = 0.25
)

// budget limits retries to a share of the first attempts, so that failing
// servers do not receive more work because of their failures.
type budget struct {
	share     float64
	burst     float64
	balance   float64
	lastEnded wasabiridge.AttemptEnded
}

func newBudget(o Options) budget {
	return budget{share: o.RetryShare, burst: o.RetryBurst, balance: o.RetryBurst}
}

func (b *budget) earn() { b.balance = min(b.burst, b.balance+b.share) }

// ended records the last attempt that ended, which the next retry would follow.
func (b *budget) ended(e wasabiridge.AttemptEnded) { b.lastEnded = e }

func (b *budget) spend(r wasabiridge.RequestID) bool {
	cost := 1.0
	if b.lastEnded.Request == r && b.lastEnded.Result == wasabiridge.AttemptNotRun && !b.lastEnded.Overloaded {
		cost = unreachedCost
	}
	if b.balance < cost {
		return false
	}
	b.balance -= cost
	return true
}
