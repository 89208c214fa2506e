// Package wasabibaseline implements simple Placers as baselines for measuring
// other Placers: round robin, least loaded, rendezvous hashing of the complete
// prompt, rendezvous hashing of the first block of the prompt with bounded load,
// and an oracle that knows the exact state of every cache and queue.
//
// All of them except the oracle use only the events that a Decider receives, and
// leave Placement.ClaimedTokens at zero.
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

// boundedLoad is the highest load of a server, as a multiple of the mean load with
// the new request included, at which rendezvous hashing with bounded load still
// chooses it.
const boundedLoad = 1.25

type roundRobin struct {
	*view
	cursor int
}

// NewRoundRobin returns a Placer that chooses the servers of a pool in rotation,
// starting at a random position.
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

// NewLeastLoaded returns a Placer that chooses the server with the fewest
// requests: those in its last load report, plus attempts sent and minus attempts
// ended since. Ties are broken at random.
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

// NewRendezvousPrompt returns a Placer that chooses a server by rendezvous hashing
// of the complete prompt.
func NewRendezvousPrompt(seed uint64) wasabiridge.Placer {
	return &rendezvous{view: newView(seed), key: lastKey}
}

// NewRendezvousFirst returns a Placer that chooses a server by rendezvous hashing
// of the first block of the prompt, and skips servers whose load is more than
// 1.25 times the mean.
func NewRendezvousFirst(seed uint64) wasabiridge.Placer {
	return &rendezvous{view: newView(seed), key: firstKey, bounded: true}
}

// Place chooses the server with the highest rendezvous weight among those within
// the load bound, or among all servers if the load is not bounded.
func (p *rendezvous) Place(_ wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	servers := p.eligible(q)
	if len(servers) == 0 {
		return wasabiridge.Placement{}, false
	}
	key := p.key(q.Request)
	sort.SliceStable(servers, func(a, b int) bool {
		return rendezvousWeight(key, servers[a].ID) > rendezvousWeight(key, servers[b].ID)
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
