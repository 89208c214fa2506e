// Package wasabireplica chooses the replica for each request and decides
// whether a request may go at all, for prompts that callers cut into parts of
// their own.
//
// # Score
//
// All replicas of the pool that may serve are weighed. The score of a replica,
// in milliseconds, is the work that waits there, the time to compute the parts
// of the prompt that it is not believed to hold, the distance, and what is
// learned of its faults. The lowest score wins.
//
// # What a replica holds
//
// The first part of a prompt has homes: the replicas with the highest
// rendezvous weights for it. Every instance knows the same homes without a
// message, so requests that share a part meet at one replica, whichever
// instance they come through. What this instance sent lately is known better.
//
// A store of kept KV cache, where there is one that can be reached, is named
// with every long prompt: a replica fetches from it what it does not hold
// itself, which takes a third of the time to compute it.
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
)

// Defaults of Options, and weights of the score.
const (
	// tokensPerMilli is how many prompt tokens an engine computes in a
	// millisecond: 157, by the data sheet of today's engines.
	tokensPerMilli = 157.0
	// fetchShare is the time to fetch a token from the store of kept cache, as
	// a part of the time to compute it: 18 KB over a 54 Gbit/s link against
	// 1/157 ms.
	fetchShare = 0.4
	// keepLeast is the length from which parts are worth keeping outside an
	// engine. Shorter ones are computed sooner than a transfer is set up.
	keepLeast = 1024
	// homeTrust is the chance that the first home of a part holds it, sentTrust
	// that a replica does to which this instance sent the part within sentLife.
	homeTrust = 0.7
	sentTrust = 0.9
	sentLife  = 10 * wasabiridge.Second
	// otherZone is the surcharge for a replica of another zone: the way there
	// and back, and what bytes between zones cost.
	otherZone = 3.0
	// oldWeights is the surcharge for weights that were replaced longer ago
	// than oldGrace, within which answers are worth as much as new ones.
	oldWeights = 90.0
	oldGrace   = wasabiridge.Second
	// waitingCost is the time that a request waiting inside a replica adds,
	// runningCost that of a running one.
	waitingCost = 8.0
	runningCost = 0.5
	// fullCost is the surcharge for each request beyond the replica's slots.
	fullCost = 25.0
	// near is the difference in score that counts as none.
	near = 1.0
	// savedMost bounds the remembered parts.
	savedMost = 16384
)

// Options holds the knobs of a Placer. The zero value works.
type Options struct {
	// Seed starts the source that decides between nearly equal scores.
	Seed uint64
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
	// named are the versions that operators want, the newest last. Those that
	// every replica has reached are dropped.
	named    map[wasabiridge.ModelID][]naming
	attempts map[wasabiridge.AttemptID]sending
	kept     []wasabiridge.KeptCache
	keptUp   map[string]bool
	saved    map[partKey]bool
	// instances is how many share the replicas.
	instances int
}

// naming is a version of a model that operators want, and since when.
type naming struct {
	weights wasabiridge.WeightsVersion
	at      wasabiridge.Millis
}

// namedMost bounds the remembered versions of one model.
const namedMost = 64

// name notes a version.
func (p *Placer) name(m wasabiridge.ModelID, n naming) {
	list := p.named[m]
	if len(list) > 0 && n.weights <= list[len(list)-1].weights {
		return
	}
	if len(list) == namedMost {
		list = list[1:]
	}
	p.named[m] = append(list, n)
}

// overdue returns how long ago the first version was named that is newer than
// the given one. It reports false when that is the newest.
func (p *Placer) overdue(now wasabiridge.Millis, m wasabiridge.ModelID, v wasabiridge.WeightsVersion) (wasabiridge.Millis, bool) {
	for _, n := range p.named[m] {
		if n.weights > v {
			return now - n.at, true
		}
	}
	return 0, false
}

// sending is an attempt that has not ended.
type sending struct {
	request wasabiridge.RequestID
	replica *replica
	pool    wasabiridge.PoolID
	sent    wasabiridge.Millis
	work    float64
	first   bool
}

// partKey names a part of a prompt in a cache.
type partKey struct {
	root wasabiridge.CacheRoot
	part wasabiridge.BlockHash
}

var _ wasabiridge.Placer = (*Placer)(nil)

// New returns a Placer that knows nothing yet.
func New(o Options) *Placer {
	return &Placer{
		options:   o.withDefaults(),
		random:    rand.New(rand.NewPCG(o.Seed, 0)),
		replicas:  map[wasabiridge.BackendServerID]*replica{},
		pools:     map[wasabiridge.PoolID]*pool{},
		named:     map[wasabiridge.ModelID][]naming{},
		attempts:  map[wasabiridge.AttemptID]sending{},
		keptUp:    map[string]bool{},
		saved:     map[partKey]bool{},
		instances: 1,
	}
}

// Place chooses a replica of the pool. It reports false when none may serve.
func (p *Placer) Place(now wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	pl := p.pools[q.Pool.ID]
	if pl == nil {
		return wasabiridge.Placement{}, false
	}
	prompt := p.promptOf(q.Request)
	homes := pl.homesOf(prompt.home)
	var best *replica
	bestScore, count := 0.0, 0
	homeRank := 0
	for _, r := range homes {
		if !p.eligible(now, r, q) {
			continue
		}
		score := p.score(now, pl, r, prompt, homeRank)
		homeRank++
		switch {
		case best == nil || score < bestScore-near:
			best, bestScore, count = r, score, 1
		case score <= bestScore+near:
			count++
			if p.random.IntN(count) == 0 {
				best, bestScore = r, min(score, bestScore)
			}
		}
	}
	if best == nil {
		return wasabiridge.Placement{}, false
	}
	return p.placement(now, pl, best, q.Request, prompt, bestScore), true
}

// eligible reports whether a replica may get the request now.
func (p *Placer) eligible(now wasabiridge.Millis, r *replica, q wasabiridge.PlaceQuery) bool {
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
	if q.Weights != 0 {
		return serves == q.Weights
	}
	age, older := p.overdue(now, model, serves)
	return !older || serves == 0 || age < p.options.WeightsBound
}

// prompt is what the score needs to know of a request's prompt.
type prompt struct {
	root wasabiridge.CacheRoot
	// home is the part by which homes are chosen.
	home uint64
	// shared counts the tokens of the parts that other requests have too, own
	// those of the rest.
	shared, own int
	parts       []wasabiridge.BlockHash
	engine      bool
}

func (p *Placer) promptOf(r wasabiridge.Request) prompt {
	c := r.Chain
	out := prompt{root: c.Root, own: c.Tokens, parts: c.Blocks, engine: r.Model != ""}
	if len(c.Blocks) < 2 {
		return out
	}
	// The last part belongs to the request or its session.
	for i := range len(c.Blocks) - 1 {
		out.shared += c.BlockLength(i)
	}
	out.own = max(0, c.Tokens-out.shared)
	out.home = uint64(c.Blocks[0])
	return out
}

// score is the expected cost of a replica in milliseconds.
func (p *Placer) score(now wasabiridge.Millis, pl *pool, r *replica, pr prompt, homeRank int) float64 {
	score := r.queue(now, p.instances) + r.faults(pl)
	if p.options.Zone != "" && r.server.Zone != p.options.Zone {
		score += otherZone
	}
	if !pr.engine {
		return score
	}
	missing := float64(pr.shared) * (1 - p.trust(now, r, pr, homeRank))
	score += missing / tokensPerMilli
	if age, older := p.overdue(now, pr.root.Model, r.weights[pr.root.Model]); older && age > oldGrace {
		score += oldWeights
	}
	return score
}

// trust is the chance that a replica holds the shared parts of a prompt.
func (p *Placer) trust(now wasabiridge.Millis, r *replica, pr prompt, homeRank int) float64 {
	if pr.shared == 0 {
		return 0
	}
	root := pr.root
	root.Weights = r.weights[root.Model]
	if at, ok := r.sent[partKey{root, pr.parts[0]}]; ok && now-at < sentLife {
		return sentTrust
	}
	if homeRank == 0 && pr.shared >= keepLeast {
		return homeTrust
	}
	return 0
}

func (p *Placer) placement(now wasabiridge.Millis, pl *pool, r *replica, q wasabiridge.Request, pr prompt, score float64) wasabiridge.Placement {
	out := wasabiridge.Placement{Backend: r.server, ExpectedWait: wasabiridge.Millis(score), Why: "load"}
	if pr.shared >= keepLeast {
		out.Why = "home"
	}
	if q.Action.Retry && len(pl.replicas) > 1 {
		out.FirstByte = silenceOf(q)
	}
	if !pr.engine {
		return out
	}
	out.Weights = r.weights[q.Model]
	if pr.shared < keepLeast {
		return out
	}
	root := pr.root
	root.Weights = out.Weights
	for _, k := range p.kept {
		if !p.keptUp[k.Address] {
			continue
		}
		out.FetchFrom = k.Address
		if !p.saved[partKey{root, pr.parts[0]}] {
			out.SaveTo = k.Address
		}
		break
	}
	return out
}

// Sent tells that an attempt goes to the placement's replica.
func (p *Placer) Sent(now wasabiridge.Millis, r wasabiridge.Request, id wasabiridge.AttemptID, pl wasabiridge.Placement) {
	rep := p.replicas[pl.Backend.ID]
	if rep == nil {
		return
	}
	pr := p.promptOf(r)
	work := 1.0
	if pr.engine {
		work = float64(pr.own) / tokensPerMilli
		root := pr.root
		root.Weights = pl.Weights
		if pr.shared > 0 {
			key := partKey{root, pr.parts[0]}
			if at, ok := rep.sent[key]; !ok || now-at > sentLife {
				work += float64(pr.shared) / tokensPerMilli * fetchShare
			}
			rep.remember(now, key)
			if pl.SaveTo != "" {
				p.remember(key)
			}
		}
	}
	rep.inside++
	rep.work += work
	p.attempts[id] = sending{request: r.ID, replica: rep, pool: r.Action.Pool, sent: now, work: work}
}

// remember notes that a part was saved.
func (p *Placer) remember(k partKey) {
	if len(p.saved) >= savedMost {
		clear(p.saved)
	}
	p.saved[k] = true
}
