package wasabifault

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// Injector draws the fates of calls after a plan and carries them out. It is safe for concurrent
// use.
type Injector struct {
	clock wasabiridge.Clock
	sleep SleepFunc

	mu      sync.Mutex
	plan    Plan
	calls   map[string]uint64
	scripts map[Op][]Fate
	buckets map[Op]*bucket
}

// NewInjector returns an injector that follows the plan. A nil sleep waits in
// real time.
func NewInjector(plan Plan, clock wasabiridge.Clock, sleep SleepFunc) *Injector {
	if sleep == nil {
		sleep = Sleep
	}
	i := &Injector{clock: clock, sleep: sleep, calls: map[string]uint64{}, scripts: map[Op][]Fate{}}
	i.SetPlan(plan)
	return i
}

// SetPlan replaces the plan. Scripted fates stay.
func (i *Injector) SetPlan(plan Plan) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.plan = plan
	i.buckets = map[Op]*bucket{}
}

// Script sets the fates of the next calls of an operation. They go before the
// plan, and follow those that were scripted earlier.
func (i *Injector) Script(op Op, fates ...Fate) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.scripts[op] = append(i.scripts[op], fates...)
}

// Draw returns the fate of one call.
func (i *Injector) Draw(op Op, key string) Fate {
	i.mu.Lock()
	defer i.mu.Unlock()
	if script := i.scripts[op]; len(script) > 0 {
		i.scripts[op] = script[1:]
		return script[0]
	}
	now := i.clock.Now()
	if kind, ok := i.plan.window(now); ok {
		return Fate{Kind: kind, Late: i.plan.Lateness}
	}
	if !i.take(op, now) {
		return Fate{Kind: Unavailable}
	}
	return i.random(op, key)
}

// random draws from a source that only this call uses, so that the order of
// calls with other keys does not matter.
func (i *Injector) random(op Op, key string) Fate {
	name := string(op) + "\x00" + key
	i.calls[name]++
	mixed := xxhash.Sum64String(name + "\x00" + strconv.FormatUint(i.calls[name], 10))
	rng := rand.New(rand.NewPCG(i.plan.Seed, mixed))
	fate := Fate{Kind: i.plan.kind(rng.Float64())}
	if fate.Kind == LateEffect {
		fate.Late = between(rng, 0, i.plan.Lateness)
	}
	wait := between(rng, i.plan.DelayMin, i.plan.DelayMax)
	fate.Before = wait / 2
	fate.After = wait - fate.Before
	return fate
}

func (p Plan) kind(x float64) Kind {
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

func between(rng *rand.Rand, low, high wasabiridge.Millis) wasabiridge.Millis {
	if high <= low {
		return low
	}
	return low + wasabiridge.Millis(rng.Int64N(int64(high-low)+1))
}

// bucket is a token bucket that holds up to one second's worth of calls.
type bucket struct {
	tokens float64
	at     wasabiridge.Millis
}

func (i *Injector) take(op Op, now wasabiridge.Millis) bool {
	limit := float64(i.plan.limit(op))
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
