package wasabirate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// departedRetention is how long an instance that is no longer seen keeps its share. It
// may be partitioned and go on sending.
const departedRetention = wasabiridge.Minute

// soloDelay is how long after its start an instance that sees no other one waits before
// it assumes that there is none.
const soloDelay = 10 * wasabiridge.Second

// Group holds the instances that serve callers, as seen by one of them.
type Group struct {
	self wasabiridge.InstanceID
	// departedAt is when an instance was last seen. Zero means that it is seen now.
	departedAt map[wasabiridge.InstanceID]wasabiridge.Millis
	// firstSetAt is when SetInstances was first called. alone is set while no other
	// instance is known and others may merely not have been seen yet. version changes
	// with the shares.
	firstSetAt wasabiridge.Millis
	alone      bool
	version    uint64
}

// NewGroup returns a Group that contains only the instance self.
func NewGroup(self wasabiridge.InstanceID) *Group {
	return &Group{self: self, departedAt: map[wasabiridge.InstanceID]wasabiridge.Millis{self: 0}, alone: true, version: 1}
}

// SetInstances updates the instances that serve callers.
func (g *Group) SetInstances(now wasabiridge.Millis, instances []wasabiridge.InstanceID) {
	if g.firstSetAt == 0 {
		g.firstSetAt = now
	}
	for id, departedAt := range g.departedAt {
		if departedAt == 0 && !slices.Contains(instances, id) {
			g.departedAt[id] = now
		}
	}
	for _, id := range instances {
		if departedAt, known := g.departedAt[id]; !known || departedAt != 0 {
			g.departedAt[id] = 0
			g.version++
		}
	}
	g.Expire(now)
}

// Size returns the number of instances that share the servers.
func (g *Group) Size() int { return len(g.departedAt) }

// Expire removes instances that have not been seen for departedRetention. After soloDelay
// it lets an instance that sees no other one use the whole rate.
func (g *Group) Expire(now wasabiridge.Millis) {
	for id, departedAt := range g.departedAt {
		if departedAt != 0 && now-departedAt >= departedRetention {
			delete(g.departedAt, id)
			g.version++
		}
	}
	if alone := len(g.departedAt) == 1 && (g.firstSetAt == 0 || now-g.firstSetAt < soloDelay); alone != g.alone {
		g.alone = alone
		g.version++
	}
}

// Part returns how much of an amount of a server, such as its slots, this instance may
// take: an equal part, and one more of what is left if it ranks first at the server. All
// parts add up to the amount. senders is the number of instances that have a part.
//
// While no other instance is known and others may merely not have been seen yet, the part
// is one at most.
func (g *Group) Part(server wasabiridge.BackendServerID, amount int) (part, senders int) {
	size := len(g.departedAt)
	if _, known := g.departedAt[g.self]; !known || amount <= 0 {
		return 0, size
	}
	if g.alone {
		return min(1, amount), amount
	}
	part = amount / size
	if g.rank(server) < amount%size {
		part++
	}
	return part, min(size, amount)
}

// rank returns how many instances come before this one at a server.
func (g *Group) rank(server wasabiridge.BackendServerID) int {
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
// they see the others. Until soloDelay has passed, such an instance sends at most at
// leastRate.
func (g *Group) share(server wasabiridge.BackendServerID, rate float64) float64 {
	if _, known := g.departedAt[g.self]; !known {
		return 0
	}
	if g.alone {
		return min(rate, leastRate)
	}
	senders := int(min(max(1, sendersPerRate*rate), float64(len(g.departedAt))))
	if g.rank(server) >= senders {
		return 0
	}
	return rate / float64(senders)
}

// rendezvousWeight ranks an instance at a server. All instances compute the same ranks.
func rendezvousWeight(server wasabiridge.BackendServerID, id wasabiridge.InstanceID) uint64 {
	return xxhash.Sum64String(string(server) + "\x00" + string(id))
}
