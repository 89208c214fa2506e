package wasabishare

import (
	"cmp"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// maxReported bounds the accounts of a rank in a report.
const maxReported = 20

// Report returns the state of all pools, for operators.
func (l *Limiter) Report(now wasabiridge.Millis) []wasabiridge.PoolShares {
	var out []wasabiridge.PoolShares
	for _, p := range l.pools {
		shares := wasabiridge.PoolShares{Pool: p.id, Shared: p.isShared(now), Pressure: p.pressure, Capacity: wasabiridge.Work(p.capacity), Instances: p.known, Oldest: p.oldest}
		for i := range p.ranks {
			shares.Ranks = append(shares.Ranks, p.report(&p.ranks[i]))
		}
		out = append(out, shares)
	}
	return out
}

func (p *pool) report(r *rank) wasabiridge.RankShare {
	out := wasabiridge.RankShare{
		Priority: r.priority, Offered: wasabiridge.Work(r.offered), Admitted: wasabiridge.Work(r.admitted), Level: wasabiridge.Work(r.level),
		Refused: p.refused[r.priority],
	}
	for _, w := range p.queue.entries {
		if w.flow.key.priority == r.priority {
			out.Waiting++
		}
	}
	for _, f := range p.ordered {
		if f.key.priority == r.priority && f.fraction < 1 {
			out.Accounts = append(out.Accounts, wasabiridge.AccountShare{
				Account: f.key.account, Offered: wasabiridge.Work(f.everywhere), Share: wasabiridge.Work(f.level), Refused: f.refused,
			})
		}
	}
	slices.SortStableFunc(out.Accounts, func(a, b wasabiridge.AccountShare) int { return cmp.Compare(b.Offered, a.Offered) })
	out.Accounts = out.Accounts[:min(len(out.Accounts), maxReported)]
	return out
}
