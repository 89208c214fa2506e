package wasabiplace

import "github.com/wasabiridge/wasabiridge"

// Observe takes every event that the decider takes.
func (p *Placer) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.Ticked:
		p.picture.Tick(now)
	case wasabiridge.AttemptFirstToken:
		p.firstToken(now, e.Attempt)
	case wasabiridge.AttemptEnded:
		p.attemptEnded(now, e)
	case wasabiridge.LoadReported:
		p.loadReported(e.Report)
	case wasabiridge.CacheChanged:
		for _, c := range e.Events {
			p.server(c.Backend)
			p.picture.Audit(now, c)
		}
	case wasabiridge.BackendLost:
		p.backendLost(now, e.Backend)
	case wasabiridge.BackendLeaving:
		l := &p.loads[p.server(e.Backend)]
		l.leaving, l.drained = true, true
	case wasabiridge.ConfigAdopted:
		for _, pool := range e.Config.Pools {
			p.table(pool)
		}
	}
}

// loadReported takes a report. A report of an earlier incarnation says nothing
// of the server that answers now.
func (p *Placer) loadReported(r wasabiridge.LoadReport) {
	s := p.server(r.Backend)
	before := p.picture.Incarnation(s)
	if !p.picture.Reborn(s, r.Incarnation, r.Weights) {
		return
	}
	l := &p.loads[s]
	if before != 0 && r.Incarnation > before {
		l.leaving, l.drained, l.lost = false, false, false
	}
	if l.lost && r.Taken > l.lostAt {
		l.lost = false
		// Without an incarnation the server cannot show that its cache
		// outlived the loss.
		if r.Incarnation == 0 {
			p.picture.Clear(s)
		}
	}
	l.leaving = r.Leaving || l.drained
	usual := 0.0
	if l.pool != nil {
		usual = l.pool.usual
	}
	l.report(r, p.costOf(l), usual)
}

// backendLost takes a server out of all decisions until it reports its load
// again. A server that never did is tried again after a while, without
// counting on what its cache held before.
func (p *Placer) backendLost(now wasabiridge.Millis, id wasabiridge.BackendServerID) {
	s := p.server(id)
	l := &p.loads[s]
	l.lost, l.lostAt = true, now
	l.idleAt, l.running = 0, l.open
	l.setQueued(0)
	if !l.reported {
		p.picture.Clear(s)
	}
}

// isLost reports whether the server counts as lost. A server that never
// reported its load can only show that it is back by answering, so it is tried
// again after a while.
func (l *load) isLost(now, retry wasabiridge.Millis) bool {
	if !l.lost {
		return false
	}
	return l.reported || now-l.lostAt < retry
}
