// Package wasabireplica chooses the replica for each request and decides
// whether a request may go at all, for prompts that callers cut into parts of
// their own.
//
// # Score
//
// All replicas of the pool that may serve are weighed by what a request is
// expected to lose there, as a part of what a whole answer in time is worth:
// the chance that its first byte comes late, by the work that waits, the parts
// of the prompt that are missing, and what is learned of the replica; the
// surcharge for older weights; tokens that are computed again; and the time
// that it takes from the requests behind it. The lowest loss wins.
//
// # What a replica holds
//
// Instances tell each other which parts they sent where, so each has a picture
// of what every replica holds: the parts that were sent there, less those that
// have had to yield since. A part that a replica does not hold is fetched from
// one that does, or from a store of kept KV cache, in a fraction of the time to
// compute it. Computing a part again that some replica has read, or is reading,
// is the last resort.
//
// # Weights
//
// Until the bound by which new weights must serve, replicas on older ones are
// weighed with a surcharge that stands for what their answers are worth less.
// From shortly before the bound they are not used.
//
// # Replicas that fail
//
// A replica that cannot be reached, or does not answer, is left alone for a
// while that doubles; then one request tries it again. Others show by how
// often and how slowly they answer, compared with the rest of their pool.
//
// # Usage
//
//	placer := wasabireplica.New(wasabireplica.Options{Seed: 1, Zone: "san-fernando"})
//	limiter := wasabireplica.NewLimiter(placer)
//	core := wasabicore.New(wasabicore.Options{Placer: placer, Limiter: limiter})
//
// Placer and Limiter are deterministic for a seed and not safe for concurrent
// use.
package wasabireplica

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibudget"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabirate"
)

// Options holds the knobs of a Placer. The zero value works.
type Options struct {
	// Seed starts the source that decides between nearly equal scores.
	Seed uint64
	// Self names this instance among those that callers are sent to.
	Self wasabiridge.InstanceID
	// Zone is the availability zone of this instance. Empty means that all
	// replicas are equally far.
	Zone wasabiridge.AvailabilityZone
	// WeightsBound is how long after new weights were named older ones may
	// serve. Zero means 10 s.
	WeightsBound wasabiridge.Millis
	// RetryRatio, RetrySlack and RetryWindow are the budget of further
	// attempts that all instances share: within a window, RetryRatio of the
	// requests and RetrySlack more. Zero means 0.1, 10 and 10 s.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow wasabiridge.Millis
}

func (o Options) withDefaults() Options {
	if o.WeightsBound == 0 {
		o.WeightsBound = 10 * wasabiridge.Second
	}
	if o.RetryRatio == 0 {
		o.RetryRatio = 0.1
	}
	if o.RetrySlack == 0 {
		o.RetrySlack = 10
	}
	if o.RetryWindow == 0 {
		o.RetryWindow = 10 * wasabiridge.Second
	}
	return o
}

// Placer implements wasabiridge.Placer. See the package comment.
type Placer struct {
	options  Options
	random   *rand.Rand
	replicas map[wasabiridge.BackendServerID]*replica
	pools    map[wasabiridge.PoolID]*pool
	named    namings
	attempts map[wasabiridge.AttemptID]sending
	kept     keptCaches
	news     news
	// born is when the process began. Sharers are the instances that share the retry
	// budget, budgets what this one may spend of it by pool.
	born    wasabiridge.Millis
	sharers *wasabibudget.Sharers
	budgets map[wasabiridge.PoolID]*wasabibudget.Budget
	// serving are the instances that share the rates of servers in need.
	serving *wasabirate.Group
}

var _ wasabiridge.Placer = (*Placer)(nil)

// New returns a Placer that knows nothing yet.
func New(o Options) *Placer {
	return &Placer{
		options:  o.withDefaults(),
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
		replicas: map[wasabiridge.BackendServerID]*replica{},
		pools:    map[wasabiridge.PoolID]*pool{},
		named:    namings{},
		attempts: map[wasabiridge.AttemptID]sending{},
		kept:     newKeptCaches(),
		budgets:  map[wasabiridge.PoolID]*wasabibudget.Budget{},
		serving:  wasabirate.NewGroup(o.Self),
	}
}

// Place chooses a replica of the pool. It reports false when none may serve.
func (p *Placer) Place(now wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	pl := p.pools[q.Pool.ID]
	if pl == nil {
		return wasabiridge.Placement{}, false
	}
	q.Request = pl.asServed(q.Request)
	pr := pl.promptOf(q.Request)
	var best choice
	found, count := false, 0
	for _, r := range pl.replicas {
		if !p.eligible(now, r, q) {
			continue
		}
		c := p.weigh(now, pl, r, &pr, q.Request.Action.FirstByteTarget)
		if !p.beginsInTime(now, &pr, c) {
			continue
		}
		switch {
		case q.Isolate != 0:
			if !found || wasabiquarantine.Isolation(q.Isolate, r.server.ID) > wasabiquarantine.Isolation(q.Isolate, best.replica.server.ID) {
				best, found = c, true
			}
		case !found || c.score < best.score-near:
			best, found, count = c, true, 1
		case c.score <= best.score+near:
			count++
			if p.random.IntN(count) == 0 {
				best = c
			}
		}
	}
	if !found {
		return wasabiridge.Placement{Never: p.isOver(now, pl, q)}, false
	}
	return p.placement(now, pl, best, q.Request, &pr), true
}

// choice is a replica that was weighed.
type choice struct {
	replica *replica
	// score is the expected loss, expected the time to the first byte.
	score    float64
	expected float64
	source   source
}

// eligible reports whether a replica may get the request now.
func (p *Placer) eligible(now wasabiridge.Millis, r *replica, q wasabiridge.PlaceQuery) bool {
	return p.mayGet(now, r, q) && p.limitWait(now, r) == 0
}

// mayGet reports whether a replica may get the request as soon as its own limit allows.
func (p *Placer) mayGet(now wasabiridge.Millis, r *replica, q wasabiridge.PlaceQuery) bool {
	if r.gone || now < r.restUntil || !r.mayTry(now) {
		return false
	}
	for _, id := range q.Excluded {
		if id == r.server.ID {
			return false
		}
	}
	model := q.Request.Model
	if model == "" {
		return true
	}
	serves := r.weights[model]
	if q.Weights != 0 && serves != q.Weights {
		return false
	}
	// A replica whose weights are not known yet could answer from any, and
	// from what any left in its cache.
	return serves != 0 && p.mayServe(now, model, serves)
}

// weigh works out what a request is expected to lose at a replica.
func (p *Placer) weigh(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt, target wasabiridge.Millis) choice {
	c := choice{replica: r}
	wait := r.queue(now, pr, pl.stay) + r.faults(pl)
	if !pr.engine {
		c.score = lateLoss(wait+pl.delay, target)
	} else {
		c.source = p.sourceOf(now, pl, r, pr)
		c.expected = wait + c.source.cost + pr.costs.Fixed()
		c.score = lateLoss(c.expected, target) + againLoss*float64(c.source.again) + copyLoss*float64(c.source.copied) + workLoss*c.source.work
		if age, older := p.named.overdue(now, pr.root.Model, r.weights[pr.root.Model]); older && age > oldGrace {
			c.score += oldLoss
		}
	}
	if now < r.easeUntil && pl.isHeavy(pr) {
		c.score += easeLoss
	}
	if p.options.Zone != "" && r.server.Zone != p.options.Zone {
		c.score += zoneLoss
	}
	c.score += waitLoss * wait
	return c
}

func (p *Placer) placement(now wasabiridge.Millis, pl *pool, c choice, q wasabiridge.Request, pr *prompt) wasabiridge.Placement {
	out := wasabiridge.Placement{Backend: c.replica.server, ExpectedWait: wasabiridge.Millis(c.expected), Why: WhyLoad}
	if q.Action.Retry && len(pl.replicas) > 1 {
		out.FirstByte = silenceOf(q, c.expected)
	}
	if !pr.engine {
		return out
	}
	out.Weights = c.replica.weights[q.Model]
	if wait, bounded := p.beginBy(now, q.Model, c.replica); bounded && (out.FirstByte == 0 || wait < out.FirstByte) {
		out.FirstByte = wait
	}
	if !pr.isTracked() {
		return out
	}
	out.Why, out.FetchFrom, out.ClaimedTokens = c.source.why, c.source.fetchFrom, c.source.held
	keys := pr.keysFor(out.Weights)
	if s := p.kept.storeOf(keys[len(keys)-1]); s != nil && pr.own <= pr.shared && !s.holds(keys[len(keys)-1]) {
		// All that is read goes to the store, also what nobody asks for again. It
		// takes up the store's link and memory, and other parts yield to it sooner
		// than they are used again, so prompts that are mostly their own stay out.
		out.SaveTo = s.Address
	}
	return out
}
