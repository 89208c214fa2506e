package wasabicatalog

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// nextPollers is how many instances of the lowest ranks are notified of changes even
// when they are standby instances: they are the next to poll the platform and to send
// orders to engines.
const nextPollers = 5

// Tree defines how content is distributed from the pollers to all instances. Active
// instances, to which callers are directed, query the pollers. Each other instance, a
// standby instance, queries one active instance of its zone, which notifies it of new
// configurations. It is an immutable value.
//
// The failure it guards against: all instances query the few pollers several times a
// second, and at every change at once. With hundreds of instances the pollers answer
// thousands of queries a second and have no time for anything else just when
// configurations change in quick succession.
type Tree struct {
	self    wasabiridge.InstanceEntry
	active  []wasabiridge.InstanceEntry
	members []wasabiridge.Member
}

// NewTree returns the tree as seen by the instance self. Active are the instances to
// which callers are directed, including self if it is one; when the list is empty, all
// instances are active. Members are the other live instances.
func NewTree(self wasabiridge.InstanceEntry, active []wasabiridge.InstanceEntry, members []wasabiridge.Member) Tree {
	return Tree{self: self, active: active, members: members}
}

// Sources returns the instances that a standby instance queries, the best first. It
// returns nil for an active instance.
func (t Tree) Sources() []Peer {
	if t.isActive(t.self.ID) {
		return nil
	}
	order := slices.Clone(t.active)
	sort.SliceStable(order, func(i, j int) bool { return nearer(t.self, order[i], order[j]) })
	var out []Peer
	for _, e := range order {
		out = append(out, PeerOf(e))
	}
	return out
}

// Recipients returns the instances that this instance notifies of a change.
func (t Tree) Recipients(c Changed) []Peer {
	var out []Peer
	if c.FromPlatform {
		out = append(t.otherActive(), lowestRanked(t.peers(), nextPollers)...)
	}
	if c.Config && t.isActive(t.self.ID) {
		out = append(out, t.followers()...)
	}
	slices.SortFunc(out, func(a, b Peer) int { return compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b Peer) bool { return a.ID == b.ID })
}

// otherActive returns the other active instances.
func (t Tree) otherActive() []Peer {
	if len(t.active) == 0 {
		return t.peers()
	}
	var out []Peer
	for _, e := range t.active {
		if e.ID != t.self.ID && e.PeerAddress != "" {
			out = append(out, PeerOf(e))
		}
	}
	return out
}

// followers returns the standby instances whose first source is this instance.
func (t Tree) followers() []Peer {
	if len(t.active) == 0 {
		return nil
	}
	var out []Peer
	for _, m := range t.members {
		if m.Leaving || m.PeerAddress == "" || t.isActive(m.ID) {
			continue
		}
		first := t.active[0]
		for _, a := range t.active[1:] {
			if nearer(m.InstanceEntry, a, first) {
				first = a
			}
		}
		if first.ID == t.self.ID {
			out = append(out, PeerOf(m.InstanceEntry))
		}
	}
	return out
}

// peers returns all other live instances.
func (t Tree) peers() []Peer {
	var out []Peer
	for _, m := range t.members {
		if !m.Leaving && m.PeerAddress != "" {
			out = append(out, PeerOf(m.InstanceEntry))
		}
	}
	return out
}

func (t Tree) isActive(id wasabiridge.InstanceID) bool {
	return len(t.active) == 0 || slices.ContainsFunc(t.active, func(e wasabiridge.InstanceEntry) bool { return e.ID == id })
}

// nearer orders instances by network distance from self: those of its zone first, then
// those of its region. Equally distant ones are ordered by rendezvous hash, which
// distributes the load.
func nearer(self, a, b wasabiridge.InstanceEntry) bool {
	if x, y := distance(self, a), distance(self, b); x != y {
		return x < y
	}
	x, y := rendezvousHash(self, a), rendezvousHash(self, b)
	return x > y || x == y && a.ID < b.ID
}

func distance(a, b wasabiridge.InstanceEntry) int {
	switch {
	case a.Zone == b.Zone:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}

func rendezvousHash(a, b wasabiridge.InstanceEntry) uint64 {
	return xxhash.Sum64String(string(a.ID) + "\x00" + string(b.ID))
}

// lowestRanked returns the n peers with the lowest ranks.
func lowestRanked(peers []Peer, n int) []Peer {
	peers = slices.Clone(peers)
	sort.Slice(peers, func(a, b int) bool { return ranksBefore(peers[a], peers[b]) })
	return peers[:min(n, len(peers))]
}

func compare(a, b wasabiridge.InstanceID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
