package wasabilimit

import (
	"sort"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// reviewInterval is how often the load of pools is summed up.
	reviewInterval = 250 * wasabiridge.Millis(1)
	// accountReviewInterval is how often the demand of accounts is compared
	// with their shares.
	accountReviewInterval = wasabiridge.Second
)

// Observe applies an event. It must be called for every event that the decider
// receives.
func (l *Limiter) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.ConfigAdopted:
		l.adopt(e.Config)
	case wasabiridge.LoadReported:
		if s, ok := l.servers[e.Report.Backend]; ok {
			s.report(e.Report)
		}
	case wasabiridge.AttemptEnded:
		l.ended(now, e)
	case wasabiridge.BackendLost:
		if s, ok := l.servers[e.Backend]; ok {
			s.markLost()
		}
	case wasabiridge.BackendLeaving:
		if s, ok := l.servers[e.Backend]; ok {
			s.markLeaving()
		}
	case wasabiridge.InstancesCounted:
		l.setInstances(e.Count)
	case wasabiridge.Ticked:
		l.review(now)
	}
}

// adopt applies the pools and shares of a configuration. The state of servers
// that remain is kept.
func (l *Limiter) adopt(c wasabiridge.Config) {
	clear(l.shares)
	for _, a := range c.Accounts {
		l.shares[a.ID] = a.Share
	}
	before := l.servers
	l.servers = make(map[wasabiridge.BackendServerID]*server)
	l.order = l.order[:0]
	for _, cp := range c.Pools {
		p, ok := l.pools[cp.ID]
		if !ok {
			p = newPool(&l.options)
			l.pools[cp.ID] = p
		}
		p.id = cp.ID
		p.servers = p.servers[:0]
		for _, b := range cp.Backends {
			s, ok := before[b.ID]
			if !ok || s.pool != p || s.slots != b.Slots {
				s = newServer(b, p, &l.options)
			}
			p.servers = append(p.servers, s)
			l.servers[b.ID] = s
		}
		p.refresh()
		l.order = append(l.order, p)
	}
	sort.Slice(l.order, func(a, b int) bool { return l.order[a].id < l.order[b].id })
}

func (l *Limiter) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	a, ok := l.attempts[e.Attempt]
	if !ok {
		return
	}
	delete(l.attempts, e.Attempt)
	l.budget.ended(e)
	if s, ok := l.servers[a.backend]; ok {
		s.ended(now, e)
	}
	if e.Result == wasabiridge.AttemptCompleted {
		l.costs.learn(a.request, e.Usage)
	}
}

func (l *Limiter) review(now wasabiridge.Millis) {
	if now < l.reviewed+reviewInterval {
		return
	}
	l.reviewed = now
	for _, p := range l.order {
		p.review(now)
	}
	if now < l.reviewedAccounts+accountReviewInterval {
		return
	}
	l.reviewedAccounts = now
	l.predictedLate = nil
	for _, p := range l.order {
		p.reviewAccounts(now, l.costs.meanCost)
		l.predictedLate = append(l.predictedLate, p.queue.predictedLate(now, p.capacity.estimate)...)
	}
	l.costs.prune()
}
