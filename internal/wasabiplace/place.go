package wasabiplace

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
)

// randomCandidates is how many servers of a large pool are weighed at random.
const randomCandidates = 2

// Reasons of a placement, as the time line shows them.
const (
	WhyHolder = "holder"
	WhyHome   = "home"
	WhyHeir   = "heir"
	WhySpill  = "spill"
	WhyLoad   = "load"
)

// candidate is a server that is being weighed.
type candidate struct {
	member int32
	// tokens is the expected number of cached tokens, firm the number of
	// blocks that are rather cached than not.
	tokens float64
	firm   int
	// shown is how many of them the server has shown to hold.
	shown int
	mark  int
	heir  bool
	spill bool
	// spread says that the server is to get a further copy now.
	spread bool
	pull   float64
	score  float64
	wait   float64
}

// Placer implements wasabiridge.Placer. See the package comment.
type Placer struct {
	opts       Options
	random     *rand.Rand
	picture    *wasabicache.Picture
	tables     map[wasabiridge.PoolID]*table
	loads      []load
	attempts   map[wasabiridge.AttemptID]attempt
	homeTrust  [maxMarks]float64
	heirTrust  float64
	spillTrust float64
	round      uint64
	// held is the most blocks of the chain that any server holds, firm the
	// most that any candidate holds or is computing, shown the most that any
	// candidate has shown to hold.
	held       int
	firm       int
	shown      int
	candidates []candidate
	markBuffer []mark
}

var _ wasabiridge.Placer = (*Placer)(nil)

// New returns a Placer that knows nothing yet.
func New(o Options) *Placer {
	o = o.withDefaults()
	p := &Placer{
		opts:     o,
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
		picture:  wasabicache.New(o.Cache),
		tables:   make(map[wasabiridge.PoolID]*table),
		attempts: make(map[wasabiridge.AttemptID]attempt),
	}
	p.heirTrust, p.spillTrust = firstHeirTrust, firstSpillTrust
	for i := range p.homeTrust {
		p.homeTrust[i] = firstHomeTrust
	}
	return p
}

// server returns the number of a server and makes room for its load.
func (p *Placer) server(id wasabiridge.BackendServerID) wasabicache.ServerIndex {
	s := p.picture.Server(id)
	for len(p.loads) <= int(s) {
		p.loads = append(p.loads, load{})
	}
	return s
}

// Place chooses a server of the pool. It reports false when none is eligible.
func (p *Placer) Place(now wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	t := p.table(q.Pool)
	p.round++
	p.candidates = p.candidates[:0]
	if q.Isolate != 0 {
		return p.isolate(now, t, q)
	}
	p.gather(now, t, q)
	best := p.choose(now, t, q)
	if best < 0 {
		return wasabiridge.Placement{}, false
	}
	return p.placement(now, t, q.Request, p.candidates[best]), true
}

// isolate places a request where all instances send it.
func (p *Placer) isolate(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	p.held, p.firm, p.shown = 0, 0, 0
	p.considerAll(now, t, q)
	if len(p.candidates) == 0 {
		return wasabiridge.Placement{}, false
	}
	value := func(c candidate) uint64 { return wasabiquarantine.Isolation(q.Isolate, t.members[c.member].backend.ID) }
	best := slices.MaxFunc(p.candidates, func(a, b candidate) int { return cmp.Compare(value(a), value(b)) })
	p.score(now, t, q.Request, &best)
	return p.placement(now, t, q.Request, best), true
}

// gather collects the candidates of a decision.
func (p *Placer) gather(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery) {
	chain := q.Request.Chain
	p.held, p.firm, p.shown = 0, 0, 0
	for _, hit := range p.picture.Hits(now, chain) {
		if i := t.position(hit.Server); i >= 0 {
			p.held = max(p.held, hit.Firm)
			if c := p.consider(now, t, q, i); c != nil {
				c.tokens, c.firm, c.shown = hit.Tokens, hit.Firm, hit.Shown
				p.firm = max(p.firm, hit.Firm)
				p.shown = max(p.shown, hit.Shown)
			}
		}
	}
	for _, m := range p.marks(now, t, chain) {
		p.considerHomes(now, t, q, m)
	}
	p.considerSpill(now, t, q)
	p.preferHeir(t, chain)
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

// considerHomes adds the homes of a marked level. Homes that are not eligible
// are passed over, so their successors stand in for them.
func (p *Placer) considerHomes(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery, m mark) {
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
			c.tokens, c.mark = tokens, m.index
		}
	}
}

// consider makes a member a candidate unless it is one. It returns nil when
// the member is not eligible.
func (p *Placer) consider(now wasabiridge.Millis, t *table, q wasabiridge.PlaceQuery, i int32) *candidate {
	m := &t.members[i]
	if m.round == p.round {
		return &p.candidates[m.candidate]
	}
	if !p.eligible(now, m, q) {
		return nil
	}
	m.round, m.candidate = p.round, int32(len(p.candidates))
	p.candidates = append(p.candidates, candidate{member: i, mark: -1})
	return &p.candidates[m.candidate]
}

func (p *Placer) eligible(now wasabiridge.Millis, m *member, q wasabiridge.PlaceQuery) bool {
	l := &p.loads[m.server]
	if l.leaving || l.isLost(now, p.opts.LostRetry) {
		return false
	}
	// An engine that still serves older weights than the rule asks for would
	// answer with them.
	if w := p.picture.Weights(m.server); w != 0 && w < q.Request.Action.Weights {
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
		Incarnation:   p.picture.Incarnation(m.server),
		ClaimedTokens: p.claim(m.server, c) * r.Chain.BlockTokens,
		HeldTokens:    p.held * r.Chain.BlockTokens,
		ExpectedWait:  wasabiridge.Millis(c.wait + 0.5),
		Why:           WhyLoad,
	}
	switch {
	case c.spill:
		out.Why = WhySpill
	case c.heir:
		out.Why = WhyHeir
	case c.firm > 0:
		out.Why = WhyHolder
	case c.mark >= 0:
		out.Why = WhyHome
	}
	out.Join = p.join(now, m.server, r.Chain)
	return out
}

// join returns the time until which a request is held back because its prefix
// is being computed, or zero.
func (p *Placer) join(now wasabiridge.Millis, s wasabicache.ServerIndex, c wasabiridge.Chain) wasabiridge.Millis {
	if p.opts.JoinLimit <= 0 || len(c.Blocks) == 0 {
		return 0
	}
	ready := p.computing(s, c)
	if ready <= now {
		return 0
	}
	return min(ready, now+p.opts.JoinLimit)
}

// claim is the number of blocks that are claimed to the server. Nothing is
// claimed to a server whose incarnation is not known, because nobody could
// tell whether the claim is about an earlier one.
func (p *Placer) claim(s wasabicache.ServerIndex, c candidate) int {
	if p.picture.Incarnation(s) == 0 {
		return 0
	}
	return c.shown
}
