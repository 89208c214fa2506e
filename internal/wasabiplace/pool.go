package wasabiplace

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
)

const (
	// maxRankedHomes is how many homes of a bucket are stored, in rendezvous
	// order.
	maxRankedHomes = 8
	// bucketCount is the number of buckets into which prefix levels are hashed.
	// The homes of a bucket are computed on first use, so that no decision
	// hashes a level against the whole pool.
	bucketCount = 4096
)

// member is one server of a pool.
type member struct {
	backend  wasabiridge.BackendServer
	server   wasabicache.ServerIndex
	seed     uint64
	distance wasabiridge.Millis
	// round is the number of the decision for which candidate, the index of the
	// member's candidate, is valid.
	round     uint64
	candidate int32
}

// table holds the precomputed data of a pool.
type table struct {
	id      wasabiridge.PoolID
	source  []wasabiridge.BackendServer
	members []member
	// positions maps server indices to members. Servers of other pools map to
	// -1.
	positions     []int32
	homes         [][maxRankedHomes]int32
	homesComputed []bool
	// recentBlocks is the decayed number of blocks in recent prompts, as of
	// recentBlocksAt.
	recentBlocks   float64
	recentBlocksAt wasabiridge.Millis
	// cost is estimated over all servers of the pool. avgComputed is the moving
	// average of the computed tokens per prompt.
	cost        tokenCost
	avgComputed float64
	// queued sums the waiting requests of all servers, counting at most
	// maxDelayed of each.
	queued int
}

func (p *Placer) newTable(pool wasabiridge.Pool) *table {
	t := &table{
		id:            pool.ID,
		source:        pool.Backends,
		members:       make([]member, len(pool.Backends)),
		homes:         make([][maxRankedHomes]int32, bucketCount),
		homesComputed: make([]bool, bucketCount),
	}
	for i, b := range pool.Backends {
		m := &t.members[i]
		m.backend, m.server, m.seed = b, p.server(b.ID), xxhash.Sum64String(string(b.ID))
		if p.opts.Zone != "" && b.Zone != p.opts.Zone {
			m.distance = p.opts.ZoneDistance
		}
		for len(t.positions) <= int(m.server) {
			t.positions = append(t.positions, -1)
		}
		t.positions[m.server] = int32(i)
		l := &p.loads[m.server]
		l.pool = t
		t.queued += min(l.queued, maxDelayed)
	}
	return t
}

// table returns the data of the pool. Pools are immutable values, so a pool
// with the same backing array of servers is unchanged.
func (p *Placer) table(pool wasabiridge.Pool) *table {
	t := p.tables[pool.ID]
	if t != nil && t.hasBackends(pool) {
		return t
	}
	next := p.newTable(pool)
	if t != nil {
		next.recentBlocks, next.recentBlocksAt = t.recentBlocks, t.recentBlocksAt
		next.cost, next.avgComputed = t.cost, t.avgComputed
	}
	p.tables[pool.ID] = next
	return next
}

func (t *table) hasBackends(pool wasabiridge.Pool) bool {
	if len(t.source) != len(pool.Backends) {
		return false
	}
	return len(t.source) == 0 || &t.source[0] == &pool.Backends[0]
}

func (t *table) position(s wasabicache.ServerIndex) int32 {
	if int(s) >= len(t.positions) {
		return -1
	}
	return t.positions[s]
}

// homesOf returns the members with the highest rendezvous weights for the
// bucket of a level, in descending order. Unused entries are -1.
func (t *table) homesOf(b wasabiridge.BlockHash) *[maxRankedHomes]int32 {
	bucket := uint64(b) % bucketCount
	homes := &t.homes[bucket]
	if t.homesComputed[bucket] {
		return homes
	}
	t.homesComputed[bucket] = true
	var weights [maxRankedHomes]uint64
	for i := range homes {
		homes[i] = -1
	}
	for i := range t.members {
		insertRanked(homes, &weights, int32(i), mix(bucket, t.members[i].seed))
	}
	return homes
}

// insertRanked inserts a member into the homes if its weight is high enough.
func insertRanked(homes *[maxRankedHomes]int32, weights *[maxRankedHomes]uint64, i int32, w uint64) {
	if homes[maxRankedHomes-1] >= 0 && w <= weights[maxRankedHomes-1] {
		return
	}
	at := maxRankedHomes - 1
	for at > 0 && (homes[at-1] < 0 || w > weights[at-1]) {
		homes[at], weights[at] = homes[at-1], weights[at-1]
		at--
	}
	homes[at], weights[at] = i, w
}

// waiting returns the mean number of waiting requests per server of the pool.
func (t *table) waiting() float64 {
	return float64(t.queued) / float64(max(1, len(t.members)))
}

// mix combines a bucket number and a server seed into a rendezvous weight, with
// the finaliser of SplitMix64.
func mix(bucket, seed uint64) uint64 {
	x := seed ^ (bucket+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
