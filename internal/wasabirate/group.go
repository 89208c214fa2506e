package wasabirate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// memory is how long an instance that is not seen any more keeps its part. It may have
// been cut off and go on sending.
const memory = wasabiridge.Minute

// aloneAfter is how long after its start an instance that knows of no others takes it
// that there are none.
const aloneAfter = 10 * wasabiridge.Second

// Group is the instances that callers are sent to, as one of them sees them.
type Group struct {
	self wasabiridge.InstanceID
	// left is when an instance was seen last. Zero means that it is seen now.
	left map[wasabiridge.InstanceID]wasabiridge.Millis
	// begun is when the group was first told of. alone says that nobody else is known, and
	// that others may just not have been seen yet.
	begun   wasabiridge.Millis
	alone   bool
	version uint64
}

// NewGroup returns a group of which only one instance is known.
func NewGroup(self wasabiridge.InstanceID) *Group {
	return &Group{self: self, left: map[wasabiridge.InstanceID]wasabiridge.Millis{self: 0}, alone: true, version: 1}
}

// Set says which instances callers are sent to.
func (g *Group) Set(now wasabiridge.Millis, instances []wasabiridge.InstanceID) {
	if g.begun == 0 {
		g.begun = now
	}
	for id, left := range g.left {
		if left == 0 && !slices.Contains(instances, id) {
			g.left[id] = now
		}
	}
	for _, id := range instances {
		if left, known := g.left[id]; !known || left != 0 {
			g.left[id] = 0
			g.version++
		}
	}
	g.Tick(now)
}

// Tick forgets instances that have not been seen for long.
func (g *Group) Tick(now wasabiridge.Millis) {
	for id, left := range g.left {
		if left != 0 && now-left >= memory {
			delete(g.left, id)
			g.version++
		}
	}
	if alone := len(g.left) == 1 && (g.begun == 0 || now-g.begun < aloneAfter); alone != g.alone {
		g.alone = alone
		g.version++
	}
}

// part is what this instance may send to a server that takes a rate.
//
// The failure it guards against: instances start together, and each takes the whole rate
// until it knows the others.
func (g *Group) part(server wasabiridge.BackendServerID, rate float64) float64 {
	if _, known := g.left[g.self]; !known {
		return 0
	}
	if g.alone {
		return min(rate, leastRate)
	}
	senders := int(min(max(1, sendersPerRate*rate), float64(len(g.left))))
	own, before := weight(server, g.self), 0
	for id := range g.left {
		if w := weight(server, id); w > own || w == own && id < g.self {
			before++
		}
	}
	if before >= senders {
		return 0
	}
	return rate / float64(senders)
}

// weight is the rank of an instance at a server, by which all instances choose alike.
func weight(server wasabiridge.BackendServerID, id wasabiridge.InstanceID) uint64 {
	return xxhash.Sum64String(string(server) + "\x00" + string(id))
}
