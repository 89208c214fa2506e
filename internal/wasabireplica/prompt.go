package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

const (
	// maxSegments bounds the segments of a prompt that are considered.
	maxSegments = 16
	// fetchOverhead is the cost of a fetch in addition to the transfer, in
	// milliseconds: one round trip between engines. Shared segments that are computed
	// in less time are not worth fetching.
	fetchOverhead = 4.0
	// crossZoneFactor is how much longer transfers between availability zones take.
	crossZoneFactor = 2.0
	// defaultFetchRatio is the time to fetch a token as a fraction of the time to
	// compute it, for pools whose configuration has no link speed.
	defaultFetchRatio = 0.4
)

// Reasons of a placement, as they appear in the log.
const (
	// WhyLoad is the reason for requests without a long shared prompt.
	WhyLoad      = "load"
	whyHeld      = "held"
	whyComputing = "being_read"
	whyFetched   = "fetched"
	whyStored    = "kept"
	whyComputed  = "computed"
)

// prompt holds the properties of a request's prompt that the score depends on.
type prompt struct {
	root   wasabiridge.CacheRoot
	engine bool
	// costs estimates the computing time of the prompt.
	costs *wasabicost.Estimator
	// out is the maximum number of tokens of the answer.
	out      int
	priority wasabiridge.Priority
	// bytes is the size of the request's body.
	bytes int
	// segments and lengths are those that other requests may share. shared is the sum
	// of their tokens, and own counts the remaining tokens.
	segments    []wasabiridge.BlockHash
	lengths     []int
	shared, own int
	// weights is the version of the weights for which keys caches the keys of the
	// segments.
	weights wasabiridge.WeightsVersion
	keys    []uint64
	// holders are the replicas that hold a segment, by its key, as far as they were looked
	// up for this decision.
	holders map[uint64][]holder
	// interval is the time between two uses of the last shared segment at the replica that
	// uses it most.
	interval wasabiridge.Millis
}

func (pl *pool) promptOf(r wasabiridge.Request) prompt {
	c := r.Chain
	out := prompt{root: c.Root, engine: r.Model != "", own: c.Tokens, costs: pl.costsOf(r.Model), out: r.MaxTokens, priority: r.Action.Priority, bytes: r.Bytes}
	// The last segment belongs to this request or its session only.
	for i := 0; i < len(c.Blocks)-1 && i < maxSegments; i++ {
		out.segments = append(out.segments, c.Blocks[i])
		out.lengths = append(out.lengths, c.BlockLength(i))
		out.shared += c.BlockLength(i)
	}
	out.own = max(0, c.Tokens-out.shared)
	return out
}

// worthFetching reports whether the shared segments take at least as long to compute as
// a fetch takes to start.
func (p *prompt) worthFetching() bool { return p.engine && p.compute(p.shared, 0) >= fetchOverhead }

// compute returns the time, in milliseconds, to compute tokens that follow behind
// others.
func (p *prompt) compute(tokens, behind int) float64 {
	return p.costs.Compute(wasabicost.Work{Tokens: tokens, Preceding: behind})
}

func (p *prompt) tokens() int { return p.shared + p.own }

// memory returns how many tokens the request occupies in the memory of a replica.
func (p *prompt) memory() int {
	if !p.engine {
		return 0
	}
	return p.tokens() + p.out
}

// keysFor returns the keys of the segments for a version of the weights.
func (p *prompt) keysFor(w wasabiridge.WeightsVersion) []uint64 {
	if p.keys != nil && p.weights == w {
		return p.keys
	}
	root := p.root
	root.Weights = w
	keys := make([]uint64, len(p.segments))
	salt := wasabiprefix.ShortSalt(root)
	for i, segment := range p.segments {
		keys[i] = wasabiprefix.SegmentKey(salt, segment)
	}
	p.weights, p.keys = w, keys
	return keys
}

// workFor returns the computing time of the prompt, in milliseconds, at an engine that
// was chosen for the given reason and holds the given number of its tokens.
func (p *prompt) workFor(why string, held int) float64 {
	if why == whyFetched || why == whyStored {
		held = p.shared
	}
	return p.compute(p.tokens()-held, held)
}

// source describes where a replica gets the shared segments of a prompt from.
type source struct {
	why        string
	importFrom string
	// held counts tokens that the replica holds already or is computing.
	held int
	// cost is the time to obtain the whole prompt, and work the part of it in which the
	// engine computes, in milliseconds.
	cost, work float64
	// recomputed counts tokens that would be computed although another replica or a
	// store holds them or is computing them.
	recomputed int
	// copied counts tokens that are fetched.
	copied int
	// unfetchable reports that recomputed tokens cannot be fetched instead.
	unfetchable bool
	// computed counts shared tokens that are computed.
	computed int
	// slowness is that of the replica.
	slowness float64
}

// bestSource returns the cheapest way for a replica of the given slowness to obtain a
// prompt.
func (p *Placer) bestSource(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt, slowness float64) source {
	if !pr.worthFetching() {
		work := pr.compute(pr.tokens(), 0) * slowness
		return source{why: WhyLoad, cost: work, work: work}
	}
	keys := pr.keysFor(r.weights[pr.root.Model])
	held, computing := r.cache.heldPrefix(keys, pr.lengths)
	out := source{why: whyHeld, held: held + computing, slowness: slowness}
	if computing > 0 {
		out.why = whyComputing
	}
	out.work = pr.workFor(out.why, out.held) * slowness
	out.cost = out.work
	missing := pr.shared - out.held
	if missing <= 0 {
		return out
	}
	// Unless a better source is known, the replica queries the store: a miss there
	// costs only a millisecond.
	last := keys[len(keys)-1]
	out.why, out.importFrom = whyComputed, p.queriedStore(pl, r, last)
	out.computed = missing
	k := p.kvStores.holder(last)
	holders := pr.holdersOf(now, pl, last)
	if k != nil || isHeldElsewhere(holders, r) {
		out.recomputed = missing
	}
	if k != nil {
		time := k.wait(now) + float64(missing)*pr.transfer(pl.config.TokenBytes, k.LinkMegabits)*zoneFactor(k.Zone, r)
		out.considerFetch(now, pl, r, pr, sourceAddress{why: whyStored, address: k.Address, zone: k.Zone}, time)
	}
	for _, h := range holders {
		if h.replica != r && h.ready && h.replica.failureBackoff == 0 {
			time := float64(missing) * pr.transfer(pl.config.TokenBytes, pl.config.LinkMegabits) * zoneFactor(h.replica.server.Zone, r)
			from := sourceAddress{why: whyFetched, address: wasabiaddress.HostPort(h.replica.server.URL), zone: h.replica.server.Zone}
			out.considerFetch(now, pl, r, pr, from, time)
		}
	}
	return out
}

// holder is a replica that holds a segment, or is computing it if it is not ready.
type holder struct {
	replica *replica
	ready   bool
}

// holdersOf returns the holders of a segment, in the order of the pool. They are the same
// for every candidate of a decision, so they are looked up once.
func (p *prompt) holdersOf(now wasabiridge.Millis, pl *pool, key uint64) []holder {
	if found, ok := p.holders[key]; ok {
		return found
	}
	var found []holder
	p.interval = maxInterval
	for _, r := range pl.replicas {
		if ready, held := r.cache.lookup(key); held && !r.gone && !r.mayHaveEnded(now) {
			found = append(found, holder{replica: r, ready: ready})
			p.interval = min(p.interval, r.cache.intervalOf(now, key))
		}
	}
	if p.holders == nil {
		p.holders = map[uint64][]holder{}
	}
	p.holders[key] = found
	return found
}

// recomputeWait is how much longer than computing a fetch may take for each token that
// would otherwise be computed again, in milliseconds. At this value both have the same
// loss.
const recomputeWait = recomputeLoss / workLoss

// consider switches to a fetch from address, which takes the given time in
// milliseconds, if it is cheaper.
func (s *source) consider(pr *prompt, why, address string, time float64) {
	work := pr.compute(pr.own, pr.shared) * s.slowness
	if cost := fetchOverhead + time + work; cost < s.cost+recomputeWait*float64(s.recomputed) {
		s.why, s.importFrom, s.cost, s.work = why, address, cost, work
		s.recomputed, s.computed, s.unfetchable, s.copied = 0, 0, false, pr.shared-s.held
	}
}

// isHeldElsewhere reports whether one of the holders is another replica than r.
func isHeldElsewhere(holders []holder, r *replica) bool {
	for _, h := range holders {
		if h.replica != r {
			return true
		}
	}
	return false
}

// transfer returns the time to fetch a token, in milliseconds.
func (p *prompt) transfer(tokenBytes int, megabits float64) float64 {
	if tokenBytes <= 0 || megabits <= 0 {
		return defaultFetchRatio * p.compute(1, 0)
	}
	return transfer(tokenBytes, megabits)
}

// transfer returns the time that a token takes over a link, in milliseconds.
func transfer(tokenBytes int, megabits float64) float64 {
	return float64(tokenBytes) * 8 / (megabits * 1000)
}

func zoneFactor(zone wasabiridge.AvailabilityZone, r *replica) float64 {
	if zone != r.server.Zone {
		return crossZoneFactor
	}
	return 1
}

// heldPrefix returns how many tokens of consecutive segments are held from the start:
// those that have been computed, and those that are being computed.
func (c *cache) heldPrefix(keys []uint64, lengths []int) (held, computing int) {
	for i, key := range keys {
		ready, ok := c.lookup(key)
		if !ok {
			break
		}
		if ready && computing == 0 {
			held += lengths[i]
		} else {
			computing += lengths[i]
		}
	}
	return held, computing
}
