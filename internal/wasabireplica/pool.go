package wasabireplica

import (
	"slices"
	"sort"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibudget"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
)

// workRate is the weight of one prompt in the mean work: some fifty make it up.
const workRate = 0.02

const (
	// lateChance is the part of first bytes that may take longer than is reckoned
	// with.
	lateChance = 0.15
	// overrunRate is by which part one first byte changes what is learned, so that a
	// second of traffic tells. overrunFirst is reckoned with before, overrunMost at
	// most: what took longer was not waiting in any queue that is known.
	overrunRate  = 0.05
	overrunFirst = 1.5
	overrunMost  = 4.0
)

// pool is a pool, prepared for decisions.
type pool struct {
	config   wasabiridge.Pool
	replicas []*replica
	// failures and delay are the medians over the replicas.
	failures, delay float64
	budget          *wasabibudget.Budget
	retries         retryCounts
	// costs are what was learned of the engines, by model.
	costs map[wasabiridge.ModelID]*wasabicost.Estimator
	// meanWork is the learned mean time to compute a whole prompt, in
	// milliseconds, meanOut the mean of the tokens that answers may have.
	meanWork, meanOut float64
	// overrun is how many times the expected time first bytes take, all but
	// lateChance of them. It is learned.
	overrun float64
	// stay is the learned mean time of an answer from first to last, in
	// milliseconds.
	stay float64
}

// costsOf returns what was learned of the engines that serve a model.
func (pl *pool) costsOf(m wasabiridge.ModelID) *wasabicost.Estimator {
	costs := pl.costs[m]
	if costs == nil {
		costs = wasabicost.New()
		if m != "" {
			pl.costs[m] = costs
		}
	}
	return costs
}

// learnWork takes the size of a request.
func (pl *pool) learnWork(pr *prompt) {
	work, out := pr.compute(pr.tokens(), 0), float64(pr.out)
	if pl.meanWork == 0 {
		pl.meanWork, pl.meanOut = work, out
	}
	pl.meanWork += workRate * (work - pl.meanWork)
	pl.meanOut += workRate * (out - pl.meanOut)
}

// learnOverrun takes how many times its expected time a first byte took.
func (pl *pool) learnOverrun(ratio float64) {
	if ratio > pl.overrun {
		pl.overrun = min(overrunMost, pl.overrun*(1+overrunRate*(1-lateChance)))
		return
	}
	pl.overrun = max(1, pl.overrun*(1-overrunRate*lateChance))
}

// Learned is what was learned of the engines of a pool that serve a model. Times are in
// milliseconds.
type Learned struct {
	Pool  wasabiridge.PoolID
	Model wasabiridge.ModelID
	// FirstToken is the time to the first token of no prompt at all, Thousand what a
	// thousand tokens add.
	FirstToken, Thousand float64
	// Overrun is how many times the expected time first bytes take at most, but for a
	// few. Answers counts the answers that it was learned from.
	Overrun float64
	Answers int
}

// Learned returns what was learned of all engines.
func (p *Placer) Learned() []Learned {
	var out []Learned
	for id, pl := range p.pools {
		for model, costs := range pl.costs {
			out = append(out, Learned{
				Pool: id, Model: model, FirstToken: costs.Fixed(), Thousand: costs.Compute(wasabicost.Work{Tokens: 1000}),
				Overrun: pl.overrun, Answers: costs.Answers(),
			})
		}
	}
	return out
}

// learnStay takes the time that an answer took from first to last.
func (pl *pool) learnStay(ms float64) {
	if pl.stay == 0 {
		pl.stay = ms
	}
	pl.stay += workRate * (ms - pl.stay)
}

// isHeavy reports whether a request takes longer to compute, or to answer, than
// requests do in the mean.
func (pl *pool) isHeavy(pr *prompt) bool {
	return pr.compute(pr.tokens(), 0) > pl.meanWork || float64(pr.out) > pl.meanOut
}

// isLight reports whether a request takes much less to compute than requests do in
// the mean.
func (pl *pool) isLight(pr *prompt) bool {
	return pr.compute(pr.tokens(), 0) < lightShare*pl.meanWork
}

// asServed returns a request without its model when the pool's servers have
// none: a caller may name one to any service.
func (pl *pool) asServed(r wasabiridge.Request) wasabiridge.Request {
	if len(pl.config.Models) == 0 {
		r.Model = ""
	}
	return r
}

// adopt takes the pools of a configuration. What was learned of replicas that
// stay is kept.
func (p *Placer) adopt(now wasabiridge.Millis, c wasabiridge.Config) {
	p.kept.adopt(c)
	seen := map[wasabiridge.BackendServerID]bool{}
	pools := map[wasabiridge.PoolID]*pool{}
	for _, cp := range c.Pools {
		pl := &pool{config: cp, overrun: overrunFirst, costs: map[wasabiridge.ModelID]*wasabicost.Estimator{}, budget: p.budgetOf(cp.ID)}
		if before := p.pools[cp.ID]; before != nil {
			pl.failures, pl.delay = before.failures, before.delay
			pl.retries = before.retries
			pl.overrun = before.overrun
			pl.costs, pl.meanWork, pl.meanOut, pl.stay = before.costs, before.meanWork, before.meanOut, before.stay
		}
		backends := slices.SortedFunc(slices.Values(cp.Backends), func(a, b wasabiridge.BackendServer) int {
			return compare(a.ID, b.ID)
		})
		for _, b := range backends {
			seen[b.ID] = true
			r := p.replicas[b.ID]
			if r == nil {
				r = newReplica(b)
				p.replicas[b.ID] = r
			}
			r.live(now, b.Incarnation)
			b.Incarnation = r.life.Known()
			r.server, r.gone = b, false
			r.memory = cp.CacheTokens
			r.cache.limit = int(cacheShare * float64(cp.CacheTokens))
			pl.replicas = append(pl.replicas, r)
		}
		pools[cp.ID] = pl
	}
	p.pools = pools
	p.dropBudgets(now)
	for id, r := range p.replicas {
		if seen[id] {
			continue
		}
		r.gone = true
		if r.own.inside <= 0 {
			delete(p.replicas, id)
		}
	}
}

func compare(a, b wasabiridge.BackendServerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// review takes the medians of what was learned.
func (pl *pool) review() {
	var failures, delays []float64
	for _, r := range pl.replicas {
		failures = append(failures, r.failures)
		if r.samples > 0 {
			delays = append(delays, r.delay)
		}
	}
	pl.failures, pl.delay = median(failures), median(delays)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[len(values)/2]
}
