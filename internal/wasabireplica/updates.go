package wasabireplica

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxPendingSegments bounds the segment updates that wait to be sent. When the
	// limit is reached the oldest is dropped; at worst the other instances have that
	// segment computed again.
	maxPendingSegments = 1024
	// peerLoadExpiry is how long a load that another instance reports stays valid.
	peerLoadExpiry = 1500 * wasabiridge.Millis(1)
)

// peerUpdates are the segment updates that were not sent to the other instances yet.
type peerUpdates struct {
	segments []wasabiridge.SegmentUpdate
}

func (u *peerUpdates) add(p wasabiridge.SegmentUpdate) {
	if len(u.segments) >= maxPendingSegments {
		u.segments = u.segments[1:]
	}
	u.segments = append(u.segments, p)
}

// TakeUpdates returns the state updates to send to the other instances, and clears them.
// It leaves out the loads of replicas that have not changed since the last call.
func (p *Placer) TakeUpdates(now wasabiridge.Millis) ([]wasabiridge.LoadUpdate, []wasabiridge.SegmentUpdate) {
	segments := p.peerUpdates.segments
	p.peerUpdates.segments = nil
	var loads []wasabiridge.LoadUpdate
	brittle := p.takeBrittleUpdates(now)
	for id, r := range p.replicas {
		limit := r.takeLimitUpdate(now)
		slowness, answers := 0.0, 0
		if p.options.UnevenServers {
			slowness, answers = r.takeSlowness()
		}
		if r.own == r.sentLoad && !limit.Known && !brittle[id].Known && answers == 0 {
			continue
		}
		r.sentLoad = r.own
		loads = append(loads, wasabiridge.LoadUpdate{
			Backend: id, InFlight: r.own.requests, Tokens: r.own.tokens, Limit: limit, Brittle: brittle[id], Slowness: slowness, SlownessAnswers: answers,
		})
	}
	slices.SortFunc(loads, func(a, b wasabiridge.LoadUpdate) int { return compare(a.Backend, b.Backend) })
	return loads, segments
}

// peerLoad is the load of another instance at a replica.
type peerLoad struct {
	load
	at wasabiridge.Millis
}

// peerPlaced applies a state update from another instance.
func (p *Placer) peerPlaced(now wasabiridge.Millis, e wasabiridge.PeerPlaced) {
	for _, l := range e.Loads {
		if r := p.replicas[l.Backend]; r != nil {
			r.peers[e.From] = peerLoad{load: load{requests: l.InFlight, tokens: l.Tokens}, at: now}
			r.applyPeerLimit(now, l.Limit)
			p.applyPeerBrittle(now, r, l.Brittle)
			if p.options.UnevenServers {
				r.mergeSlowness(now, l.Slowness, l.SlownessAnswers)
			}
		}
	}
	for _, segment := range e.Segments {
		r := p.replicas[segment.Backend]
		if r == nil || !p.acceptIncarnation(now, r, segment.Incarnation) {
			continue
		}
		if segment.Ready {
			r.cache.now = now
			r.cache.touch(segment.Key, segment.Tokens)
			r.cache.markReady(segment.Key)
			r.prefillQueue.markStarted(now, func(w queuedPrompt) bool { return w.attempt == 0 && w.key == segment.Key })
			continue
		}
		p.recordSegment(now, r, segment)
		if segment.Work > 0 {
			r.prefillQueue.push(now, queuedPrompt{key: segment.Key, priority: segment.Priority, remaining: float64(segment.Work)})
		}
	}
}
