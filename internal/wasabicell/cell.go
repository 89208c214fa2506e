// Package wasabicell selects the backend servers that an instance uses of a large pool.
//
// An instance that uses every server of every pool keeps a state for each, opens connections
// to each, and compares each in every decision. With thousands of servers, memory,
// connections and processor time then grow with the pool and not with the requests of the
// instance. So an instance uses a bounded number of them, its cell.
//
// # Selection
//
// A pool of at most MinServers servers is used whole. Of a larger one the cell has the servers
// of the instance's availability zone in the order of their hashes, and after these the servers
// of the other zones. The order depends on the zone and on the servers only, so the instances
// of a zone use the same servers without exchanging anything: they meet at the engines that
// hold a prompt, and updates on placements are needed within a zone only. When a server goes,
// the next one in the order takes its place; all others stay. Each zone orders the servers of
// the other zones in its own way, so that a zone that has lost its servers does not send all
// of its requests to those that another zone uses most.
//
// A cell has servers of every software version of the pool, as far as there are enough, since
// a stream goes on only at the version at which it began.
//
// # Size
//
// Size doubles the cell of a pool while its servers are short of capacity, up to MaxServers, and
// halves it when they have been idle for a while.
//
// # Usage
//
//	size := wasabicell.NewSize()
//	size = size.Observe(now, wasabicell.Use{Load: 0.7})
//	cell := wasabicell.Select("san-fernando", size.Servers(), pool.Backends)
package wasabicell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// MinServers is the size of a cell at first, and that of the largest pool that is used
	// whole. One instance has far fewer requests in flight than so many servers have slots.
	MinServers = 128
	// MaxServers bounds the size of a cell, and with it the time of a decision.
	MaxServers = 1024
	// minPerVersion is how many servers of each software version a cell has, if there are as
	// many.
	minPerVersion = 16
)

// ranked is a server with its place in the order of a zone.
type ranked struct {
	server *wasabiridge.BackendServer
	far    bool
	hash   uint64
}

func compare(a, b ranked) int {
	switch {
	case a.far != b.far && b.far:
		return -1
	case a.far != b.far:
		return 1
	}
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.server.ID, b.server.ID))
}

// Select returns the servers of a pool that the instances of a zone use, in the order of their
// identifiers. The result does not depend on the order of the servers. A pool of at most size
// servers is used whole. The servers are not modified.
func Select(zone wasabiridge.AvailabilityZone, size int, servers []*wasabiridge.BackendServer) []wasabiridge.BackendServer {
	out := make([]wasabiridge.BackendServer, 0, min(len(servers), size+minPerVersion))
	if len(servers) <= size {
		for _, s := range servers {
			out = append(out, *s)
		}
		return out
	}
	all := make([]ranked, len(servers))
	var seed xxhash.Digest
	for i, s := range servers {
		seed.Reset()
		_, _ = seed.WriteString(string(zone))
		_, _ = seed.WriteString("\x00")
		_, _ = seed.WriteString(string(s.ID))
		all[i] = ranked{server: s, far: s.Zone != zone, hash: seed.Sum64()}
	}
	slices.SortFunc(all, compare)
	count := map[wasabiridge.SoftwareVersion]int{}
	for i, r := range all {
		if i < size || count[r.server.Software] < minPerVersion {
			out = append(out, *r.server)
			count[r.server.Software]++
		}
	}
	slices.SortFunc(out, func(a, b wasabiridge.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
