package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
)

// Observe applies an event to the state of the Placer. It has to receive every event
// that the decider receives.
func (p *Placer) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	p.startBudget(now)
	if pause := p.pauses.Observe(now); pause > 0 {
		p.postponeRollbacks(pause)
	}
	switch e := e.(type) {
	case wasabiridge.Ticked:
		for _, pl := range p.pools {
			if p.options.UnevenServers {
				pl.updateSpeeds(now)
			}
			pl.updateMedians(now)
		}
		p.updateUsesMemory(now)
		p.detectSilence(now)
		p.reviewMisdirected(now)
		p.reviewIncarnations(now)
		p.rateGroup.Expire(now)
	case wasabiridge.LimitAnnounced:
		p.limitReported(now, e)
	case wasabiridge.BrittleAnnounced:
		p.brittleAnnounced(now, e)
	case wasabiridge.BackendLeaving:
		p.leavingAnnounced(now, e)
	case wasabiridge.PauseRequested:
		p.pauseRequested(now, e)
	case wasabiridge.ConfigAdopted:
		p.adopt(now, e.Config)
	case wasabiridge.SoftwareRolloutsSet:
		p.setRollouts(now, e.Rollouts)
	case wasabiridge.TargetWeightsSet:
		p.announced.add(e.Model, announcedVersion{weights: e.Weights, at: e.At})
	case wasabiridge.WeightsReported:
		p.weightsReported(now, e)
	case wasabiridge.BackendInBackoff:
		if r := p.replicas[e.Backend]; r != nil {
			r.backoffUntil = e.Until
		}
	case wasabiridge.StreamDoubted:
		if r := p.replicas[e.Backend]; r != nil {
			r.doubted, r.doubtedAt = true, now
		}
	case wasabiridge.BackendDraining:
		if r := p.replicas[e.Backend]; r != nil {
			r.drainUntil = e.Until
		}
	case wasabiridge.CacheStoreChecked:
		p.kvStores.setReachable(e)
	case wasabiridge.CacheStoreListed:
		p.kvStores.addListed(e)
	case wasabiridge.PeerPlaced:
		p.peerPlaced(now, e)
	case wasabiridge.LoadReported:
		if r := p.replicas[e.Report.Backend]; r != nil && r.isCurrent(e.Report.Incarnation) {
			r.lastReceived = now
			r.running, r.waiting, r.reported, r.ownAtReport = e.Report.Running, e.Report.Waiting, now, r.own.requests
			if p.options.UnevenServers {
				r.applyReport(now, e.Report)
			}
		}
	case wasabiridge.InstancesCounted:
		p.instances.Record(now, e.Count)
		if len(e.Serving) > 0 {
			if p.rateGroup.SetInstances(now, e.Serving) {
				p.repeatAnnouncements()
			}
		}
	case wasabiridge.PathRestored:
		if pl := p.pools[e.Pool]; pl != nil {
			for _, r := range pl.replicas {
				r.clearFailures()
				r.failures, r.failedAt = pl.failures, now
			}
		}
	case wasabiridge.BackendLost:
		if r := p.replicas[e.Backend]; r != nil {
			r.recordFailure(now)
		}
	case wasabiridge.AttemptSent:
		p.sent(now, e)
	case wasabiridge.AttemptFirstToken:
		p.firstByte(now, e.Attempt)
	case wasabiridge.AttemptEnded:
		p.ended(now, e)
	}
}

// reviewIncarnations accepts earlier incarnations that have been reported for long
// enough without contradiction.
func (p *Placer) reviewIncarnations(now wasabiridge.Millis) {
	for _, r := range p.replicas {
		if incarnation, due := r.incarnation.AcceptedRollback(now); due {
			p.acceptIncarnation(now, r, incarnation)
		}
	}
}

// reviewMisdirected sends a request to each replica again that is still listed some time after a
// server at its address stated to be another one.
func (p *Placer) reviewMisdirected(now wasabiridge.Millis) {
	for _, pl := range p.pools {
		for _, r := range pl.replicas {
			if r.misdirectedAt == 0 || now-r.misdirectedAt < misdirectedTime {
				continue
			}
			r.gone, r.misdirectedAt, r.resuming = false, 0, true
			// It was dropped if an attempt there has ended meanwhile.
			p.replicas[r.server.ID] = r
		}
	}
}

// postponeRollbacks makes earlier incarnations wait for the time in which this process was
// frozen. Otherwise one late report before a freeze would be accepted after it, and what
// the current incarnation stated would be ignored.
func (p *Placer) postponeRollbacks(pause wasabiridge.Millis) {
	for _, r := range p.replicas {
		r.incarnation.Postpone(pause)
	}
}

// detectSilence puts replicas into backoff that have sent nothing at all since a
// request was sent to them whose answer is long overdue.
//
// It guards against a replica that becomes unreachable without closing its connections.
// They do not break for seconds, and every request that is sent there until then is
// lost.
func (p *Placer) detectSilence(now wasabiridge.Millis) {
	for id, a := range p.attempts {
		if a.firstByteSeen || a.suspected || a.hasOutlived() || a.replica.lastReceived >= a.sent || now-a.sent < a.silenceBound {
			continue
		}
		a.suspected = true
		p.attempts[id] = a
		a.replica.recordFailure(now)
	}
}

func (p *Placer) sent(now wasabiridge.Millis, e wasabiridge.AttemptSent) {
	a, ok := p.attempts[e.Attempt]
	if !ok {
		return
	}
	a.sent = now
	p.attempts[e.Attempt] = a
	if !a.hasOutlived() && (a.replica.failureBackoff > 0 || a.replica.resuming) {
		a.replica.probing = true
	}
}

func (p *Placer) firstByte(now wasabiridge.Millis, id wasabiridge.AttemptID) {
	a, ok := p.attempts[id]
	if !ok || a.firstByteSeen {
		return
	}
	a.firstByteSeen, a.firstByteAt = true, now
	if a.hasOutlived() {
		p.attempts[id] = a
		return
	}
	a.replica.lastReceived = now
	a.replica.observeDelay(now, max(0, float64(now-a.sent)-a.work*a.slowness))
	a.observeCosts(now, p.pools[a.pool])
	a.observeFetch(now)
	if pl := p.pools[a.pool]; pl != nil {
		pl.answeredAt = now
		if p.options.UnevenServers && !a.prompt.engine {
			pl.observeUsual(now, &a, float64(now-a.sent))
		}
		if a.expected > 0 {
			pl.observeOverrun(float64(now-a.sent) / a.expected)
		}
		pl.observePromptShare(now, &a)
	}
	a.replica.clearFailures()
	a.replica.resuming = a.replica.resuming && now < a.replica.pausedUntil
	a.replica.prefillQueue.markStarted(now, func(w queuedPrompt) bool { return w.attempt == id })
	for i, key := range a.keys {
		a.replica.cache.markReady(key)
		p.peerUpdates.add(wasabiridge.SegmentUpdate{Backend: a.replica.server.ID, Key: key, Tokens: a.prompt.lengths[i], Ready: true, Incarnation: a.replica.server.Incarnation})
	}
	p.attempts[id] = a
}

// maxWaitRatio is how long a prompt may have waited, as a multiple of its own work, for
// its time to count as a measurement of the engine's speed. The wait is only an
// estimate.
const maxWaitRatio = 1.0

// observeCosts updates the cost estimate with the time to the first token of a prompt. The
// time at a replica that sent nothing to anyone meanwhile is no measurement of its speed.
func (a *attempt) observeCosts(now wasabiridge.Millis, pl *pool) {
	if !a.measuresCost || a.suspected || !a.prompt.engine || a.wait > maxWaitRatio*a.work*a.slowness {
		return
	}
	work := wasabicost.Work{Tokens: a.prompt.tokens() - a.held, Preceding: a.held}
	took := float64(now-a.sent) - a.wait
	if pl != nil && a.measuresSpeed(work, took/a.slowness) {
		pl.observeRatio(now, a, took/(a.prompt.costs.FirstToken(work)*a.moment(now)))
	}
	a.prompt.costs.Observe(work, took/a.slowness)
}

func (p *Placer) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	a, ok := p.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(p.attempts, e.Attempt)
	a.observeFetchEnd(e)
	p.observeAnswer(&a, e)
	r := a.replica
	r.own.requests--
	r.own.tokens -= a.prompt.memory()
	if pl := p.pools[a.pool]; pl != nil && e.Result == wasabiridge.AttemptCompleted {
		pl.observeDuration(float64(now-a.sent) / a.slowness)
		pl.observeService(now, &a)
	}
	if r.gone && r.own.requests <= 0 {
		delete(p.replicas, r.server.ID)
	}
	if a.hasOutlived() {
		return
	}
	if !a.firstByteSeen {
		r.prefillQueue.removePrompt(now, func(w queuedPrompt) bool { return w.attempt == e.Attempt })
		for _, key := range a.keys {
			r.cache.discardUnready(key)
		}
	}
	r.probing = false
	if pl := p.pools[a.pool]; pl != nil && !e.ServerCrashed && (e.Result == wasabiridge.AttemptBroken || e.Result == wasabiridge.AttemptCancelled) {
		if _, brittle := pl.refusalsAllowed(); brittle {
			r.abandon(now)
		}
	}
	if e.ServerCrashed {
		// Its process has ended. A new incarnation may be known only later.
		r.forgetContent()
	}
	p.observeResult(now, r, a.firstByteSeen, e)
	if pl := p.pools[a.pool]; pl != nil && e.Overloaded {
		pl.answeredAt = now
		if refusals, brittle := pl.refusalsAllowed(); brittle {
			r.backoffUntil = max(r.backoffUntil, now+p.brittleBackoff(r, refusals))
		}
	}
}

// observeResult updates the state of a replica with the result of an attempt.
func (p *Placer) observeResult(now wasabiridge.Millis, r *replica, firstByteSeen bool, e wasabiridge.AttemptEnded) {
	switch {
	case e.Stopped:
	case e.Misdirected:
		// Another replica now has this address, or the response was wrong.
		r.gone, r.misdirectedAt = true, now
	case e.Failed:
		r.observeFailure(now, true)
		r.clearFailures()
	case e.Unreachable || e.FirstByteTimeout:
		r.recordFailure(now)
		r.observeFailure(now, true)
	case e.OtherWeights, e.Overloaded:
		// The replica is full, or serves other weights than last reported. Its next
		// answer or report shows which.
		r.backoffUntil = max(r.backoffUntil, now+overloadBackoff)
	case e.Result == wasabiridge.AttemptBroken:
		r.observeFailure(now, true)
		if !firstByteSeen {
			r.recordFailure(now)
		}
	case e.Result == wasabiridge.AttemptCompleted:
		r.observeFailure(now, false)
		r.clearFailures()
	}
}
