package wasabishare

import (
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// sharedSpan is for how long a pool stays shared after the last sign of a shortage.
	sharedSpan = 2 * wasabiridge.Second
	// pressureLimit is the offered work, as a multiple of the capacity, above which a pool
	// is shared.
	pressureLimit = 0.9
	// computeInterval is how often shares are computed.
	computeInterval = 50 * wasabiridge.Millis(1)
	// correctionSpan is for how long the correction of the capacity is kept while the
	// pool is not shared.
	correctionSpan = 10 * wasabiridge.Second
)

// pool is the state of one pool.
type pool struct {
	id     wasabiridge.PoolID
	digest uint32
	flows  map[flowKey]*flow
	// ordered lists the flows in the order of their first requests, so that sums do not
	// depend on the order of a map.
	ordered []*flow
	// others counts the requests of flows beyond maxAccounts, by priority.
	others []*flow
	peers  []peerDemand
	// sharedUntil is the end of the shortage as far as known.
	sharedUntil wasabiridge.Millis
	// shortSince is when the present shortage began.
	shortSince wasabiridge.Millis
	// refusedAt is when an instance last refused a request for lack of capacity.
	refusedAt wasabiridge.Millis
	// offered is the demand of all flows.
	offered    rate
	computedAt wasabiridge.Millis
	capacity   float64
	pressure   float64
	ranks      []rank
	oldest     wasabiridge.Millis
	known      int
	correction correction
	queue      queue
	// refused counts refusals by priority.
	refused map[wasabiridge.Priority]uint64
	// answerUntil is the time until which the demand here is announced because another
	// instance announces a shortage.
	answerUntil wasabiridge.Millis
	// spread is the fraction of the light accounts of other instances that this one
	// knows, too.
	spread float64
}

func newPool(id wasabiridge.PoolID) *pool {
	return &pool{id: id, digest: PoolDigest(id), flows: map[flowKey]*flow{}, correction: correction{factor: 1}, refused: map[wasabiridge.Priority]uint64{}, spread: 1}
}

func (p *pool) isShared(now wasabiridge.Millis) bool { return now < p.sharedUntil }

// markShort records a sign of a shortage.
func (p *pool) markShort(now wasabiridge.Millis) {
	if now >= p.sharedUntil+correctionSpan {
		p.correction = correction{factor: 1, since: now}
	}
	if !p.isShared(now) {
		p.shortSince = now
	}
	p.sharedUntil = max(p.sharedUntil, now+sharedSpan)
}

// flow returns the flow that a request belongs to.
func (p *pool) flow(now wasabiridge.Millis, key flowKey, random *rand.Rand) *flow {
	f := p.flows[key]
	if f != nil {
		return f
	}
	if len(p.flows) >= maxAccounts {
		p.evict(now, random)
	}
	f = newFlow(key, now, random)
	if r := p.rank(key.priority); r != nil && r.limited {
		f.level = r.level
	}
	p.flows[key] = f
	p.ordered = append(p.ordered, f)
	return f
}

// evict drops the lightest of a few flows and counts it with others of its rank.
func (p *pool) evict(now wasabiridge.Millis, random *rand.Rand) {
	lightest, least := 0, 0.0
	for i := range evictionSamples {
		n := random.IntN(len(p.ordered))
		if demand := p.ordered[n].offered.perSecond(now, 0); i == 0 || demand < least {
			lightest, least = n, demand
		}
	}
	f := p.ordered[lightest]
	p.other(f.key.priority).offered.merge(now, f.offered)
	delete(p.flows, f.key)
	p.ordered[lightest] = p.ordered[len(p.ordered)-1]
	p.ordered = p.ordered[:len(p.ordered)-1]
}

func (p *pool) other(priority wasabiridge.Priority) *flow {
	for _, f := range p.others {
		if f.key.priority == priority {
			return f
		}
	}
	f := &flow{key: flowKey{priority: priority}, fraction: 1}
	p.others = append(p.others, f)
	return f
}

// dropIdle removes flows and peers that have been silent for long.
func (p *pool) dropIdle(now wasabiridge.Millis) {
	p.ordered = slices.DeleteFunc(p.ordered, func(f *flow) bool {
		idle := now-f.lastSeen >= idleSpan && !p.queue.holds(f)
		if idle {
			delete(p.flows, f.key)
		}
		return idle
	})
}

func (p *pool) rank(priority wasabiridge.Priority) *rank {
	for i := range p.ranks {
		if p.ranks[i].priority == priority {
			return &p.ranks[i]
		}
	}
	return nil
}
