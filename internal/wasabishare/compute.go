package wasabishare

import (
	"cmp"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// named is what other instances say about an account.
type named struct {
	account uint32
	demand  float64
	// instances is the number of instances that name it.
	instances float64
}

// elsewhere is the demand of one rank at the other instances.
type elsewhere struct {
	offered, admitted float64
	// accounts are those that some instance names, ordered by account.
	accounts []named
	// rest is the demand of accounts that are not named, and unnamed the number of
	// instances that have some.
	rest, unnamed float64
	// smallest is the mean, over these instances, of the smallest demand that they name.
	// An account that an instance does not name asks there for no more.
	smallest float64
}

// elsewhere sums up what the other instances announced for a rank.
func (p *pool) elsewhere(priority wasabiridge.Priority) elsewhere {
	var e elsewhere
	for _, peer := range p.peers {
		for _, d := range peer.ranks {
			if d.Priority == priority {
				e.add(d)
			}
		}
	}
	if e.unnamed > 0 {
		e.smallest /= e.unnamed
	}
	slices.SortStableFunc(e.accounts, func(a, b named) int { return cmp.Compare(a.account, b.account) })
	merged := e.accounts[:0]
	for _, a := range e.accounts {
		if n := len(merged); n > 0 && merged[n-1].account == a.account {
			merged[n-1].demand, merged[n-1].instances = merged[n-1].demand+a.demand, merged[n-1].instances+1
			continue
		}
		merged = append(merged, a)
	}
	e.accounts = merged
	return e
}

func (e *elsewhere) add(d wasabiridge.DemandUpdate) {
	e.offered, e.admitted = e.offered+float64(d.Offered), e.admitted+float64(min(d.Admitted, d.Offered))
	rest := float64(d.Offered)
	smallest := rest
	for _, a := range d.Accounts {
		e.accounts = append(e.accounts, named{account: a.Account, demand: float64(a.Offered), instances: 1})
		rest -= float64(a.Offered)
		smallest = min(smallest, float64(a.Offered))
	}
	// Announced figures are rounded up, so that a small rest is none.
	if rest > float64(len(d.Accounts)) {
		e.rest, e.unnamed, e.smallest = e.rest+rest, e.unnamed+1, e.smallest+smallest
	}
}

func (e *elsewhere) find(account uint32) (int, bool) {
	return slices.BinarySearchFunc(e.accounts, account, func(a named, id uint32) int { return cmp.Compare(a.account, id) })
}

// compute brings the shares up to date. Copies is the number of instances whose demand is
// not known and taken to be the mean of that which is.
func (l *Limiter) compute(now wasabiridge.Millis, p *pool, copies int) {
	p.computedAt = now
	capacity := float64(l.options.Gauge.Capacity(now, p.id))
	p.capacity = capacity * p.correction.factor
	p.known, p.oldest = len(p.peers)+1, 0
	for _, d := range p.peers {
		p.oldest = max(p.oldest, now-d.at)
	}
	p.measure(now, l.startedAt)
	p.ranks = p.ranks[:0]
	for _, priority := range p.priorities() {
		p.ranks = append(p.ranks, rank{priority: priority})
	}
	demand := 0.0
	for i := range p.ranks {
		e := p.elsewhere(p.ranks[i].priority)
		l.sumUp(now, p, &p.ranks[i], e, 1+float64(copies)/float64(p.known))
		demand += p.ranks[i].offered
	}
	p.pressure = 0
	if capacity > 0 {
		p.pressure = demand / capacity
	}
	allocate(p.ranks, p.capacity)
	for i := range p.ranks {
		l.setLevel(now, p, &p.ranks[i])
	}
}

// measure updates the own demand of all flows.
func (p *pool) measure(now, since wasabiridge.Millis) {
	for _, f := range p.ordered {
		f.own = f.offered.perSecond(now, since)
	}
	for _, f := range p.others {
		f.own = f.offered.perSecond(now, since)
	}
}

// priorities returns the priorities of all known demand, the most urgent first.
func (p *pool) priorities() []wasabiridge.Priority {
	var out []wasabiridge.Priority
	add := func(priority wasabiridge.Priority) {
		if !slices.Contains(out, priority) {
			out = append(out, priority)
		}
	}
	for _, f := range p.ordered {
		add(f.key.priority)
	}
	for _, f := range p.others {
		add(f.key.priority)
	}
	for _, peer := range p.peers {
		for _, d := range peer.ranks {
			add(d.Priority)
		}
	}
	slices.SortFunc(out, func(a, b wasabiridge.Priority) int { return cmp.Compare(b, a) })
	return out
}

// sumUp sets what is offered and admitted in a rank, and the demand of each account
// everywhere.
func (l *Limiter) sumUp(now wasabiridge.Millis, p *pool, r *rank, e elsewhere, copied float64) {
	own, admitted, estimated := 0.0, 0.0, 0.0
	l.isKnown = slices.Grow(l.isKnown[:0], len(e.accounts))[:len(e.accounts)]
	clear(l.isKnown)
	for _, f := range p.ordered {
		if f.key.priority != r.priority {
			continue
		}
		own, admitted = own+f.own, admitted+f.admitted.perSecond(now, l.startedAt)
		f.named, f.unnamed = 0, e.unnamed
		if i, ok := e.find(f.digest); ok {
			l.isKnown[i] = true
			f.named, f.unnamed = e.accounts[i].demand, max(0, e.unnamed-e.accounts[i].instances)
		}
		f.isLight = f.unnamed == e.unnamed && f.own <= e.smallest
		f.estimated = p.spread * min(f.own, e.smallest) * f.unnamed
		estimated += f.estimated
	}
	for _, f := range p.others {
		if f.key.priority == r.priority {
			own += f.own
		}
	}
	r.offered, r.admitted = (own+e.offered)*copied, (admitted+e.admitted)*copied
	scale := 1.0
	if estimated > e.rest {
		scale = e.rest / estimated
	}
	for _, f := range p.ordered {
		if f.key.priority == r.priority {
			f.everywhere = (f.own + f.named + scale*f.estimated) * copied
		}
	}
	l.collect(p, r, e, copied, (e.rest-scale*estimated)*copied)
}

// collect builds the claims of a rank. Unknown is the demand elsewhere of accounts that are
// neither named nor known here.
func (l *Limiter) collect(p *pool, r *rank, e elsewhere, copied, unknown float64) {
	light := 0.0
	for _, f := range p.ordered {
		if f.key.priority == r.priority && f.isLight {
			light += f.everywhere
		}
	}
	r.claims, r.served = r.claims[:0], 0
	if light <= 0 {
		r.served = unknown
	}
	for _, f := range p.ordered {
		if f.key.priority != r.priority {
			continue
		}
		c := claim{demand: f.everywhere, weight: l.weight(f.digest), count: 1}
		if f.isLight && light > 0 {
			c.count += unknown / light
		}
		r.claims = append(r.claims, c)
	}
	for i, a := range e.accounts {
		if !l.isKnown[i] {
			r.claims = append(r.claims, claim{demand: a.demand * copied, weight: l.weight(a.account), count: 1})
		}
	}
	for _, f := range p.others {
		if f.key.priority == r.priority {
			r.served += f.own * copied
		}
	}
	p.observeSpread(e, l.isKnown, r)
}

// observeSpread estimates which part of the light accounts of other instances have
// requests here, too.
func (p *pool) observeSpread(e elsewhere, isKnown []bool, r *rank) {
	seen, known := 0.0, 0.0
	for i, a := range e.accounts {
		if a.demand > 4*e.smallest*a.instances {
			continue
		}
		seen += a.instances
		if isKnown[i] {
			known += a.instances
		}
	}
	if seen > 0 {
		p.spread += (known/seen - p.spread) / 8
	}
}

// setLevel sets the level of a rank and what each flow may get.
func (l *Limiter) setLevel(now wasabiridge.Millis, p *pool, r *rank) {
	r.level, r.limited = fillLevel(r.claims, r.allocation-r.served)
	if p.capacity <= 0 || r.allocation >= r.offered {
		r.limited = false
	}
	if !r.limited {
		r.level = max(r.allocation, p.capacity)
	}
	for _, f := range p.ordered {
		if f.key.priority != r.priority {
			continue
		}
		f.level = r.level * l.weight(f.digest)
		if !r.limited || f.everywhere <= 0 {
			f.limit(now, 1, 0)
			continue
		}
		f.limit(now, min(1, f.level/f.everywhere), f.level*f.own/f.everywhere)
	}
}
