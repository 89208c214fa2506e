package wasabireplica

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// crossingLossPerKilobyte is the loss for each kilobyte of a request that is sent to
	// another availability zone, where bytes between zones are dear.
	crossingLossPerKilobyte = 0.008
	// crossingKilobytes is added to the size of each request: its header and its answer.
	crossingKilobytes = 1.0
	// movedGigabyteLoss is the loss for each gigabyte that an engine fetches for a copy
	// which saves crossings.
	movedGigabyteLoss = 0.2
	// copyingWait is the wait at a replica, in milliseconds, from which on it makes no
	// copies to save crossings. Copies evict other segments, and while there is a queue
	// there is no time to compute these again.
	copyingWait = 15.0
	// Uses of a segment are remembered for usesLifetime of the time after which the
	// engines evict a segment that is not used: as long as a copy is likely to last. The
	// time is at least minUsesMemory and at most maxUsesMemory.
	usesLifetime  = 0.5
	minUsesMemory = 2 * wasabiridge.Second
	maxUsesMemory = 30 * wasabiridge.Second
	// maxUsedSegments bounds the segments whose uses are remembered.
	maxUsedSegments = 4096
)

// foreignUses remembers how often all instances have sent requests with a segment to
// replicas of other availability zones. If no replica of the own zone holds the segment,
// the own zone's part of them are crossings that a copy would save.
//
// It guards against zones that each hold a part of the segments that all zones use. Every
// single crossing costs less than a copy, so nearly all long prompts would cross for
// ever.
type foreignUses struct {
	// memory is the time in which earlier uses decay to 1/e.
	memory wasabiridge.Millis
	byKey  map[uint64]usesAt
}

// usesAt is a number of uses that has decayed until a time.
type usesAt struct {
	count float64
	at    wasabiridge.Millis
}

func newForeignUses() foreignUses {
	return foreignUses{memory: minUsesMemory, byKey: map[uint64]usesAt{}}
}

// count returns the recent uses of a segment.
func (u *foreignUses) count(now wasabiridge.Millis, key uint64) float64 {
	x, ok := u.byKey[key]
	if !ok {
		return 0
	}
	return x.count * math.Exp(-float64(now-x.at)/float64(u.memory))
}

func (u *foreignUses) add(now wasabiridge.Millis, key uint64) {
	if _, known := u.byKey[key]; !known && len(u.byKey) >= maxUsedSegments {
		u.expire(now)
	}
	if _, known := u.byKey[key]; known || len(u.byKey) < maxUsedSegments {
		u.byKey[key] = usesAt{count: u.count(now, key) + 1, at: now}
	}
}

// expire removes the segments without recent uses.
func (u *foreignUses) expire(now wasabiridge.Millis) {
	for key, x := range u.byKey {
		if now-x.at > u.memory {
			delete(u.byKey, key)
		}
	}
}

// crosses reports whether requests to a replica leave the availability zone of this
// instance.
func (p *Placer) crosses(r *replica) bool {
	return p.options.Zone != "" && r.server.Zone != p.options.Zone
}

// crossingLoss returns the loss of a request that leaves the availability zone.
func (p *Placer) crossingLoss(pr *prompt) float64 {
	if !p.options.DearCrossings {
		return zoneLoss
	}
	return zoneLoss + crossingLossPerKilobyte*(float64(pr.bytes)/1000+crossingKilobytes)
}

// copyLoss returns the loss of the copies that a replica with the given wait makes of
// shared segments. It is lower by the losses of the crossings that a copy saves.
func (p *Placer) copyLoss(now wasabiridge.Millis, pl *pool, r *replica, pr *prompt, s source, wait float64) float64 {
	loss := s.recomputeLoss() + r.evictionLoss(s, pr.interval)
	if !p.options.DearCrossings || p.crosses(r) || s.copied == 0 && !s.unfetchable || wait >= copyingWait {
		return loss
	}
	saved := p.savedCrossings(now, pl, pr, r)*p.crossingLoss(pr) - movedGigabyteLoss*float64(s.copied)*float64(pl.config.TokenBytes)/1e9
	return max(0, loss-max(0, saved)*(1-wait/copyingWait))
}

// savedCrossings returns how many of the recent uses of the segments of a prompt would
// not have left this availability zone if r had held them.
func (p *Placer) savedCrossings(now wasabiridge.Millis, pl *pool, pr *prompt, r *replica) float64 {
	keys := pr.keysFor(r.weights[pr.root.Model])
	last := keys[len(keys)-1]
	for _, h := range pr.holdersOf(now, pl, last) {
		if !p.crosses(h.replica) {
			return 0
		}
	}
	return p.foreignUses.count(now, last) / float64(max(1, pl.zones))
}

// recordUse records a request with a segment that some instance has sent to a replica.
func (p *Placer) recordUse(now wasabiridge.Millis, r *replica, n wasabiridge.SegmentUpdate) {
	if p.options.DearCrossings && n.Work > 0 && p.crosses(r) {
		p.foreignUses.add(now, n.Key)
	}
}

// updateUsesMemory derives the time for which uses are remembered from the tokens that
// the replicas have stored in the time since the last call.
func (p *Placer) updateUsesMemory(now wasabiridge.Millis) {
	elapsed := now - p.usesMeasured
	if p.usesMeasured == 0 {
		p.usesMeasured = now
		return
	}
	if !p.options.DearCrossings || elapsed < minUsesMemory {
		return
	}
	p.usesMeasured = now
	limit, stored := 0, 0
	for _, r := range p.replicas {
		limit, stored = limit+r.cache.limit, stored+r.cache.stored
		r.cache.stored = 0
	}
	lifetime := float64(maxUsesMemory)
	if stored > 0 {
		lifetime = float64(elapsed) * float64(limit) / float64(stored)
	}
	p.foreignUses.memory = min(max(wasabiridge.Millis(usesLifetime*lifetime), minUsesMemory), maxUsesMemory)
}

func countZones(replicas []*replica) int {
	zones := map[wasabiridge.AvailabilityZone]bool{}
	for _, r := range replicas {
		zones[r.server.Zone] = true
	}
	return len(zones)
}
