// Package wasabicell selects the backend servers that an instance uses of a large pool.
//
// An instance that uses every server of every pool keeps a state for each, opens connections
// to each, and compares each in every decision. With thousands of servers, memory,
// connections and processor time then grow with the pool and not with the requests of the
// instance. So an instance uses a bounded number of them, its cell.
//
// # Selection
//
// Of a pool of at most MinServers servers all are used. Of a larger one the cell has the servers
// of the instance's availability zone in the order of their hashes, and after these the servers
// of the other zones. Half of the servers by which it grows are of other zones, since those of
// its own may have failed together. The order depends on the zone and on the servers only, so the instances
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
//	cell := wasabicell.Select("san-fernando", size.Servers(), entries)
package wasabicell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// MinServers is the size of a cell at first, and that of the largest pool of which all servers
	// are used. One instance has far fewer requests in flight than so many servers have slots.
	MinServers = 128
	// MaxServers bounds the size of a cell, and with it the time of a decision.
	MaxServers = 1024
	// minPerVersion is how many servers of each software version a cell has, if there are as
	// many.
	minPerVersion = 16
)

// ranked is an entry with its place in the order of a zone.
type ranked struct {
	entry *wasabiridge.BackendEntry
	hash  uint64
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.entry.Server.ID, b.entry.Server.ID))
}

// order returns entries in the order of a zone.
func order(zone wasabiridge.AvailabilityZone, entries []*wasabiridge.BackendEntry) []ranked {
	out := make([]ranked, len(entries))
	var seed xxhash.Digest
	for i, e := range entries {
		seed.Reset()
		_, _ = seed.WriteString(string(zone))
		_, _ = seed.WriteString("\x00")
		_, _ = seed.WriteString(string(e.Server.ID))
		out[i] = ranked{entry: e, hash: seed.Sum64()}
	}
	slices.SortFunc(out, compare)
	return out
}

// Select returns the entries of the servers of a pool that the instances of a zone use, in the
// order of their identifiers. The result does not depend on the order of the entries. Of a pool of
// at most size servers it is all.
func Select(zone wasabiridge.AvailabilityZone, size int, entries []*wasabiridge.BackendEntry) []*wasabiridge.BackendEntry {
	out := slices.Clone(entries)
	if len(entries) > size {
		out = selectSome(zone, size, entries)
	}
	slices.SortFunc(out, func(a, b *wasabiridge.BackendEntry) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return out
}

func selectSome(zone wasabiridge.AvailabilityZone, size int, entries []*wasabiridge.BackendEntry) []*wasabiridge.BackendEntry {
	var near, far []*wasabiridge.BackendEntry
	listed := map[wasabiridge.SoftwareVersion]int{}
	for _, e := range entries {
		listed[e.Server.Software]++
		if e.Server.Zone == zone {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	nearCount := min(len(near), MinServers+max(0, size-MinServers)/2, size)
	nearCount = max(nearCount, size-len(far))
	out := make([]*wasabiridge.BackendEntry, 0, size)
	used := map[wasabiridge.SoftwareVersion]int{}
	for _, r := range slices.Concat(order(zone, near)[:nearCount], order(zone, far)[:size-nearCount]) {
		out = append(out, r.entry)
		used[r.entry.Server.Software]++
	}
	for version, n := range listed {
		if used[version] < min(n, minPerVersion) {
			out = withVersion(zone, version, out, entries)
		}
	}
	return out
}

// withVersion returns a cell with further servers of a version.
func withVersion(zone wasabiridge.AvailabilityZone, version wasabiridge.SoftwareVersion, cell, entries []*wasabiridge.BackendEntry) []*wasabiridge.BackendEntry {
	used := map[wasabiridge.BackendServerID]bool{}
	count := 0
	for _, e := range cell {
		if e.Server.Software == version {
			used[e.Server.ID] = true
			count++
		}
	}
	var others []*wasabiridge.BackendEntry
	for _, e := range entries {
		if e.Server.Software == version && !used[e.Server.ID] {
			others = append(others, e)
		}
	}
	for _, r := range order(zone, others)[:min(len(others), minPerVersion-count)] {
		cell = append(cell, r.entry)
	}
	return cell
}
