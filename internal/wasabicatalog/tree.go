package wasabicatalog

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// nextReaders is how many of the lowest ranks are told of changes although callers
// are not sent to them: they read next, and give orders next.
const nextReaders = 5

// Tree says which way content goes from the readers to all instances. The active
// ones, to whom callers are sent, ask the readers; each of the others, the standby
// ones, has one active instance of its zone that it asks and that tells it of new
// configurations. It is an immutable value.
//
// The failure it guards against: all instances ask the few readers several times a
// second, and at every change at once. With hundreds of instances the readers
// answer thousands of questions a second, and do nothing else just when
// configurations follow each other.
type Tree struct {
	self    wasabiridge.InstanceEntry
	active  []wasabiridge.InstanceEntry
	members []wasabiridge.Member
}

// NewTree returns the tree as an instance sees it. Active are the instances to
// whom callers are sent, with self if it is one; without any all of them count.
// Members are the other living instances.
func NewTree(self wasabiridge.InstanceEntry, active []wasabiridge.InstanceEntry, members []wasabiridge.Member) Tree {
	return Tree{self: self, active: active, members: members}
}

// Sources returns whom a standby instance asks, the best first. It returns nothing
// for an active one.
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

// Audience returns whom this instance tells of a change.
func (t Tree) Audience(c Changed) []Peer {
	var out []Peer
	if c.FromPlatform {
		out = append(t.others(), lowest(t.peers(), nextReaders)...)
	}
	if c.Config && t.isActive(t.self.ID) {
		out = append(out, t.wards()...)
	}
	slices.SortFunc(out, func(a, b Peer) int { return compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b Peer) bool { return a.ID == b.ID })
}

// others are the other active instances.
func (t Tree) others() []Peer {
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

// wards are the standby instances whose first source this one is.
func (t Tree) wards() []Peer {
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

// peers are all other living instances.
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

// nearer orders instances by how well one can ask them: those of its zone first,
// then those of its region, and equally near ones by hash, so that the work is
// shared out.
func nearer(self, a, b wasabiridge.InstanceEntry) bool {
	if x, y := distance(self, a), distance(self, b); x != y {
		return x < y
	}
	x, y := share(self, a), share(self, b)
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

func share(a, b wasabiridge.InstanceEntry) uint64 {
	return xxhash.Sum64String(string(a.ID) + "\x00" + string(b.ID))
}

// lowest returns the peers of the lowest ranks.
func lowest(peers []Peer, n int) []Peer {
	peers = slices.Clone(peers)
	sort.Slice(peers, func(a, b int) bool { return before(peers[a], peers[b]) })
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
