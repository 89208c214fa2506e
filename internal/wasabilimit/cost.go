package wasabilimit

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// firstMiss is the part of a prompt expected to be computed as long as
	// nothing is known.
	firstMiss = 0.3
	// learnRate is the weight of one answer in what is learned.
	learnRate = 0.05
	// defaultOutput is the length of an answer without a bound.
	defaultOutput = 256
	// maxLearned bounds how many pairs of account and rule are remembered.
	maxLearned = 4096
	// rateDecay is the time in which a remembered rate falls to about a third.
	rateDecay = 3 * wasabiridge.Second
	// rateSettle is how long a rate must have been watched to say anything.
	rateSettle = wasabiridge.Second
	// idleDecay is the same for a capacity that nothing puts to the test.
	idleDecay = 10 * wasabiridge.Minute
)

type costKey struct {
	account wasabiridge.ClientAccountID
	rule    wasabiridge.RuleID
}

// costs learns which part of its prompts an account makes engines compute.
type costs struct {
	miss map[costKey]float64
	// typical is the mean cost of recent requests.
	typical float64
}

func newCosts() costs { return costs{miss: make(map[costKey]float64)} }

// expect returns the tokens that a request is expected to cost: those of the
// prompt that are not cached, and those of the answer.
func (c *costs) expect(r wasabiridge.Request) float64 {
	miss, ok := c.miss[costKey{r.Account, r.Rule}]
	if !ok {
		miss = firstMiss
	}
	output := r.MaxTokens
	if output == 0 {
		output = defaultOutput
	}
	cost := 1 + miss*float64(r.Chain.Tokens) + float64(output)
	c.typical += learnRate * (cost - c.typical)
	return cost
}

func (c *costs) learn(r wasabiridge.Request, u wasabiridge.Usage) {
	if u.PromptTokens == 0 {
		return
	}
	k := costKey{r.Account, r.Rule}
	miss, ok := c.miss[k]
	if !ok {
		miss = firstMiss
	}
	seen := 1 - float64(u.CachedTokens)/float64(u.PromptTokens)
	c.miss[k] = miss + learnRate*(seen-miss)
}

// prune forgets everything when too much is remembered. It is learned again
// within a few answers.
func (c *costs) prune() {
	if len(c.miss) > maxLearned {
		clear(c.miss)
	}
}

// rate is a decaying sum over time. The zero value has seen nothing.
type rate struct {
	sum     float64
	since   wasabiridge.Millis
	at      wasabiridge.Millis
	started bool
}

// add counts an amount. The very first one only starts the clock, because
// nothing is known of the time before it.
func (r *rate) add(now wasabiridge.Millis, amount float64) {
	if !r.started {
		r.started, r.since, r.at = true, now, now
		return
	}
	r.sum = r.sum*math.Exp(-float64(now-r.at)/float64(rateDecay)) + amount
	r.at = now
}

// perMilli is the mean rate per millisecond. Early on it counts only the time
// that was seen; it is 0 until enough was.
func (r *rate) perMilli(now wasabiridge.Millis) float64 {
	if !r.started || now < r.since+rateSettle {
		return 0
	}
	seen := float64(rateDecay) * (1 - math.Exp(-float64(now-r.since)/float64(rateDecay)))
	return r.sum * math.Exp(-float64(now-r.at)/float64(rateDecay)) / seen
}

// capacity remembers how fast a pool drains when requests wait. While none
// do, the rate says how much was asked for and not how much is possible, so
// what was seen before is kept.
type capacity struct {
	drain rate
	// known is the rate per millisecond at which a line would drain.
	known float64
	at    wasabiridge.Millis
}

// review takes the present rate into account. While requests wait, what was
// known gives way to it.
func (c *capacity) review(now wasabiridge.Millis, waiting bool) {
	seen := c.drain.perMilli(now)
	decay := idleDecay
	if waiting || seen > c.known {
		decay = rateDecay
	}
	c.known = seen + (c.known-seen)*math.Exp(-float64(now-c.at)/float64(decay))
	c.at = now
}
