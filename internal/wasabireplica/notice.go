package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabinotice"
)

// leavingAnnounced records that a server has announced that it is leaving. An
// announcement of an incarnation that has ended is ignored.
func (p *Placer) leavingAnnounced(now wasabiridge.Millis, e wasabiridge.BackendLeaving) {
	if e.Fault != "" {
		return
	}
	r := p.replicas[e.Backend]
	if r != nil && e.Incarnation != 0 && e.Incarnation != r.server.Incarnation {
		return
	}
	p.notices.Leave(now, e.Backend, e.Incarnation)
	if r != nil {
		p.applyNotice(now, r)
	}
}

const (
	// pauseSpread is the fraction of a pause by which this instance extends it at random,
	// up to maxPauseSpread. Otherwise all instances that a server refused at the same
	// time return at the same time.
	pauseSpread    = 0.25
	maxPauseSpread = wasabiridge.Second
)

// pauseRequested records that a server wants no requests for a while. A request for a
// pause by an incarnation that has ended is ignored.
func (p *Placer) pauseRequested(now wasabiridge.Millis, e wasabiridge.PauseRequested) {
	r := p.replicas[e.Backend]
	if e.Fault != "" || e.Duration <= 0 {
		return
	}
	if r != nil {
		if e.Incarnation != 0 && e.Incarnation != r.server.Incarnation {
			return
		}
		r.resuming = true
	}
	duration := min(e.Duration, wasabinotice.MaxPause)
	spread := min(wasabiridge.Millis(pauseSpread*float64(duration)), maxPauseSpread)
	p.notices.Pause(now, e.Backend, e.Incarnation, duration+wasabiridge.Millis(p.random.Int64N(int64(spread)+1)))
	if r != nil {
		p.applyNotice(now, r)
	}
}

// acceptIncarnation is like replica.acceptIncarnation, and applies what the incarnation
// has stated already.
func (p *Placer) acceptIncarnation(now wasabiridge.Millis, r *replica, incarnation wasabiridge.Incarnation) bool {
	accepted := r.acceptIncarnation(now, incarnation)
	p.applyNotice(now, r)
	return accepted
}

// applyNotice copies what the current incarnation of a replica has stated into its state,
// where each decision reads it.
func (p *Placer) applyNotice(now wasabiridge.Millis, r *replica) {
	r.leavingSince, r.leaving = p.notices.LeavingSince(r.server.ID, r.server.Incarnation)
	r.pausedUntil = now + p.notices.PauseLeft(now, r.server.ID, r.server.Incarnation)
}

// leavingSourceTime is how long a replica that is leaving is still used as a source of
// cached segments. It serves at least that long after it has announced it.
const leavingSourceTime = 2 * wasabiridge.Second

// mayHaveEnded reports whether the replica announced so long ago that it is leaving that
// it may have ended. No request fails there any more that would show it.
func (r *replica) mayHaveEnded(now wasabiridge.Millis) bool {
	return r.leaving && now-r.leavingSince > leavingSourceTime
}

// pauseLeft returns how long the pause that the replica has requested still lasts.
func (r *replica) pauseLeft(now wasabiridge.Millis) wasabiridge.Millis {
	return max(0, r.pausedUntil-now)
}
