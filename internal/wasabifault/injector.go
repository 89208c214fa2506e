package wasabifault

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// Injector determines the outcomes of calls by a plan and applies them. It is safe
// for concurrent use.
type Injector struct {
	clock wasabiridge.Clock
	sleep SleepFunc

	mu      sync.Mutex
	plan    Plan
	calls   map[string]uint64
	scripts map[Op][]Outcome
	buckets map[Op]*bucket
}

// NewInjector returns an injector for the plan. If sleep is nil, Sleep is used.
func NewInjector(plan Plan, clock wasabiridge.Clock, sleep SleepFunc) *Injector {
	if sleep == nil {
		sleep = Sleep
	}
	i := &Injector{clock: clock, sleep: sleep, calls: map[string]uint64{}, scripts: map[Op][]Outcome{}}
	i.SetPlan(plan)
	return i
}

// SetPlan replaces the plan and refills the rate limits. Outcomes that were set
// with SetNextOutcomes and the call counts of keys are kept.
func (i *Injector) SetPlan(plan Plan) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.plan = plan
	i.buckets = map[Op]*bucket{}
}

// SetNextOutcomes sets the outcomes of the next calls of an operation, after those of
// earlier calls of SetNextOutcomes. They take precedence over the plan.
func (i *Injector) SetNextOutcomes(op Op, outcomes ...Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.scripts[op] = append(i.scripts[op], outcomes...)
}

// NextOutcome determines the outcome of the next call and advances the state of the
// injector. Read and Write call it.
func (i *Injector) NextOutcome(op Op, key string) Outcome {
	i.mu.Lock()
	defer i.mu.Unlock()
	if script := i.scripts[op]; len(script) > 0 {
		i.scripts[op] = script[1:]
		return script[0]
	}
	now := i.clock.Now()
	if kind, ok := i.plan.kindInWindow(now); ok {
		return Outcome{Kind: kind, EffectDelay: i.plan.MaxEffectDelay}
	}
	if !i.takeToken(op, now) {
		return Outcome{Kind: Unavailable}
	}
	return i.drawRandom(op, key)
}

// drawRandom uses a random generator that is seeded for this call only, so that the
// outcome does not depend on the order of calls with other keys.
func (i *Injector) drawRandom(op Op, key string) Outcome {
	name := string(op) + "\x00" + key
	i.calls[name]++
	stream := xxhash.Sum64String(name + "\x00" + strconv.FormatUint(i.calls[name], 10))
	rng := rand.New(rand.NewPCG(i.plan.Seed, stream))
	outcome := Outcome{Kind: i.plan.kindFor(rng.Float64())}
	if outcome.Kind == LateEffect {
		outcome.EffectDelay = randomMillis(rng, 0, i.plan.MaxEffectDelay)
	}
	wait := randomMillis(rng, i.plan.DelayMin, i.plan.DelayMax)
	outcome.Before = wait / 2
	outcome.After = wait - outcome.Before
	return outcome
}

func (p Plan) kindFor(x float64) Kind {
	shares := []struct {
		kind  Kind
		share float64
	}{
		{Unavailable, p.Unavailable},
		{LostRequest, p.LostRequest},
		{LostAnswer, p.LostAnswer},
		{LateEffect, p.LateEffect},
		{Race, p.Race},
	}
	for _, s := range shares {
		if x < s.share {
			return s.kind
		}
		x -= s.share
	}
	return Delivered
}

func randomMillis(rng *rand.Rand, low, high wasabiridge.Millis) wasabiridge.Millis {
	if high <= low {
		return low
	}
	return low + wasabiridge.Millis(rng.Int64N(int64(high-low)+1))
}

// bucket is a token bucket with a capacity of one second at the rate limit.
type bucket struct {
	tokens float64
	at     wasabiridge.Millis
}

func (i *Injector) takeToken(op Op, now wasabiridge.Millis) bool {
	limit := float64(i.plan.rateLimit(op))
	if limit == 0 {
		return true
	}
	b, ok := i.buckets[op]
	if !ok {
		b = &bucket{tokens: limit, at: now}
		i.buckets[op] = b
	}
	b.tokens = min(limit, b.tokens+limit*float64(now-b.at)/float64(wasabiridge.Second))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
