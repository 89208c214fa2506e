// Package wasabibaseline holds simple Placers to measure others against:
// round robin, least loaded, rendezvous hashing on the whole prompt,
// rendezvous hashing on the first level of the prompt with bounded load, and
// an oracle that knows every cache and queue exactly.
//
// All but the oracle know only what a Decider is told. None of them claims
// cached tokens, again but for the oracle.
//
// # Usage
//
//	placer := wasabibaseline.NewLeastLoaded(seed)
//	placement, ok := placer.Place(now, query)
package wasabibaseline

import (
	"sort"

	"github.com/wasabiridge/wasabiridge"
)

// boundedLoad is how far above the mean load a server may be before the
// rendezvous with bounded load passes it over.
const boundedLoad = 1.25

type roundRobin struct {
	*view
	cursor int
}

// NewRoundRobin returns a Placer that takes the servers of a pool in turn. It
// starts at a place drawn from the seed.
func NewRoundRobin(seed uint64) wasabiridge.Placer {
	v := newView(seed)
	return &roundRobin{view: v, cursor: v.random.IntN(1 << 16)}
}

// Place chooses the next server.
func (p *roundRobin) Place(_ wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	servers := p.eligible(q)
	if len(servers) == 0 {
		return wasabiridge.Placement{}, false
	}
	p.cursor++
	return wasabiridge.Placement{Backend: servers[p.cursor%len(servers)], Why: "turn"}, true
}

type leastLoaded struct{ *view }

// NewLeastLoaded returns a Placer that takes the server with the fewest
// requests, by the last report and what was sent and ended since. Ties are
// broken at random.
func NewLeastLoaded(seed uint64) wasabiridge.Placer {
	return &leastLoaded{view: newView(seed)}
}

// Place chooses the least loaded server.
func (p *leastLoaded) Place(_ wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	servers := p.eligible(q)
	if len(servers) == 0 {
		return wasabiridge.Placement{}, false
	}
	start := p.random.IntN(len(servers))
	best := servers[start]
	for i := range servers {
		if b := servers[(start+i)%len(servers)]; p.load[b.ID] < p.load[best.ID] {
			best = b
		}
	}
	return wasabiridge.Placement{Backend: best, Why: "least_loaded"}, true
}

type rendezvous struct {
	*view
	key     func(wasabiridge.Request) uint64
	bounded bool
}

// NewRendezvousPrompt returns a Placer that hashes the whole prompt.
func NewRendezvousPrompt(seed uint64) wasabiridge.Placer {
	return &rendezvous{view: newView(seed), key: lastKey}
}

// NewRendezvousFirst returns a Placer that hashes the first level of the
// prompt and passes over servers loaded well above the mean.
func NewRendezvousFirst(seed uint64) wasabiridge.Placer {
	return &rendezvous{view: newView(seed), key: firstKey, bounded: true}
}

// Place chooses the server with the highest weight for the key that is not
// above the bound.
func (p *rendezvous) Place(_ wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	servers := p.eligible(q)
	if len(servers) == 0 {
		return wasabiridge.Placement{}, false
	}
	key := p.key(q.Request)
	sort.SliceStable(servers, func(a, b int) bool {
		return weigh(key, servers[a].ID) > weigh(key, servers[b].ID)
	})
	sum := 0
	for _, b := range servers {
		sum += p.load[b.ID]
	}
	bound := boundedLoad * float64(sum+1) / float64(len(servers))
	for _, b := range servers {
		if !p.bounded || float64(p.load[b.ID]) <= bound {
			return wasabiridge.Placement{Backend: b, Why: "home"}, true
		}
	}
	return wasabiridge.Placement{Backend: servers[0], Why: "home"}, true
}
