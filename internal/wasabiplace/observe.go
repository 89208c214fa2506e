package wasabiplace

import "github.com/wasabiridge/wasabiridge"

// Observe applies an event. It must be called for every event that the decider
// receives.
func (p *Placer) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.Ticked:
		p.caches.Tick(now)
	case wasabiridge.AttemptFirstToken:
		p.firstToken(now, e.Attempt)
	case wasabiridge.AttemptEnded:
		p.attemptEnded(now, e)
	case wasabiridge.LoadReported:
		p.loadReported(e.Report)
	case wasabiridge.CacheChanged:
		for _, c := range e.Events {
			p.server(c.Backend)
			p.caches.ApplyEvent(now, c)
		}
	case wasabiridge.BackendLost:
		p.backendLost(now, e.Backend)
	case wasabiridge.BackendLeaving:
		l := &p.loads[p.server(e.Backend)]
		l.leaving, l.drainAnnounced = true, true
	case wasabiridge.ConfigAdopted:
		for _, pool := range e.Config.Pools {
			p.table(pool)
		}
	}
}

// loadReported applies a load report, unless it comes from an earlier
// incarnation of the server.
func (p *Placer) loadReported(r wasabiridge.LoadReport) {
	s := p.server(r.Backend)
	before := p.caches.Incarnation(s)
	if !p.caches.UpdateIncarnation(s, r.Incarnation, r.Weights) {
		return
	}
	l := &p.loads[s]
	if before != 0 && r.Incarnation > before {
		l.leaving, l.drainAnnounced, l.lost, l.refusedUntil = false, false, false, 0
	}
	if l.lost && r.MeasuredAt > l.lostAt {
		l.lost = false
		// Without an incarnation it is unknown whether the cache survived the
		// loss.
		if r.Incarnation == 0 {
			p.caches.Clear(s)
		}
	}
	l.leaving = r.Leaving || l.drainAnnounced
	avgComputed := 0.0
	if l.pool != nil {
		avgComputed = l.pool.avgComputed
	}
	l.report(r, p.costOf(l), avgComputed)
}

// backendLost excludes a server until it reports its load again. A server that
// never reported its load is retried after Options.LostRetryInterval, with its cache
// assumed empty.
func (p *Placer) backendLost(now wasabiridge.Millis, id wasabiridge.BackendServerID) {
	s := p.server(id)
	l := &p.loads[s]
	l.lost, l.lostAt = true, now
	l.idleAt, l.running = 0, l.open
	l.setQueued(0)
	if !l.reported {
		p.caches.Clear(s)
	}
}

// isLost reports whether the server counts as lost. A server that never
// reported its load can show that it is back only by answering, so it is
// retried after the given time.
func (l *load) isLost(now, retry wasabiridge.Millis) bool {
	if !l.lost {
		return false
	}
	return l.reported || now-l.lostAt < retry
}
