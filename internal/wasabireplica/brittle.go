package wasabireplica

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirate"
)

const (
	// maxBrittleBackoff bounds the backoff of a brittle server after a refusal, and
	// brittleSpread is the fraction by which the backoff is extended at random.
	maxBrittleBackoff = 5 * wasabiridge.Second
	brittleSpread     = 0.5
	// brittleUpdateInterval is how often an unchanged announcement is sent to the other
	// instances.
	brittleUpdateInterval = wasabiridge.Second
	// outsideSenders is the number of instances that send announcements to those that callers
	// are not sent to, and outsideInterval how often they send an unchanged one.
	outsideSenders  = 3
	outsideInterval = 10 * wasabiridge.Second
	// knowledgeTime is how long after the last answer of a pool an instance to which callers
	// are not sent still knows how its servers bear requests.
	knowledgeTime = 2 * wasabiridge.Second
	// abandonedTime is how long a brittle server may still be at work on a request whose
	// attempt ended without an answer.
	abandonedTime = wasabiridge.Second
)

// brittle is whether the servers of a pool are brittle. They are so together, so what one has
// announced holds for those that have not answered yet, and for those that replace it when it
// ends. The zero value is not brittle.
type brittle struct {
	statement wasabirate.Statement
	// refusals is the least number of requests that a server may refuse in a second.
	refusals float64
	// last is the last announcement to this instance. unsent is set while it was not sent to
	// the other instances, and sentAt is when one was last sent.
	last   wasabiridge.BrittleAnnounced
	unsent bool
	sentAt wasabiridge.Millis
	// sentOutside is whether the servers were brittle when the instances that callers are not
	// sent to were last sent that, at outsideAt.
	sentOutside bool
	outsideAt   wasabiridge.Millis
}

// set applies a number of refusals, of which the least since the servers became brittle counts.
func (b *brittle) set(isNew bool, refusals float64) {
	if isNew || refusals < b.refusals {
		b.refusals = refusals
	}
}

// brittleAnnounced applies what an answer says about how its server bears overload. An answer
// of an incarnation that has ended is ignored.
func (p *Placer) brittleAnnounced(now wasabiridge.Millis, e wasabiridge.BrittleAnnounced) {
	r := p.replicas[e.Backend]
	if r == nil || e.Incarnation != 0 && e.Incarnation != r.server.Incarnation {
		return
	}
	for _, pl := range p.poolsOf(r) {
		b := pl.brittle
		changed := false
		if e.Brittle {
			changed = b.statement.Report(now, e.RequestSentAt)
			b.set(changed, e.Refusals)
		} else {
			changed = b.statement.Clear(e.RequestSentAt)
		}
		if changed {
			b.sentAt = 0
		}
		if changed || e.Brittle {
			b.last, b.unsent = e, true
		}
	}
}

// poolsOf returns the pools that a replica belongs to, or belonged to when it was last listed.
func (p *Placer) poolsOf(r *replica) []*pool {
	var out []*pool
	for _, id := range r.pools {
		if pl := p.pools[id]; pl != nil {
			out = append(out, pl)
		}
	}
	return out
}

// takeBrittleUpdates returns the announcements that have to be sent to the other instances
// now, by replica.
func (p *Placer) takeBrittleUpdates(now wasabiridge.Millis) map[wasabiridge.BackendServerID]wasabiridge.BrittleUpdate {
	var out map[wasabiridge.BackendServerID]wasabiridge.BrittleUpdate
	for _, pl := range p.pools {
		b := pl.brittle
		if !b.unsent || b.sentAt > 0 && now-b.sentAt < brittleUpdateInterval {
			continue
		}
		if out == nil {
			out = map[wasabiridge.BackendServerID]wasabiridge.BrittleUpdate{}
		}
		b.sentAt, b.unsent = now, false
		out[b.last.Backend] = wasabiridge.BrittleUpdate{Known: true, Brittle: b.last.Brittle, Refusals: b.last.Refusals, Age: max(0, now-b.last.RequestSentAt)}
	}
	return out
}

// TakeOutsideUpdates returns the updates that have to be sent to the instances that callers are
// not sent to: when the servers of a pool become brittle or cease to be, and now and then in
// between. Few instances return any, so that the messages do not grow with their number.
//
// Without them, such an instance would refuse requests for long after the end.
func (p *Placer) TakeOutsideUpdates(now wasabiridge.Millis) []wasabiridge.LoadUpdate {
	var out []wasabiridge.LoadUpdate
	for id, pl := range p.pools {
		b, holds := pl.brittle, pl.brittle.statement.Holds()
		if holds == b.sentOutside && (!holds || now-b.outsideAt < outsideInterval) {
			continue
		}
		if p.rateGroup.Outside() || p.rateGroup.Rank(wasabiridge.BackendServerID(id)) >= outsideSenders || len(pl.replicas) == 0 {
			continue
		}
		b.sentOutside, b.outsideAt = holds, now
		update := wasabiridge.BrittleUpdate{Known: true, Brittle: holds, Refusals: b.refusals, Age: b.statement.Age(now)}
		if !holds {
			update.Age = b.statement.EndAge(now)
		}
		// What holds for one server of the pool holds for all.
		r := pl.replicas[0]
		out = append(out, wasabiridge.LoadUpdate{Backend: r.server.ID, InFlight: r.own.requests, Tokens: r.own.tokens, Brittle: update})
	}
	return out
}

// applyPeerBrittle applies an announcement of a replica to another instance.
func (p *Placer) applyPeerBrittle(now wasabiridge.Millis, r *replica, u wasabiridge.BrittleUpdate) {
	if !u.Known {
		return
	}
	for _, pl := range p.poolsOf(r) {
		if !u.Brittle {
			pl.brittle.statement.Clear(now - u.Age)
			continue
		}
		isNew := pl.brittle.statement.Receive(now - u.Age)
		if pl.brittle.statement.Holds() {
			pl.brittle.set(isNew, u.Refusals)
		}
	}
}

// refusalsAllowed returns how many requests a server of the pool may refuse in a second.
// It reports false if the servers of the pool are not brittle.
func (pl *pool) refusalsAllowed() (float64, bool) {
	return pl.brittle.refusals, pl.brittle.statement.Holds()
}

// hasRoom reports whether a server of a pool may receive a request beside those of this
// instance, as far as its servers have announced how they bear overload.
//
// Instances to which callers are not sent receive no announcements of the others. If callers
// come nevertheless, such an instance sends one request to each server, and further ones when a
// server has answered.
func (p *Placer) hasRoom(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt) bool {
	if _, brittle := pl.refusalsAllowed(); brittle {
		return p.hasBrittleRoom(now, pl, r, pr)
	}
	return !p.rateGroup.Outside() || now-pl.answeredAt < knowledgeTime || !p.awaitsAnswer(r)
}

// awaitsAnswer reports whether a request to a replica has not been answered yet.
func (p *Placer) awaitsAnswer(r *replica) bool {
	for _, a := range p.attempts {
		if a.replica == r && !a.firstByteSeen {
			return true
		}
	}
	return false
}

// hasBrittleRoom reports whether a server of a brittle pool has room for a request within
// this instance's part of its slots and its memory. The parts of all instances add up to
// no more than the whole, so that the server refuses next to nothing, however late or
// incomplete the updates between instances are.
//
// An instance without a part tests now and then, with a single request, whether the servers
// are still brittle. Otherwise nothing would show it that they are not.
func (p *Placer) hasBrittleRoom(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt) bool {
	part, senders := p.rateGroup.Part(r.server.ID, max(1, r.slotCount()))
	if part == 0 {
		return r.own.requests == 0 && p.brittleProbeWait(now, pl) == 0
	}
	if r.slotCount() > 0 && r.own.requests+r.abandonedCount(now) >= part {
		return false
	}
	return r.memory == 0 || r.own.requests == 0 || r.own.tokens+pr.memory() <= r.memory/max(1, senders)
}

// brittleProbeWait returns how long this instance has to wait before it may test whether the
// servers of a pool are still brittle.
func (p *Placer) brittleProbeWait(now wasabiridge.Millis, pl *pool) wasabiridge.Millis {
	return pl.brittle.statement.ProbeWait(now, p.rateGroup.Rank(wasabiridge.BackendServerID(pl.config.ID)))
}

// recordBrittleSent counts a request that is sent to a server of a brittle pool.
func (p *Placer) recordBrittleSent(now wasabiridge.Millis, pl *pool, r *replica) {
	if _, brittle := pl.refusalsAllowed(); !brittle {
		return
	}
	if part, _ := p.rateGroup.Part(r.server.ID, max(1, r.slotCount())); part == 0 {
		pl.brittle.statement.RecordProbe(now)
	}
}

// abandon counts a request whose attempt ended without an answer as one that a brittle server
// may still be at work on.
func (r *replica) abandon(now wasabiridge.Millis) {
	r.abandoned = append(r.abandoned, now+abandonedTime)
}

func (r *replica) abandonedCount(now wasabiridge.Millis) int {
	r.abandoned = slices.DeleteFunc(r.abandoned, func(until wasabiridge.Millis) bool { return now >= until })
	return len(r.abandoned)
}

// brittleBackoff returns the backoff of a brittle server that has refused a request. With
// it, the refusals that all instances cause add up to no more than the server bears.
func (p *Placer) brittleBackoff(r *replica, refusals float64) wasabiridge.Millis {
	_, senders := p.rateGroup.Part(r.server.ID, max(1, r.slotCount()))
	backoff := maxBrittleBackoff
	if refusals > 0 {
		backoff = min(backoff, wasabiridge.Millis(float64(senders)/refusals*float64(wasabiridge.Second)))
	}
	backoff = max(backoff, overloadBackoff)
	return backoff + wasabiridge.Millis(p.random.Int64N(int64(brittleSpread*float64(backoff))+1))
}
