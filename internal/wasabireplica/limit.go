package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// limitNewsInterval is how often the others are told of a limit that has not changed.
const limitNewsInterval = wasabiridge.Second

// limitNamed takes what an answer says of the limit of its replica.
func (p *Placer) limitNamed(now wasabiridge.Millis, e wasabiridge.LimitNamed) {
	r := p.replicas[e.Backend]
	if r == nil || e.Fault != "" {
		return
	}
	changed := false
	if e.Limited {
		changed = r.limit.Name(now, e.Asked, e.Rate)
	} else {
		changed = r.limit.Lift(e.Asked)
	}
	if changed {
		r.limitTold = 0
	}
	if changed || e.Limited {
		r.limitNews = e
	}
}

// takeLimitNews returns what the others should be told of the limit of a replica.
func (r *replica) takeLimitNews(now wasabiridge.Millis) wasabiridge.LimitNews {
	e := r.limitNews
	if e.Backend == "" || r.limitTold > 0 && now-r.limitTold < limitNewsInterval {
		return wasabiridge.LimitNews{}
	}
	r.limitTold, r.limitNews = now, wasabiridge.LimitNamed{}
	return wasabiridge.LimitNews{Known: true, Limited: e.Limited, Rate: e.Rate, Age: max(0, now-e.Asked)}
}

// peerLimit takes what another instance was told of the limit of a replica.
func (r *replica) peerLimit(now wasabiridge.Millis, n wasabiridge.LimitNews) {
	switch {
	case n.Limited:
		r.limit.Hear(now, now-n.Age, n.Rate)
	case n.Known:
		r.limit.Lift(now - n.Age)
	}
}

// limitWait is when this instance may send the next request to a replica, by the limit
// that it names.
func (p *Placer) limitWait(now wasabiridge.Millis, r *replica) wasabiridge.Millis {
	return r.limit.Wait(now, r.server.ID, p.serving)
}
