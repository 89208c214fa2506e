package wasabirate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// departedRetention is how long an instance that is no longer seen keeps its share. It
	// may be partitioned and go on sending.
	departedRetention = wasabiridge.Minute
	// selfRetention is how long this instance uses its share after callers have ceased to be
	// sent to it.
	selfRetention = 3 * wasabiridge.Second
	// soloDelay is how long after its start an instance that sees no other one waits before
	// it assumes that there is none.
	soloDelay = 10 * wasabiridge.Second
	// joinDelay is how long an instance that joins the group takes next to nothing, until the
	// others know it and take less, and until those that left before it could see them use
	// their shares no more.
	joinDelay = selfRetention + 2*wasabiridge.Second
)

// Group holds the instances that serve callers, as seen by one of them.
//
// An instance has a share only while callers are sent to it, and for selfRetention after
// that: the others do not count it otherwise, and the shares would add up to more than
// there is.
type Group struct {
	self wasabiridge.InstanceID
	// departedAt is when an instance was last seen. Zero means that it is seen now. It does
	// not contain this instance before callers are sent to it.
	departedAt map[wasabiridge.InstanceID]wasabiridge.Millis
	// firstSetAt is when SetInstances was first called, and joinedAt when this instance
	// joined the group.
	firstSetAt, joinedAt wasabiridge.Millis
	// stage is how much this instance may take. version changes with the shares.
	stage   stage
	version uint64
}

// stage is how much of its share an instance may take.
type stage uint8

const (
	// stageAlone is that of an instance that sees no other one, although others may merely
	// not have been seen yet.
	stageAlone stage = iota
	// stageOutside is that of an instance that has no share.
	stageOutside
	// stageJoining is that of an instance that not all others may know yet.
	stageJoining
	stageMember
)

// NewGroup returns a Group that contains only the instance self.
func NewGroup(self wasabiridge.InstanceID) *Group {
	return &Group{self: self, departedAt: map[wasabiridge.InstanceID]wasabiridge.Millis{self: 0}, version: 1}
}

// SetInstances updates the instances that serve callers. It reports whether one has joined.
func (g *Group) SetInstances(now wasabiridge.Millis, instances []wasabiridge.InstanceID) (joined bool) {
	if g.firstSetAt == 0 {
		g.firstSetAt = now
		delete(g.departedAt, g.self)
	}
	for id, departedAt := range g.departedAt {
		switch {
		case departedAt != 0 || slices.Contains(instances, id):
		case id == g.self && g.stage == stageAlone:
			// Only this instance has seen itself in the group.
			delete(g.departedAt, id)
		default:
			g.departedAt[id] = now
		}
	}
	for _, id := range instances {
		departedAt, known := g.departedAt[id]
		if known && departedAt == 0 {
			continue
		}
		if !known && id == g.self {
			g.joinedAt = now
		}
		g.departedAt[id] = 0
		g.version++
		joined = joined || !known
	}
	g.Expire(now)
	return joined
}

// Size returns the number of instances that share the servers.
func (g *Group) Size() int { return len(g.departedAt) }

// Outside reports whether this instance has no share, because callers are not sent to it.
func (g *Group) Outside() bool { return g.stage == stageOutside }

// Expire removes instances that have not been seen for departedRetention, and lets this
// instance take more as time passes.
func (g *Group) Expire(now wasabiridge.Millis) {
	for id, departedAt := range g.departedAt {
		retention := departedRetention
		if id == g.self {
			retention = selfRetention
		}
		if departedAt != 0 && now-departedAt >= retention {
			delete(g.departedAt, id)
			g.version++
		}
	}
	if after := g.stageAt(now); after != g.stage {
		g.stage = after
		g.version++
	}
}

func (g *Group) stageAt(now wasabiridge.Millis) stage {
	_, inside := g.departedAt[g.self]
	switch {
	case g.firstSetAt == 0:
		return stageAlone
	case !inside:
		return stageOutside
	case len(g.departedAt) == 1 && now-g.firstSetAt < soloDelay:
		return stageAlone
	case len(g.departedAt) > 1 && now-g.joinedAt < joinDelay:
		return stageJoining
	default:
		return stageMember
	}
}

// Part returns how much of an amount of a server, such as its slots, this instance may
// take: an equal part, and one more of what is left if it ranks first at the server. All
// parts add up to the amount. senders is the number of instances that have a part.
//
// Until other instances have had the time to see this one, the part is one at most.
func (g *Group) Part(server wasabiridge.BackendServerID, amount int) (part, senders int) {
	size := len(g.departedAt)
	switch {
	case g.stage == stageOutside || amount <= 0:
		return 0, size
	case g.stage == stageAlone:
		return min(1, amount), amount
	}
	part = amount / size
	if g.Rank(server) < amount%size {
		part++
	}
	if g.stage == stageJoining {
		part = min(1, part)
	}
	return part, min(size, amount)
}

// Rank returns how many instances come before this one at a server.
func (g *Group) Rank(server wasabiridge.BackendServerID) int {
	own, before := rendezvousWeight(server, g.self), 0
	for id := range g.departedAt {
		if w := rendezvousWeight(server, id); w > own || w == own && id < g.self {
			before++
		}
	}
	return before
}

// share returns the rate at which this instance may send to a server that takes the
// given rate, in requests per second.
//
// It guards against instances that start together and each take the whole rate before
// they see the others. Until they may be expected to, they send at most at leastRate.
func (g *Group) share(server wasabiridge.BackendServerID, rate float64) float64 {
	switch g.stage {
	case stageOutside:
		return 0
	case stageAlone:
		return min(rate, leastRate)
	}
	senders := int(min(max(1, sendersPerRate*rate), float64(len(g.departedAt))))
	switch {
	case g.Rank(server) >= senders:
		return 0
	case g.stage == stageJoining:
		return min(rate/float64(senders), leastRate)
	default:
		return rate / float64(senders)
	}
}

// rendezvousWeight ranks an instance at a server. All instances compute the same ranks.
func rendezvousWeight(server wasabiridge.BackendServerID, id wasabiridge.InstanceID) uint64 {
	return xxhash.Sum64String(string(server) + "\x00" + string(id))
}
