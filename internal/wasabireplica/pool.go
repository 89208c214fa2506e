package wasabireplica

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// homesKept bounds the remembered orders of homes.
const homesKept = 8192

// pool is a pool, prepared for decisions.
type pool struct {
	config   wasabiridge.Pool
	replicas []*replica
	seeds    []uint64
	homes    map[uint64][]*replica
	// failures and delay are the medians over the replicas.
	failures, delay float64
	budget          budget
}

// homesOf returns all replicas, those with the highest rendezvous weights for
// a part first.
func (pl *pool) homesOf(part uint64) []*replica {
	if part == 0 {
		return pl.replicas
	}
	if list, ok := pl.homes[part]; ok {
		return list
	}
	if len(pl.homes) >= homesKept {
		clear(pl.homes)
	}
	order := make([]int, len(pl.replicas))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return mix(part, pl.seeds[order[a]]) > mix(part, pl.seeds[order[b]]) })
	list := make([]*replica, len(order))
	for i, at := range order {
		list[i] = pl.replicas[at]
	}
	pl.homes[part] = list
	return list
}

// mix joins the name of a part and the seed of a replica into a weight (the
// finaliser of SplitMix64).
func mix(part, seed uint64) uint64 {
	x := seed ^ part*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// adopt takes the pools of a configuration. What was learned of replicas that
// stay is kept.
func (p *Placer) adopt(c wasabiridge.Config) {
	p.kept = c.KeptCaches
	seen := map[wasabiridge.BackendServerID]bool{}
	pools := map[wasabiridge.PoolID]*pool{}
	for _, cp := range c.Pools {
		pl := &pool{config: cp, homes: map[uint64][]*replica{}}
		if before := p.pools[cp.ID]; before != nil {
			pl.budget, pl.failures, pl.delay = before.budget, before.failures, before.delay
		}
		backends := slices.SortedFunc(slices.Values(cp.Backends), func(a, b wasabiridge.BackendServer) int {
			return compare(a.ID, b.ID)
		})
		for _, b := range backends {
			seen[b.ID] = true
			r := p.replicas[b.ID]
			if r == nil {
				r = newReplica(b)
				p.replicas[b.ID] = r
			}
			r.server, r.gone = b, false
			pl.replicas = append(pl.replicas, r)
			pl.seeds = append(pl.seeds, xxhash.Sum64String(string(b.ID)))
		}
		pools[cp.ID] = pl
	}
	p.pools = pools
	for id, r := range p.replicas {
		if seen[id] {
			continue
		}
		r.gone = true
		if r.inside <= 0 {
			delete(p.replicas, id)
		}
	}
}

func compare(a, b wasabiridge.BackendServerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// review takes the medians of what was learned.
func (pl *pool) review() {
	var failures, delays []float64
	for _, r := range pl.replicas {
		failures = append(failures, r.failures)
		if r.samples > 0 {
			delays = append(delays, r.delay)
		}
	}
	pl.failures, pl.delay = median(failures), median(delays)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[len(values)/2]
}
