package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// limitUpdateInterval is how often an unchanged limit is sent to the other instances.
const limitUpdateInterval = wasabiridge.Second

// limitReported applies what an answer reports about the limit of its replica.
func (p *Placer) limitReported(now wasabiridge.Millis, e wasabiridge.LimitAnnounced) {
	r := p.replicas[e.Backend]
	if r == nil || e.Fault != "" || e.RequestSentAt < r.lifeSince {
		return
	}
	changed := false
	if e.Limited {
		changed = r.limit.Report(now, e.RequestSentAt, e.Rate)
	} else {
		changed = r.limit.Clear(e.RequestSentAt)
	}
	if changed {
		r.limitSentAt = 0
	}
	if changed || e.Limited {
		r.lastLimit, r.limitUnsent = e, true
	}
}

// takeLimitUpdate returns the limit of a replica if it has to be sent to the other
// instances now, and the zero value otherwise.
func (r *replica) takeLimitUpdate(now wasabiridge.Millis) wasabiridge.LimitUpdate {
	e := r.lastLimit
	if !r.limitUnsent || r.limitSentAt > 0 && now-r.limitSentAt < limitUpdateInterval {
		return wasabiridge.LimitUpdate{}
	}
	r.limitSentAt, r.limitUnsent = now, false
	return wasabiridge.LimitUpdate{Known: true, Limited: e.Limited, Rate: e.Rate, Age: max(0, now-e.RequestSentAt)}
}

// repeatAnnouncements has the limits that servers have announced, and that they are brittle,
// sent to the other instances again, because a new one has had no answer of them.
func (p *Placer) repeatAnnouncements() {
	for _, r := range p.replicas {
		r.limitSentAt = 0
		if _, limited := r.limit.Rate(); limited && r.lastLimit.Limited {
			r.limitUnsent = true
		}
	}
	for _, pl := range p.pools {
		pl.brittle.sentAt, pl.brittle.unsent = 0, pl.brittle.statement.Holds() && pl.brittle.last.Brittle
	}
}

// applyPeerLimit applies the limit of a replica that another instance has received.
func (r *replica) applyPeerLimit(now wasabiridge.Millis, n wasabiridge.LimitUpdate) {
	switch {
	case now-n.Age < r.lifeSince:
		// Another process reported it.
	case n.Limited:
		r.limit.Receive(now, now-n.Age, n.Rate)
	case n.Known:
		r.limit.Clear(now - n.Age)
	}
}

// allotment returns what this instance may use of a replica, if it has announced how much it
// takes.
func (p *Placer) allotment(now wasabiridge.Millis, pl *pool, r *replica) wasabiridge.Allotment {
	var out wasabiridge.Allotment
	rate, limited := r.limit.Rate()
	if limited {
		out.Rate, out.Age = rate, r.limit.Age(now)
	}
	if _, out.Brittle = pl.refusalsAllowed(); out.Brittle {
		out.Part, _ = p.rateGroup.Part(r.server.ID, max(1, r.slotCount()))
		out.Used, out.Age = r.own.requests+r.abandonedCount(now), pl.brittle.statement.Age(now)
	}
	if limited || out.Brittle {
		out.Instances = p.rateGroup.Size()
	}
	return out
}

// limitWait returns how long this instance has to wait, because of the limit that the
// replica reports, before it may send the next request there. Zero means that it may
// send now.
func (p *Placer) limitWait(now wasabiridge.Millis, r *replica) wasabiridge.Millis {
	return r.limit.Wait(now, r.server.ID, p.rateGroup)
}
