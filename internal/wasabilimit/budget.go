package wasabilimit

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// unreachedCost is what a retry costs when the attempt before it never
	// reached a server and so caused no work there.
	unreachedCost = 0.25
)

// budget bounds retries to a part of the first attempts, so that servers that
// fail do not get more work for it.
type budget struct {
	share  float64
	burst  float64
	saved  float64
	before wasabiridge.AttemptEnded
}

func newBudget(o Options) budget {
	return budget{share: o.RetryShare, burst: o.RetryBurst, saved: o.RetryBurst}
}

func (b *budget) earn() { b.saved = min(b.burst, b.saved+b.share) }

// ended remembers the attempt that a retry would follow.
func (b *budget) ended(e wasabiridge.AttemptEnded) { b.before = e }

func (b *budget) spend(r wasabiridge.RequestID) bool {
	cost := 1.0
	if b.before.Request == r && b.before.Result == wasabiridge.AttemptNotRun && !b.before.Overloaded {
		cost = unreachedCost
	}
	if b.saved < cost {
		return false
	}
	b.saved -= cost
	return true
}
