package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibudget"
)

// startBudget sets up the retry budget at the first event, whose time stands for the
// start of the process.
func (p *Placer) startBudget(now wasabiridge.Millis) {
	if p.instances == nil {
		p.startedAt, p.instances = now, wasabibudget.NewInstanceCounter(p.retryTerms(), now)
	}
}

func (p *Placer) retryTerms() wasabibudget.Terms {
	return wasabibudget.Terms{Ratio: p.options.RetryRatio, Slack: p.options.RetrySlack, Window: p.options.RetryWindow}
}

// budgetOf returns the retry budget of a pool. A budget outlives configurations that
// leave the pool out.
func (p *Placer) budgetOf(id wasabiridge.PoolID) *wasabibudget.Budget {
	b := p.budgets[id]
	if b == nil {
		b = wasabibudget.New(p.retryTerms(), p.startedAt)
		p.budgets[id] = b
	}
	return b
}

// dropIdleBudgets removes the budgets of pools that have been gone for longer than a
// window.
func (p *Placer) dropIdleBudgets(now wasabiridge.Millis) {
	for id, b := range p.budgets {
		if p.pools[id] == nil && b.Idle(now) {
			delete(p.budgets, id)
		}
	}
}

// retryCounts counts the retries that the budget of a pool granted and denied.
type retryCounts struct{ granted, denied int }

func (c *retryCounts) count(granted bool) {
	if granted {
		c.granted++
		return
	}
	c.denied++
}

// Retries holds the number of retries that the budget of a pool has granted and denied
// since the process started.
type Retries struct {
	Pool            wasabiridge.PoolID
	Granted, Denied int
	// Instances is the estimated number of instances that share the budget.
	Instances int
}

// Retries returns the retry counts of all pools, in no particular order.
func (p *Placer) Retries(now wasabiridge.Millis) []Retries {
	var out []Retries
	for id, pl := range p.pools {
		out = append(out, Retries{Pool: id, Granted: pl.retries.granted, Denied: pl.retries.denied, Instances: p.instances.Instances(now)})
	}
	return out
}
