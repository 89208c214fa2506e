package wasabicatalog

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// rankPeers sorts the peers by rank and determines the rank of this instance.
func (m *Machine) rankPeers(peers []Peer) {
	if slices.Equal(peers, m.lastPeers) {
		return
	}
	m.lastPeers = append(m.lastPeers[:0], peers...)
	m.peers = append(m.peers[:0], peers...)
	sort.Slice(m.peers, func(a, b int) bool { return ranksBefore(m.peers[a], m.peers[b]) })
	m.rank = 0
	for m.rank < len(m.peers) && ranksBefore(m.peers[m.rank], m.self) {
		m.rank++
	}
}

// RankOf returns the position of an instance among the live members.
func RankOf(self wasabiridge.InstanceEntry, members []wasabiridge.Member) int {
	rank := 0
	for _, m := range members {
		if !m.Leaving && ranksBefore(PeerOf(m.InstanceEntry), PeerOf(self)) {
			rank++
		}
	}
	return rank
}

// PeerOf converts an entry of the list of instances to a Peer.
func PeerOf(e wasabiridge.InstanceEntry) Peer {
	return Peer{ID: e.ID, Address: e.PeerAddress, Weight: e.Weight()}
}

// ranksBefore orders the ranks. Polling the platform and sending orders to engines
// costs CPU time, and on a small instance it delays responses to callers and to other
// instances.
func ranksBefore(a, b Peer) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	x, y := xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))
	return x < y || x == y && a.ID < b.ID
}
