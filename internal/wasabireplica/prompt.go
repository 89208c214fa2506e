package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

const (
	// partsMost bounds the parts that are looked at.
	partsMost = 16
	// fetchSetup is what a fetch costs beside the transfer, in milliseconds: a
	// call from one engine to another and back. Shared parts that are computed
	// sooner are not worth looking for.
	fetchSetup = 4.0
	// otherZoneTransfer is how much longer transfers between zones take.
	otherZoneTransfer = 2.0
	// fetchShare is the time to fetch a token as a part of the time to compute
	// it, when the configuration does not tell the links.
	fetchShare = 0.4
)

// Reasons of a placement, as the log shows them.
const (
	// WhyLoad stands for requests without a long prompt.
	WhyLoad     = "load"
	whyHeld     = "held"
	whyReading  = "being_read"
	whyFetched  = "fetched"
	whyKept     = "kept"
	whyComputed = "computed"
)

// prompt is what the score needs to know of a request's prompt.
type prompt struct {
	root   wasabiridge.CacheRoot
	engine bool
	// costs tell how long engines take for it.
	costs *wasabicost.Estimator
	// out is how many tokens the answer may have.
	out      int
	priority wasabiridge.Priority
	// parts and lengths are those that other requests have too; shared sums up
	// their tokens, and own counts the rest.
	parts       []wasabiridge.BlockHash
	lengths     []int
	shared, own int
	// keys are the names of the parts by weights, worked out when needed.
	weights wasabiridge.WeightsVersion
	keys    []uint64
}

func (pl *pool) promptOf(r wasabiridge.Request) prompt {
	c := r.Chain
	out := prompt{root: c.Root, engine: r.Model != "", own: c.Tokens, costs: pl.costsOf(r.Model), out: r.MaxTokens, priority: r.Action.Priority}
	// The last part belongs to the request or its session.
	for i := 0; i < len(c.Blocks)-1 && i < partsMost; i++ {
		out.parts = append(out.parts, c.Blocks[i])
		out.lengths = append(out.lengths, c.BlockLength(i))
		out.shared += c.BlockLength(i)
	}
	out.own = max(0, c.Tokens-out.shared)
	return out
}

// isTracked reports whether the shared parts are worth looking for: whether they
// take longer to compute than a fetch takes to begin.
func (p *prompt) isTracked() bool { return p.engine && p.compute(p.shared, 0) >= fetchSetup }

// compute is the time, in milliseconds, to compute tokens behind others.
func (p *prompt) compute(tokens, behind int) float64 {
	return p.costs.Compute(wasabicost.Work{Tokens: tokens, Behind: behind})
}

func (p *prompt) tokens() int { return p.shared + p.own }

// memory is how many tokens the request takes up in a replica's memory.
func (p *prompt) memory() int {
	if !p.engine {
		return 0
	}
	return p.tokens() + p.out
}

// keysFor returns the names of the parts under a version of the weights.
func (p *prompt) keysFor(w wasabiridge.WeightsVersion) []uint64 {
	if p.keys != nil && p.weights == w {
		return p.keys
	}
	root := p.root
	root.Weights = w
	keys := make([]uint64, len(p.parts))
	salt := wasabiprefix.ShortSalt(root)
	for i, part := range p.parts {
		keys[i] = wasabiprefix.PartKey(salt, part)
	}
	p.weights, p.keys = w, keys
	return keys
}

// workFor is the time that the prompt needs at an engine that got it for the
// given reason and holds so many tokens of it.
func (p *prompt) workFor(why string, held int) float64 {
	if why == whyFetched || why == whyKept {
		held = p.shared
	}
	return p.compute(p.tokens()-held, held)
}

// source is where a replica would get the shared parts of a prompt from.
type source struct {
	why       string
	fetchFrom string
	// held counts tokens that the replica holds already, or is reading.
	held int
	// cost is the time to come by the whole prompt, work that part of it in
	// which the engine computes, in milliseconds.
	cost, work float64
	// again counts tokens that are computed although another replica has read
	// them or is reading them.
	again int
	// copied counts tokens that are fetched.
	copied int
}

// sourceOf finds the cheapest way for a replica to come by a prompt.
func (p *Placer) sourceOf(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt) source {
	if !pr.isTracked() {
		work := pr.compute(pr.tokens(), 0)
		return source{why: WhyLoad, cost: work, work: work}
	}
	keys := pr.keysFor(r.weights[pr.root.Model])
	held, reading := r.cache.depth(keys, pr.lengths)
	out := source{why: whyHeld, held: held + reading}
	if reading > 0 {
		out.why = whyReading
	}
	out.work = pr.workFor(out.why, out.held)
	out.cost = out.work
	missing := pr.shared - out.held
	if missing <= 0 {
		return out
	}
	// Unless a better source is known, the store is asked: a miss there costs
	// a millisecond.
	last := keys[len(keys)-1]
	out.why, out.fetchFrom = whyComputed, p.kept.addressOf(last)
	k := p.kept.holder(last)
	if k != nil || p.isRead(pl, last, r) {
		out.again = missing
	}
	if k != nil {
		time := k.wait(now) + float64(missing)*pr.transfer(pl.config.TokenBytes, k.LinkMegabits)*distance(k.Zone, r)
		out.consider(pr, whyKept, k.Address, time)
	}
	for _, other := range pl.replicas {
		if other == r || other.gone || other.pause > 0 {
			continue
		}
		if ready, ok := other.cache.find(last); ok && ready {
			time := float64(missing) * pr.transfer(pl.config.TokenBytes, pl.config.LinkMegabits) * distance(other.server.Zone, r)
			out.consider(pr, whyFetched, wasabiaddress.HostPort(other.server.URL), time)
		}
	}
	return out
}

// againWait is how long a fetch may take longer than computing for each token
// that would be computed again, in milliseconds: by as much as both lose the same.
const againWait = againLoss / workLoss

// consider takes a fetch that takes the given time, if it is cheaper.
func (s *source) consider(pr *prompt, why, address string, time float64) {
	work := pr.compute(pr.own, pr.shared)
	if cost := fetchSetup + time + work; cost < s.cost+againWait*float64(s.again) {
		s.why, s.fetchFrom, s.cost, s.work = why, address, cost, work
		s.again, s.copied = 0, pr.shared-s.held
	}
}

// isRead reports whether a replica other than r holds a part or is reading it.
func (p *Placer) isRead(pl *pool, key uint64, r *replica) bool {
	for _, other := range pl.replicas {
		if _, held := other.cache.find(key); held && other != r && !other.gone {
			return true
		}
	}
	return false
}

// transfer is the time to fetch a token, in milliseconds.
func (p *prompt) transfer(tokenBytes int, megabits float64) float64 {
	if tokenBytes <= 0 || megabits <= 0 {
		return fetchShare * p.compute(1, 0)
	}
	return transfer(tokenBytes, megabits)
}

// transfer is the time that a token takes over a link, in milliseconds.
func transfer(tokenBytes int, megabits float64) float64 {
	return float64(tokenBytes) * 8 / (megabits * 1000)
}

func distance(zone wasabiridge.AvailabilityZone, r *replica) float64 {
	if zone != r.server.Zone {
		return otherZoneTransfer
	}
	return 1
}

// depth returns how many tokens of a chain of parts are held from its start,
// those that have been read and those that are being read.
func (c *cache) depth(keys []uint64, lengths []int) (held, reading int) {
	for i, key := range keys {
		ready, ok := c.find(key)
		if !ok {
			break
		}
		if ready && reading == 0 {
			held += lengths[i]
		} else {
			reading += lengths[i]
		}
	}
	return held, reading
}
