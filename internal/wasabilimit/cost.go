package wasabilimit

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// initialMissRate is the assumed share of a prompt that is not cached,
	// before the first answer.
	initialMissRate = 0.3
	// averagingStep is the step of the moving averages of miss rates and costs.
	averagingStep = 0.05
	// defaultOutput is the assumed number of output tokens of a request without
	// a maximum.
	defaultOutput = 256
	// maxMissRates bounds the number of account and rule pairs with a stored
	// miss rate.
	maxMissRates = 4096
	// rateDecay is the time constant of rates.
	rateDecay = 3 * wasabiridge.Second
	// minRateWindow is the minimum observation time of a rate.
	minRateWindow = wasabiridge.Second
	// idleDecay is the time constant of a capacity estimate while no requests
	// wait.
	idleDecay = 10 * wasabiridge.Minute
)

type costKey struct {
	account wasabiridge.ClientAccountID
	rule    wasabiridge.RuleID
}

// costs estimates the cost of requests from the cache miss rates of their
// accounts and rules.
type costs struct {
	miss map[costKey]float64
	// meanCost is the moving average of the cost of requests.
	meanCost float64
}

func newCosts() costs { return costs{miss: make(map[costKey]float64)} }

// expect returns the expected cost of a request in tokens: the prompt tokens
// that are not cached, and the output tokens.
func (c *costs) expect(r wasabiridge.Request) float64 {
	miss, ok := c.miss[costKey{r.Account, r.Rule}]
	if !ok {
		miss = initialMissRate
	}
	output := r.MaxTokens
	if output == 0 {
		output = defaultOutput
	}
	cost := 1 + miss*float64(r.Chain.Tokens) + float64(output)
	c.meanCost += averagingStep * (cost - c.meanCost)
	return cost
}

func (c *costs) learn(r wasabiridge.Request, u wasabiridge.Usage) {
	if u.PromptTokens == 0 {
		return
	}
	k := costKey{r.Account, r.Rule}
	miss, ok := c.miss[k]
	if !ok {
		miss = initialMissRate
	}
	seen := 1 - float64(u.CachedTokens)/float64(u.PromptTokens)
	c.miss[k] = miss + averagingStep*(seen-miss)
}

// prune drops all miss rates when there are too many. They are estimated anew
// within a few answers.
func (c *costs) prune() {
	if len(c.miss) > maxMissRates {
		clear(c.miss)
	}
}

// rate is an exponentially decaying sum over time. The zero value has no
// observations.
type rate struct {
	sum     float64
	since   wasabiridge.Millis
	at      wasabiridge.Millis
	started bool
}

// add adds an amount. The first one only starts the observation, because the
// time before it is unknown.
func (r *rate) add(now wasabiridge.Millis, amount float64) {
	if !r.started {
		r.started, r.since, r.at = true, now, now
		return
	}
	r.sum = r.sum*math.Exp(-float64(now-r.at)/float64(rateDecay)) + amount
	r.at = now
}

// perMilli returns the mean rate per millisecond, over the observed time if
// that is short. It returns 0 until minRateWindow has passed.
func (r *rate) perMilli(now wasabiridge.Millis) float64 {
	if !r.started || now < r.since+minRateWindow {
		return 0
	}
	seen := float64(rateDecay) * (1 - math.Exp(-float64(now-r.since)/float64(rateDecay)))
	return r.sum * math.Exp(-float64(now-r.at)/float64(rateDecay)) / seen
}

// capacity estimates the rate at which a pool drains its queue. While no
// requests wait, the observed rate reflects the demand and not the capacity, so
// the earlier estimate is kept.
type capacity struct {
	drain rate
	// estimate is the estimated drain rate per millisecond.
	estimate float64
	at       wasabiridge.Millis
}

// review updates the estimate with the observed rate. While requests wait, the
// estimate follows the observed rate quickly; otherwise it falls slowly.
func (c *capacity) review(now wasabiridge.Millis, waiting bool) {
	seen := c.drain.perMilli(now)
	decay := idleDecay
	if waiting || seen > c.estimate {
		decay = rateDecay
	}
	c.estimate = seen + (c.estimate-seen)*math.Exp(-float64(now-c.at)/float64(decay))
	c.at = now
}
