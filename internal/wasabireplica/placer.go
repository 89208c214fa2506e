// Package wasabireplica chooses the replica for each request and decides whether a
// request may be sent at all. It is made for prompts that callers divide into segments.
//
// # Score
//
// Every usable replica of the pool is scored by the expected loss of the request there,
// as a fraction of the value of a complete answer in time. The loss adds up
//
//   - the probability that the first byte is late, from the queued work, the missing
//     segments of the prompt and the observed delays and failures of the replica,
//   - surcharges for superseded weights, a draining replica and another availability
//     zone,
//   - tokens that are computed again, and
//   - the time that the request takes from the requests behind it.
//
// The replica with the lowest loss is chosen.
//
// # What a replica holds
//
// Instances send each other which segments they sent where. So each estimates what
// every replica holds: the segments that were sent there, less those that have been
// evicted since. A segment that a replica does not hold is fetched from a replica that
// does, or from a KV cache store, in a fraction of the time to compute it. A segment
// that some replica has computed or is computing is computed again only as a last
// resort.
//
// # Weights
//
// Until the deadline by which new weights must be served, replicas with older weights
// are scored with a surcharge for the lower value of their answers. Shortly before the
// deadline they receive no further requests.
//
// # Announcements
//
// A replica that announces that it is leaving receives no further requests, whatever the
// platform's list says, until a new incarnation of it is known. One that refuses a
// request and asks for a pause receives none until the pause is over, then a single one,
// and further ones when that is answered.
//
// Replicas that announce that they are brittle, which means that they end when they refuse
// too many requests in a second, receive from each instance no more than an equal part of
// their slots and memory. Requests that find this part taken wait for a moment.
//
// # Failing replicas
//
// A replica that cannot be reached or does not answer is put into an exponential
// backoff, after which a single request probes it. Replicas that merely fail more often
// or answer more slowly than the rest of their pool are scored worse.
//
// # Usage
//
//	placer := wasabireplica.New(wasabireplica.Options{Seed: 1, Zone: "san-fernando"})
//	limiter := wasabireplica.NewLimiter(placer)
//	core := wasabicore.New(wasabicore.Options{Placer: placer, Limiter: limiter})
//
// Placer and Limiter are deterministic for a seed and not safe for concurrent use.
package wasabireplica

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibudget"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
	"github.com/wasabiridge/wasabiridge/internal/wasabinotice"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabirate"
)

// Options configures a Placer. The zero value is valid.
type Options struct {
	// Seed seeds the random choice between nearly equal scores.
	Seed uint64
	// Self is the ID of this instance, as it appears in
	// wasabiridge.InstancesCounted.Serving.
	Self wasabiridge.InstanceID
	// Zone is the availability zone of this instance. Empty means that all replicas are
	// equally far.
	Zone wasabiridge.AvailabilityZone
	// DearCrossings reports that bytes between availability zones are dear. Requests
	// then leave the zone only where that saves more.
	DearCrossings bool
	// UnevenServers has the speed of each server learned, its reports of the moment and its
	// slots used, and large prompts kept from meeting at a server. Otherwise the servers of a
	// pool count as equal.
	UnevenServers bool
	// WeightsDeadline is how long older weights may be served after new ones were
	// announced. Zero means 10 s.
	WeightsDeadline wasabiridge.Millis
	// RetryRatio, RetrySlack and RetryWindow define the retry budget that all instances
	// share: within a window, RetryRatio times the number of requests, and RetrySlack
	// more. A window of zero means 10 s, and 0.1 and 10 for those of the others that are zero.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow wasabiridge.Millis
	// Rollouts reports that operators order rollouts of software versions, and MaxExposure is
	// the part of the requests that a bad version may get.
	Rollouts    bool
	MaxExposure float64
	// BoundWaits refuses every request that is expected to be late, also light ones and
	// those without a prompt. It is for instances that share pools among client accounts,
	// where a refused request finds capacity when it returns.
	BoundWaits bool
}

func (o Options) withDefaults() Options {
	if o.WeightsDeadline == 0 {
		o.WeightsDeadline = 10 * wasabiridge.Second
	}
	if o.RetryWindow != 0 {
		return o
	}
	o.RetryWindow = 10 * wasabiridge.Second
	if o.RetryRatio == 0 {
		o.RetryRatio = 0.1
	}
	if o.RetrySlack == 0 {
		o.RetrySlack = 10
	}
	return o
}

// Placer implements wasabiridge.Placer. See the package comment.
type Placer struct {
	options     Options
	random      *rand.Rand
	replicas    map[wasabiridge.BackendServerID]*replica
	pools       map[wasabiridge.PoolID]*pool
	rollouts    map[wasabiridge.PoolID]*rollout
	announced   announcedVersions
	attempts    map[wasabiridge.AttemptID]attempt
	kvStores    kvStores
	peerUpdates peerUpdates
	// refutedClaims counts versions in responses that were found to be wrong.
	refutedClaims uint64
	// foreignUses are the uses of segments in other availability zones, and usesMeasured
	// is when their memory was last adapted.
	foreignUses  foreignUses
	usesMeasured wasabiridge.Millis
	// startedAt is when the process started. instances estimates the number of instances
	// that share the retry budget, and budgets holds what this instance may spend, by
	// pool.
	startedAt wasabiridge.Millis
	instances *wasabibudget.InstanceCounter
	budgets   map[wasabiridge.PoolID]*wasabibudget.Budget
	// rateGroup holds the instances that share the rates of servers that report limits.
	rateGroup *wasabirate.Group
	// notices holds what the servers stated about themselves. It outlives the state of a
	// replica, because the list may lose and regain a server.
	notices wasabinotice.Board
	pauses  wasabilife.PauseDetector
}

var _ wasabiridge.Placer = (*Placer)(nil)

// New returns a Placer without any configuration or state.
func New(o Options) *Placer {
	return &Placer{
		options:     o.withDefaults(),
		random:      rand.New(rand.NewPCG(o.Seed, 0)),
		replicas:    map[wasabiridge.BackendServerID]*replica{},
		pools:       map[wasabiridge.PoolID]*pool{},
		announced:   announcedVersions{},
		attempts:    map[wasabiridge.AttemptID]attempt{},
		kvStores:    newKVStores(),
		foreignUses: newForeignUses(),
		budgets:     map[wasabiridge.PoolID]*wasabibudget.Budget{},
		rateGroup:   wasabirate.NewGroup(o.Self),
	}
}

// Place chooses a replica of the pool. It reports false when no replica can take the
// request.
func (p *Placer) Place(now wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	pl := p.pools[q.Pool.ID]
	if pl == nil {
		return wasabiridge.Placement{}, false
	}
	q.Request = pl.normalizeRequest(q.Request)
	pr := pl.promptOf(q.Request)
	restricted := pl.restrictsBegins(now)
	var best candidate
	found := false
	for _, v := range p.preferred(now, pl) {
		if best, found = p.best(now, pl, q, &pr, v, restricted); !found && restricted {
			best, found = p.best(now, pl, q, &pr, v, false)
		}
		if found {
			break
		}
	}
	if !found {
		return wasabiridge.Placement{Unplaceable: p.isUnresumable(now, pl, q)}, false
	}
	return p.placement(now, pl, best, q.Request, &pr), true
}

// best returns the replica with the lowest loss of those of some versions, at random among
// nearly equal ones. Of a large pool it is the one that this instance prefers: at random, nearly
// every request would go to a server without an open connection. If restricted, streams begin only at the versions at which they may.
func (p *Placer) best(now wasabiridge.Millis, pl *pool, q wasabiridge.PlaceQuery, pr *prompt, v versions, restricted bool) (best candidate, found bool) {
	count := 0
	for _, r := range pl.replicas {
		if !p.serves(now, pl, r, v) || !p.eligible(now, r, q) || !p.hasRoom(now, pl, r, pr) || restricted && !pl.mayBegin(now, r, q) || !p.hasMemory(now, pl, r, pr) {
			continue
		}
		c := p.evaluate(now, pl, r, pr, q.Request.Action.FirstByteTarget)
		if !p.startsBeforeDeadline(now, pr, c) {
			continue
		}
		switch {
		case q.IsolationKey != 0:
			if !found || wasabiquarantine.IsolationRank(q.IsolationKey, r.server.ID) > wasabiquarantine.IsolationRank(q.IsolationKey, best.replica.server.ID) {
				best, found = c, true
			}
		case !found || c.score < best.score-tieMargin:
			best, found, count = c, true, 1
		case c.score <= best.score+tieMargin && pl.config.Parted:
			if r.preference > best.replica.preference {
				best = c
			}
		case c.score <= best.score+tieMargin:
			count++
			if p.random.IntN(count) == 0 {
				best = c
			}
		}
	}
	return best, found
}

// candidate is a replica with its score.
type candidate struct {
	replica *replica
	// score is the expected loss, and expected the time to the first byte in
	// milliseconds. slowness is that of the replica.
	score    float64
	expected float64
	slowness float64
	source   source
}

// eligible reports whether a replica may receive the request now.
func (p *Placer) eligible(now wasabiridge.Millis, r *replica, q wasabiridge.PlaceQuery) bool {
	return p.isUsable(now, r, q) && p.limitWait(now, r) == 0
}

// isUsable reports whether a replica may receive the request, its reported rate limit
// aside.
func (p *Placer) isUsable(now wasabiridge.Millis, r *replica, q wasabiridge.PlaceQuery) bool {
	if r.gone || r.leaving || now < r.pausedUntil || now < r.backoffUntil || !r.isAvailable(now) {
		return false
	}
	for _, id := range q.Excluded {
		if id == r.server.ID {
			return false
		}
	}
	if !q.CanContinue(r.server) {
		return false
	}
	model := q.Request.Model
	if model == "" {
		return true
	}
	serves := r.weights[model]
	if q.Weights != 0 && serves != q.Weights {
		return false
	}
	// A replica whose weights are unknown could answer with any version, and with what
	// any version left in its cache.
	return serves != 0 && p.weightsAllowed(now, model, serves)
}

// evaluate computes the expected loss of a request at a replica.
func (p *Placer) evaluate(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt, target wasabiridge.Millis) candidate {
	c := candidate{replica: r}
	c.slowness = r.slowness(now)
	wait := r.expectedWait(now, pr, pl.meanDuration, c.slowness) + r.penalty(now, pl)
	if !pr.engine {
		c.score = lateLoss(wait+pl.delay*c.slowness, target)
	} else {
		c.source = p.bestSource(now, pl, r, pr, c.slowness)
		c.expected = wait + c.source.cost + pr.costs.Fixed()*c.slowness
		c.score = lateLoss(c.expected, target) + p.copyLoss(now, pl, r, pr, c.source, wait) + workLoss*c.source.work
		if age, older := p.announced.supersededFor(now, pr.root.Model, r.weights[pr.root.Model]); older && age > supersededGrace {
			c.score += supersededLoss
		}
	}
	if now < r.drainUntil && pl.isHeavy(pr) {
		c.score += drainLoss
	}
	if p.crosses(r) {
		c.score += p.crossingLoss(pr)
	}
	c.score += waitLoss * wait
	return c
}

func (p *Placer) placement(now wasabiridge.Millis, pl *pool, c candidate, q wasabiridge.Request, pr *prompt) wasabiridge.Placement {
	out := wasabiridge.Placement{Backend: c.replica.server, ExpectedWait: wasabiridge.Millis(c.expected), Slowness: c.slowness, Why: WhyLoad, Allotment: p.allotment(now, pl, c.replica)}
	if q.Action.Retry && len(pl.replicas) > 1 {
		out.FirstByte = silenceTimeout(q, c.expected+pl.plainExcess(pr, c.slowness))
	}
	if !pr.engine {
		return out
	}
	out.Weights = c.replica.weights[q.Model]
	if wait, bounded := p.weightsTimeLeft(now, q.Model, c.replica); bounded && (out.FirstByte == 0 || wait < out.FirstByte) {
		out.FirstByte = wait
	}
	if !pr.worthFetching() {
		return out
	}
	out.Why, out.ImportFrom, out.ClaimedTokens = c.source.why, c.source.importFrom, c.source.held
	keys := pr.keysFor(out.Weights)
	if s := p.kvStores.storeOf(keys[len(keys)-1]); s != nil && pr.own <= pr.shared && !s.holds(keys[len(keys)-1]) {
		// The store receives the whole prompt, including the tokens that no other
		// request shares. They occupy the store's link and memory and evict shared
		// segments before these are used again, so prompts that are mostly unshared are
		// not saved.
		out.ExportTo = s.Address
	}
	return out
}
