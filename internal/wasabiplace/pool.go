package wasabiplace

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
)

const (
	// homesKept is how many homes of a bucket are remembered, in order of
	// their rank.
	homesKept = 8
	// bucketCount is how many buckets prefix levels fall into. The homes of a
	// bucket are worked out when first needed, so that no decision hashes a
	// level against a whole pool.
	bucketCount = 4096
)

// member is one server of a pool.
type member struct {
	backend  wasabiridge.BackendServer
	server   wasabicache.ServerIndex
	seed     uint64
	distance wasabiridge.Millis
	// round and candidate tell whether the member is a candidate of the
	// decision that is being made, and which.
	round     uint64
	candidate int32
}

// table is a pool, prepared for decisions.
type table struct {
	id      wasabiridge.PoolID
	source  []wasabiridge.BackendServer
	members []member
	// positions maps servers to members. Servers of other pools are -1.
	positions []int32
	homes     [][homesKept]int32
	known     []bool
	// asked counts the blocks of recent prompts, as of counted.
	asked   float64
	counted wasabiridge.Millis
	// cost is learned over all servers of the pool. usual is the usual number
	// of computed tokens.
	cost  tokenCost
	usual float64
	// queued counts the requests that wait at all servers, up to maxDelayed at
	// each.
	queued int
}

func (p *Placer) newTable(pool wasabiridge.Pool) *table {
	t := &table{
		id:      pool.ID,
		source:  pool.Backends,
		members: make([]member, len(pool.Backends)),
		homes:   make([][homesKept]int32, bucketCount),
		known:   make([]bool, bucketCount),
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

// table returns the prepared pool. Pools are immutable values, so a pool whose
// servers stand at the same place in memory is the same.
func (p *Placer) table(pool wasabiridge.Pool) *table {
	t := p.tables[pool.ID]
	if t != nil && t.fits(pool) {
		return t
	}
	next := p.newTable(pool)
	if t != nil {
		next.asked, next.counted = t.asked, t.counted
		next.cost, next.usual = t.cost, t.usual
	}
	p.tables[pool.ID] = next
	return next
}

func (t *table) fits(pool wasabiridge.Pool) bool {
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

// homesOf returns the members with the highest rendezvous weights for a level,
// best first. Free places hold -1.
func (t *table) homesOf(b wasabiridge.BlockHash) *[homesKept]int32 {
	bucket := uint64(b) % bucketCount
	homes := &t.homes[bucket]
	if t.known[bucket] {
		return homes
	}
	t.known[bucket] = true
	var weights [homesKept]uint64
	for i := range homes {
		homes[i] = -1
	}
	for i := range t.members {
		rank(homes, &weights, int32(i), mix(bucket, t.members[i].seed))
	}
	return homes
}

// rank puts a member among the best so far.
func rank(homes *[homesKept]int32, weights *[homesKept]uint64, i int32, w uint64) {
	if homes[homesKept-1] >= 0 && w <= weights[homesKept-1] {
		return
	}
	at := homesKept - 1
	for at > 0 && (homes[at-1] < 0 || w > weights[at-1]) {
		homes[at], weights[at] = homes[at-1], weights[at-1]
		at--
	}
	homes[at], weights[at] = i, w
}

// waiting is how many requests wait at a server of the pool on average.
func (t *table) waiting() float64 {
	return float64(t.queued) / float64(max(1, len(t.members)))
}

// mix joins the number of a bucket and the seed of a server into a weight
// (the finaliser of SplitMix64).
func mix(bucket, seed uint64) uint64 {
	x := seed ^ (bucket+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
