package wasabiplace

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
)

// randomCandidates is the number of random candidates in a large pool.
const randomCandidates = 2

// Reasons for a placement, as shown on the timeline: the server holds part of
// the prefix; is a home of one of its levels; is the preferred one of the
// servers that hold the most of it; gets an additional copy of a level whose
// holders are busy; or had the best score without any of these.
const (
	WhyHolder    = "holder"
	WhyHome      = "home"
	WhyPreferred = "heir"
	WhyReplicate = "spill"
	WhyLoad      = "load"
)

// candidate is a server under consideration for a placement.
type candidate struct {
	member int32
	// tokens is the expected number of cached tokens. likely is the number of
	// leading blocks that are more likely cached than not, including those in
	// computation.
	tokens float64
	likely int
	// confirmed is how many of the likely blocks the server has shown to hold.
	confirmed int
	homeLevel int
	preferred bool
	spill     bool
	// addCopy selects the server outright, to give it an additional copy of a
	// hot level.
	addCopy bool
	bonus   float64
	score   float64
	wait    float64
}

// Placer implements wasabiridge.Placer. See the package documentation.
type Placer struct {
	opts             Options
	random           *rand.Rand
	caches           *wasabicache.Index
	tables           map[wasabiridge.PoolID]*table
	loads            []load
	attempts         map[wasabiridge.AttemptID]attempt
	homeHitRate      [maxHomeLevels]float64
	preferredHitRate float64
	spillHitRate     float64
	round            uint64
	// Of the current decision: held is the maximum number of leading blocks
	// that any server holds or is computing; likely and confirmed are the
	// maxima over the candidates.
	held        int
	likely      int
	confirmed   int
	candidates  []candidate
	levelBuffer []homeLevel
}

var _ wasabiridge.Placer = (*Placer)(nil)

// New returns a Placer without any knowledge of loads and caches.
func New(o Options) *Placer {
	o = o.withDefaults()
	p := &Placer{
		opts:     o,
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
		caches:   wasabicache.New(o.Cache),
		tables:   make(map[wasabiridge.PoolID]*table),
		attempts: make(map[wasabiridge.AttemptID]attempt),
	}
	p.preferredHitRate, p.spillHitRate = initialPreferredHitRate, initialSpillHitRate
	for i := range p.homeHitRate {
		p.homeHitRate[i] = initialHomeHitRate
	}
	return p
}

// server returns the index of a server and allocates its load state.
func (p *Placer) server(id wasabiridge.BackendServerID) wasabicache.ServerIndex {
	s := p.caches.Server(id)
	for len(p.loads) <= int(s) {
		p.loads = append(p.loads, load{})
	}
	return s
}

// Place chooses a server of the pool. It reports false if no server is
// eligible.
func (p *Placer) Place(now wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	t := p.table(q.Pool)
	p.round++
	p.candidates = p.candidates[:0]
	if q.IsolationKey != 0 {
		return p.isolate(now, t, q)
	}
	p.gather(now, t, q)
	best := p.choose(now, t, q)
	if best < 0 {
		return wasabiridge.Placement{}, false
	}
	return p.placement(now, t, q.Request, p.candidates[best]), true
}

// isolate places a request on the server that all instances choose for it by
// rendezvous hashing, so that a suspect request runs on one server only.
func (p *Placer) isolate(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	p.held, p.likely, p.confirmed = 0, 0, 0
	p.considerAll(now, t, q)
	if len(p.candidates) == 0 {
		return wasabiridge.Placement{}, false
	}
	value := func(c candidate) uint64 {
		return wasabiquarantine.IsolationRank(q.IsolationKey, t.members[c.member].backend.ID)
	}
	best := slices.MaxFunc(p.candidates, func(a, b candidate) int { return cmp.Compare(value(a), value(b)) })
	p.score(now, t, q.Request, &best)
	return p.placement(now, t, q.Request, best), true
}

// gather collects the candidates of a decision.
func (p *Placer) gather(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery) {
	chain := q.Request.Chain
	p.held, p.likely, p.confirmed = 0, 0, 0
	for _, hit := range p.caches.Hits(now, chain) {
		if i := t.position(hit.Server); i >= 0 {
			p.held = max(p.held, hit.LikelyDepth)
			if c := p.consider(now, t, q, i); c != nil {
				c.tokens, c.likely, c.confirmed = hit.Tokens, hit.LikelyDepth, hit.ConfirmedDepth
				p.likely = max(p.likely, hit.LikelyDepth)
				p.confirmed = max(p.confirmed, hit.ConfirmedDepth)
			}
		}
	}
	for _, m := range p.homeLevels(now, t, chain) {
		p.considerHomes(now, t, q, m)
	}
	p.considerSpill(now, t, q)
	p.preferHolder(t, chain)
	if len(t.members) <= p.opts.SmallPool {
		p.considerAll(now, t, q)
		return
	}
	for range randomCandidates {
		p.consider(now, t, q, int32(p.random.IntN(len(t.members))))
	}
	if len(p.candidates) == 0 {
		p.considerAll(now, t, q)
	}
}

func (p *Placer) considerAll(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery) {
	for i := range t.members {
		p.consider(now, t, q, int32(i))
	}
}

// considerHomes adds the homes of a level. Homes that are not eligible are
// skipped, and the next servers in rendezvous order replace them.
func (p *Placer) considerHomes(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery, m homeLevel) {
	left := m.homes
	for _, i := range t.homesOf(q.Request.Chain.Blocks[m.depth-1]) {
		if i < 0 || left == 0 {
			return
		}
		c := p.consider(now, t, q, i)
		if c == nil {
			continue
		}
		left--
		tokens := p.homeTokens(now, m, t.members[i].server, q.Request.Chain.BlockTokens)
		if tokens > c.tokens {
			c.tokens, c.homeLevel = tokens, m.index
		}
	}
}

// consider returns the candidate of a member and adds it if necessary. It
// returns nil if the member is not eligible.
func (p *Placer) consider(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery, i int32) *candidate {
	m := &t.members[i]
	if m.round == p.round {
		return &p.candidates[m.candidate]
	}
	if !p.eligible(now, m, q) {
		return nil
	}
	m.round, m.candidate = p.round, int32(len(p.candidates))
	p.candidates = append(p.candidates, candidate{member: i, homeLevel: -1})
	return &p.candidates[m.candidate]
}

func (p *Placer) eligible(now wasabiridge.Millis, m *member, q wasabiridge.PlaceQuery) bool {
	l := &p.loads[m.server]
	if !q.CanContinue(m.backend) {
		return false
	}
	if l.leaving || now < l.refusedUntil || l.isLost(now, p.opts.LostRetryInterval) {
		return false
	}
	// An engine with older weights than the rule requires would answer with
	// them.
	if w := p.caches.Weights(m.server); w != 0 && w < q.Request.Action.Weights {
		return false
	}
	for _, id := range q.Excluded {
		if id == m.backend.ID {
			return false
		}
	}
	return true
}

func (p *Placer) placement(now wasabiridge.Millis, t *table, r wasabiridge.Request, c candidate) wasabiridge.Placement {
	m := &t.members[c.member]
	out := wasabiridge.Placement{
		Backend:       m.backend,
		Incarnation:   p.caches.Incarnation(m.server),
		ClaimedTokens: p.claim(m.server, c) * r.Chain.BlockTokens,
		HeldTokens:    p.held * r.Chain.BlockTokens,
		ExpectedWait:  wasabiridge.Millis(c.wait + 0.5),
		Why:           WhyLoad,
	}
	switch {
	case c.spill:
		out.Why = WhyReplicate
	case c.preferred:
		out.Why = WhyPreferred
	case c.likely > 0:
		out.Why = WhyHolder
	case c.homeLevel >= 0:
		out.Why = WhyHome
	}
	out.WaitUntil = p.join(now, m.server, r.Chain)
	return out
}

// join returns the time until which the request should be held back because its
// prefix is being computed, or zero.
func (p *Placer) join(now wasabiridge.Millis, s wasabicache.ServerIndex, c wasabiridge.Chain) wasabiridge.Millis {
	if p.opts.MaxPrefixWait <= 0 || len(c.Blocks) == 0 {
		return 0
	}
	ready := p.computing(s, c)
	if ready <= now {
		return 0
	}
	return min(ready, now+p.opts.MaxPrefixWait)
}

// claim returns the number of leading blocks that the placement claims to be
// cached. It is zero for a server whose incarnation is unknown, because the
// claim could then refer to an earlier incarnation.
func (p *Placer) claim(s wasabicache.ServerIndex, c candidate) int {
	if p.caches.Incarnation(s) == 0 {
		return 0
	}
	return c.confirmed
}
