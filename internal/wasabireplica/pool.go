package wasabireplica

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibudget"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
	"github.com/wasabiridge/wasabiridge/internal/wasabispeed"
)

// workSmoothing is the weight of one prompt in the moving averages of work and output.
// About fifty prompts determine an average.
const workSmoothing = 0.02

const (
	// overrunTail is the fraction of first bytes that may take longer than overrun
	// times their expected time.
	overrunTail = 0.15
	// overrunStep is the relative step by which one first byte changes the overrun, so
	// that it adapts within a second of traffic. The overrun starts at initialOverrun
	// and is limited to maxOverrun: a longer delay was not caused by any queue that is
	// known here.
	overrunStep    = 0.05
	initialOverrun = 1.5
	maxOverrun     = 4.0
)

// pool is the state of one pool.
type pool struct {
	config   wasabiridge.Pool
	replicas []*replica
	// failures and delay are the medians over the replicas.
	failures, delay float64
	budget          *wasabibudget.Budget
	retries         retryCounts
	// costs are the estimated computing costs of the engines, by model.
	costs map[wasabiridge.ModelID]*wasabicost.Estimator
	// meanWork is the moving average of the time to compute a whole prompt, in
	// milliseconds, and meanOutput that of the tokens that answers may have.
	meanWork, meanOutput float64
	// overrun is the ratio of actual to expected time that all but overrunTail of the
	// first bytes stay below.
	overrun float64
	// meanDuration is the moving average of the time from sending a request to the end
	// of its answer, in milliseconds.
	meanDuration float64
	// fetches estimates what fetches of segments take and save.
	fetches fetches
	// service holds the times that answers occupy a slot, and promptShare is the fraction
	// of their time that engines have for prompts. See Limiter.Work and Limiter.Capacity.
	service     *serviceTimes
	promptShare float64
	// curve is how much longer the replicas take near full.
	curve wasabispeed.Curve
	// uneven reports that the speed of some replica differs from the average.
	uneven bool
	// usual is the moving average of the time to the first byte at plain services of
	// average speed, in milliseconds, and usualAnswers the number of answers behind it.
	usual        float64
	usualAnswers int
	// refused counts the requests that no replica could take since the last TakeUses.
	refused int
	// zones is the number of availability zones of the replicas.
	zones int
	// brittle is whether the servers of the pool are brittle, and answeredAt when one last
	// answered this instance.
	brittle    *brittle
	answeredAt wasabiridge.Millis
	// software holds what is known of the software versions of the replicas.
	software map[wasabiridge.SoftwareVersion]softwareState
}

// costsOf returns the cost estimator of the engines that serve a model.
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

// observeWork updates the moving averages with a request.
func (pl *pool) observeWork(pr *prompt) {
	work, out := pr.compute(pr.tokens(), 0), float64(pr.out)
	if pl.meanWork == 0 {
		pl.meanWork, pl.meanOutput = work, out
	}
	pl.meanWork += workSmoothing * (work - pl.meanWork)
	pl.meanOutput += workSmoothing * (out - pl.meanOutput)
}

// observeOverrun updates the overrun with the ratio of actual to expected time of a
// first byte.
func (pl *pool) observeOverrun(ratio float64) {
	if ratio > pl.overrun {
		pl.overrun = min(maxOverrun, pl.overrun*(1+overrunStep*(1-overrunTail)))
		return
	}
	pl.overrun = max(1, pl.overrun*(1-overrunStep*overrunTail))
}

// CostEstimate is the estimate of the computing costs of the engines of a pool that
// serve a model. Times are in milliseconds.
type CostEstimate struct {
	Pool  wasabiridge.PoolID
	Model wasabiridge.ModelID
	// FirstToken is the time to the first token of an empty prompt, and
	// PerThousandTokens the additional time for a thousand tokens.
	FirstToken, PerThousandTokens float64
	// Overrun is the ratio of actual to expected time that nearly all first bytes stay
	// below. Answers is the number of answers behind the estimate.
	Overrun float64
	Answers int
}

// CostEstimates returns the estimates for all pools and models, in no particular order.
func (p *Placer) CostEstimates() []CostEstimate {
	var out []CostEstimate
	for id, pl := range p.pools {
		for model, costs := range pl.costs {
			out = append(out, CostEstimate{
				Pool: id, Model: model, FirstToken: costs.Fixed(), PerThousandTokens: costs.Compute(wasabicost.Work{Tokens: 1000}),
				Overrun: pl.overrun, Answers: costs.Answers(),
			})
		}
	}
	return out
}

// observeDuration updates the moving average with the duration of an answer in
// milliseconds.
func (pl *pool) observeDuration(ms float64) {
	if pl.meanDuration == 0 {
		pl.meanDuration = ms
	}
	pl.meanDuration += workSmoothing * (ms - pl.meanDuration)
}

// isHeavy reports whether a request takes longer than the average to compute or to
// answer.
func (pl *pool) isHeavy(pr *prompt) bool {
	return pr.compute(pr.tokens(), 0) > pl.meanWork || float64(pr.out) > pl.meanOutput
}

// isLight reports whether a request takes much less than the average to compute.
func (pl *pool) isLight(pr *prompt) bool {
	return pr.compute(pr.tokens(), 0) < lightWorkFactor*pl.meanWork
}

// normalizeRequest returns the request without its model when the servers of the pool
// have no models: callers may name a model in a request to any service.
func (pl *pool) normalizeRequest(r wasabiridge.Request) wasabiridge.Request {
	if len(pl.config.Models) == 0 {
		r.Model = ""
	}
	return r
}

// adopt applies the pools of a configuration. The state of replicas and pools that
// remain is kept.
func (p *Placer) adopt(now wasabiridge.Millis, c wasabiridge.Config) {
	p.kvStores.adopt(c)
	seen := map[wasabiridge.BackendServerID]bool{}
	pools := map[wasabiridge.PoolID]*pool{}
	for _, cp := range c.Pools {
		pl := &pool{
			config: cp, overrun: initialOverrun, service: newServiceTimes(), promptShare: 1, costs: map[wasabiridge.ModelID]*wasabicost.Estimator{},
			budget: p.budgetOf(cp.ID), fetches: newFetches(), brittle: &brittle{},
		}
		if before := p.pools[cp.ID]; before != nil {
			pl.failures, pl.delay = before.failures, before.delay
			pl.retries, pl.refused = before.retries, before.refused
			pl.curve = before.curve
			pl.usual, pl.usualAnswers = before.usual, before.usualAnswers
			pl.overrun = before.overrun
			pl.software, pl.brittle, pl.answeredAt = before.software, before.brittle, before.answeredAt
			pl.fetches = before.fetches
			pl.service, pl.promptShare = before.service, before.promptShare
			pl.costs, pl.meanWork, pl.meanOutput, pl.meanDuration = before.costs, before.meanWork, before.meanOutput, before.meanDuration
		}
		backends := slices.SortedFunc(slices.Values(cp.Backends), func(a, b wasabiridge.BackendServer) int {
			return compare(a.ID, b.ID)
		})
		for _, b := range backends {
			r := p.replicas[b.ID]
			if r == nil {
				r = newReplica(b)
				r.preference = xxhash.Sum64String(string(p.options.Self) + "\x00" + string(b.ID))
				p.replicas[b.ID] = r
			}
			if !seen[b.ID] {
				r.pools = nil
			}
			seen[b.ID] = true
			r.pools = append(r.pools, cp.ID)
			p.acceptIncarnation(now, r, b.Incarnation)
			b.Incarnation = r.incarnation.Current()
			r.server, r.gone, r.misdirectedAt = b, false, 0
			r.memory = cp.CacheTokens
			r.cache.limit = int(cacheFraction * float64(cp.CacheTokens))
			pl.replicas = append(pl.replicas, r)
		}
		pl.zones = countZones(pl.replicas)
		pl.noteSoftware(now)
		pools[cp.ID] = pl
	}
	p.pools = pools
	p.dropIdleBudgets(now)
	for id, r := range p.replicas {
		if seen[id] {
			continue
		}
		r.gone = true
		if r.own.requests <= 0 {
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

// updateMedians updates the medians of failures, and of delays at average speed, over the
// replicas.
func (pl *pool) updateMedians(now wasabiridge.Millis) {
	var failures, delays []float64
	for _, r := range pl.replicas {
		failures = append(failures, r.failureRate(now))
		if r.samples > 0 {
			delays = append(delays, r.delay/r.learnedSlowness())
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
