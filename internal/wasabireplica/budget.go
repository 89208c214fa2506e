package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibudget"
)

// begin starts the retry budget with the first event.
func (p *Placer) begin(now wasabiridge.Millis) {
	if p.sharers == nil {
		p.born, p.sharers = now, wasabibudget.NewSharers(p.retryTerms(), now)
	}
}

func (p *Placer) retryTerms() wasabibudget.Terms {
	return wasabibudget.Terms{Ratio: p.options.RetryRatio, Slack: p.options.RetrySlack, Window: p.options.RetryWindow}
}

// budgetOf returns the budget of a pool. It outlasts configurations without the pool.
func (p *Placer) budgetOf(id wasabiridge.PoolID) *wasabibudget.Budget {
	b := p.budgets[id]
	if b == nil {
		b = wasabibudget.New(p.retryTerms(), p.born)
		p.budgets[id] = b
	}
	return b
}

// dropBudgets forgets the budgets of pools that are gone for longer than a window.
func (p *Placer) dropBudgets(now wasabiridge.Millis) {
	for id, b := range p.budgets {
		if p.pools[id] == nil && b.Idle(now) {
			delete(p.budgets, id)
		}
	}
}

// retryCounts counts what the budget of a pool was asked for.
type retryCounts struct{ granted, denied int }

func (c *retryCounts) count(granted bool) {
	if granted {
		c.granted++
		return
	}
	c.denied++
}

// Retries is what became of further attempts at a pool since the process began.
type Retries struct {
	Pool            wasabiridge.PoolID
	Granted, Denied int
	// Instances is how many instances are believed to share the budget.
	Instances int
}

// Retries returns the further attempts of all pools.
func (p *Placer) Retries(now wasabiridge.Millis) []Retries {
	var out []Retries
	for id, pl := range p.pools {
		out = append(out, Retries{Pool: id, Granted: pl.retries.granted, Denied: pl.retries.denied, Instances: p.sharers.Instances(now)})
	}
	return out
}
