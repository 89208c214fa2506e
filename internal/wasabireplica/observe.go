package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
)

// Observe takes every event that the decider takes.
func (p *Placer) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	p.begin(now)
	switch e := e.(type) {
	case wasabiridge.Ticked:
		for _, pl := range p.pools {
			pl.review()
		}
		p.suspect(now)
		p.reviewLives(now)
		p.serving.Tick(now)
	case wasabiridge.LimitNamed:
		p.limitNamed(now, e)
	case wasabiridge.ConfigAdopted:
		p.adopt(now, e.Config)
	case wasabiridge.WeightsNamed:
		p.named.name(e.Model, naming{weights: e.Weights, at: e.At})
	case wasabiridge.WeightsReported:
		p.weightsReported(now, e)
	case wasabiridge.BackendResting:
		if r := p.replicas[e.Backend]; r != nil {
			r.restUntil = e.Until
		}
	case wasabiridge.BackendEasing:
		if r := p.replicas[e.Backend]; r != nil {
			r.easeUntil = e.Until
		}
	case wasabiridge.KeptCacheSeen:
		p.kept.seen(e)
	case wasabiridge.KeptCacheListed:
		p.kept.listed(e)
	case wasabiridge.PeerPlaced:
		p.peerPlaced(now, e)
	case wasabiridge.LoadReported:
		if r := p.replicas[e.Report.Backend]; r != nil {
			r.heard = now
			r.running, r.waiting, r.reported, r.insideThen = e.Report.Running, e.Report.Waiting, now, r.own.inside
		}
	case wasabiridge.InstancesCounted:
		p.sharers.Count(now, e.Count)
		if len(e.Serving) > 0 {
			p.serving.Set(now, e.Serving)
		}
	case wasabiridge.BackendLost:
		if r := p.replicas[e.Backend]; r != nil {
			r.fail(now)
		}
	case wasabiridge.AttemptSent:
		p.sent(now, e)
	case wasabiridge.AttemptFirstToken:
		p.firstByte(now, e.Attempt)
	case wasabiridge.AttemptEnded:
		p.ended(now, e)
	}
}

// reviewLives takes up lives that only doubt has kept from counting.
func (p *Placer) reviewLives(now wasabiridge.Millis) {
	for _, r := range p.replicas {
		if life, due := r.life.Due(now); due {
			r.live(now, life)
		}
	}
}

// suspect leaves replicas alone that have said nothing at all since a request
// was sent that should have been answered long ago.
//
// The failure it guards against: a replica goes dark. Its kept connections do
// not break for seconds, and every request that is sent there meanwhile is
// lost.
func (p *Placer) suspect(now wasabiridge.Millis) {
	for id, a := range p.attempts {
		if a.first || a.suspected || a.replica.heard >= a.sent || now-a.sent < a.bound {
			continue
		}
		a.suspected = true
		p.attempts[id] = a
		a.replica.fail(now)
	}
}

// weightsReported takes which version a replica serves. Versions only rise within a
// life.
func (p *Placer) weightsReported(now wasabiridge.Millis, e wasabiridge.WeightsReported) {
	r := p.replicas[e.Backend]
	if r == nil {
		return
	}
	if !r.live(now, e.Incarnation) {
		if r.doubted == nil {
			r.doubted = map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}
		}
		r.doubted[e.Model] = e.Weights
		return
	}
	if e.Weights <= r.weights[e.Model] {
		return
	}
	if r.weights[e.Model] != 0 {
		r.cache.clear()
		r.line.clear()
		// New weights serve: the rest is over.
		r.restUntil, r.easeUntil = 0, 0
		r.recovered()
	}
	r.weights[e.Model] = e.Weights
}

func (p *Placer) sent(now wasabiridge.Millis, e wasabiridge.AttemptSent) {
	a, ok := p.attempts[e.Attempt]
	if !ok {
		return
	}
	a.sent = now
	p.attempts[e.Attempt] = a
	if a.replica.pause > 0 {
		a.replica.trying = true
	}
}

func (p *Placer) firstByte(now wasabiridge.Millis, id wasabiridge.AttemptID) {
	a, ok := p.attempts[id]
	if !ok || a.first {
		return
	}
	a.first = true
	a.replica.heard = now
	a.replica.learnDelay(max(0, float64(now-a.sent)-a.work))
	a.learnCosts(now)
	if pl := p.pools[a.pool]; pl != nil && a.prompt.engine && a.expected > 0 {
		pl.learnOverrun(float64(now-a.sent) / a.expected)
	}
	a.replica.recovered()
	a.replica.line.begun(now, func(w waitingPrompt) bool { return w.attempt == id })
	for i, key := range a.keys {
		a.replica.cache.finish(key)
		p.news.add(wasabiridge.PartNews{Backend: a.replica.server.ID, Key: key, Tokens: a.prompt.lengths[i], Ready: true, Incarnation: a.replica.server.Incarnation})
	}
	p.attempts[id] = a
}

// waitMost is how long a prompt may have waited, as a multiple of its own work,
// for its time to tell how fast the engine computes. What it waited for is only
// estimated.
const waitMost = 1.0

// learnCosts takes what the first token of a prompt tells of the engines.
func (a *sending) learnCosts(now wasabiridge.Millis) {
	if !a.measures || !a.prompt.engine || a.wait > waitMost*a.work {
		return
	}
	work := wasabicost.Work{Tokens: a.prompt.tokens() - a.held, Behind: a.held}
	a.prompt.costs.Observe(work, float64(now-a.sent)-a.wait)
}

func (p *Placer) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	a, ok := p.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(p.attempts, e.Attempt)
	r := a.replica
	r.own.inside--
	r.own.tokens -= a.prompt.memory()
	if pl := p.pools[a.pool]; pl != nil && e.Result == wasabiridge.AttemptCompleted {
		pl.learnStay(float64(now - a.sent))
	}
	if !a.first {
		r.line.leave(now, func(w waitingPrompt) bool { return w.attempt == e.Attempt })
		for _, key := range a.keys {
			r.cache.drop(key)
		}
	}
	if r.gone && r.own.inside <= 0 {
		delete(p.replicas, r.server.ID)
	}
	r.trying = false
	p.learn(now, r, a.first, e)
}

// learn takes what the end of an attempt tells of its replica.
func (p *Placer) learn(now wasabiridge.Millis, r *replica, first bool, e wasabiridge.AttemptEnded) {
	switch {
	case e.Moved.Memory != "":
	case e.Misdirected:
		// Another replica has the address now.
		r.gone = true
	case e.Failed:
		r.learnFailure(true)
		r.recovered()
	case e.Unreachable || e.Silent:
		r.fail(now)
		r.learnFailure(true)
	case e.OtherWeights, e.Overloaded:
		// It is full, or serves another version than the list says. Its next
		// answer, or the list, tells more.
		r.restUntil = max(r.restUntil, now+fullPause)
	case e.Result == wasabiridge.AttemptBroken:
		r.learnFailure(true)
		if !first {
			r.fail(now)
		}
	case e.Result == wasabiridge.AttemptCompleted:
		r.learnFailure(false)
		r.recovered()
	}
}
