package wasabicatalog

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// order sorts the peers by rank and finds this instance's own.
func (m *Machine) order(peers []Peer) {
	if slices.Equal(peers, m.given) {
		return
	}
	m.given = append(m.given[:0], peers...)
	m.peers = append(m.peers[:0], peers...)
	sort.Slice(m.peers, func(a, b int) bool { return before(m.peers[a], m.peers[b]) })
	m.rank = 0
	for m.rank < len(m.peers) && before(m.peers[m.rank], m.self) {
		m.rank++
	}
}

// RankOf returns the place of an instance among the living members.
func RankOf(self wasabiridge.InstanceEntry, members []wasabiridge.Member) int {
	rank := 0
	for _, m := range members {
		if !m.Leaving && before(PeerOf(m.InstanceEntry), PeerOf(self)) {
			rank++
		}
	}
	return rank
}

// PeerOf returns an instance as the catalog knows it.
func PeerOf(e wasabiridge.InstanceEntry) Peer {
	return Peer{ID: e.ID, Address: e.PeerAddress, Weight: e.Weight()}
}

// before orders the ranks. Reading the platform and giving orders is work, and
// a small instance that does it answers late, itself and the others.
func before(a, b Peer) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	x, y := xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))
	return x < y || x == y && a.ID < b.ID
}
