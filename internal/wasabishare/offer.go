package wasabishare

import "github.com/wasabiridge/wasabiridge"

// Offer decides on a new request. While the pool is not shared the decision is that of the
// next limiter.
func (l *Limiter) Offer(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Admission {
	l.start(now)
	next := l.options.Next.Offer(now, r)
	if r.Action.Pool == "" {
		return next
	}
	p, w := l.pool(r.Action.Pool), float64(l.options.Gauge.Work(now, r))
	f := p.flow(now, flowKey{account: r.Account, priority: r.Action.Priority}, l.random)
	full := next.Verdict == wasabiridge.Rejected && next.Reason == wasabiridge.RefusedOverload
	if full {
		p.refusedAt = now
		p.markShort(now)
	}
	f.count(now, w)
	p.offered.add(now, w)
	if !p.isShared(now) || next.Verdict == wasabiridge.Queued || next.Verdict == wasabiridge.Rejected && !full || r.Origin != nil {
		if next.Verdict == wasabiridge.Admitted {
			f.charge(now, w)
		}
		return next
	}
	if p.computedAt == 0 || now-p.computedAt > maxComputeAge {
		l.computeShared(now, p)
	}
	return l.offerShared(now, p, f, waiting{request: r, flow: f, work: w, returns: f.isReturn(now, r)}, full)
}

// offerShared decides on a request for a shared pool. Full reports that no server has
// capacity for it.
func (l *Limiter) offerShared(now wasabiridge.Millis, p *pool, f *flow, w waiting, full bool) wasabiridge.Admission {
	if !f.admits(now, w.work, w.returns) {
		p.correction.refused++
		return l.refuse(now, p, f, w.request, w.work)
	}
	p.correction.admitted++
	if !full && !p.queue.yields(&w) {
		f.charge(now, w.work)
		return wasabiridge.Admission{Verdict: wasabiridge.Admitted}
	}
	w.until = waitUntil(now, w.request)
	if w.until <= now {
		p.correction.fail(p, f)
		return l.refuse(now, p, f, w.request, w.work)
	}
	l.number++
	w.number = l.number
	f.spend(now, w.work)
	p.queue.add(w)
	return wasabiridge.Admission{Verdict: wasabiridge.Queued}
}

// refuse returns the refusal of a request.
func (l *Limiter) refuse(now wasabiridge.Millis, p *pool, f *flow, r wasabiridge.Request, w float64) wasabiridge.Admission {
	f.refused++
	p.refused[f.key.priority]++
	return wasabiridge.Admission{
		Verdict:    wasabiridge.Rejected,
		Reason:     wasabiridge.RefusedShare,
		RetryAfter: l.promise(now, p, f, r, w),
		Share: wasabiridge.ShareState{
			Pressure: p.pressure, Level: wasabiridge.Work(f.level), Offered: wasabiridge.Work(f.everywhere), Instances: p.known, Oldest: p.oldest,
		},
	}
}
