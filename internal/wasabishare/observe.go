package wasabishare

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxComputeAge is the age of shares above which a request has them computed.
	maxComputeAge = 250 * wasabiridge.Millis(1)
	// settleSpan is how long after the beginning of a shortage failures say nothing about the
	// capacity, because the demand elsewhere is not known yet.
	settleSpan = wasabiridge.Second
	// dropInterval is how often idle flows are dropped.
	dropInterval = wasabiridge.Second
)

// Observe implements wasabiridge.Limiter.
func (l *Limiter) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	l.start(now)
	l.options.Next.Observe(now, e)
	switch e := e.(type) {
	case wasabiridge.Ticked:
		l.tick(now)
	case wasabiridge.ConfigAdopted:
		l.adopt(e.Config)
	case wasabiridge.InstancesCounted:
		if len(e.Serving) > 0 {
			l.serving = slices.Clone(e.Serving)
		}
	case wasabiridge.DemandReceived:
		l.receive(now, e)
	case wasabiridge.PeerEnded:
		for _, p := range l.pools {
			p.forget(e.ID)
		}
	case wasabiridge.AttemptFirstToken:
		l.firstByte(now, e.Attempt)
	case wasabiridge.AttemptEnded:
		l.ended(now, e)
	}
}

// adopt takes the pools and the weights of accounts from a configuration.
func (l *Limiter) adopt(c wasabiridge.Config) {
	for _, p := range c.Pools {
		l.pool(p.ID)
	}
	l.pools = slices.DeleteFunc(l.pools, func(p *pool) bool {
		_, ok := c.Pool(p.id)
		if !ok && len(p.queue.entries) == 0 {
			delete(l.byID, p.id)
			return true
		}
		return false
	})
	clear(l.weights)
	for _, a := range c.Accounts {
		if a.Share > 0 && a.Share != 1 {
			l.weights[AccountDigest(a.ID)] = a.Share
		}
	}
}

func (l *Limiter) firstByte(now wasabiridge.Millis, id wasabiridge.AttemptID) {
	a, ok := l.attempts[id]
	if !ok {
		return
	}
	delete(l.attempts, id)
	if now > a.due {
		a.pool.correction.fail(a.pool, a.flow)
	}
}

func (l *Limiter) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	a, ok := l.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(l.attempts, e.Attempt)
	if e.Overloaded || e.FirstByteTimeout || now > a.due {
		a.pool.correction.fail(a.pool, a.flow)
	}
}

func (l *Limiter) tick(now wasabiridge.Millis) {
	drop := now-l.droppedAt >= dropInterval
	for _, p := range l.pools {
		p.expirePeers(now, l.peerSpan())
		if drop {
			p.dropIdle(now)
		}
		if now-p.computedAt < computeInterval {
			continue
		}
		if !p.isShared(now) && !l.isPressed(now, p) {
			p.rest(now)
			continue
		}
		l.computeShared(now, p)
		if p.pressure > pressureLimit {
			p.markShort(now)
		}
	}
	if drop {
		l.droppedAt = now
	}
}

// isPressed reports whether a pool that is not shared may be short of capacity. The
// instances whose demand is not known are taken to be like this one.
func (l *Limiter) isPressed(now wasabiridge.Millis, p *pool) bool {
	offered := p.offered.perSecond(now, l.startedAt) * float64(1+p.unheard(l.options.Self, l.serving))
	for _, d := range p.peers {
		offered += d.offered()
	}
	capacity := float64(l.options.Gauge.Capacity(now, p.id))
	return capacity > 0 && offered > pressureLimit*capacity
}

// rest ends the sharing of a pool.
func (p *pool) rest(now wasabiridge.Millis) {
	if len(p.ranks) == 0 {
		return
	}
	p.ranks = p.ranks[:0]
	p.pressure = 0
	for _, f := range p.ordered {
		f.limit(now, 1, 0)
		f.everywhere, f.level = 0, 0
	}
}

// computeShared computes the shares of a pool that is short of capacity. The instances whose
// demand is not known count only if requests were refused. Otherwise they may have no
// demand and therefore announce none.
func (l *Limiter) computeShared(now wasabiridge.Millis, p *pool) {
	if p.capacity > 0 && now-p.shortSince >= settleSpan {
		others, least := p.othersCorrection()
		p.correction.review(now, others, least)
	} else {
		p.correction = correction{factor: p.correction.factor, since: now}
	}
	copies := 0
	if p.refusedAt > 0 && now-p.refusedAt < sharedSpan {
		copies = p.unheard(l.options.Self, l.serving)
	}
	l.compute(now, p, copies)
}
